"""Tests of forwarder.decisions.token_bucket."""

from __future__ import annotations

from forwarder.decisions.token_bucket import take_token


def test_tokens_are_earned_one_interval_apart() -> None:
    first = take_token(now_us=100, spent_until_us=100, interval_us=10.0, burst_us=0.0)
    second = take_token(now_us=100, spent_until_us=first, interval_us=10.0, burst_us=0.0)

    assert (first, second) == (110, 120)


def test_unused_time_is_earned_up_to_the_burst() -> None:
    next_token_us = take_token(now_us=1000, spent_until_us=0, interval_us=10.0, burst_us=30.0)

    assert next_token_us == 1000 - (30 - 10) + 10
