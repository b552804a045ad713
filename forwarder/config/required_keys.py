"""Checks that a reloaded configuration file is complete.

The platform always writes the keys in `REQUIRED_KEYS`; a file that has lost one is incomplete (LATER, "New settings").
A deployment may never have had some of them, so a key is required only if all accepted files had it. Optional keys, and
keys that the platform's pages do not name, may come and go.
"""

from __future__ import annotations

from collections.abc import Sequence

from forwarder.protocol.checked_fields import JsonObject, MalformedInputError

REQUIRED_KEYS: dict[str, tuple[str, ...]] = {
    "": ("name", "listen", "discovery", "control", "seed", "limits", "known", "settings"),
    "limits": ("cores", "memory_mb", "sockets", "disk_mb"),
    "known": ("seq", "whole", "hosts"),
    "known.hosts[]": ("host", "dial", "site", "class", "block", "health", "share", "born_ms"),
    "settings": (
        "allowed",
        "balancers",
        "clients",
        "contract",
        "discovery",
        "domain_type",
        "family_info",
        "goal",
        "host_types",
        "me",
        "orgs",
        "over_share_worth",
        "prices",
        "quantum_us",
        "services",
        "stages",
        "telemetry",
        "tier",
        "weight_source",
        "worth_by",
        "zone",
        "zones",
    ),
    "settings.allowed": (
        "conn_idle_us",
        "cpu_us_per_request",
        "cpu_us_per_s",
        "dial_timeout_us",
        "max_attempts",
        "max_open",
        "max_retry_after_us",
        "may_cancel",
        "may_tell",
        "parallel_tries",
        "probes",
        "retry_after",
        "streams_per_conn",
    ),
    "settings.clients": ("marks_retry",),
    "settings.contract": (
        "cold_from",
        "drain_grace_us",
        "fall_us",
        "grace_to_answer_us",
        "overload_factor",
        "warm_after_us",
    ),
    "settings.family_info": (
        "carriage",
        "kind_batch",
        "loses_worth",
        "notes",
        "routes_apart",
        "slots",
        "turned_away_price",
    ),
    "settings.goal": ("whole", "worst_class", "worst_tenant", "worst_window"),
    "settings.orgs[]": ("name", "allowance_per_s", "fraction"),
    "settings.prices": (
        "connection",
        "cross_zone",
        "discovery",
        "handshake",
        "late_fail",
        "moves",
        "origin",
        "peer",
        "probe",
        "waste",
    ),
    "settings.services[]": (
        "name",
        "aim_us",
        "deadline_us",
        "effect",
        "gain",
        "key_scope",
        "late_worth",
        "stream",
        "window_us",
    ),
    "settings.telemetry": ("fields", "how"),
}
"""The keys that the platform always writes (DEPLOY, LATER, PROTOCOL and WIRE), by the path of the object that has them.

Not required are those that the pages tie to a condition: `services[].by_arrival` and `aim_stretch`,
`contract.key_rest_us` and `ask_within_us`, `family_info.report_x0` and `report_x1`, and `prices.fleet`.
"""


def common_part(values: Sequence[object]) -> object:
    """Returns what decoded JSON values have in common.

    Objects are reduced to the keys that all of them have, and lists to one entry: the common part of all their entries
    if these are objects. Other values are represented by the first one.
    """
    objects = [value for value in values if isinstance(value, dict)]
    if len(objects) == len(values):
        shared_keys = [key for key in objects[0] if all(key in other for other in objects)]
        return {key: common_part([each[key] for each in objects]) for key in shared_keys}
    lists = [value for value in values if isinstance(value, list)]
    if len(lists) == len(values):
        entries = [entry for each in lists for entry in each]
        has_objects = bool(entries) and all(isinstance(entry, dict) for entry in entries)
        return [common_part(entries)] if has_objects else []
    return next((value for value in values if value is not None), None)


def check_complete(common: object, document: JsonObject) -> None:
    """Checks that a reloaded file has the required keys that all accepted files have in common, with the same types.

    Args:
        common: the common part of all accepted files.
        document: the reloaded file, as decoded from JSON.

    Raises:
        MalformedInputError: a key is missing or has another type; the text names its path within the file.
    """
    _check_value(common, document, "", "the file")


def _check_value(common: object, value: object, section: str, path: str) -> None:
    """Checks a value and what it contains. `section` is its path in `REQUIRED_KEYS`, and `path` that in errors."""
    _check_same_kind(common, value, path)
    if isinstance(common, dict) and isinstance(value, dict):
        for key in REQUIRED_KEYS.get(section, ()):
            if key not in common:
                continue
            if key not in value:
                raise MalformedInputError(f"{path} has no {key!r}")
            _check_value(common[key], value[key], f"{section}.{key}".lstrip("."), f"{path}.{key}")
    elif isinstance(common, list) and isinstance(value, list):
        for common_entry in common:
            for index, entry in enumerate(value):
                _check_value(common_entry, entry, f"{section}[]", f"{path}[{index}]")


def _check_same_kind(common: object, value: object, path: str) -> None:
    kinds: tuple[type | tuple[type, ...], ...] = (bool, (int, float), str, dict, list)  # bool is a subclass of int
    for kind in kinds:
        if isinstance(common, kind):
            if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
                raise MalformedInputError(f"{path} is {value!r:.40}, where it was {common!r:.40}")
            return
