"""Reports the four measures from load on real processes under injected faults.

``python -m wagtailpaddle_standins.report`` runs the example deployments one after
the other, with the same seeded faults, and writes a table, a plot and histograms.
"""
