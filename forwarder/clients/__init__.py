"""Connections of clients, which submit messages over HTTP."""
