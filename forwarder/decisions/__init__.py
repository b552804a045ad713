"""The decisions of a forwarder: a pure state machine, events in and actions out."""
