"""Loads the extensions that the parts file turns on. An extension without a table there is not even imported."""

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
"""The module of each table. Its `prepare(table, config)` returns the factory of the extension."""


def load_extensions(path: Path, config: Config) -> list[ExtensionFactory]:
    """Returns the factories of the extensions in a parts file, in the order of their tables.

    Raises:
        ConfigError: the file cannot be read, or one of its keys is unknown or has an invalid value.
    """
    factories: list[ExtensionFactory] = []
    for table in read_tables(path, MODULES):
        factories.append(importlib.import_module(MODULES[table.name]).prepare(table, config))
        table.reject_unknown_keys()
    return factories
