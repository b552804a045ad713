"""External formats; input is parsed and checked here, once."""
