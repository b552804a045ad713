"""Tests of forwarder.decisions.endpoint_table, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    RejectMessage,
)
from forwarder.decisions.endpoint_table import MAX_ENDPOINTS
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from forwarder.decisions.hold_reason import HoldReason
from tests.decisions.builders import DESTINATION, make_context, make_endpoint_table
from tests.decisions.fleets import ONE_ENDPOINT, run_timers
from tests.scripts import MS, S, ask, sends, started


def test_a_draining_endpoint_receives_nothing_and_an_empty_complete_list_removes_all() -> None:
    dispatcher = started(ONE_ENDPOINT)
    dispatcher.handle(
        0, [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(1, 10, state=EndpointState.DRAINING),))]
    )
    assert not sends(dispatcher.handle(1, [ask("a", due=500 * MS)]))
    rejections = [
        (now_us, action) for now_us, action in run_timers(dispatcher, 20 * MS, S) if isinstance(action, RejectMessage)
    ]
    assert rejections
    assert rejections[0][0] <= 500 * MS
    dispatcher = started()
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.WHOLE, ())])
    assert not sends(dispatcher.handle(1, [ask("b"), ask("c", 11), ask("d", 12)]))


def test_each_separate_route_has_its_own_limit_scope() -> None:
    entries = [EndpointEntry(number, DESTINATION, kind=kind) for number, kind in enumerate(("plain", "plain", "ways"))]
    table = make_endpoint_table(make_context(), *entries)

    assert set(table.limit_scopes) == {(DESTINATION, -1), (DESTINATION, 2)}
    assert table.endpoints[0].limit_scope is table.endpoints[1].limit_scope


def test_a_disabled_endpoint_is_known_but_not_called() -> None:
    table = make_endpoint_table(make_context())

    table.disable(1, 5)

    assert table.by_destination == {}
    assert table.unavailable_reason(DESTINATION) is HoldReason.DISABLED


@pytest.mark.parametrize(
    ("state", "reason"), [(EndpointState.DRAINING, HoldReason.DRAINING), (None, HoldReason.UNLISTED)]
)
def test_the_reason_for_an_unavailable_destination_is_returned(state: EndpointState | None, reason: HoldReason) -> None:
    table = make_endpoint_table(make_context())
    if state is None:
        table.endpoints.clear()
    entries = () if state is None else (EndpointEntry(1, DESTINATION, state=state),)

    table.apply_list(EndpointListReceived(EndpointListKind.WHOLE, entries))

    assert table.unavailable_reason(DESTINATION) is reason


def test_endpoints_that_left_the_list_are_removed_above_the_maximum() -> None:
    table = make_endpoint_table(make_context(), *(EndpointEntry(n, DESTINATION) for n in range(MAX_ENDPOINTS)))
    in_use = table.endpoints[0]
    in_use.in_flight = 1

    table.apply_list(EndpointListReceived(EndpointListKind.WHOLE, (EndpointEntry(MAX_ENDPOINTS, DESTINATION),)))

    assert len(table.endpoints) == MAX_ENDPOINTS
    assert {0, MAX_ENDPOINTS} <= table.endpoints.keys()
    assert 1 not in table.endpoints
