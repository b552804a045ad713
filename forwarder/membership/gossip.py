"""Connects the gossip store, which names endpoints, to the decisions, which number them. Makes no decision itself.

A forwarder whose state folder is new or was lost first queries the other members for their records, for a bounded time,
and makes no call to an endpoint until then. Endpoints that it had disabled before, according to the other members, are
disabled again.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator

from forwarder.decisions.actions import Action
from forwarder.decisions.events import EndpointDisabled
from forwarder.decisions.fleet_messages import (
    AnnounceEjection,
    AnnounceHolding,
    AnnounceRetryAfter,
    GossipReceived,
    Observation,
    PeersQueried,
)
from forwarder.decisions.fleet_quota import FleetQuota
from forwarder.decisions.gossip_extension import GossipExtension
from forwarder.decisions.slow_start_slots import SlowStartSlots
from forwarder.membership.gossip_store import (
    MAX_AGES_US,
    GossipRecord,
    GossipStore,
    RecordKey,
    RecordKind,
    rendezvous_order,
)
from forwarder.membership.protocol import MembershipProtocol
from forwarder.runtime.extension import ExtensionHost
from forwarder.storage.identity import StartKind
from forwarder.units import SECOND_US

REPEAT_INTERVAL_US = SECOND_US
"""Minimum time between two announcements of the same observation about an endpoint."""
HOLDING_RENEWAL_US = MAX_AGES_US[RecordKind.HOLDING] // 3
DISABLED_RENEWAL_US = 30 * SECOND_US
NOTIFY_INTERVAL_US = 50_000
"""Minimum time between two notifications of the decisions."""
EXPIRY_INTERVAL_US = 500_000
"""Interval at which expired records are dropped."""
MAX_RECORDS_SHOWN = 40
"""Maximum number of records in the answer to the admin command `NEWS`."""
ALL_ROUTES = -1
"""Endpoint number in a limit scope that covers a whole destination."""
log = logging.getLogger("forwarder.gossip")


class GossipBridge:
    """Passes this forwarder's observations to the protocol, and those of other members to the decisions."""

    def __init__(self, host: ExtensionHost, quota: FleetQuota, notify_us: int, query_us: int) -> None:
        """Creates the bridge and registers its extension of the decisions.

        Args:
            host: gives access to the rest of the forwarder.
            quota: passed on to the decisions.
            notify_us: time within which all members have received a change, in microseconds.
            query_us: maximum duration of the query at a start, in microseconds.
        """
        self._host = host
        self._query_us = query_us
        name, settings = host.config.name, host.config.settings
        self.store = GossipStore(
            name,
            max_ages_us=dict(MAX_AGES_US)
            | dict.fromkeys((RecordKind.EJECTED, RecordKind.RECOVERING, RecordKind.SERVING), settings.slow_start_us)
            | {RecordKind.RETRY_AFTER: max(SECOND_US, settings.max_retry_after_us)},
        )
        slots = SlowStartSlots(name, notify_us, self._slot_order)
        self.decisions = GossipExtension(host.dispatcher, quota, slots)
        host.dispatcher.extensions.append(self.decisions)
        self._protocol: MembershipProtocol | None = None
        self._folder_was_lost = host.start_kind is not StartKind.RESTART
        self._is_querying = True
        self._disabled_announced: dict[str, int] = {}
        self._holding_announced: frozenset[str] = frozenset()
        self._retry_after_announced: dict[str, int] = {}
        self._retry_after_known: dict[RecordKey, int] = {}
        self._holding_renewed_us = 0
        self._disabled_renewed_us = 0
        self._expired_at_us = 0
        self._notified_at_us = 0
        self._notified_version = -1
        self._announced: Counter[str] = Counter()
        if self._folder_was_lost:
            self._hold_back_calls()

    def _hold_back_calls(self) -> None:
        """Holds back all calls until the other members have answered or the query has timed out."""
        self._host.dispatcher.peers_queried_until_us = self._host.clock() + self._query_us

    def _slot_order(self, endpoint: int, names: frozenset[str]) -> list[str]:
        """Returns the given members and this forwarder in the order of their slow-start slots for an endpoint."""
        subject = self._host.endpoint_table.names.get(endpoint, "")
        return rendezvous_order(subject, names | {self._host.config.name})

    def open(self, protocol: MembershipProtocol, now_us: int) -> None:
        """Attaches the gossip store to the protocol and starts the query. `now_us` is the protocol's time."""
        self._protocol = protocol
        protocol.state.gossip_store = self.store
        protocol.start_query(now_us, self._query_us)
        if self._folder_was_lost:
            self._hold_back_calls()

    # Observations of this forwarder

    def _announce(
        self,
        now_us: int,
        kind: RecordKind,
        subject: str,
        value_us: int = 0,
        lasted_us: int = 0,
        *,
        urgent: bool = False,
    ) -> None:
        assert self._protocol is not None
        self._announced[kind.value] += 1
        self._protocol.announce(now_us, kind, subject, value_us, lasted_us, urgent=urgent)

    def apply_actions(self, now_us: int, actions: Iterable[Action]) -> None:
        """Announces to the other members what a round has observed."""
        names = self._host.endpoint_table.names
        for action in actions:
            match action:
                case AnnounceEjection() if action.endpoint in names:
                    self._announce_ejection(now_us, names[action.endpoint], action)
                case AnnounceRetryAfter():
                    self._announce_retry_after(now_us, action)
                case AnnounceHolding():
                    holding = frozenset(names[endpoint] for endpoint in action.endpoints if endpoint in names)
                    self._announce_holding(now_us, holding)
        if self._host.store.disabled_endpoints != self._disabled_announced:
            self._announce_disabled(now_us)

    def _announce_ejection(self, now_us: int, name: str, action: AnnounceEjection) -> None:
        if action.recovering_since_us < 0:
            kind = RecordKind.EJECTED
        elif action.ejected_at_us >= 0:
            kind = RecordKind.RECOVERING
        else:
            kind = RecordKind.SERVING
        if self.store.has_recent(now_us, kind, name, REPEAT_INTERVAL_US):
            return
        clock_us = self._host.clock()
        urgent = not self.store.has_recent(now_us, kind, name, self.store.max_ages_us[kind])
        if kind is RecordKind.EJECTED:
            self._announce(now_us, kind, name, clock_us - action.ejected_at_us, urgent=urgent)
            return
        lasted_us = action.recovering_since_us - action.ejected_at_us if kind is RecordKind.RECOVERING else 0
        self._announce(now_us, kind, name, clock_us - action.recovering_since_us, lasted_us, urgent=urgent)

    def _announce_retry_after(self, now_us: int, action: AnnounceRetryAfter) -> None:
        destination, endpoint = action.limit_scope
        subject = str(destination)
        if endpoint != ALL_ROUTES:
            name = self._host.endpoint_table.names.get(endpoint)
            if name is None:
                return
            subject = f"{destination} {name}"
        if action.until_us > self._retry_after_announced.get(subject, 0):
            self._retry_after_announced[subject] = action.until_us
            self._announce(now_us, RecordKind.RETRY_AFTER, subject, action.until_us - self._host.clock())

    def _announce_holding(self, now_us: int, holding: frozenset[str]) -> None:
        for name in sorted(holding - self._holding_announced):
            self._announce(now_us, RecordKind.HOLDING, name, urgent=True)
        for name in sorted(self._holding_announced - holding):
            self._announce(now_us, RecordKind.NOT_HOLDING, name)
        self._holding_announced = holding

    def _announce_disabled(self, now_us: int, *, renew: bool = False) -> None:
        """Announces changes of the disabled endpoints, and with `renew` all of them.

        The renewal lets a forwarder that loses its state folder get them back from the other members.
        """
        disabled, clock_us = dict(self._host.store.disabled_endpoints), self._host.clock()
        for name, since_us in sorted(disabled.items()):
            if renew or self._disabled_announced.get(name) != since_us:
                self._announce(now_us, RecordKind.DISABLED, name, clock_us - since_us, urgent=not renew)
        for name in sorted(self._disabled_announced.keys() - disabled.keys()):
            self._announce(now_us, RecordKind.ENABLED, name, urgent=True)
        self._disabled_announced = disabled
        self._disabled_renewed_us = now_us

    # Observations of other members

    def step(self, now_us: int) -> None:
        """Renews announcements that still hold, and notifies the decisions of new records."""
        assert self._protocol is not None
        if self._is_querying and not self._protocol.query.is_running:
            self._on_query_done(now_us)
        if now_us - self._expired_at_us >= EXPIRY_INTERVAL_US:
            self._expired_at_us = now_us
            self.store.drop_expired(now_us)
        if now_us - self._holding_renewed_us >= HOLDING_RENEWAL_US:
            self._holding_renewed_us = now_us
            for name in sorted(self._holding_announced):
                self._announce(now_us, RecordKind.HOLDING, name)
        if now_us - self._disabled_renewed_us >= DISABLED_RENEWAL_US:
            self._announce_disabled(now_us, renew=True)
        if self._notified_version != self.store.version and now_us - self._notified_at_us >= NOTIFY_INTERVAL_US:
            self._notified_at_us = now_us
            self._notify(now_us)

    def _notify(self, now_us: int) -> None:
        self._notified_version = self.store.version
        self._host.post(self._gossip_received(now_us))

    def _on_query_done(self, now_us: int) -> None:
        """Applies the answers to the query, which has ended or timed out, and allows calls again."""
        assert self._protocol is not None
        self._is_querying = False
        if not self._folder_was_lost:
            return
        answers = len(self._protocol.query.answered)
        restored = self._restore_disabled(now_us)
        log.warning(
            "the state folder is new or was lost: %s; %d disabled endpoints restored, %d gossip records known",
            f"{answers} other members sent their gossip records"
            if answers
            else "no other member sent its gossip records in time, continuing without them",
            restored,
            len(self.store.records),
        )
        if self._notified_version != self.store.version:
            self._notify(now_us)
        self._host.post(PeersQueried())

    def _restore_disabled(self, now_us: int) -> int:
        """Disables again the endpoints that it had disabled according to other members. Returns their number."""
        host, restored = self._host, 0
        for record in self.store.own_former(now_us, RecordKind.DISABLED):
            if record.subject in host.store.disabled_endpoints:
                continue
            since_us = host.clock() - (now_us - record.observed_at_us) - record.value_us
            host.store.disable_endpoint(record.subject, since_us)
            host.apply_command(EndpointDisabled(host.endpoint_number(record.subject), since_us))
            log.warning("endpoint %s is disabled again, as other members have a record of it", record.subject)
            restored += 1
        return restored

    def _gossip_received(self, now_us: int) -> GossipReceived:
        """Returns all unexpired observations of other members, with the decisions' endpoint numbers and times."""
        numbers = self._host.endpoint_table.numbers
        offset_us = self._host.clock() - now_us
        observations: dict[int, list[Observation]] = {}
        kinds = (RecordKind.EJECTED, RecordKind.RECOVERING, RecordKind.SERVING)
        for record in self.store.from_others(now_us, *kinds):
            if record.subject in numbers:
                endpoint_observations = observations.setdefault(numbers[record.subject], [])
                endpoint_observations.append(to_observation(record, offset_us))
        holders: dict[int, set[str]] = {}
        present = set() if self._protocol is None else set(self._protocol.view.present())
        for record in self.store.from_others(now_us, RecordKind.HOLDING):
            if record.subject in numbers and record.observer in present:
                holders.setdefault(numbers[record.subject], set()).add(record.observer)
        return GossipReceived(
            {endpoint: tuple(observed) for endpoint, observed in sorted(observations.items())},
            tuple(self._new_retry_afters(now_us, offset_us)),
            {endpoint: frozenset(names) for endpoint, names in holders.items()},
        )

    def _new_retry_afters(self, now_us: int, offset_us: int) -> Iterator[tuple[tuple[int, int], int]]:
        """Yields limit scope and end of each Retry-After that has not been passed to the decisions yet."""
        numbers = self._host.endpoint_table.numbers
        records = self.store.from_others(now_us, RecordKind.RETRY_AFTER)
        known = {record.key: record.number for record in records}
        for record in records:
            if self._retry_after_known.get(record.key) == record.number:
                continue
            destination, _, name = record.subject.partition(" ")
            if destination.isdecimal() and (not name or name in numbers):
                endpoint = numbers[name] if name else ALL_ROUTES
                yield (int(destination), endpoint), record.observed_at_us + record.value_us + offset_us
        self._retry_after_known = known

    # Descriptions for operators

    def describe_state(self) -> str:
        """Returns a short description of the state, for the log."""
        announced = _format_counts(self._announced) or "nothing"
        dropped = _format_counts(self.store.counts)
        text = (
            f"news: {len(self.store.records)} facts, said {announced}; "
            f"{len(self.decisions.ejected_by_gossip)} targets by others' word"
        )
        return f"{text}; dropped {dropped}" if dropped else text

    def describe_records(self, now_us: int) -> str:
        """Returns the answer to `NEWS`: the observer, endpoint, observation and age of each record."""
        names = self._host.endpoint_table.names
        records = [record for _, record in sorted(self.store.records.items())]
        by_gossip = sorted(names.get(endpoint, "?") for endpoint in self.decisions.ejected_by_gossip)
        head = f"{len(records)} facts; by others' word: {', '.join(by_gossip) or 'nothing'}"
        return "; ".join([head, *(describe_record(record, now_us) for record in records[:MAX_RECORDS_SHOWN])])


def describe_record(record: GossipRecord, now_us: int) -> str:
    """Returns one record as text."""
    age_us = now_us - record.observed_at_us
    text = f"{record.observer}: {record.subject} {record.kind.value}, {age_us / SECOND_US:.1f} s old"
    if record.kind is RecordKind.RETRY_AFTER:
        return text
    return f"{text}, for {(age_us + record.value_us) / SECOND_US:.1f} s"


def to_observation(record: GossipRecord, offset_us: int) -> Observation:
    """Returns the observation in a record, in the decisions' time, which is the protocol's time plus the offset."""
    began_us = record.observed_at_us - record.value_us + offset_us
    if record.kind is RecordKind.EJECTED:
        return Observation(record.observer, began_us)
    ejected_at_us = began_us - record.lasted_us if record.kind is RecordKind.RECOVERING else -1
    return Observation(record.observer, ejected_at_us, began_us)


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
