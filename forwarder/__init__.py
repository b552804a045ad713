"""forwarder: the decisions of a dispatcher of notifications to outside receivers."""

from forwarder.decisions.dispatcher import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher"]
