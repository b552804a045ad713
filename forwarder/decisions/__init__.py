"""Every decision of the forwarder. Pure: events in, actions out; no clock, file, socket or log."""
