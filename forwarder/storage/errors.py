"""Errors of the stored state."""

from __future__ import annotations

from forwarder.errors import ForwarderError


class StorageError(ForwarderError):
    """The state folder cannot be used as it is."""


class NewerFormatError(StorageError):
    """A file was written in a format version that this program does not know."""


class ForeignStateError(StorageError):
    """The state folder belongs to another forwarder; the text says to which."""


class CorruptFileError(StorageError, ValueError):
    """A file does not hold what was written to it."""
