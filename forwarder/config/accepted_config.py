"""What a forwarder has accepted of the configuration files that it read again, and what a successor makes of it."""

from __future__ import annotations

from dataclasses import astuple, dataclass, replace

from forwarder.config.config import Config, parse_address, parse_report_fields
from forwarder.protocol.checked_fields import JsonObject
from forwarder.protocol.settings_format import parse_settings


@dataclass(frozen=True, slots=True)
class AcceptedConfig:
    """The parts of a configuration that a reload changes, as JSON."""

    discovery: str
    """The address of discovery, HOST:PORT."""
    settings: JsonObject
    common_document: object
    """What all accepted files have in common (`required_keys.common_part`)."""


def accepted_part(config: Config) -> AcceptedConfig:
    """Returns what a reload has changed of a configuration, or may have."""
    host, port = astuple(config.discovery)
    return AcceptedConfig(f"{host}:{port}", config.document["settings"], config.common_document)


def with_accepted(config: Config, accepted: AcceptedConfig) -> Config:
    """Returns a configuration with the parts that another process accepted.

    Raises:
        MalformedInputError, ValueError, TypeError, AttributeError: this version does not read them.
    """
    return replace(
        config,
        discovery=parse_address(accepted.discovery),
        settings=parse_settings(accepted.settings),
        report_fields=parse_report_fields(accepted.settings),
        document={**config.document, "discovery": accepted.discovery, "settings": accepted.settings},
        file_digest=b"",
        common_document=accepted.common_document,
    )
