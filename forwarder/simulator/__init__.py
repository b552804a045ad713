"""Runs the decisions against the simulator, over its wire format."""
