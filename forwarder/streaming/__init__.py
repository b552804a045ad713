"""Streams: HTTP exchanges that are relayed between a client and an endpoint as they arrive, in bounded memory."""
