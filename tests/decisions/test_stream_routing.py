"""Which endpoint a stream goes to: the policy alone, joined to a dispatcher."""

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


def joined(share: float = 0.5, **changes: object) -> Dispatcher:
    d = Dispatcher(settings(**changes), 7, 0)
    d.extensions.append(StreamRouter(d, share))
    d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ENTRIES)])
    return d


def routes(actions: list[Action]) -> list[RouteStream]:
    return [a for a in actions if isinstance(a, RouteStream)]


def turned(actions: list[Action]) -> list[RejectStream]:
    return [a for a in actions if isinstance(a, RejectStream)]


def grown(d: Dispatcher, destination: int, calls: int = 8, now: int = 0) -> int:
    """Let a destination's window grow by streams that go well. Returns the time."""
    for n in range(calls):
        now += S
        made = routes(d.handle(now, [StreamRequested(10_000 + n, destination)]))
        assert len(made) == 1
        d.handle(now, [StreamAttemptEnded(10_000 + n, Outcome.DELIVERED), StreamEnded(10_000 + n)])
    return now


def test_a_stream_goes_to_a_target_of_its_destination_and_holds_a_slot() -> None:
    d = joined()
    made = routes(d.handle(0, [StreamRequested(1, 10)]))
    assert [r.stream for r in made] == [1]
    assert made[0].endpoint in (1, 2)
    assert d.calls_in_flight == 1
    assert d.endpoints[made[0].endpoint].limit_scope.streams_in_flight == 1
    d.handle(0, [StreamEnded(1)])
    assert d.calls_in_flight == 0
    assert all(
        t.in_flight == t.limit_scope.in_flight == t.limit_scope.streams_in_flight == 0 for t in d.endpoints.values()
    )


def test_without_a_target_or_a_slot_it_is_turned_away_with_a_time() -> None:
    d = joined()
    (gone,) = turned(d.handle(0, [StreamRequested(1, 99)]))
    assert gone.retry_after_us >= S
    assert len(routes(d.handle(0, [StreamRequested(2, 10), StreamRequested(3, 10)]))) == 1  # the window is one at first
    now = grown(d, 11)
    assert len(routes(d.handle(now, [StreamRequested(n, 11) for n in range(20, 30)]))) == 3  # one is out
    assert d.calls_in_flight == 4 == max_streams(8, 0.5)


def test_streams_leave_messages_a_slot_at_each_destination() -> None:
    """The window is one and a stream holds it: a message goes all the same, and a second one waits."""
    d = joined()
    assert routes(d.handle(0, [StreamRequested(1, 10)]))
    out = sends(d.handle(0, [ask("a"), ask("b")]))
    assert [s.message_id for s in out] == ["a"]
    assert not routes(d.handle(10 * MS, [StreamRequested(2, 10)]))
    now = grown(d, 11, 12)
    taken = routes(d.handle(now, [StreamRequested(n, 11) for n in range(20, 30)]))
    assert len(taken) < int(0.75 * 8)
    assert len(sends(d.handle(now, [ask("c", dest=11, due=now + 6 * S)]))) == 1


def test_no_stream_begins_while_messages_are_held_for_its_destination() -> None:
    d = joined()
    d.handle(0, [ask("a"), ask("b")])  # one goes, one is held
    assert turned(d.handle(0, [StreamRequested(1, 10)]))
    assert routes(d.handle(0, [StreamRequested(2, 11)]))


def test_a_told_wait_binds_streams_and_one_told_to_a_stream_binds_messages() -> None:
    d = joined(forwarders=1)
    (sent,) = sends(d.handle(0, [ask("a", dest=11)]))
    d.handle(1, [end(sent, Outcome.REJECTED, retry_after_us=2 * S)])
    d.handle(2, [MessageWithdrawn("a")])
    (away,) = turned(d.handle(S, [StreamRequested(1, 11)]))
    assert 1 * S <= away.retry_after_us <= 1.5 * 1.1 * S
    assert routes(d.handle(3 * S, [StreamRequested(2, 11)]))
    d.handle(3 * S, [StreamAttemptEnded(2, Outcome.REJECTED, 5 * S), StreamEnded(2)])
    assert not sends(d.handle(4 * S, [ask("b", dest=11, due=30 * S)]))
    assert sends(d.handle(9 * S, []))


def test_failing_streams_are_signs_of_an_outage_and_halve_the_window() -> None:
    d = joined()
    now = grown(d, 11, 6)
    place = d.endpoints[3].limit_scope
    had = place.concurrency_window
    assert had > 2
    notes = []
    for n in range(3):
        now += 100 * MS
        actions = d.handle(now, [StreamRequested(n, 11)])
        notes += actions
        if routes(actions):
            notes += d.handle(now, [StreamAttemptEnded(n, Outcome.TIMED_OUT), StreamEnded(n)])
    assert place.concurrency_window <= had / 2
    assert any(isinstance(a, EjectionChanged) and a.endpoint == 3 for a in notes)


def test_another_target_than_before_is_taken_on_a_second_try() -> None:
    d = joined(slots=20)
    now = grown(d, 10, 8)
    (first,) = routes(d.handle(now, [StreamRequested(1, 10)]))
    (second,) = routes(
        d.handle(now, [StreamAttemptEnded(1, Outcome.NO_CONNECTION), StreamRequested(1, 10, first.endpoint)])
    )
    assert {first.endpoint, second.endpoint} == {1, 2}
    assert d.calls_in_flight == 1


def test_banned_and_drained_targets_get_no_stream() -> None:
    d = joined()
    d.handle(0, [EndpointDisabled(3, 0)])
    assert turned(d.handle(0, [StreamRequested(1, 11)]))
    d.handle(
        0,
        [
            EndpointListReceived(
                EndpointListKind.CHANGES, (EndpointEntry(1, 10, "north", "plain", EndpointState.DRAINING),)
            )
        ],
    )
    (made,) = routes(d.handle(0, [StreamRequested(2, 10)]))
    assert made.endpoint == 2


def test_new_slots_hold_for_new_streams() -> None:
    d = joined()
    assert routes(d.handle(0, [StreamRequested(1, 10)]))
    d.handle(0, [SettingsChanged(settings(slots=2))])
    assert turned(d.handle(0, [StreamRequested(2, 11)]))
    d.handle(0, [StreamEnded(1), SettingsChanged(settings())])
    assert routes(d.handle(S, [StreamRequested(3, 11)]))


def test_streams_of_many_to_a_cold_target_stay_within_what_it_takes() -> None:
    """Ten forwarders, started one after the other, ask all the time for a target just back from an outage.

    What it takes in fall_us: 10 calls a second x its cold part, growing from 0.2, x factor 2 x 1.5 s.
    """
    entry = EndpointEntry(1, 10, "north", "plain", weight=10.0)
    gone: list[int] = []
    for seed in range(10):
        d = Dispatcher(settings(forwarders=10, weights_reported=True), seed, 0)
        d.extensions.append(StreamRouter(d, 0.5))
        start = seed * 137 * MS
        d.handle(start, [EndpointListReceived(EndpointListKind.SAVED, (entry,)), EjectionRecovered(1, 0, 0)])
        for n in range(500):
            now = start + (n + 1) * 10 * MS
            for a in routes(d.handle(now, [StreamRequested(n, 10)])):
                gone.append(now)
                d.handle(now + 5 * MS, [StreamAttemptEnded(a.stream, Outcome.DELIVERED), StreamEnded(a.stream)])
    assert len(gone) > 10  # they are not shut out
    for first in gone:
        cold = 0.2 + 0.8 * min(1.0, (first + 1_500 * MS) / (10 * S))
        assert sum(first <= at < first + 1_500 * MS for at in gone) <= 10 * cold * 2 * 1.5


def test_bounds_hold_whatever_comes() -> None:
    """Seeded streams and messages: after each round no bound is passed, and at the end all is free."""
    for seed in range(20):
        r = random.Random(seed)
        d = joined()
        out: list[int] = []
        calls: list[tuple[SendAttempt, int]] = []
        attempts: dict[str, int] = {}
        now = 0
        for n in range(400):
            now += r.randrange(1, 200) * MS
            events: list[Event] = []
            if r.random() < 0.5:
                events.append(StreamRequested(n, r.choice((10, 11, 12))))
            if r.random() < 0.5:
                events.append(ask(f"m{n}", r.choice((10, 11, 12)), due=now + 6 * S))
            if out and r.random() < 0.5:
                stream = out.pop(r.randrange(len(out)))
                told = r.choice((Outcome.DELIVERED, Outcome.DELIVERED, Outcome.REJECTED, Outcome.RESET))
                events += [StreamAttemptEnded(stream, told), StreamEnded(stream)]
            if calls and r.random() < 0.6:
                sent, number = calls.pop(r.randrange(len(calls)))
                told = r.choice((Outcome.DELIVERED, Outcome.DELIVERED, Outcome.REJECTED, Outcome.FAILED))
                events.append(end(sent, told, number))
            for a in d.handle(now, events):
                match a:
                    case RouteStream(stream, target):
                        assert d.endpoints[target].serving
                        out.append(stream)
                    case SendAttempt(message):
                        calls.append((a, attempts.get(message, 0)))
                        attempts[message] = attempts.get(message, 0) + 1
                        place = d.endpoints[a.endpoint].limit_scope
                        assert place.in_flight <= max(place.concurrency_window, place.streams_in_flight + 1)
            assert len(out) <= max_streams(8, 0.5)
            assert sum(
                t.limit_scope.streams_in_flight
                for t in {t.limit_scope.destination: t for t in d.endpoints.values() if not t.separate_route}.values()
            ) + sum(t.limit_scope.streams_in_flight for t in d.endpoints.values() if t.separate_route) == len(out)
            for destination, targets in d.endpoints_by_destination.items():
                streams = sum(t.limit_scope.streams_in_flight for t in targets) // (
                    1 if targets[0].separate_route else len(targets)
                )
                assert streams < int(0.75 * 8), destination
        now += 60 * S
        ended = [StreamEnded(stream) for stream in out] + [end(sent, Outcome.DELIVERED, n) for sent, n in calls]
        while calls:
            actions = d.handle(now, ended)
            calls = [(s, attempts.setdefault(s.message_id, 0)) for s in sends(actions)]
            for s, _ in calls:
                attempts[s.message_id] += 1
            ended = [end(s, Outcome.DELIVERED, n) for s, n in calls]
        d.handle(now, ended)
        assert d.calls_in_flight == 0
        assert all(t.limit_scope.streams_in_flight == t.limit_scope.in_flight == 0 for t in d.endpoints.values())
