"""Seeded, bounded measures of the decision logic against small fakes.

Run all with ``python -m wagtailpaddle_standins.measure`` or name some:
``python -m wagtailpaddle_standins.measure health --seed 7``.
"""
