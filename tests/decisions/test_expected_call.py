"""Tests of forwarder.decisions.expected_call, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions import call_learning, expected_call, release
from forwarder.decisions.availability import EndpointAvailability
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
)
from forwarder.decisions.expected_call import LEARNING_HALF_LIFE_US, expected_call_us, initial_call_us, observe_call
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import LimitScope
from tests.decisions.builders import DESTINATION, make_message
from tests.scripts import MS, S, ask, end, sends, settings


def test_a_round_computes_each_expected_call_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the cost of a round with many held messages: messages with the same estimate share the computation."""
    entries = tuple(EndpointEntry(n, n // 2, "north", "plain") for n in range(26))
    dispatcher = Dispatcher(settings(slots=9), 1, 0)
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
    in_flight = sends(dispatcher.handle(0, [ask(f"m{n}", n % 13, due=60 * S) for n in range(700)]))
    function_calls: list[str] = []

    def count_calls(owner: object, name: str) -> None:
        original = getattr(owner, name)

        def record_call(*args: object) -> object:
            function_calls.append(name)
            return original(*args)

        monkeypatch.setattr(owner, name, record_call)

    for module in (expected_call, call_learning, release):
        count_calls(module, "expected_call_us")
    count_calls(EndpointAvailability, "hold_reason")
    while len(in_flight) < 9:
        in_flight += sends(dispatcher.handle(MS, [end(in_flight.pop(0), Outcome.DELIVERED)]))
    function_calls.clear()
    assert sends(dispatcher.handle(2 * MS, [end(in_flight[0], Outcome.DELIVERED)]))
    assert function_calls.count("expected_call_us") < 60
    assert function_calls.count("hold_reason") < 60


def test_the_expected_call_decays_to_its_initial_value_while_no_call_is_in_flight() -> None:
    message_class = make_message().message_class
    initial_us = initial_call_us(message_class)
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=3 * initial_us, learned_at_us=0)

    assert expected_call_us(scope, message_class, 0) == 3 * initial_us
    assert expected_call_us(scope, message_class, LEARNING_HALF_LIFE_US) == 2 * initial_us
    scope.in_flight = 1
    assert expected_call_us(scope, message_class, LEARNING_HALF_LIFE_US) == 3 * initial_us


def test_the_expected_call_is_the_initial_value_until_a_call_is_observed() -> None:
    message_class = make_message().message_class
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=1.0, in_flight=1)

    assert expected_call_us(scope, message_class, S) == initial_call_us(message_class) == 200 * MS


def test_the_average_moves_towards_the_observed_calls() -> None:
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=100.0)
    for _ in range(30):
        observe_call(scope, 200)

    assert scope.expected_call_us == pytest.approx(200.0, abs=1.0)
