"""Tests of forwarder.decisions.idle_connections, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    Action,
    CloseIdleConnections,
    LogLine,
    SendAttempt,
)
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    MessageWithdrawn,
    TimerFired,
)
from forwarder.decisions.idle_connections import MIN_TRUSTED_IDLE_US, IdleConnections
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Call
from tests.decisions.builders import make_context, make_endpoint
from tests.decisions.fleets import ONE_WEIGHTED_ENDPOINT, fleet
from tests.scripts import MS, S, ask, end, sends


@pytest.mark.parametrize(("forwarders", "refusals", "is_closed"), [(2, 3, False), (60, 0, False), (60, 3, True)])
def test_idle_connections_are_kept_for_as_long_as_the_endpoint_accepts_them(
    forwarders: int, refusals: int, is_closed: bool
) -> None:
    """The idle connections of a large fleet can reach the connection limit of an endpoint.

    Without idle connections, on the other hand, each call costs a handshake.
    """
    dispatcher = fleet(forwarders, idle_timeout_us=5 * S)[0]
    now_us = 0

    def first_send(actions: list[Action]) -> SendAttempt:
        nonlocal now_us
        while not sends(actions):
            now_us += 10 * MS
            actions = dispatcher.handle(now_us, [TimerFired("look")])
        return sends(actions)[0]

    for n in range(refusals):
        now_us += 20 * S
        send = first_send(dispatcher.handle(now_us, [ask(f"m{n}", due=now_us + 60 * S)]))
        send = first_send(dispatcher.handle(now_us, [end(send, Outcome.NO_CONNECTION, 0)]))
        dispatcher.handle(now_us, [end(send, Outcome.DELIVERED, 1)])
    for name, pause_us in (("a", 20 * S), ("b", 3 * S)):
        now_us += pause_us
        send = first_send(dispatcher.handle(now_us, [ask(name, due=now_us + 60 * S)]))
        actions = dispatcher.handle(now_us, [end(send, Outcome.DELIVERED)])
    assert (CloseIdleConnections(1) in actions) is is_closed


def test_the_end_of_an_outage_does_not_shorten_the_trusted_idle_time() -> None:
    """Several refused connections in a row mean an outage, not a connection limit."""
    dispatcher = fleet(60, idle_timeout_us=5 * S)[0]
    now_us = 0
    actions = dispatcher.handle(now_us, [ask("a", due=200 * S)])
    for attempt, outcome in enumerate([Outcome.NO_CONNECTION] * 4 + [Outcome.DELIVERED]):
        while not sends(actions):
            now_us += 10 * MS
            actions = dispatcher.handle(now_us, [TimerFired("look")])
        actions = dispatcher.handle(now_us, [end(sends(actions)[0], outcome, attempt)])
    send = sends(dispatcher.handle(now_us + 20 * S, [ask("b", due=200 * S)]))[0]
    dispatcher.handle(now_us + 20 * S, [end(send, Outcome.DELIVERED)])
    send = sends(dispatcher.handle(now_us + 23 * S, [ask("c", due=200 * S)]))[0]
    assert CloseIdleConnections(1) not in dispatcher.handle(now_us + 23 * S, [end(send, Outcome.DELIVERED)])


def test_an_unreachable_endpoint_does_not_close_the_connections_to_others() -> None:
    dispatcher = fleet(60, idle_timeout_us=5 * S)[0]
    dispatcher.handle(
        0,
        [
            EndpointListReceived(
                EndpointListKind.WHOLE, (*ONE_WEIGHTED_ENDPOINT, EndpointEntry(2, 11, "north", "plain", weight=10.0))
            )
        ],
    )
    for n in range(6):
        sent = sends(dispatcher.handle(n * 3 * S, [ask(f"m{n}", 11, due=60 * S)]))
        for send in sent:
            dispatcher.handle(n * 3 * S + 10 * MS, [end(send, Outcome.NO_CONNECTION, 0)])
        dispatcher.handle(n * 3 * S + 20 * MS, [MessageWithdrawn(f"m{n}")])
    send = sends(dispatcher.handle(20 * S, [ask("a", due=60 * S)]))[0]
    dispatcher.handle(20100 * MS, [end(send, Outcome.DELIVERED)])
    send = sends(dispatcher.handle(23 * S, [ask("b", due=60 * S)]))[0]
    assert CloseIdleConnections(1) not in dispatcher.handle(23100 * MS, [end(send, Outcome.DELIVERED)])


def test_a_lost_idle_connection_does_not_eject_the_endpoint_and_is_not_reused() -> None:
    dispatcher = fleet(2, idle_timeout_us=5 * S)[0]
    send = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(100 * MS, [end(send, Outcome.DELIVERED)])
    send = sends(dispatcher.handle(2 * S, [ask("b", due=9 * S)]))[0]
    actions_after_reset = dispatcher.handle(2100 * MS, [end(send, Outcome.RESET)])
    assert not [a for a in actions_after_reset if isinstance(a, LogLine)]
    dispatcher.handle(2200 * MS, [end(sends(actions_after_reset)[0], Outcome.DELIVERED, attempt=1)])
    actions = dispatcher.handle(4 * S, [ask("c", due=9 * S)])
    assert actions.index(CloseIdleConnections(1)) < actions.index(sends(actions)[0])


def make_idle_connections(idle_timeout_us: int = 5 * S, forwarders: int = 2) -> IdleConnections:
    context = make_context(idle_timeout_us=idle_timeout_us, forwarders=forwarders)
    idle_connections = IdleConnections(context)
    idle_connections.apply_settings(context.settings)
    idle_connections.trust_longest()
    return idle_connections


@pytest.mark.parametrize(
    ("outcome", "is_lost"), [(Outcome.RESET, True), (Outcome.TIMED_OUT, True), (Outcome.FAILED, False)]
)
def test_a_call_that_fails_on_an_idle_connection_shortens_the_trusted_time(outcome: Outcome, is_lost: bool) -> None:
    idle_connections = make_idle_connections()
    call = Call(make_endpoint(), 0, connection_idle_us=2 * S)

    assert idle_connections.was_lost(call, outcome) is is_lost
    assert idle_connections.trusted_us == (S if is_lost else 5 * S)


def test_a_success_after_a_single_refused_connection_halves_the_trusted_time_of_a_large_fleet() -> None:
    idle_connections = make_idle_connections(forwarders=40)
    endpoint = make_endpoint()
    endpoint.connect_failures = 1
    for _ in range(20):
        idle_connections.call_succeeded(endpoint)

    assert idle_connections.trusted_us == MIN_TRUSTED_IDLE_US


@pytest.mark.parametrize(("idle_us", "is_closed"), [(5 * S, False), (5 * S + 1, True)])
def test_connections_are_closed_when_they_are_idle_for_longer_than_trusted(idle_us: int, is_closed: bool) -> None:
    idle_connections = make_idle_connections()

    idle_connections.close_untrusted(make_endpoint(), idle_us)

    assert idle_connections.context.actions == ([CloseIdleConnections(1)] if is_closed else [])


def test_no_connection_is_closed_if_none_are_kept() -> None:
    idle_connections = make_idle_connections(idle_timeout_us=0)

    idle_connections.close_untrusted(make_endpoint(), 100 * S)

    assert idle_connections.context.actions == []
