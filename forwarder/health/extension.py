"""Outlier detection as an extension: its settings and its admin command. The verdicts are made in `decisions`."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from forwarder.admin.server import CommandRefusedError, CommandTable
from forwarder.config.config import Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.outlier_detection import OutlierDetector, OutlierSettings
from forwarder.runtime.extension import BaseExtension, ExtensionHost
from forwarder.units import SECOND_US


def parse_settings(table: ExtensionTable) -> OutlierSettings:
    """Reads the table `[health.passive]`.

    Raises:
        ConfigError: a key is unknown or has an invalid value; the text names it.
    """
    passive = table.table("passive")
    ejection_s = passive.number("eject_s", 5.0, 0.1, 3600.0)
    settings = OutlierSettings(
        half_life_us=int(passive.number("half_life_s", 10.0, 0.1, 3600.0) * SECOND_US),
        min_samples=passive.number("least_samples", 5.0, 1.0),
        consecutive_failures=passive.integer("run_calls", 5, 1),
        min_failure_rate=passive.number("least_share", 0.2, 0.0, 1.0),
        max_ejected_share=passive.number("most_ejected", 0.5, 0.0, 1.0),
        ejection_us=int(ejection_s * SECOND_US),
        max_ejection_us=int(passive.number("eject_top_s", 60.0, ejection_s, 86400.0) * SECOND_US),
        retry_us=int(passive.number("again_s", 1.0, 0.01, 3600.0) * SECOND_US),
        trial_calls=passive.integer("trial_calls", 5, 1),
    )
    passive.reject_unknown_keys()
    return settings


@dataclass(frozen=True, slots=True)
class HealthExtensionFactory:
    """Makes the extension from its settings."""

    settings: OutlierSettings
    descriptors: int = 0

    def __call__(self, host: ExtensionHost) -> HealthExtension:
        """Makes the extension."""
        return HealthExtension(host, self.settings)


def prepare(table: ExtensionTable, config: Config) -> HealthExtensionFactory:
    """Reads the table `[health]`.

    Raises:
        ConfigError: the table is invalid; the text names the key.
    """
    return HealthExtensionFactory(parse_settings(table))


class HealthExtension(BaseExtension):
    """Attaches the outlier detector to the dispatcher and answers the admin interface."""

    name = "health"

    def __init__(self, host: ExtensionHost, settings: OutlierSettings) -> None:
        self._host = host
        self._detector = OutlierDetector(host.dispatcher, settings)
        host.dispatcher.extensions.append(self._detector)

    @property
    def commands(self) -> CommandTable:
        """The commands that this extension adds to the admin interface."""
        return {"VERDICT": self.verdict}

    def verdict(self, name: str) -> str:
        """`VERDICT ID`: the verdict on an endpoint and its reason."""
        number = self._host.endpoint_table.numbers.get(name, -1)
        endpoint = self._host.dispatcher.endpoints.get(number)
        if endpoint is None:
            raise CommandRefusedError("no endpoint of that id is listed")
        verdict, reason = self._detector.verdict(endpoint)
        return f"{name} {verdict.value}: {reason}"

    def describe_state(self) -> str:
        """Returns a short description of the state, for the log."""
        endpoints = self._host.dispatcher.endpoints.values()
        verdicts = Counter(self._detector.verdict(endpoint)[0].value for endpoint in endpoints if endpoint.serving)
        counts = ", ".join(f"{count} {verdict}" for verdict, count in sorted(verdicts.items()))
        return (
            f"{counts or 'no endpoints'}; {self._detector.ejection_count} ejections; "
            f"{len(self._detector.ejections_suspended_since_us)} destinations in doubt"
        )
