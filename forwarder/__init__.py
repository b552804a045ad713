"""A message forwarder: its decisions (`decisions`) and the program that applies them to sockets (`runtime`)."""

from forwarder.decisions.dispatcher import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher"]
