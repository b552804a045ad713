"""Tests until when the Retry-After of limit scopes is in force."""

from __future__ import annotations

from forwarder.endpoints.call import ALL_ENDPOINTS, LimitScopeKey
from forwarder.endpoints.retry_after import MAX_SCOPES, RetryAfterTable

SCOPE = LimitScopeKey(7, ALL_ENDPOINTS)


def test_a_retry_after_applies_from_the_time_of_the_answer() -> None:
    table = RetryAfterTable(lambda: 1000)

    table.note(SCOPE, 500)

    assert table.until_us(SCOPE) == 1500
    assert table.until_us(LimitScopeKey(7, 1)) == 0


def test_a_retry_after_that_ends_earlier_does_not_replace_a_later_one() -> None:
    table = RetryAfterTable(lambda: 1000)

    table.note(SCOPE, 500)
    table.note(SCOPE, 100)

    assert table.until_us(SCOPE) == 1500


def test_expired_scopes_are_dropped_above_the_limit() -> None:
    now_us = [0]
    table = RetryAfterTable(lambda: now_us[0])
    for destination in range(MAX_SCOPES + 1):
        table.note(LimitScopeKey(destination, ALL_ENDPOINTS), 10)
    now_us[0] = 10

    table.note(SCOPE, 10)

    assert table.entries() == ((SCOPE, 20),)


def test_entries_are_restored_from_those_of_another_process() -> None:
    table, other = RetryAfterTable(lambda: 0), RetryAfterTable(lambda: 0)
    table.note(SCOPE, 500)

    other.restore(table.entries())

    assert other.entries() == table.entries()
