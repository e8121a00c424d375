"""A report of the four measures, from a load on real processes under faults.

``python -m wagtailpaddle_standins.report`` runs the deployments of the examples
one after the other, with the same seeded list of faults, and writes a table, a
plot and histograms.
"""
