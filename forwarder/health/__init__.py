"""Passive outlier detection as an extension."""
