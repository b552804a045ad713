"""Reads fields of decoded JSON objects and checks their types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from forwarder.errors import ForwarderError

JsonObject = dict[str, Any]
"""A decoded JSON object, whose fields are checked when they are read."""

MAX_QUOTED_LENGTH = 80
"""The most characters of an object that an error quotes."""

T = TypeVar("T")


class MalformedInputError(ForwarderError):
    """The input does not have the form that the protocol requires."""


def require_field(record: object, name: str, kind: type[T]) -> T:
    """Returns a field of a decoded JSON object.

    Whole floats count as integers and integers as floats; booleans are neither.

    Raises:
        MalformedInputError: The record is not an object, or the field is missing or of another type.
    """
    if not isinstance(record, dict) or name not in record:
        raise MalformedInputError(f"no field {name!r} in {_quote(record)}")
    value = record[name]
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedInputError(f"field {name!r} is not of type {kind.__name__} in {_quote(record)}")
    return value


def require_word(words: Mapping[str, T], record: object, name: str) -> T:
    """Returns the value that a field's word stands for.

    Raises:
        MalformedInputError: The field is missing, is not a string, or is an unknown word.
    """
    value = require_field(record, name, str)
    if value not in words:
        raise MalformedInputError(f"field {name!r} has the unknown word {value!r}")
    return words[value]


def _quote(record: object) -> str:
    return repr(record)[:MAX_QUOTED_LENGTH]
