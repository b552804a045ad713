"""Tests of forwarder.decisions.endpoint_table, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.actions import (
    RejectMessage,
)
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from tests.decisions.fleets import ONE_ENDPOINT, run_timers
from tests.scripts import MS, S, ask, sends, started


def test_draining_endpoint_gets_nothing_and_a_complete_empty_list_removes_all() -> None:
    dispatcher = started(ONE_ENDPOINT)
    dispatcher.handle(
        0, [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(1, 10, state=EndpointState.DRAINING),))]
    )
    assert not sends(dispatcher.handle(1, [ask("a", due=500 * MS)]))
    answered = [(t, a) for t, a in run_timers(dispatcher, 20 * MS, S) if isinstance(a, RejectMessage)]
    assert answered
    assert answered[0][0] <= 500 * MS
    dispatcher = started()
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.WHOLE, ())])
    assert not sends(dispatcher.handle(1, [ask("b"), ask("c", 11), ask("d", 12)]))
