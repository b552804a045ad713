"""Manages connections to endpoints and the calls on them."""
