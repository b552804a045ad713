"""Serves the simulator on standard input and output: python -m forwarder.simulator."""

from __future__ import annotations

import sys

from forwarder.simulator.adapter import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
