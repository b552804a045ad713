"""What a forwarder is told: LB_CONFIG and the environment, checked at the start and again on SIGHUP."""

from __future__ import annotations

import errno
import json
import math
import os
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from forwarder.decisions.events import EndpointEntry
from forwarder.decisions.settings import Settings
from forwarder.protocol.checked_fields import MalformedInputError, require_field
from forwarder.protocol.settings_format import parse_endpoint_entry, parse_settings

TRANSIENT_ERRORS = frozenset({errno.EIO, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EINTR, errno.EAGAIN})
"""Errors of open and read that may be over in a moment (open(2), read(2))."""
HEALTH = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}


class ConfigError(Exception):
    """The configuration is missing or cannot hold; the text is one line."""


class ConfigUnreadableError(ConfigError):
    """The file could not be read just now; it may be later. `passing`: by an error that says nothing of the file."""

    def __init__(self, text: str, passing: bool = False) -> None:
        super().__init__(text)
        self.passing = passing


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One target as discovery lists it."""

    name: str
    dial: Address
    destination: int
    health: str
    raw: dict[str, Any]

    def entry(self, number: int) -> EndpointEntry:
        """The module's entry, by way of the adapter's own translation."""
        return parse_endpoint_entry(
            {
                "target": number,
                "hall": self.raw.get("site"),
                "kind": self.raw.get("class"),
                "belongs_to": self.destination,
                "readiness": HEALTH[self.health],
                "power_hint": require_field(self.raw, "share", float) if "share" in self.raw else 0.0,
            }
        )


@dataclass(frozen=True, slots=True)
class EndpointList:
    seq: int
    whole: bool
    hosts: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    control: Address | None
    """Where operators call; None where they do not."""
    state: Path
    seed: int
    memory_mb: int
    sockets: int
    disk_bytes: int
    known: EndpointList
    settings: Settings
    report_fields: tuple[str, ...]
    told: dict[str, Any]
    """The file as it was read."""


def parse_address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedInputError(f"not an address: {text!r}")
    return Address(host, int(port))


def parse_endpoint(raw: Any) -> ListedEndpoint:
    health = require_field(raw, "health", str)
    if health not in HEALTH:
        raise MalformedInputError(f"unknown health {health!r}")
    if "share" in raw and not 0.0 <= require_field(raw, "share", float) < math.inf:
        raise MalformedInputError(f"no share: {raw['share']!r}")
    made = ListedEndpoint(
        require_field(raw, "host", str),
        parse_address(require_field(raw, "dial", str)),
        require_field(raw, "block", int),
        health,
        raw,
    )
    made.entry(0)  # a bad line must be found here, not in the middle of a round
    return made


def parse_endpoint_list(told: Any) -> EndpointList:
    """One answer of discovery, or Malformed."""
    return EndpointList(
        require_field(told, "seq", int),
        require_field(told, "whole", bool),
        tuple(parse_endpoint(raw) for raw in require_field(told, "hosts", list)),
    )


def check_complete(had: Any, told: Any, path: str) -> None:
    """A file that is read again must hold every key that the one before it held, with a value of its kind. In
    a list, each entry must have what all entries before had.
    """
    for kind in (bool, (int, float), str, dict, list):
        if isinstance(had, kind):
            if not isinstance(told, kind) or (isinstance(told, bool) and kind is not bool):
                raise MalformedInputError(f"{path} is {told!r:.40}, where it was {had!r:.40}")
            break
    if isinstance(had, dict):
        for key in had:
            if key not in told:
                raise MalformedInputError(f"{path} has no {key!r}")
            check_complete(had[key], told[key], f"{path}.{key}")
    elif isinstance(had, list) and had and all(isinstance(entry, dict) for entry in had):
        common = {key: value for key, value in had[0].items() if all(key in entry for entry in had)}
        for n, entry in enumerate(told):
            check_complete(common, entry, f"{path}[{n}]")


def load_config(environ: Mapping[str, str] = os.environ, before: Config | None = None) -> Config:
    """The configuration; the environment's names go before those in the file. When it is read again, it must
    be whole, and the address of discovery is the file's: the environment cannot have followed a change.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigUnreadableError(f"cannot read {path}: {error}", error.errno in TRANSIENT_ERRORS) from None
    except ValueError as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    try:
        if before is not None:
            check_complete(before.told, told, "the file")
            if not told["settings"]["services"]:
                raise MalformedInputError("settings.services is empty")
        limits = told.get("limits") or {}
        facts = require_field(told, "settings", dict)
        state = environ.get("LB_STATE")
        if not state:
            raise ConfigError("LB_STATE is not set")
        control = environ.get("LB_CONTROL") or told.get("control")
        return Config(
            name=environ.get("LB_NAME") or require_field(told, "name", str),
            listen=parse_address(environ.get("LB_LISTEN") or require_field(told, "listen", str)),
            discovery=parse_address(
                (before is None and environ.get("LB_DISCOVERY")) or require_field(told, "discovery", str)
            ),
            control=None if control is None else parse_address(control),
            state=Path(state),
            seed=zlib.crc32(str(told.get("seed", "")).encode()),
            memory_mb=int(limits.get("memory_mb", 192)),
            sockets=int(limits.get("sockets", 1024)),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            known=parse_endpoint_list(told.get("known") or {"seq": 0, "whole": True, "hosts": []}),
            settings=parse_settings(facts),
            report_fields=tuple((facts.get("telemetry") or {}).get("fields") or ()),
            told=told,
        )
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration in {path}: {text}") from None
