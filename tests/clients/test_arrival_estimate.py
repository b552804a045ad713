"""Tests the arrival estimate of a connection before, during and after the first poll that watches it."""

from __future__ import annotations

import asyncio

from forwarder.clients.arrival_time import ArrivalEstimate

QUEUED_SINCE_US = 100
NOW_US = 500


def test_data_of_the_first_poll_may_have_arrived_while_the_connection_was_queued() -> None:
    async def scene() -> None:
        estimate = ArrivalEstimate(QUEUED_SINCE_US)
        estimate.note_reading_started(lambda: True)
        await asyncio.sleep(0)
        assert estimate.take_arrival_us(NOW_US) == QUEUED_SINCE_US
        assert estimate.take_arrival_us(NOW_US) == NOW_US

    asyncio.run(scene())


def test_data_of_a_later_poll_counts_as_just_arrived() -> None:
    async def scene() -> None:
        estimate = ArrivalEstimate(QUEUED_SINCE_US)
        estimate.note_reading_started(lambda: True)
        for _ in range(3):
            await asyncio.sleep(0)
        assert estimate.take_arrival_us(NOW_US) == NOW_US

    asyncio.run(scene())


def test_a_poll_does_not_count_for_a_connection_that_is_not_read() -> None:
    async def scene() -> None:
        estimate = ArrivalEstimate(QUEUED_SINCE_US)
        estimate.note_reading_started(lambda: False)
        for _ in range(3):
            await asyncio.sleep(0)
        assert estimate.take_arrival_us(NOW_US) == QUEUED_SINCE_US

    asyncio.run(scene())
