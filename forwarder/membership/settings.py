"""Reads the table `[members]` of the parts file, its seeds and its keys."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NamedTuple

from forwarder.config.config import Address, Config, ConfigError, parse_address
from forwarder.config.extensions_file import ExtensionTable
from forwarder.membership.suspicion import MIN_LOG_SIZE
from forwarder.membership.timing import Timing
from forwarder.membership.view import SocketAddress
from forwarder.protocol.checked_fields import MalformedInputError
from forwarder.units import SECOND_US

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS = 2
MAX_CLUSTER_NAME = 64


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Checked values of the table; times are in microseconds."""

    listen: Address
    advertise: Address
    """Address at which the other members reach this forwarder."""
    cluster: str
    """Name of the cluster; datagrams of other clusters are rejected."""
    seeds: tuple[Address, ...] | Path
    """Addresses to contact first, or the file that lists them."""
    key_file: Path
    timing: Timing
    divide_quota: bool
    """Whether quotas are divided by the members that are present."""
    settle_us: int
    """Time that a change must have lasted before this forwarder takes a larger share of a quota."""
    believe_us: int
    """Time for which another member's announcement that it leaves is believed."""
    detect_us: int
    """Maximum time until a network partition or a crash is detected."""
    gossip_enabled: bool
    """Whether observations of endpoints are exchanged with other members."""
    notify_us: int
    """Time within which all members have received a change."""
    query_us: int
    """Maximum duration of the query that a forwarder without its state folder makes at a start."""


def parse_settings(table: ExtensionTable, config: Config) -> MembershipSettings:
    """Reads the table.

    Raises:
        ConfigError: a key is missing, unknown or invalid; the text names it.
    """
    allowed = (config.document.get("settings") or {}).get("allowed", {})
    if not allowed.get("may_tell"):
        raise ConfigError("parts: members: by settings.allowed.may_tell forwarders may not talk to each other")
    listen = table.address("listen")
    advertise = table.address("advertise") if "advertise" in table else listen
    cluster = table.value("cluster", None)
    if not isinstance(cluster, str) or not 0 < len(cluster) <= MAX_CLUSTER_NAME:
        raise table.error("cluster", f"is no name of 1 to {MAX_CLUSTER_NAME} characters: {cluster!r}")
    period_s = table.number("period_s", Timing().period_us / SECOND_US, 0.02, 60.0)
    timing = _parse_timing(table, period_s)
    seeds = table.value("seeds", [])
    divide_quota = table.boolean("divide", False)
    gossip_enabled = table.boolean("news", False)
    if gossip_enabled and not divide_quota:
        raise table.error("news", "needs divide = true: what others have seen is heeded by who is there")
    quota_times = _parse_quota_times(table, timing, period_s, config.settings.forwarders)
    settings = MembershipSettings(
        listen=listen,
        advertise=advertise,
        cluster=cluster,
        seeds=Path(seeds) if isinstance(seeds, str) else _parse_addresses(table, seeds),
        key_file=Path(str(table.value("key_file", None))),
        timing=timing,
        divide_quota=divide_quota,
        settle_us=quota_times.settle_us,
        believe_us=quota_times.believe_us,
        detect_us=quota_times.detect_us,
        gossip_enabled=gossip_enabled,
        notify_us=quota_times.notify_us,
        query_us=int(table.number("ask_s", 5 * period_s, period_s, 60.0) * SECOND_US),
    )
    load_keys(settings.key_file)
    load_seeds(settings)
    return settings


def _parse_timing(table: ExtensionTable, period_s: float) -> Timing:
    base = Timing()
    sync_s = max(base.sync_interval_us / SECOND_US, period_s)
    stall_s = max(base.stall_us / SECOND_US, 4 * period_s)
    return replace(
        base,
        period_us=int(period_s * SECOND_US),
        probe_timeout_us=int(table.number("probe_s", 0.5 * period_s, 0.005, period_s) * SECOND_US),
        indirect_probes=table.integer("helpers", base.indirect_probes, 0, 20),
        suspicion_factor=table.number("suspicion", base.suspicion_factor, 0.1, 100.0),
        max_suspicion_factor=table.number("suspicion_top", base.max_suspicion_factor, 1.0, 100.0),
        confirmations=table.integer("confirmations", base.confirmations, 0, 20),
        retransmit_factor=table.number("retell", base.retransmit_factor, 1.0, 20.0),
        sync_interval_us=int(table.number("exchange_s", sync_s, period_s, 3600.0) * SECOND_US),
        stall_us=int(table.number("stall_s", stall_s, period_s, 600.0) * SECOND_US),
    )


class _QuotaTimes(NamedTuple):
    """Times of the quota rules, in microseconds; described in MembershipSettings."""

    settle_us: int
    believe_us: int
    detect_us: int
    notify_us: int


def _parse_quota_times(table: ExtensionTable, timing: Timing, period_s: float, forwarders: int) -> _QuotaTimes:
    suspicion_periods = timing.suspicion_factor * timing.max_suspicion_factor
    detect_s = period_s * (2 + suspicion_periods * max(MIN_LOG_SIZE, math.log10(forwarders)))
    notify_s = table.number("told_s", period_s * 2 * math.log2(forwarders + 1), period_s, 3600.0)
    # With the default, a lease from before a restart lasts until this forwarder has been detected, has learned of all
    # members, and all members have learned of it.
    settle_s = table.number("settle_s", 3 * detect_s + notify_s, detect_s, 3600.0)
    if notify_s > settle_s:
        raise table.error("told_s", f"is {notify_s}, more than settle_s, {settle_s}")
    believe_s = table.number("believe_s", 10 * settle_s, settle_s, 86400.0)
    return _QuotaTimes(
        settle_us=int(settle_s * SECOND_US),
        believe_us=int(believe_s * SECOND_US),
        detect_us=int(detect_s * SECOND_US),
        notify_us=int(notify_s * SECOND_US),
    )


def _parse_addresses(table: ExtensionTable, value: object) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise table.error("seeds", f"is no list and no file: {value!r}")
    try:
        return tuple(parse_address(text) for text in value)
    except MalformedInputError as error:
        raise table.error("seeds", f"has what is {error}") from None


def load_seeds(settings: MembershipSettings) -> list[SocketAddress]:
    """Returns the seeds, from their file if there is one.

    Raises:
        ConfigError: the file cannot be read, or contains an invalid address.
    """
    if not isinstance(settings.seeds, Path):
        return [(seed.host, seed.port) for seed in settings.seeds]
    try:
        lines = settings.seeds.read_text().splitlines()
        seeds = [parse_address(line.strip()) for line in lines if line.strip()]
    except (OSError, MalformedInputError) as error:
        raise ConfigError(f"parts: members.seeds: {error}") from None
    return [(seed.host, seed.port) for seed in seeds]


def load_keys(path: Path) -> list[bytes]:
    """Returns the keys in a file, one per line in hexadecimal.

    The first key seals datagrams. Both keys open them, so that keys can be rotated.

    Raises:
        ConfigError: the file cannot be read, does not contain one or two keys, or a key has an invalid length.
    """
    try:
        keys = [bytes.fromhex(line) for line in path.read_text().split()]
    except (OSError, ValueError) as error:
        raise ConfigError(f"parts: members.key_file: {error}") from None
    if not 1 <= len(keys) <= MAX_KEYS or any(not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
        raise ConfigError(f"parts: members.key_file: {path} has not one or two keys of {MIN_KEY_BYTES} to 64 bytes")
    return keys
