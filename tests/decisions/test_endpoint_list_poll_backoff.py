"""The pauses between polls of the endpoint list that fail."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import RequestEndpointList
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointListKind, EndpointListReceived
from tests.scripts import MS, S, settings

CHANGE_COUNTS_ANYWAY_S = 6.0
"""The standing page: whatever else is allowed, a change counts as told so long after discovery had it and could be
reached."""


@pytest.mark.parametrize("seed", range(20))
def test_after_any_failures_the_list_is_polled_before_its_changes_count(seed: int) -> None:
    """Discovery refuses at once, and is back just after a question. The pauses grew to 8 s."""
    d, now = Dispatcher(settings(poll_endpoint_list=True), seed, 0), 0
    assert any(isinstance(a, RequestEndpointList) for a in d.handle(now, []))
    for _ in range(12):
        failed = now
        actions = d.handle(now, [EndpointListReceived(EndpointListKind.FAILED)])
        while not any(isinstance(a, RequestEndpointList) for a in actions):
            now += 5 * MS
            actions = d.handle(now, [])
        assert 0.4 < (now - failed) / S < CHANGE_COUNTS_ANYWAY_S - 1.5
