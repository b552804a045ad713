"""Startup: turns the state of the journal and of the previous process into events for the first round."""

from __future__ import annotations

import logging
from collections.abc import Container, Iterator

from forwarder.config.config import EndpointList, parse_endpoint
from forwarder.decisions.events import (
    EjectionRecovered,
    EndpointDisabled,
    EndpointListAwaited,
    EndpointListKind,
    EndpointListReceived,
    Event,
    HandoverReceived,
    KeyBackoffRecovered,
    MessageRecovered,
    PendingNoticeRecovered,
)
from forwarder.discovery.endpoint_list_watch import FIRST_LIST_TIMEOUT_US
from forwarder.runtime.context import Runtime
from forwarder.runtime.handover_format import HandoverDescription
from forwarder.storage.messages import may_resend_after_loss
from forwarder.storage.store import MessageStore

NO_LIST_VERSION = -1
log = logging.getLogger("forwarder.engine")


def recover_state(runtime: Runtime) -> int:
    """Posts the recovered state to the first round.

    Returns:
        The version of the newest endpoint list, or `NO_LIST_VERSION` if there is none.
    """
    store = runtime.store
    events = runtime.loop.events
    description = HandoverDescription() if runtime.handover is None else runtime.handover.description
    saved_list = _newest_list(runtime)
    _recover_endpoints(runtime, saved_list)
    fail_doubtful_messages(store)
    in_progress = {(item.message_id, item.number) for call in description.pool.calls for item in call.attempts}
    events += _recovered_messages(runtime, in_progress)
    events += [
        PendingNoticeRecovered(message_id, notice.key)
        for message_id, notice in store.pending_notices.items()
        if notice.key is not None
    ]
    now_us = runtime.clock()
    events += [KeyBackoffRecovered(key, until_us) for key, until_us in store.key_backoffs.items() if until_us > now_us]
    if store.messages or store.pending_notices:
        log.info("recovered: held=%d pending_notices=%d", len(store.messages), len(store.pending_notices))
    if description.learned_state is not None:
        events.append(HandoverReceived(description.learned_state))
    return saved_list.version if saved_list.endpoints else NO_LIST_VERSION


def _recover_endpoints(runtime: Runtime, saved_list: EndpointList) -> None:
    """Applies the saved list, and posts it with the disabled and the ejected endpoints."""
    store = runtime.store
    events = runtime.loop.events
    store.record_known_endpoints(endpoint.name for endpoint in saved_list.endpoints)
    runtime.apply_endpoint_list(saved_list)
    for name, since_us in store.disabled_endpoints.items():
        events.append(EndpointDisabled(runtime.endpoint_number(name), since_us))
    entries = runtime.endpoint_table.entries(saved_list.endpoints, store.disabled_endpoints)
    events.append(EndpointListReceived(EndpointListKind.SAVED, entries))
    if runtime.handover is None:
        events.append(EndpointListAwaited(runtime.clock() + FIRST_LIST_TIMEOUT_US))
    for name, (ejected_at_us, recovering_since_us) in store.ejections.items():
        if name in runtime.endpoint_table.numbers:
            events.append(EjectionRecovered(runtime.endpoint_table.numbers[name], ejected_at_us, recovering_since_us))


def _newest_list(runtime: Runtime) -> EndpointList:
    """Returns the newer of the journal's and the configuration's list: an older one may lack drains."""
    configured = runtime.config.initial_list
    store = runtime.store
    if store.endpoint_list_version < configured.version:
        return configured
    return EndpointList(
        store.endpoint_list_version, True, tuple(parse_endpoint(raw) for raw in store.endpoints.values())
    )


def fail_doubtful_messages(store: MessageStore) -> None:
    """After damage to the journal, fails the messages that may have ended already and may not be sent again.

    Each gets a notice, and so does a message of which only the id is known.
    """
    doubtful = [
        message
        for message in store.messages.values()
        if message.is_doubtful and not may_resend_after_loss(message.message_class)
    ]
    for message in doubtful:
        store.add_pending_notice(message.id, "failed", 0)
    for message_id in store.orphaned_ids:
        store.add_orphan_notice(message_id, "failed")


def _recovered_messages(runtime: Runtime, in_progress: Container[tuple[str, int]]) -> Iterator[Event]:
    """Yields an event for each held message, and records that the outcome of its lost attempts is unknown."""
    for message in runtime.store.messages.values():
        lost = [number for number in message.in_flight if (message.id, number) not in in_progress]
        for number in lost:
            runtime.store.record_outcome(message, number, True)  # it may have run
        yield MessageRecovered(
            message.id,
            message.destination,
            message.message_class,
            message.due_us,
            message.key,
            message.tenant,
            message.attempts,
            message.maybe_ran_at_us,
            runtime.endpoint_number(message.maybe_ran_on) if message.maybe_ran_on else -1,
            bool(lost),
            message.local_failure_count,
        )
