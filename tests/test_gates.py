"""What holds messages back is booked to the gate that held them: all of the time, and to the right one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from benchmarks import hold_reasons
from forwarder.decisions.actions import RejectMessage, SendAttempt
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    LoadReport,
    TimerFired,
)
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.hold_times import MAX_HOLD_TIME_ROWS, OTHER_DESTINATIONS
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Message
from forwarder.decisions.settings import Settings
from tests.scripts import ENTRIES, MS, S, Script, ask, end, sends, settings, started


class Ledger(Script):
    """Beside the dispatcher, keeps how long each message lay in the piles."""

    def __init__(self, dispatcher: Dispatcher, known: Settings, seed: int) -> None:
        self.held: dict[str, tuple[Message, int]] = {}
        self.lay: dict[str, int] = {}
        self.last = 0
        super().__init__(dispatcher, known, seed)

    def step(self, events: list[Event]) -> None:
        before, passed = dict(self.held), self.now - self.last
        super().step(events)
        self.last = self.now
        for name in before:
            self.lay[name] = self.lay.get(name, 0) + passed
        self.held = {m.id: (m, self.now) for pile in self.d.held.by_destination.values() for m in pile.values()}
        for m, _ in self.held.values():
            self.check(m)
        for name, (m, _) in before.items():
            if name not in self.held:
                self.check(m)

    def check(self, m: Message) -> None:
        open_now = 0 if m.hold_reason is None else self.now - m.held_since_us
        assert sum(m.hold_times_us.values()) + open_now == self.lay.get(m.id, 0), m


@profile(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([2, 40]))
def test_booked_time_is_the_time_held_to_the_microsecond(seed: int, balancers: int) -> None:
    known = settings(forwarders=balancers, notices_acknowledged=False)
    script = Ledger(Dispatcher(known, seed, 0), known, seed)
    script.run(500)
    assert sum(script.lay.values()) > 0
    assert sum(us for _, us in script.d.hold_times.totals()) == sum(script.lay.values())


def out(d: Dispatcher, name: str, now: int = 0, cls: str = "safe", **more: object) -> SendAttempt:
    [send] = sends(d.handle(now, [ask(name, cls=cls, due=now + 60 * S, **more)]))
    return send


def one() -> Dispatcher:
    """A single target, one slot for each of eight."""
    return started((EndpointEntry(1, 10, "north", "plain", weight=10.0),), weights_reported=True)


def waits(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), Outcome.REJECTED, retry_after_us=3 * S)])


def rests(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), Outcome.REJECTED)])


def paces(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), Outcome.DELIVERED, report=LoadReport(0.1, 0.1))])
    d.handle(2 * MS, [end(out(d, "y", 2 * MS), Outcome.DELIVERED, report=LoadReport(0.1, 0.1))])


def falls(d: Dispatcher) -> None:
    for n in range(4):
        at = n * 3 * S
        d.handle(at + MS, [end(out(d, f"x{n}", at), Outcome.FAILED, closed=True)])


def comes_back(d: Dispatcher) -> None:
    falls(d)
    t = d.endpoints[1]
    t.recovering_since_us, t.last_call_at_us, t.error_rate = d.now_us, d.now_us, 0.0


def doubted(d: Dispatcher) -> None:
    d.endpoints[1].error_rate = 0.99


def fills(d: Dispatcher) -> None:
    d.limit_scopes[(10, -1)].concurrency_window = 8.0
    for n in range(6):
        out(d, f"x{n}")


def sickens(d: Dispatcher) -> None:
    place = d.limit_scopes[(10, -1)]
    place.concurrency_window, place.expected_call_us, place.initial_call_us, place.learned_at_us = (
        6.0,
        1.5 * S,
        0.2 * S,
        0,
    )
    for n in range(4):
        out(d, f"x{n}")


def is_banned(d: Dispatcher) -> None:
    d.handle(0, [EndpointDisabled(1, 0)])


def drains(d: Dispatcher) -> None:
    d.handle(0, [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(1, 10, state=EndpointState.DRAINING),))])


def goes(d: Dispatcher) -> None:
    d.endpoints.clear()
    d.handle(0, [EndpointListReceived(EndpointListKind.WHOLE, ())])


def key_out(d: Dispatcher) -> None:
    out(d, "x", cls="turns", key="k")
    d.limit_scopes[(10, -1)].concurrency_window = 8.0


def key_rests(d: Dispatcher) -> None:
    send = out(d, "x", cls="turns", key="k")
    d.limit_scopes[(10, -1)].concurrency_window = 8.0
    d.handle(0, [end(send, Outcome.TIMED_OUT, took=1 * MS, closed=True)])


GATES: dict[HoldReason, tuple[Callable[[Dispatcher], object], str]] = {
    HoldReason.RETRY_AFTER: (waits, "safe"),
    HoldReason.BACKOFF: (rests, "safe"),
    HoldReason.QUOTA_PACE: (paces, "safe"),
    HoldReason.CONCURRENCY_WINDOW: (lambda d: out(d, "x"), "safe"),
    HoldReason.DEGRADED_CAP: (sickens, "safe"),
    HoldReason.SLOTS: (fills, "safe"),
    HoldReason.EJECTED: (falls, "safe"),
    HoldReason.SLOW_START: (comes_back, "safe"),
    HoldReason.UNSAFE_RETRY: (doubted, "once"),
    HoldReason.KEY_ORDER: (key_out, "turns"),
    HoldReason.KEY_BACKOFF: (key_rests, "turns"),
    HoldReason.DISABLED: (is_banned, "safe"),
    HoldReason.DRAINING: (drains, "safe"),
    HoldReason.UNLISTED: (goes, "safe"),
}


@pytest.mark.parametrize("gate", GATES)
def test_each_gate_is_named_where_it_alone_holds_a_message(gate: HoldReason) -> None:
    d = one()
    prepare, cls = GATES[gate]
    prepare(d)
    now = d.now_us
    assert not sends(d.handle(now, [ask("m", cls=cls, due=now + 8 * S, key="k")]))
    assert d.messages["m"].hold_reason is gate
    d.handle(now + 20 * MS, [TimerFired("look")])
    assert d.hold_times_of("m")[0] == (gate, 20 * MS)


def test_before_the_list_a_message_is_held_by_the_start() -> None:
    d = Dispatcher(settings(), 1, 0)
    d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ())])
    d.handle(0, [ask("m")])
    assert d.messages["m"].hold_reason is HoldReason.STARTING


def test_of_two_gates_the_one_that_opens_last_has_it() -> None:
    d = one()
    waits(d)
    d.limit_scopes[(10, -1)].backoff_until_us = 5 * S
    d.handle(d.now_us, [ask("m", due=50 * S)])
    assert d.messages["m"].hold_reason is HoldReason.BACKOFF


def test_a_gate_that_opens_and_closes_within_a_round_books_nothing() -> None:
    d = one()
    d.handle(0, [EndpointDisabled(1, 0), ask("m"), EndpointEnabled(1)])
    assert HoldReason.DISABLED not in dict(d.hold_times.totals())


def test_a_refusal_tells_what_held_it() -> None:
    d = one()
    waits(d)
    d.handle(d.now_us, [ask("m", due=d.now_us + 2900 * MS)])
    refused = [a for a in d.handle(4 * S, [TimerFired("look")]) if isinstance(a, RejectMessage)]
    assert [a.hold_reason for a in refused] in ([HoldReason.RETRY_AFTER], [])


def test_books_are_bounded() -> None:
    d = Dispatcher(settings(max_open_messages=10**6), 1, 0)
    entries = tuple(replace(ENTRIES[0], endpoint=n, destination=n) for n in range(1, 1000))
    d.handle(
        0, [EndpointListReceived(EndpointListKind.SAVED, entries), *(EndpointDisabled(n, 0) for n in range(1, 1000))]
    )
    d.handle(0, [ask(f"m{n}", dest=n, due=3 * S) for n in range(1, 1000)])
    d.handle(3 * S, [TimerFired("look")])
    assert not d.messages
    assert len(d.hold_times.sums_us) == MAX_HOLD_TIME_ROWS + 1
    assert d.hold_times.sums_us[(OTHER_DESTINATIONS, "")][HoldReason.DISABLED] > 0


def test_logs_of_a_fleet_are_added_up(tmp_path: Path) -> None:
    """A restart begins from nothing; lines of other kinds are passed over."""
    line = "2026 INFO forwarder.engine: state: serving; held by: "
    (tmp_path / "n0.log").write_text(
        "\n".join(
            (
                line + "window 1.0 s; told wait 0.5 s",
                "state: 3 held",
                line + "window 4.0 s; told wait 0.5 s",
                line + "outage 2.0 s",
                "x: refused: ab for destination 7, held by: outage; 3 refused since the last such line",
            )
        )
    )
    (tmp_path / "n1").mkdir()
    (tmp_path / "n1/log").write_text(line + "pace by our share of the limit 2.5 s\n" + line + "nothing")
    sums = hold_reasons.add_up(tmp_path)
    rows, refused = sums.held_s, sums.refused
    assert rows[0] == {"window": 1.0, "told wait": 0.5, "pace by our share of the limit": 2.5}
    assert rows[1]["window"] == 3.0
    assert rows[2] == {"outage": 2.0}
    assert refused == {hold_reasons.Refusal(7, "outage"): 3}
    assert hold_reasons.format_table(rows)[1].startswith("window")
    assert "4" not in hold_reasons.format_table(rows)[1][:40]
    for reason in HoldReason:
        assert hold_reasons.parse_state_line(f"state: x; held by: {reason.value} 1.5 s") == {reason.value: 1.5}
