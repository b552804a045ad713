"""Loads the extensions that the parts file turns on. What has no table there is not even imported."""

from __future__ import annotations

import importlib
from pathlib import Path

from forwarder.config.config import Config
from forwarder.config.extensions_file import read_tables
from forwarder.runtime.extension import ExtensionFactory

MODULES = {
    "streaming": "forwarder.streaming.extension",
    "health": "forwarder.health.extension",
    "members": "forwarder.membership.extension",
    "journal": "forwarder.storage.durability",
}
"""The module of each table: its `prepare(table, config)` returns what makes the extension."""


def load_extensions(path: Path, config: Config) -> list[ExtensionFactory]:
    """Returns what makes the extensions of a parts file, in the order of their tables.

    Raises:
        ConfigError: the file cannot be read, or a key of it is unknown or cannot hold.
    """
    factories: list[ExtensionFactory] = []
    for table in read_tables(path, MODULES):
        factories.append(importlib.import_module(MODULES[table.name]).prepare(table, config))
        table.reject_unknown_keys()
    return factories
