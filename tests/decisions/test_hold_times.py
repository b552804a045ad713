"""Tests of forwarder.decisions.hold_times: hold times are complete and attributed to the right reason."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.decisions.actions import RejectMessage, SendAttempt
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    LoadReport,
    TimerFired,
)
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.hold_times import MAX_HOLD_TIME_ROWS, OTHER_DESTINATIONS
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Message
from forwarder.decisions.settings import Settings
from tests.decisions.random_script import Script
from tests.scripts import ENTRIES, MS, S, ask, end, sends, settings, started


class HoldTimeScript(Script):
    """Sums up how long each message was held, independently of the dispatcher."""

    def __init__(self, dispatcher: Dispatcher, script_settings: Settings, seed: int) -> None:
        self.held: dict[str, Message] = {}
        self.held_for_us: dict[str, int] = {}
        self.last_step_us = 0
        super().__init__(dispatcher, script_settings, seed)

    def step(self, events: list[Event]) -> None:
        held_before = self.held
        elapsed_us = self.now_us - self.last_step_us
        super().step(events)
        self.last_step_us = self.now_us
        for message_id in held_before:
            self.held_for_us[message_id] = self.held_for_us.get(message_id, 0) + elapsed_us
        by_destination = self.dispatcher.held.by_destination
        self.held = {message.id: message for held in by_destination.values() for message in held.values()}
        for message in (held_before | self.held).values():
            self.check(message)

    def check(self, message: Message) -> None:
        current_us = 0 if message.hold_reason is None else self.now_us - message.held_since_us
        assert sum(message.hold_times_us.values()) + current_us == self.held_for_us.get(message.id, 0), message


@profile(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([2, 40]))
def test_hold_times_are_the_time_held_to_the_microsecond(seed: int, forwarders: int) -> None:
    known = settings(forwarders=forwarders, notices_acknowledged=False)
    script = HoldTimeScript(Dispatcher(known, seed, 0), known, seed)
    script.run(500)
    assert sum(script.held_for_us.values()) > 0
    assert sum(us for _, us in script.dispatcher.hold_times.totals()) == sum(script.held_for_us.values())


def send_one(
    dispatcher: Dispatcher, message_id: str, now_us: int = 0, cls: str = "safe", **event_fields: object
) -> SendAttempt:
    [send] = sends(dispatcher.handle(now_us, [ask(message_id, cls=cls, due=now_us + 60 * S, **event_fields)]))
    return send


def start_with_one_endpoint() -> Dispatcher:
    """Returns a dispatcher with a single endpoint."""
    return started((EndpointEntry(1, 10, "north", "plain", weight=10.0),), weights_reported=True)


def reject_with_retry_after(dispatcher: Dispatcher) -> None:
    dispatcher.handle(MS, [end(send_one(dispatcher, "x"), Outcome.REJECTED, retry_after_us=3 * S)])


def reject(dispatcher: Dispatcher) -> None:
    dispatcher.handle(MS, [end(send_one(dispatcher, "x"), Outcome.REJECTED)])


def use_up_rate_limit(dispatcher: Dispatcher) -> None:
    dispatcher.handle(MS, [end(send_one(dispatcher, "x"), Outcome.DELIVERED, report=LoadReport(0.1, 0.1))])
    dispatcher.handle(2 * MS, [end(send_one(dispatcher, "y", 2 * MS), Outcome.DELIVERED, report=LoadReport(0.1, 0.1))])


def eject(dispatcher: Dispatcher) -> None:
    for n in range(4):
        at_us = n * 3 * S
        dispatcher.handle(at_us + MS, [end(send_one(dispatcher, f"x{n}", at_us), Outcome.FAILED, closed=True)])


def recover(dispatcher: Dispatcher) -> None:
    eject(dispatcher)
    endpoint = dispatcher.endpoints[1]
    endpoint.recovering_since_us = dispatcher.now_us
    endpoint.last_call_at_us = dispatcher.now_us
    endpoint.error_rate = 0.0


def raise_error_rate(dispatcher: Dispatcher) -> None:
    dispatcher.endpoints[1].error_rate = 0.99


def fill_slots(dispatcher: Dispatcher) -> None:
    dispatcher.limit_scopes[(10, -1)].concurrency_window = 8.0
    for n in range(6):
        send_one(dispatcher, f"x{n}")


def slow_down(dispatcher: Dispatcher) -> None:
    scope = dispatcher.limit_scopes[(10, -1)]
    scope.concurrency_window = 6.0
    scope.expected_call_us = 1.5 * S
    scope.initial_call_us = 0.2 * S
    scope.learned_at_us = 0
    for n in range(4):
        send_one(dispatcher, f"x{n}")


def disable(dispatcher: Dispatcher) -> None:
    dispatcher.handle(0, [EndpointDisabled(1, 0)])


def drain(dispatcher: Dispatcher) -> None:
    dispatcher.handle(
        0, [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(1, 10, state=EndpointState.DRAINING),))]
    )


def remove_from_list(dispatcher: Dispatcher) -> None:
    dispatcher.endpoints.clear()
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.WHOLE, ())])


def send_with_key(dispatcher: Dispatcher) -> None:
    send_one(dispatcher, "x", cls="turns", key="k")
    dispatcher.limit_scopes[(10, -1)].concurrency_window = 8.0


def time_out_with_key(dispatcher: Dispatcher) -> None:
    send = send_one(dispatcher, "x", cls="turns", key="k")
    dispatcher.limit_scopes[(10, -1)].concurrency_window = 8.0
    dispatcher.handle(0, [end(send, Outcome.TIMED_OUT, took=1 * MS, closed=True)])


PREPARATIONS: dict[HoldReason, tuple[Callable[[Dispatcher], object], str]] = {
    HoldReason.RETRY_AFTER: (reject_with_retry_after, "safe"),
    HoldReason.BACKOFF: (reject, "safe"),
    HoldReason.QUOTA_PACE: (use_up_rate_limit, "safe"),
    HoldReason.CONCURRENCY_WINDOW: (lambda dispatcher: send_one(dispatcher, "x"), "safe"),
    HoldReason.DEGRADED_CAP: (slow_down, "safe"),
    HoldReason.SLOTS: (fill_slots, "safe"),
    HoldReason.EJECTED: (eject, "safe"),
    HoldReason.SLOW_START: (recover, "safe"),
    HoldReason.UNSAFE_RETRY: (raise_error_rate, "once"),
    HoldReason.KEY_ORDER: (send_with_key, "turns"),
    HoldReason.KEY_BACKOFF: (time_out_with_key, "turns"),
    HoldReason.DISABLED: (disable, "safe"),
    HoldReason.DRAINING: (drain, "safe"),
    HoldReason.UNLISTED: (remove_from_list, "safe"),
}


@pytest.mark.parametrize("reason", PREPARATIONS)
def test_each_reason_is_reported_if_it_alone_holds_a_message(reason: HoldReason) -> None:
    dispatcher = start_with_one_endpoint()
    prepare, cls = PREPARATIONS[reason]
    prepare(dispatcher)
    now_us = dispatcher.now_us
    assert not sends(dispatcher.handle(now_us, [ask("m", cls=cls, due=now_us + 8 * S, key="k")]))
    assert dispatcher.messages["m"].hold_reason is reason
    dispatcher.handle(now_us + 20 * MS, [TimerFired("look")])
    assert dispatcher.hold_times_of("m")[0] == (reason, 20 * MS)


def test_messages_are_held_as_starting_before_the_first_list() -> None:
    dispatcher = Dispatcher(settings(), 1, 0)
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ())])
    dispatcher.handle(0, [ask("m")])
    assert dispatcher.messages["m"].hold_reason is HoldReason.STARTING


def test_the_reason_that_ends_last_is_reported() -> None:
    dispatcher = start_with_one_endpoint()
    reject_with_retry_after(dispatcher)
    dispatcher.limit_scopes[(10, -1)].backoff_until_us = 5 * S
    dispatcher.handle(dispatcher.now_us, [ask("m", due=50 * S)])
    assert dispatcher.messages["m"].hold_reason is HoldReason.BACKOFF


def test_a_reason_that_ends_within_its_round_adds_no_hold_time() -> None:
    dispatcher = start_with_one_endpoint()
    dispatcher.handle(0, [EndpointDisabled(1, 0), ask("m"), EndpointEnabled(1)])
    assert HoldReason.DISABLED not in dict(dispatcher.hold_times.totals())


def test_a_rejection_includes_its_hold_reason() -> None:
    dispatcher = start_with_one_endpoint()
    reject_with_retry_after(dispatcher)
    dispatcher.handle(dispatcher.now_us, [ask("m", due=dispatcher.now_us + 2900 * MS)])
    rejections = [
        action for action in dispatcher.handle(4 * S, [TimerFired("look")]) if isinstance(action, RejectMessage)
    ]
    assert [rejection.hold_reason for rejection in rejections] in ([HoldReason.RETRY_AFTER], [])


def test_the_number_of_rows_is_bounded() -> None:
    dispatcher = Dispatcher(settings(max_open_messages=10**6), 1, 0)
    entries = tuple(replace(ENTRIES[0], endpoint=n, destination=n) for n in range(1, 1000))
    dispatcher.handle(
        0, [EndpointListReceived(EndpointListKind.SAVED, entries), *(EndpointDisabled(n, 0) for n in range(1, 1000))]
    )
    dispatcher.handle(0, [ask(f"m{n}", dest=n, due=3 * S) for n in range(1, 1000)])
    dispatcher.handle(3 * S, [TimerFired("look")])
    assert not dispatcher.messages
    assert len(dispatcher.hold_times.sums_us) == MAX_HOLD_TIME_ROWS + 1
    assert dispatcher.hold_times.sums_us[(OTHER_DESTINATIONS, "")][HoldReason.DISABLED] > 0
