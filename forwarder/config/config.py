"""The configuration: the file at $LB_CONFIG and the environment, checked at the start and again on SIGHUP.

The keys of the file and the words of an endpoint list are defined by the platform. This module maps them to the names
used in the code.
"""

from __future__ import annotations

import errno
import hashlib
import json
import math
import os
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path

from forwarder.config.required_keys import check_complete, common_part
from forwarder.decisions.events import EndpointEntry
from forwarder.decisions.settings import Settings
from forwarder.errors import ForwarderError
from forwarder.protocol.checked_fields import JsonObject, MalformedInputError, require_field
from forwarder.protocol.settings_format import parse_endpoint_entry, parse_settings

TRANSIENT_ERRORS = frozenset({errno.EIO, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EINTR, errno.EAGAIN})
"""Errors of open and read that may pass shortly (open(2), read(2))."""
MAX_PORT = 65535
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
DEFAULT_DISK_MB = 3
BYTES_PER_MB = 1_000_000


class ConfigError(ForwarderError):
    """The configuration is missing or invalid; the text is one line."""


class ConfigUnreadableError(ConfigError):
    """The file could not be read; a later attempt may succeed."""

    def __init__(self, text: str, is_transient: bool = False) -> None:
        """Stores whether the error is unrelated to the file itself."""
        super().__init__(text)
        self.is_transient = is_transient


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP or UDP address."""

    host: str
    port: int


class EndpointHealth(StrEnum):
    """The state that discovery reports for an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


READINESS = {
    EndpointHealth.UP: "SERVING",
    EndpointHealth.DRAINING: "DRAINING",
    EndpointHealth.REMOVED: "DELETED",
}
"""The simulator's word for each state."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint as discovery lists it."""

    name: str
    address: Address
    destination: int
    health: EndpointHealth
    raw: JsonObject
    """The entry as decoded from JSON."""

    def entry(self, number: int) -> EndpointEntry:
        """Returns the entry for the decisions, parsed by the same function as the simulator's entries.

        Raises:
            MalformedInputError: a field of the entry is missing or of another type.
        """
        return parse_endpoint_entry(
            {
                "target": number,
                "hall": self.raw.get("site"),
                "kind": self.raw.get("class"),
                "belongs_to": self.destination,
                "readiness": READINESS[self.health],
                "power_hint": require_field(self.raw, "share", float) if "share" in self.raw else 0.0,
            }
        )


@dataclass(frozen=True, slots=True)
class EndpointList:
    """An endpoint list, or the changes since an earlier version."""

    version: int
    is_complete: bool
    """Whether endpoints that are not listed have been removed."""
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one forwarder."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    """The address of the admin interface; None for no admin interface."""
    state_folder: Path
    seed: int
    memory_mb: int
    max_sockets: int
    disk_bytes: int
    initial_list: EndpointList
    settings: Settings
    report_fields: tuple[str, ...]
    """The fields of an endpoint's load report."""
    document: JsonObject
    """The file as decoded from JSON."""
    common_document: object
    """What this file and all files accepted before it have in common (`required_keys.common_part`)."""
    file_digest: bytes = b""
    """A digest of the file's bytes; empty if not all of the file is in force."""


def parse_address(text: object) -> Address:
    """Parses an address of the form HOST:PORT.

    Raises:
        MalformedInputError: the text is not an address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise MalformedInputError(f"not an address: {text!r}")
    return Address(host, int(port))


def parse_endpoint(raw: object) -> ListedEndpoint:
    """Parses one entry of an endpoint list.

    Raises:
        MalformedInputError: the value is not an entry of an endpoint list.
    """
    health = require_field(raw, "health", str)
    if health not in {known.value for known in EndpointHealth}:
        raise MalformedInputError(f"unknown health {health!r}")
    assert isinstance(raw, dict)
    if "share" in raw and not 0.0 <= require_field(raw, "share", float) < math.inf:
        raise MalformedInputError(f"no share: {raw['share']!r}")
    endpoint = ListedEndpoint(
        require_field(raw, "host", str),
        parse_address(require_field(raw, "dial", str)),
        require_field(raw, "block", int),
        EndpointHealth(health),
        raw,
    )
    endpoint.entry(0)  # detects a malformed entry here rather than in the middle of a round
    return endpoint


def parse_endpoint_list(answer: object) -> EndpointList:
    """Parses one answer of discovery.

    Raises:
        MalformedInputError: the answer is not an endpoint list.
    """
    return EndpointList(
        require_field(answer, "seq", int),
        require_field(answer, "whole", bool),
        tuple(parse_endpoint(raw) for raw in require_field(answer, "hosts", list)),
    )


def parse_report_fields(settings: JsonObject) -> tuple[str, ...]:
    """Returns the fields of an endpoint's load report that the settings name."""
    return tuple((settings.get("telemetry") or {}).get("fields") or ())


def load_config(environ: Mapping[str, str] = os.environ, before: Config | None = None) -> Config:
    """Reads the configuration. Values from the environment take precedence over those in the file.

    Args:
        environ: the environment.
        before: the previous configuration on a reload. The file must then be complete (`required_keys`), and its
            address of discovery takes precedence, because the environment of a running process cannot change.

    Raises:
        ConfigUnreadableError: the file cannot be read.
        ConfigError: the configuration is invalid.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    data = _read_file(path)
    document = _decode_document(path, data)
    try:
        if before is not None:
            check_complete(before.common_document, document)
            if not document["settings"]["services"]:
                raise MalformedInputError("settings.services is empty")
        return replace(_parse_document(document, environ, before), file_digest=_digest(data))
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration in {path}: {text}") from None


def is_file_in_force(config: Config, environ: Mapping[str, str] = os.environ) -> bool:
    """Returns whether the file is still the one that a configuration was read from; False if it cannot be read."""
    try:
        return _digest(_read_file(environ.get("LB_CONFIG", ""))) == config.file_digest
    except ConfigUnreadableError:
        return False


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data).digest()


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigUnreadableError(f"cannot read {path}: {error}", error.errno in TRANSIENT_ERRORS) from None


def _decode_document(path: str, data: bytes) -> JsonObject:
    try:
        document: JsonObject = json.loads(data)
    except (ValueError, RecursionError) as error:  # RecursionError: nested too deeply
        raise ConfigError(f"cannot read {path}: {error}") from None
    return document


def _parse_document(document: JsonObject, environ: Mapping[str, str], before: Config | None) -> Config:
    limits = document.get("limits") or {}
    settings = require_field(document, "settings", dict)
    state_folder = environ.get("LB_STATE")
    if not state_folder:
        raise ConfigError("LB_STATE is not set")
    admin = environ.get("LB_CONTROL") or document.get("control")
    return Config(
        name=environ.get("LB_NAME") or require_field(document, "name", str),
        listen=parse_address(environ.get("LB_LISTEN") or require_field(document, "listen", str)),
        discovery=parse_address(
            (before is None and environ.get("LB_DISCOVERY")) or require_field(document, "discovery", str)
        ),
        admin=None if admin is None else parse_address(admin),
        state_folder=Path(state_folder),
        seed=zlib.crc32(str(document.get("seed", "")).encode()),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        disk_bytes=int(float(limits.get("disk_mb", DEFAULT_DISK_MB)) * BYTES_PER_MB),
        initial_list=parse_endpoint_list(document.get("known") or {"seq": 0, "whole": True, "hosts": []}),
        settings=parse_settings(settings),
        report_fields=parse_report_fields(settings),
        document=document,
        common_document=common_part([document] if before is None else [before.common_document, document]),
    )
