"""Tests of the routing of streams, as an extension of a dispatcher."""

from __future__ import annotations

import random

from forwarder.decisions.actions import Action, EjectionChanged, SendAttempt
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EjectionRecovered,
    EndpointDisabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageWithdrawn,
    SettingsChanged,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.stream_routing import (
    RejectStream,
    RouteStream,
    StreamAttemptEnded,
    StreamEnded,
    StreamRequested,
    StreamRouter,
    max_streams,
)
from tests.scripts import ENTRIES, MS, S, ask, end, sends, settings


def make_dispatcher(share: float = 0.5, **changes: object) -> Dispatcher:
    dispatcher = Dispatcher(settings(**changes), 7, 0)
    dispatcher.extensions.append(StreamRouter(dispatcher, share))
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ENTRIES)])
    return dispatcher


def routes(actions: list[Action]) -> list[RouteStream]:
    return [action for action in actions if isinstance(action, RouteStream)]


def rejections(actions: list[Action]) -> list[RejectStream]:
    return [action for action in actions if isinstance(action, RejectStream)]


def grow_window(dispatcher: Dispatcher, destination: int, calls: int = 8, now_us: int = 0) -> int:
    """Grows the window of a destination by successful streams, and returns the time."""
    for n in range(calls):
        now_us += S
        routed = routes(dispatcher.handle(now_us, [StreamRequested(10_000 + n, destination)]))
        assert len(routed) == 1
        dispatcher.handle(now_us, [StreamAttemptEnded(10_000 + n, Outcome.DELIVERED), StreamEnded(10_000 + n)])
    return now_us


def test_a_stream_is_routed_to_an_endpoint_of_its_destination_and_uses_a_slot() -> None:
    dispatcher = make_dispatcher()
    routed = routes(dispatcher.handle(0, [StreamRequested(1, 10)]))
    assert [route.stream for route in routed] == [1]
    assert routed[0].endpoint in (1, 2)
    assert dispatcher.calls_in_flight == 1
    assert dispatcher.endpoints[routed[0].endpoint].limit_scope.streams_in_flight == 1
    dispatcher.handle(0, [StreamEnded(1)])
    assert dispatcher.calls_in_flight == 0
    assert all(
        endpoint.in_flight == endpoint.limit_scope.in_flight == endpoint.limit_scope.streams_in_flight == 0
        for endpoint in dispatcher.endpoints.values()
    )


def test_a_stream_is_rejected_with_a_retry_after_if_there_is_no_endpoint_or_no_slot() -> None:
    dispatcher = make_dispatcher()
    (rejected,) = rejections(dispatcher.handle(0, [StreamRequested(1, 99)]))
    assert rejected.retry_after_us >= S
    # The window starts at one.
    assert len(routes(dispatcher.handle(0, [StreamRequested(2, 10), StreamRequested(3, 10)]))) == 1
    now_us = grow_window(dispatcher, 11)
    # Streams may use four slots, and one stream is in progress.
    assert len(routes(dispatcher.handle(now_us, [StreamRequested(n, 11) for n in range(20, 30)]))) == 3
    assert dispatcher.calls_in_flight == 4 == max_streams(8, 0.5)


def test_streams_leave_messages_a_slot_at_each_destination() -> None:
    """A stream fills the window of one: one message is sent nevertheless, and a second one is held."""
    dispatcher = make_dispatcher()
    assert routes(dispatcher.handle(0, [StreamRequested(1, 10)]))
    sent = sends(dispatcher.handle(0, [ask("a"), ask("b")]))
    assert [send.message_id for send in sent] == ["a"]
    assert not routes(dispatcher.handle(10 * MS, [StreamRequested(2, 10)]))
    now_us = grow_window(dispatcher, 11, 12)
    routed = routes(dispatcher.handle(now_us, [StreamRequested(n, 11) for n in range(20, 30)]))
    assert len(routed) < int(0.75 * 8)
    assert len(sends(dispatcher.handle(now_us, [ask("c", dest=11, due=now_us + 6 * S)]))) == 1


def test_no_stream_starts_while_messages_are_held_for_its_destination() -> None:
    dispatcher = make_dispatcher()
    dispatcher.handle(0, [ask("a"), ask("b")])  # one is sent, one is held
    assert rejections(dispatcher.handle(0, [StreamRequested(1, 10)]))
    assert routes(dispatcher.handle(0, [StreamRequested(2, 11)]))


def test_a_retry_after_from_a_message_applies_to_streams_and_one_from_a_stream_to_messages() -> None:
    dispatcher = make_dispatcher(forwarders=1)
    (sent,) = sends(dispatcher.handle(0, [ask("a", dest=11)]))
    dispatcher.handle(1, [end(sent, Outcome.REJECTED, retry_after_us=2 * S)])
    dispatcher.handle(2, [MessageWithdrawn("a")])
    (rejected,) = rejections(dispatcher.handle(S, [StreamRequested(1, 11)]))
    assert 1 * S <= rejected.retry_after_us <= 1.5 * 1.1 * S
    assert routes(dispatcher.handle(3 * S, [StreamRequested(2, 11)]))
    dispatcher.handle(3 * S, [StreamAttemptEnded(2, Outcome.REJECTED, 5 * S), StreamEnded(2)])
    assert not sends(dispatcher.handle(4 * S, [ask("b", dest=11, due=30 * S)]))
    assert sends(dispatcher.handle(9 * S, []))


def test_failing_streams_eject_the_endpoint_and_halve_the_window() -> None:
    dispatcher = make_dispatcher()
    now_us = grow_window(dispatcher, 11, 6)
    scope = dispatcher.endpoints[3].limit_scope
    window_before = scope.concurrency_window
    assert window_before > 2
    all_actions = []
    for n in range(3):
        now_us += 100 * MS
        actions = dispatcher.handle(now_us, [StreamRequested(n, 11)])
        all_actions += actions
        if routes(actions):
            all_actions += dispatcher.handle(now_us, [StreamAttemptEnded(n, Outcome.TIMED_OUT), StreamEnded(n)])
    assert scope.concurrency_window <= window_before / 2
    assert any(isinstance(action, EjectionChanged) and action.endpoint == 3 for action in all_actions)


def test_a_second_attempt_goes_to_another_endpoint() -> None:
    dispatcher = make_dispatcher(slots=20)
    now_us = grow_window(dispatcher, 10, 8)
    (first_route,) = routes(dispatcher.handle(now_us, [StreamRequested(1, 10)]))
    (second_route,) = routes(
        dispatcher.handle(
            now_us, [StreamAttemptEnded(1, Outcome.NO_CONNECTION), StreamRequested(1, 10, first_route.endpoint)]
        )
    )
    assert {first_route.endpoint, second_route.endpoint} == {1, 2}
    assert dispatcher.calls_in_flight == 1


def test_disabled_and_draining_endpoints_get_no_stream() -> None:
    dispatcher = make_dispatcher()
    dispatcher.handle(0, [EndpointDisabled(3, 0)])
    assert rejections(dispatcher.handle(0, [StreamRequested(1, 11)]))
    dispatcher.handle(
        0,
        [
            EndpointListReceived(
                EndpointListKind.CHANGES, (EndpointEntry(1, 10, "north", "plain", EndpointState.DRAINING),)
            )
        ],
    )
    (routed,) = routes(dispatcher.handle(0, [StreamRequested(2, 10)]))
    assert routed.endpoint == 2


def test_a_new_number_of_slots_applies_to_new_streams() -> None:
    dispatcher = make_dispatcher()
    assert routes(dispatcher.handle(0, [StreamRequested(1, 10)]))
    dispatcher.handle(0, [SettingsChanged(settings(slots=2))])
    assert rejections(dispatcher.handle(0, [StreamRequested(2, 11)]))
    dispatcher.handle(0, [StreamEnded(1), SettingsChanged(settings())])
    assert routes(dispatcher.handle(S, [StreamRequested(3, 11)]))


def test_streams_of_many_forwarders_stay_within_the_budget_of_a_recovering_endpoint() -> None:
    """Ten forwarders, started one after the other, constantly request streams to a recovering endpoint.

    Its budget in the overload window is 10 calls per second x ramp (from 0.2 up to 1) x overload factor 2 x 1.5 s.
    """
    entry = EndpointEntry(1, 10, "north", "plain", weight=10.0)
    route_times_us: list[int] = []
    for seed in range(10):
        dispatcher = Dispatcher(settings(forwarders=10, weights_reported=True), seed, 0)
        dispatcher.extensions.append(StreamRouter(dispatcher, 0.5))
        start_us = seed * 137 * MS
        dispatcher.handle(
            start_us, [EndpointListReceived(EndpointListKind.SAVED, (entry,)), EjectionRecovered(1, 0, 0)]
        )
        for n in range(500):
            now_us = start_us + (n + 1) * 10 * MS
            for action in routes(dispatcher.handle(now_us, [StreamRequested(n, 10)])):
                route_times_us.append(now_us)
                dispatcher.handle(
                    now_us + 5 * MS, [StreamAttemptEnded(action.stream, Outcome.DELIVERED), StreamEnded(action.stream)]
                )
    assert len(route_times_us) > 10  # the budget is not zero
    for start_us in route_times_us:
        ramp = 0.2 + 0.8 * min(1.0, (start_us + 1_500 * MS) / (10 * S))
        assert sum(start_us <= at_us < start_us + 1_500 * MS for at_us in route_times_us) <= 10 * ramp * 2 * 1.5


def test_limits_hold_under_random_streams_and_messages() -> None:
    """Checks that no limit is exceeded after any round, and that all slots are free at the end."""
    for seed in range(20):
        rng = random.Random(seed)
        dispatcher = make_dispatcher()
        open_streams: list[int] = []
        calls: list[tuple[SendAttempt, int]] = []
        attempts: dict[str, int] = {}
        now_us = 0
        for n in range(400):
            now_us += rng.randrange(1, 200) * MS
            events: list[Event] = []
            if rng.random() < 0.5:
                events.append(StreamRequested(n, rng.choice((10, 11, 12))))
            if rng.random() < 0.5:
                events.append(ask(f"m{n}", rng.choice((10, 11, 12)), due=now_us + 6 * S))
            if open_streams and rng.random() < 0.5:
                stream = open_streams.pop(rng.randrange(len(open_streams)))
                outcome = rng.choice((Outcome.DELIVERED, Outcome.DELIVERED, Outcome.REJECTED, Outcome.RESET))
                events += [StreamAttemptEnded(stream, outcome), StreamEnded(stream)]
            if calls and rng.random() < 0.6:
                sent, number = calls.pop(rng.randrange(len(calls)))
                outcome = rng.choice((Outcome.DELIVERED, Outcome.DELIVERED, Outcome.REJECTED, Outcome.FAILED))
                events.append(end(sent, outcome, number))
            for action in dispatcher.handle(now_us, events):
                match action:
                    case RouteStream(stream, endpoint_id):
                        assert dispatcher.endpoints[endpoint_id].serving
                        open_streams.append(stream)
                    case SendAttempt(message):
                        calls.append((action, attempts.get(message, 0)))
                        attempts[message] = attempts.get(message, 0) + 1
                        scope = dispatcher.endpoints[action.endpoint].limit_scope
                        assert scope.in_flight <= max(scope.concurrency_window, scope.streams_in_flight + 1)
            assert len(open_streams) <= max_streams(8, 0.5)
            assert sum(
                endpoint.limit_scope.streams_in_flight
                for endpoint in {
                    endpoint.limit_scope.destination: endpoint
                    for endpoint in dispatcher.endpoints.values()
                    if not endpoint.separate_route
                }.values()
            ) + sum(
                endpoint.limit_scope.streams_in_flight
                for endpoint in dispatcher.endpoints.values()
                if endpoint.separate_route
            ) == len(open_streams)
            for destination, endpoints in dispatcher.endpoints_by_destination.items():
                streams = sum(endpoint.limit_scope.streams_in_flight for endpoint in endpoints) // (
                    1 if endpoints[0].separate_route else len(endpoints)
                )
                assert streams < int(0.75 * 8), destination
        now_us += 60 * S
        ended = [StreamEnded(stream) for stream in open_streams] + [
            end(sent, Outcome.DELIVERED, n) for sent, n in calls
        ]
        while calls:
            actions = dispatcher.handle(now_us, ended)
            calls = [(send, attempts.setdefault(send.message_id, 0)) for send in sends(actions)]
            for send, _ in calls:
                attempts[send.message_id] += 1
            ended = [end(send, Outcome.DELIVERED, n) for send, n in calls]
        dispatcher.handle(now_us, ended)
        assert dispatcher.calls_in_flight == 0
        assert all(
            endpoint.limit_scope.streams_in_flight == endpoint.limit_scope.in_flight == 0
            for endpoint in dispatcher.endpoints.values()
        )
