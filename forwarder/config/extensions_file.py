"""The parts file, which enables extensions: `--parts FILE`, a TOML file with one table for each extension.

An unknown key or an invalid value ends the start with an error that names the key.
"""

from __future__ import annotations

import argparse
import math
import tomllib
from collections.abc import Container, Iterator, Sequence
from pathlib import Path

from forwarder.config.config import Address, ConfigError, parse_address
from forwarder.protocol.checked_fields import MalformedInputError


class ExtensionTable:
    """One table of the file. Each key is read once; `reject_unknown_keys` detects keys that were not read.

    Each method that reads a key raises ConfigError with the key's name if its value is missing or invalid.
    """

    def __init__(self, name: str, values: dict[str, object]) -> None:
        self.name = name
        self._unread = dict(values)

    def error(self, key: str, problem: str) -> ConfigError:
        """Returns an error that names a key and its problem."""
        return ConfigError(f"parts: {self.name}.{key} {problem}")

    def __contains__(self, key: str) -> bool:
        return key in self._unread

    def value(self, key: str, default: object) -> object:
        """Reads a value of any type; the key is required if the default is None."""
        value = self._unread.pop(key, default)
        if value is None:
            raise self.error(key, "is missing")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = math.inf) -> float:
        """Reads a number within bounds."""
        value = self.value(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(key, f"is no number: {value!r}")
        if not minimum <= value <= maximum:  # also rejects NaN
            raise self.error(key, f"is {value!r}, not from {minimum:g} to {maximum:g}")
        return float(value)

    def integer(self, key: str, default: int | None = None, minimum: int = 0, maximum: float = math.inf) -> int:
        """Reads an integer within bounds."""
        value = self.number(key, default, minimum, maximum)
        if not value.is_integer():
            raise self.error(key, f"is no whole number: {value!r}")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """Reads a boolean."""
        value = self.value(key, default)
        if not isinstance(value, bool):
            raise self.error(key, f"is neither true nor false: {value!r}")
        return value

    def address(self, key: str) -> Address:
        """Reads an address of the form HOST:PORT."""
        try:
            return parse_address(self.value(key, None))
        except MalformedInputError as error:
            raise self.error(key, f"is {error}") from None

    def table(self, key: str) -> ExtensionTable:
        """Reads a nested table."""
        values = self.value(key, None)
        if not isinstance(values, dict):
            raise self.error(key, f"is no table: {values!r}")
        return ExtensionTable(f"{self.name}.{key}", values)

    def reject_unknown_keys(self) -> None:
        """Raises ConfigError if a key was not read."""
        for key in self._unread:
            raise self.error(key, "is unknown")


def extensions_path(arguments: Sequence[str]) -> Path | None:
    """Returns the path of the parts file given on the command line, or None."""
    parser = argparse.ArgumentParser(prog="python -m forwarder")
    parser.add_argument("--parts", type=Path, metavar="FILE", help="a TOML file, one table for each part")
    path: Path | None = parser.parse_args(arguments).parts
    return path


def read_tables(path: Path, known_names: Container[str]) -> Iterator[ExtensionTable]:
    """Yields the tables of a parts file.

    Raises:
        ConfigError: the file cannot be read, or one of its entries is unknown or not a table.
    """
    try:
        entries = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"parts: cannot read {path}: {' '.join(str(error).split())}") from None
    for name, values in entries.items():
        if name not in known_names:
            raise ConfigError(f"parts: {name} is unknown")
        if not isinstance(values, dict):
            raise ConfigError(f"parts: {name} is no table")
        yield ExtensionTable(name, values)
