"""Tests that endpoints which replace each other do not accumulate in the dispatcher."""

from __future__ import annotations

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived
from forwarder.protocol.settings_format import parse_settings
from tests.nodes import SETTINGS


def test_endpoints_replaced_for_months_do_not_accumulate() -> None:
    dispatcher = Dispatcher(parse_settings(SETTINGS), 1, 0)
    for n in range(3000):
        dispatcher.handle(n, [EndpointListReceived(EndpointListKind.WHOLE, (EndpointEntry(n, 7, kind="plain"),))])
    assert len(dispatcher.endpoints) <= 2001
    assert 2999 in dispatcher.endpoints
