"""The parts of the forwarder that a site turns on, by a TOML file: `--parts FILE`, one table a part.

A part that has no table is not imported. What is unknown or cannot hold ends the start, and names its key.
"""

from __future__ import annotations

import argparse
import importlib
import math
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from forwarder.config.config import Address, Config, ConfigError, parse_address
from forwarder.runtime.engine import ExtensionFactory
from forwarder.simulator.adapter import MalformedInputError

MODULES = {
    "streaming": "forwarder.streaming.extension",
    "health": "forwarder.health.extension",
    "members": "forwarder.membership.extension",
    "journal": "forwarder.storage.durability",
}
"""Where each part lives: a module with `prepare(table, config)`, which returns what makes the part."""


class ExtensionTable:
    """One table of the file. Each key is taken once; `done` finds those that nobody took."""

    def __init__(self, name: str, told: dict[str, Any]) -> None:
        self.name, self.left = name, dict(told)

    def wrong(self, key: str, why: str) -> ConfigError:
        return ConfigError(f"parts: {self.name}.{key} {why}")

    def take(self, key: str, default: Any) -> Any:
        value = self.left.pop(key, default)
        if value is None:
            raise self.wrong(key, "is missing")
        return value

    def number(self, key: str, default: float | None = None, least: float = 0.0, most: float = math.inf) -> float:
        value = self.take(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.wrong(key, f"is no number: {value!r}")
        if not least <= value <= most:  # also where it is no number at all
            raise self.wrong(key, f"is {value!r}, not from {least:g} to {most:g}")
        return float(value)

    def whole(self, key: str, default: int | None = None, least: int = 0, most: float = math.inf) -> int:
        value = self.number(key, default, least, most)
        if not value.is_integer():
            raise self.wrong(key, f"is no whole number: {value!r}")
        return int(value)

    def truth(self, key: str, default: bool) -> bool:
        value = self.take(key, default)
        if not isinstance(value, bool):
            raise self.wrong(key, f"is neither true nor false: {value!r}")
        return value

    def address(self, key: str) -> Address:
        try:
            return parse_address(self.take(key, None))
        except MalformedInputError as error:
            raise self.wrong(key, f"is {error}") from None

    def part(self, key: str) -> ExtensionTable:
        """A table within the table."""
        told = self.take(key, None)
        if not isinstance(told, dict):
            raise self.wrong(key, f"is no table: {told!r}")
        return ExtensionTable(f"{self.name}.{key}", told)

    def done(self) -> None:
        for key in self.left:
            raise self.wrong(key, "is unknown")


def extensions_path(arguments: Sequence[str]) -> Path | None:
    """The parts file that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m forwarder")
    parser.add_argument("--parts", type=Path, metavar="FILE", help="a TOML file, one table for each part")
    found: Path | None = parser.parse_args(arguments).parts
    return found


def load_extensions(path: Path, config: Config) -> list[ExtensionFactory]:
    """What makes the parts that the file turns on."""
    try:
        told = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"parts: cannot read {path}: {' '.join(str(error).split())}") from None
    made: list[ExtensionFactory] = []
    for name, rows in told.items():
        if name not in MODULES:
            raise ConfigError(f"parts: {name} is unknown")
        if not isinstance(rows, dict):
            raise ConfigError(f"parts: {name} is no table")
        table = ExtensionTable(name, rows)
        made.append(importlib.import_module(MODULES[name]).prepare(table, config))
        table.done()
    return made
