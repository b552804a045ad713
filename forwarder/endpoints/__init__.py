"""Connections and calls to endpoints."""
