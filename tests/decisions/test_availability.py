"""Tests of forwarder.decisions.availability, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.availability import LOCAL_FAILURE_BACKOFF_US
from forwarder.decisions.events import EndpointListAwaited, EndpointListKind, EndpointListReceived
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.outcomes import Outcome
from forwarder.units import NEVER_US
from tests.decisions.fleets import ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, sends, started


def test_nothing_is_sent_until_the_awaited_list_arrives() -> None:
    dispatcher = started(ONE_ENDPOINT)
    assert not sends(dispatcher.handle(0, [EndpointListAwaited(2 * S), ask("m")]))
    assert dispatcher.availability.destination_availability(10) == (2 * S, HoldReason.STARTING)

    actions = dispatcher.handle(S, [EndpointListReceived(EndpointListKind.CHANGES)])

    assert [send.message_id for send in sends(actions)] == ["m"]


def test_a_local_failure_holds_all_destinations_for_a_while() -> None:
    dispatcher = started()
    [send] = sends(dispatcher.handle(0, [ask("m")]))

    dispatcher.handle(MS, [end(send, Outcome.LOCAL_FAILURE)])

    until_us = MS + LOCAL_FAILURE_BACKOFF_US
    assert dispatcher.availability.destination_availability(11) == (until_us, HoldReason.LOCAL_FAILURE)


def test_a_destination_is_available_with_its_first_available_endpoint() -> None:
    dispatcher = started()
    first, second = (dispatcher.endpoints[number] for number in (4, 5))
    first.limit_scope.retry_after_until_us = 3 * S
    second.limit_scope.backoff_until_us = 2 * S

    assert dispatcher.availability.destination_availability(12) == (2 * S, HoldReason.BACKOFF)
    second.limit_scope.in_flight = 1
    assert dispatcher.availability.destination_availability(12) == (3 * S, HoldReason.RETRY_AFTER)
    first.limit_scope.in_flight = 1
    assert dispatcher.availability.destination_availability(12) == (NEVER_US, HoldReason.CONCURRENCY_WINDOW)


def test_the_pacing_reason_that_ends_last_is_returned() -> None:
    dispatcher = started(ONE_ENDPOINT)
    scope = dispatcher.endpoints[1].limit_scope
    scope.retry_after_until_us = S
    scope.backoff_until_us = 3 * S
    scope.next_call_at_us = 2 * S

    assert dispatcher.availability.pacing_availability(dispatcher.endpoints[1]) == (3 * S, HoldReason.BACKOFF)
