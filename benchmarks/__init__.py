"""Benchmarks behind the figures in docs/measurements.md. Each module can be run as a program."""
