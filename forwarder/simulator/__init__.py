"""Runs the decisions against the simulator, on its wire."""
