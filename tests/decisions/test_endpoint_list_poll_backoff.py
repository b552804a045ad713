"""Tests of the backoff between failed polls of the endpoint list."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import RequestEndpointList
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointListKind, EndpointListReceived
from tests.scripts import MS, S, settings

MAX_CHANGE_DELAY_S = 6.0
"""Time after which the forwarder must know a change that a reachable discovery has."""


@pytest.mark.parametrize("seed", range(20))
def test_after_any_number_of_failures_the_list_is_polled_before_a_change_must_be_known(seed: int) -> None:
    """Discovery refuses each poll, and recovers just after one.

    The backoff once grew to 8 s, so the forwarder learned of changes too late.
    """
    dispatcher, now_us = Dispatcher(settings(poll_endpoint_list=True), seed, 0), 0
    assert any(isinstance(action, RequestEndpointList) for action in dispatcher.handle(now_us, []))
    for _ in range(12):
        failed_at_us = now_us
        actions = dispatcher.handle(now_us, [EndpointListReceived(EndpointListKind.FAILED)])
        while not any(isinstance(action, RequestEndpointList) for action in actions):
            now_us += 5 * MS
            actions = dispatcher.handle(now_us, [])
        assert 0.4 < (now_us - failed_at_us) / S < MAX_CHANGE_DELAY_S - 1.5
