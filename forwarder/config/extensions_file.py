"""The parts file, which turns extensions on: `--parts FILE`, a TOML file with one table for each extension.

What is unknown or cannot hold ends the start, and names its key.
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
    """One table of the file. Each key is taken once; `check_all_taken` finds those that nobody took.

    Each method that takes a key raises ConfigError, with the key's name, where its value is missing or cannot hold.
    """

    def __init__(self, name: str, values: dict[str, object]) -> None:
        self.name = name
        self._untaken = dict(values)

    def error(self, key: str, problem: str) -> ConfigError:
        """Returns the error that names a key and its problem."""
        return ConfigError(f"parts: {self.name}.{key} {problem}")

    def __contains__(self, key: str) -> bool:
        return key in self._untaken

    def take(self, key: str, default: object) -> object:
        """Takes a value of any type. A default of None: the key has to be there."""
        value = self._untaken.pop(key, default)
        if value is None:
            raise self.error(key, "is missing")
        return value

    def number(self, key: str, default: float | None = None, least: float = 0.0, most: float = math.inf) -> float:
        """Takes a number within bounds."""
        value = self.take(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(key, f"is no number: {value!r}")
        if not least <= value <= most:  # NaN is refused too
            raise self.error(key, f"is {value!r}, not from {least:g} to {most:g}")
        return float(value)

    def integer(self, key: str, default: int | None = None, least: int = 0, most: float = math.inf) -> int:
        """Takes a whole number within bounds."""
        value = self.number(key, default, least, most)
        if not value.is_integer():
            raise self.error(key, f"is no whole number: {value!r}")
        return int(value)

    def boolean(self, key: str, default: bool) -> bool:
        """Takes true or false."""
        value = self.take(key, default)
        if not isinstance(value, bool):
            raise self.error(key, f"is neither true nor false: {value!r}")
        return value

    def address(self, key: str) -> Address:
        """Takes an address of the form HOST:PORT."""
        try:
            return parse_address(self.take(key, None))
        except MalformedInputError as error:
            raise self.error(key, f"is {error}") from None

    def table(self, key: str) -> ExtensionTable:
        """Takes a table within the table."""
        values = self.take(key, None)
        if not isinstance(values, dict):
            raise self.error(key, f"is no table: {values!r}")
        return ExtensionTable(f"{self.name}.{key}", values)

    def check_all_taken(self) -> None:
        """Raises ConfigError for a key that nobody took."""
        for key in self._untaken:
            raise self.error(key, "is unknown")


def extensions_path(arguments: Sequence[str]) -> Path | None:
    """Returns the parts file that the command line names, if it does."""
    parser = argparse.ArgumentParser(prog="python -m forwarder")
    parser.add_argument("--parts", type=Path, metavar="FILE", help="a TOML file, one table for each part")
    path: Path | None = parser.parse_args(arguments).parts
    return path


def read_tables(path: Path, known_names: Container[str]) -> Iterator[ExtensionTable]:
    """Yields the tables of a parts file.

    Raises:
        ConfigError: the file cannot be read, or one of its entries is unknown or no table.
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
