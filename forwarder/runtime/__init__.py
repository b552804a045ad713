"""The event loop around the decisions: start, reload, shutdown, hand-over and what rounds let leave."""
