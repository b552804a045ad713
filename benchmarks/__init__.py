"""What the figures in docs/measurements.md were taken with. Each module is a program of its own."""
