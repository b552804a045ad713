"""Tests of forwarder.decisions.load_shedding, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.actions import (
    RejectMessage,
)
from forwarder.decisions.events import (
    EndpointEntry,
)
from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, finals, sends, started


def test_message_without_enough_time_is_rejected_unsent_with_a_retry_after() -> None:
    dispatcher = started(ONE_ENDPOINT)
    first = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(10 * MS, [end(first, Outcome.REJECTED, retry_after_us=3 * S)])
    actions = dispatcher.handle(20 * MS, [ask("b", due=150 * MS)])
    assert finals(actions) == [RejectMessage("b", 2990 * MS)]


def test_load_is_shed_from_the_destination_with_the_most_held_messages() -> None:
    """A single destination that does not keep up must not cause messages of other destinations to be rejected."""
    dispatcher = started(max_open_messages=20)
    dispatcher.handle(0, [ask(f"a{n}", due=6 * S) for n in range(15)] + [ask("b", 12)])
    actions = dispatcher.handle(MS, [ask("c", 12), ask("d", 12), ask("e", 12)])
    ended = [action.message_id for action in finals(actions)]
    assert ended
    assert all(message_id.startswith("a") for message_id in ended)


def test_message_is_rejected_immediately_if_every_retry_after_outlasts_it() -> None:
    """Holding the message would block its key, and its client would be told to retry too late."""
    dispatcher = started(ONE_ENDPOINT, max_retry_after_us=3 * S)
    send = sends(dispatcher.handle(0, [ask("first", due=20 * S)]))[0]
    actions = dispatcher.handle(
        MS, [end(send, Outcome.REJECTED, retry_after_us=9 * S), ask("short"), ask("long", due=20 * S)]
    )
    assert finals(actions) == [RejectMessage("short", 3 * S)]
    assert [action.message_id for action in finals(dispatcher.handle(2 * MS, [ask("next")]))] == ["next"]
    with_two_endpoints = started((*ONE_ENDPOINT, EndpointEntry(9, 10, "south", "ways")))
    send = next(
        attempt for attempt in sends(with_two_endpoints.handle(0, [ask("a"), ask("b")])) if attempt.endpoint == 1
    )
    assert not finals(
        with_two_endpoints.handle(MS, [end(send, Outcome.REJECTED, retry_after_us=9 * S), ask("free")])
    ), "one endpoint has no Retry-After"
