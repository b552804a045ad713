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
    """With many messages held, those that are alike share the computation."""
    entries = tuple(EndpointEntry(n, n // 2, "north", "plain") for n in range(26))
    dispatcher = Dispatcher(settings(slots=9), 1, 0)
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
    out = sends(dispatcher.handle(0, [ask(f"m{n}", n % 13, due=60 * S) for n in range(700)]))
    observed: list[str] = []

    def counted(owner: object, name: str) -> None:
        plain = getattr(owner, name)

        def count(*args: object) -> object:
            observed.append(name)
            return plain(*args)

        monkeypatch.setattr(owner, name, count)

    for user in (expected_call, call_learning, release):
        counted(user, "expected_call_us")
    counted(EndpointAvailability, "hold_reason")
    while len(out) < 9:
        out += sends(dispatcher.handle(MS, [end(out.pop(0), Outcome.DELIVERED)]))
    observed.clear()
    assert sends(dispatcher.handle(2 * MS, [end(out[0], Outcome.DELIVERED)]))
    assert observed.count("expected_call_us") < 60
    assert observed.count("hold_reason") < 60


def test_an_expected_call_decays_to_its_initial_value_while_none_is_in_flight() -> None:
    message_class = make_message().message_class
    initial_us = initial_call_us(message_class)
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=3 * initial_us, learned_at_us=0)

    assert expected_call_us(scope, message_class, 0) == 3 * initial_us
    assert expected_call_us(scope, message_class, LEARNING_HALF_LIFE_US) == 2 * initial_us
    scope.in_flight = 1
    assert expected_call_us(scope, message_class, LEARNING_HALF_LIFE_US) == 3 * initial_us


def test_without_an_observed_call_the_initial_value_is_expected() -> None:
    message_class = make_message().message_class
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=1.0, in_flight=1)

    assert expected_call_us(scope, message_class, S) == initial_call_us(message_class) == 200 * MS


def test_observed_calls_move_the_average_towards_them() -> None:
    scope = LimitScope(DESTINATION, 1.0, expected_call_us=100.0)
    for _ in range(30):
        observe_call(scope, 200)

    assert scope.expected_call_us == pytest.approx(200.0, abs=1.0)
