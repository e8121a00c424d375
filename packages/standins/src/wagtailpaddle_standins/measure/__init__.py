"""Seeded simulations that measure the decision logic on in-memory models.

``python -m wagtailpaddle_standins.measure`` runs all but the long ones. Named ones:
``python -m wagtailpaddle_standins.measure health --seed 7``.
"""
