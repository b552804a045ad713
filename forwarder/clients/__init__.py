"""Serves the connections of clients, which submit messages over HTTP."""
