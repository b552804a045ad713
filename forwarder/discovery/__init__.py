"""Watches the endpoint list and posts notices to the platform."""
