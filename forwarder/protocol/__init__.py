"""Formats at the edge, read and checked once."""
