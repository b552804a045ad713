"""Tests of forwarder.decisions.timer_queue."""

from __future__ import annotations

from forwarder.decisions.timer_queue import TimerQueue


def test_destinations_are_due_from_their_time_on() -> None:
    timers = TimerQueue()
    timers.add(20, 1)
    timers.add(10, 2)

    assert timers.pop_due(9) == set()
    assert timers.pop_due(10) == {2}
    assert timers.pop_due(30) == {1}
    assert timers.pop_due(40) == set()


def test_only_an_earlier_time_replaces_the_time_of_a_destination() -> None:
    timers = TimerQueue()
    timers.add(20, 1)
    timers.add(30, 1)
    timers.add(10, 1)

    assert timers.earliest == {1: 10}
    assert timers.pop_due(10) == {1}
