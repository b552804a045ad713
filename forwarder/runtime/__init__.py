"""The event loop around the decisions: startup, reload, shutdown, hand-over and the effects of each round."""
