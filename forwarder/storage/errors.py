"""Errors raised for the stored state."""

from __future__ import annotations

from forwarder.errors import ForwarderError


class StorageError(ForwarderError):
    """The state folder cannot be used in its present condition."""


class NewerFormatError(StorageError):
    """A file has a format version that this program does not support."""


class ForeignStateError(StorageError):
    """The state folder belongs to another forwarder, which the message names."""


class CorruptFileError(StorageError, ValueError):
    """The content of a file is not what was written to it."""
