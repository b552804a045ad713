"""The decisions of a forwarder: a pure state machine that takes events and returns actions."""
