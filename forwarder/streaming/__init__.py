"""Streams: HTTP exchanges that pass between a client and an endpoint while they arrive, in fixed memory."""
