"""What holds messages back is booked to the gate that held them: all of the time, and to the right one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from lemonshunt import interface as i
from lemonshunt.choice import Dispatcher
from lemonshunt.interface import Gate
from lemonshunt.state import MOST_BOOKED, OTHERS, Message
from measure import gates
from tests.scripts import ENTRIES, MS, S, Script, ask, end, sends, settings, started


class Ledger(Script):
    """Beside the dispatcher, keeps how long each message lay in the piles."""

    def __init__(self, dispatcher: Dispatcher, known: i.Settings, seed: int) -> None:
        self.held: dict[str, tuple[Message, int]] = {}
        self.lay: dict[str, int] = {}
        self.last = 0
        super().__init__(dispatcher, known, seed)

    def step(self, events: list[i.Event]) -> None:
        before, passed = dict(self.held), self.now - self.last
        super().step(events)
        self.last = self.now
        for name in before:
            self.lay[name] = self.lay.get(name, 0) + passed
        self.held = {m.id: (m, self.now) for pile in self.d.held.piles.values() for m in pile.values()}
        for m, _ in self.held.values():
            self.check(m)
        for name, (m, _) in before.items():
            if name not in self.held:
                self.check(m)

    def check(self, m: Message) -> None:
        open_now = 0 if m.gate is None else self.now - m.gate_at
        assert sum(m.waited.values()) + open_now == self.lay.get(m.id, 0), m


@profile(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([2, 40]))
def test_booked_time_is_the_time_held_to_the_microsecond(seed: int, balancers: int) -> None:
    known = settings(balancers=balancers, ends_confirmed=False)
    script = Ledger(Dispatcher(known, seed, 0), known, seed)
    script.run(500)
    assert sum(script.lay.values()) > 0
    assert sum(us for _, us in script.d.books.total()) == sum(script.lay.values())


def out(d: Dispatcher, name: str, now: int = 0, cls: str = "safe", **more: object) -> i.Send:
    [send] = sends(d.handle(now, [ask(name, cls=cls, due=now + 60 * S, **more)]))
    return send


def one() -> Dispatcher:
    """A single target, one slot for each of eight."""
    return started((i.TargetEntry(1, 10, "north", "plain", weight=10.0),), weights_told=True)


def waits(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), i.Outcome.FULL, wait_us=3 * S)])


def rests(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), i.Outcome.FULL)])


def paces(d: Dispatcher) -> None:
    d.handle(MS, [end(out(d, "x"), i.Outcome.DELIVERED, report=i.LoadReport(0.1, 0.1))])
    d.handle(2 * MS, [end(out(d, "y", 2 * MS), i.Outcome.DELIVERED, report=i.LoadReport(0.1, 0.1))])


def falls(d: Dispatcher) -> None:
    for n in range(4):
        at = n * 3 * S
        d.handle(at + MS, [end(out(d, f"x{n}", at), i.Outcome.FAILED, closed=True)])


def comes_back(d: Dispatcher) -> None:
    falls(d)
    t = d.targets[1]
    t.back_at, t.tried_at, t.failing = d.now, d.now, 0.0


def doubted(d: Dispatcher) -> None:
    d.targets[1].failing = 0.99


def fills(d: Dispatcher) -> None:
    d.places[(10, -1)].window = 8.0
    for n in range(6):
        out(d, f"x{n}")


def sickens(d: Dispatcher) -> None:
    place = d.places[(10, -1)]
    place.window, place.mean, place.seed, place.mean_at = 6.0, 1.5 * S, 0.2 * S, 0
    for n in range(4):
        out(d, f"x{n}")


def is_banned(d: Dispatcher) -> None:
    d.handle(0, [i.Banned(1, 0)])


def drains(d: Dispatcher) -> None:
    d.handle(0, [i.Listed(i.ListKind.CHANGES, (i.TargetEntry(1, 10, state=i.TargetState.DRAINING),))])


def goes(d: Dispatcher) -> None:
    d.targets.clear()
    d.handle(0, [i.Listed(i.ListKind.WHOLE, ())])


def key_out(d: Dispatcher) -> None:
    out(d, "x", cls="turns", key="k")
    d.places[(10, -1)].window = 8.0


def key_rests(d: Dispatcher) -> None:
    send = out(d, "x", cls="turns", key="k")
    d.places[(10, -1)].window = 8.0
    d.handle(0, [end(send, i.Outcome.TIMED_OUT, took=1 * MS, closed=True)])


GATES: dict[Gate, tuple[Callable[[Dispatcher], object], str]] = {
    Gate.WAIT: (waits, "safe"),
    Gate.REST: (rests, "safe"),
    Gate.PACE: (paces, "safe"),
    Gate.WINDOW: (lambda d: out(d, "x"), "safe"),
    Gate.CAP: (sickens, "safe"),
    Gate.SLOTS: (fills, "safe"),
    Gate.OUTAGE: (falls, "safe"),
    Gate.COLD: (comes_back, "safe"),
    Gate.SURE: (doubted, "once"),
    Gate.KEY: (key_out, "turns"),
    Gate.KEY_REST: (key_rests, "turns"),
    Gate.BAN: (is_banned, "safe"),
    Gate.DRAIN: (drains, "safe"),
    Gate.UNLISTED: (goes, "safe"),
}


@pytest.mark.parametrize("gate", GATES)
def test_each_gate_is_named_where_it_alone_holds_a_message(gate: Gate) -> None:
    d = one()
    prepare, cls = GATES[gate]
    prepare(d)
    now = d.now
    assert not sends(d.handle(now, [ask("m", cls=cls, due=now + 8 * S, key="k")]))
    assert d.messages["m"].gate is gate
    d.handle(now + 20 * MS, [i.TimerDue("look")])
    assert d.why("m")[0] == (gate, 20 * MS)


def test_before_the_list_a_message_is_held_by_the_start() -> None:
    d = Dispatcher(settings(), 1, 0)
    d.handle(0, [i.Listed(i.ListKind.SAVED, ())])
    d.handle(0, [ask("m")])
    assert d.messages["m"].gate is Gate.START


def test_of_two_gates_the_one_that_opens_last_has_it() -> None:
    d = one()
    waits(d)
    d.places[(10, -1)].rest_until = 5 * S
    d.handle(d.now, [ask("m", due=50 * S)])
    assert d.messages["m"].gate is Gate.REST


def test_a_gate_that_opens_and_closes_within_a_round_books_nothing() -> None:
    d = one()
    d.handle(0, [i.Banned(1, 0), ask("m"), i.Unbanned(1)])
    assert Gate.BAN not in dict(d.books.total())


def test_a_refusal_tells_what_held_it() -> None:
    d = one()
    waits(d)
    d.handle(d.now, [ask("m", due=d.now + 2900 * MS)])
    refused = [a for a in d.handle(4 * S, [i.TimerDue("look")]) if isinstance(a, i.Refuse)]
    assert [a.why for a in refused] in ([Gate.WAIT], [])


def test_books_are_bounded() -> None:
    d = Dispatcher(settings(max_open=10**6), 1, 0)
    entries = tuple(replace(ENTRIES[0], target=n, destination=n) for n in range(1, 1000))
    d.handle(0, [i.Listed(i.ListKind.SAVED, entries), *(i.Banned(n, 0) for n in range(1, 1000))])
    d.handle(0, [ask(f"m{n}", dest=n, due=3 * S) for n in range(1, 1000)])
    d.handle(3 * S, [i.TimerDue("look")])
    assert not d.messages
    assert len(d.books.sums) == MOST_BOOKED + 1
    assert d.books.sums[(OTHERS, "")][Gate.BAN] > 0


def test_logs_of_a_fleet_are_added_up(tmp_path: Path) -> None:
    """A restart begins from nothing; lines of other kinds are passed over."""
    line = "2026 INFO lemonshunt.engine: state: serving; held by: "
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
    rows, refused = gates.added(tmp_path)
    assert rows[0] == {"window": 1.0, "told wait": 0.5, "pace by our share of the limit": 2.5}
    assert rows[1]["window"] == 3.0
    assert rows[2] == {"outage": 2.0}
    assert refused == {(7, "outage"): 3}
    assert gates.table(rows)[1].startswith("window")
    assert "4" not in gates.table(rows)[1][:40]
    assert all(gate.value in gates.gates(f"state: x; held by: {gate.value} 1.5 s") for gate in Gate)
