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
    """A single destination that does not keep up must not cost the others their messages."""
    dispatcher = started(max_open_messages=20)
    dispatcher.handle(0, [ask(f"a{n}", due=6 * S) for n in range(15)] + [ask("b", 12)])
    actions = dispatcher.handle(MS, [ask("c", 12), ask("d", 12), ask("e", 12)])
    refused = [a.message_id for a in finals(actions)]
    assert refused
    assert all(name.startswith("a") for name in refused)


def test_message_is_rejected_at_once_if_every_retry_after_outlasts_it() -> None:
    """It would block its key, and its client would learn too late that it may come back."""
    dispatcher = started(ONE_ENDPOINT, max_retry_after_us=3 * S)
    send = sends(dispatcher.handle(0, [ask("first", due=20 * S)]))[0]
    actions = dispatcher.handle(
        MS, [end(send, Outcome.REJECTED, retry_after_us=9 * S), ask("short"), ask("long", due=20 * S)]
    )
    assert finals(actions) == [RejectMessage("short", 3 * S)]
    assert [a.message_id for a in finals(dispatcher.handle(2 * MS, [ask("next")]))] == ["next"]
    both = started((*ONE_ENDPOINT, EndpointEntry(9, 10, "south", "ways")))
    send = next(s for s in sends(both.handle(0, [ask("a"), ask("b")])) if s.endpoint == 1)
    assert not finals(both.handle(MS, [end(send, Outcome.REJECTED, retry_after_us=9 * S), ask("free")])), (
        "one endpoint is open"
    )
