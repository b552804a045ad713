"""The module's decisions, one small script each."""

import pytest

from forwarder.decisions.actions import (
    Action,
    EjectionChanged,
    FailMessage,
    LogLine,
    RejectMessage,
    RequestEndpointList,
    SendAttempt,
)
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EjectionRecovered,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    LoadReport,
    MessageRecovered,
    MessageWithdrawn,
    SettingsChanged,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import Effect, MessageClass
from tests.scripts import MS, S, ask, end, finals, sends, settings, started

OK, FULL, LATE, FAILED = Outcome.DELIVERED, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.FAILED
ONE = (EndpointEntry(1, 10, "north", "plain"),)
CLASS = {c.name: c for c in settings().classes}


def sweep(d: Dispatcher, start: int, stop: int, step: int = 20 * MS) -> list[tuple[int, Action]]:
    """Nothing but timers for a while."""
    return [(t, a) for t in range(start, stop, step) for a in d.handle(t, [TimerFired("look")])]


def test_group_leaves_by_deadline_and_shortest_call_within_it() -> None:
    d = started(slots=1)
    first = sends(d.handle(0, [ask("warm", 11)]))[0]
    d.handle(900 * MS, [end(first, OK, took=900 * MS)])  # destination 11 now looks slow
    first = sends(d.handle(901 * MS, [ask("busy")]))[0]
    d.handle(902 * MS, [ask("long", 11, due=6 * S), ask("short", 12, due=7 * S), ask("far", 12, due=30 * S)])
    order = []
    for n in range(3):
        send = sends(d.handle(903 * MS + n, [end(first, OK, took=MS)]))[0]
        order.append(send.message_id)
        first = send
    assert order == ["short", "long", "far"]


def test_window_starts_at_one_and_grows_by_success() -> None:
    d = started(ONE)
    batch = [ask(f"m{n}") for n in range(9)]
    out = sends(d.handle(0, batch))
    assert len(out) == 1
    out = sends(d.handle(100 * MS, [end(out[0], OK)]))
    assert len(out) == 2


def test_window_is_halved_by_a_refusal_and_a_destination_never_takes_all_slots() -> None:
    d = started(ONE)
    out, most, now = sends(d.handle(0, [ask(f"m{n}") for n in range(60)])), 0, 0
    while len(out) < 6 and now < 3 * S:
        now += 100 * MS
        out = out[1:] + sends(d.handle(now, [end(out[0], OK)]))
        most = max(most, len(out))
    assert most == 6  # three quarters of eight
    d.handle(now + MS, [end(out[0], FULL)])
    kept = sends(d.handle(now + 2 * S, [end(o, OK) for o in out[1:]]))
    assert len(kept) <= 6


def test_message_short_of_time_is_refused_unsent_with_a_retry_after() -> None:
    d = started(ONE)
    first = sends(d.handle(0, [ask("a")]))[0]
    d.handle(10 * MS, [end(first, FULL, retry_after_us=3 * S)])
    actions = d.handle(20 * MS, [ask("b", due=150 * MS)])
    assert finals(actions) == [RejectMessage("b", 2990 * MS)]


def test_told_wait_holds_to_its_end_and_a_shorter_one_never_cuts_it() -> None:
    d = started(ONE)
    first = sends(d.handle(0, [ask("a")]))[0]
    d.handle(10 * MS, [end(first, FULL, retry_after_us=900 * MS)])
    got = [t for t, a in sweep(d, 20 * MS, 2 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 910 * MS


def test_wait_of_a_route_apart_leaves_the_other_route_open() -> None:
    d = started()
    first = sends(d.handle(0, [ask("a", 12)]))[0]
    again = sends(d.handle(10 * MS, [end(first, FULL, retry_after_us=2 * S)]))
    assert again
    assert again[0].endpoint != first.endpoint


def test_drained_target_gets_nothing_and_an_empty_list_drops_all() -> None:
    d = started(ONE)
    d.handle(0, [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(1, 10, state=EndpointState.DRAINING),))])
    assert not sends(d.handle(1, [ask("a", due=500 * MS)]))
    answered = [(t, a) for t, a in sweep(d, 20 * MS, S) if isinstance(a, RejectMessage)]
    assert answered
    assert answered[0][0] <= 500 * MS
    d = started()
    d.handle(0, [EndpointListReceived(EndpointListKind.WHOLE, ())])
    assert not sends(d.handle(1, [ask("b"), ask("c", 11), ask("d", 12)]))


@pytest.mark.parametrize("outcome", [FAILED, LATE, Outcome.RESET, Outcome.CANCELED])
def test_once_is_failed_when_it_may_have_run(outcome: Outcome) -> None:
    d = started(ONE)
    send = sends(d.handle(0, [ask("a", cls="once", due=8 * S)]))[0]
    assert finals(d.handle(50 * MS, [end(send, outcome)])) == [FailMessage("a")]


@pytest.mark.parametrize("outcome", [FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT])
def test_once_goes_again_when_it_never_ran(outcome: Outcome) -> None:
    d = started(ONE)
    send = sends(d.handle(0, [ask("a", cls="once", due=8 * S)]))[0]
    now = sends(d.handle(50 * MS, [end(send, outcome)]))
    assert now or [a for _, a in sweep(d, 60 * MS, 4 * S) if isinstance(a, SendAttempt)]


def test_keyed_resend_keeps_to_scope_and_window() -> None:
    d = started()
    send = sends(d.handle(0, [ask("a", cls="zoned", due=10 * S)]))[0]
    d.handle(
        5,
        [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(send.endpoint, 10, state=EndpointState.GONE),))],
    )
    d.handle(50 * MS, [end(send, FAILED)])
    later = [a for _, a in sweep(d, 60 * MS, 4 * S)]
    assert not [a for a in later if isinstance(a, SendAttempt)]
    assert [a for a in later if isinstance(a, FailMessage)]


def test_key_goes_singly_in_order_and_rests_after_a_timeout() -> None:
    d = started()
    one = ask("a", 10, "turns", 9 * S, key="k")
    two = ask("b", 11, "turns", 9 * S, key="k")
    out = sends(d.handle(0, [one, two]))
    assert [s.message_id for s in out] == ["a"]
    d.handle(2 * S, [end(out[0], LATE, took=2 * S), MessageWithdrawn("a")])
    got = [t for t, a in sweep(d, 2 * S + MS, 3 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 2 * S + 300 * MS


def test_one_time_out_alone_is_no_outage() -> None:
    """i93776c: one long message put its target under the cold budget for the whole warming time."""
    d = started(ONE)
    out = sends(d.handle(0, [ask("a")]))
    d.handle(100 * MS, [end(out[0], OK)])
    out = sends(d.handle(200 * MS, [ask("b")]))
    notes = d.handle(2200 * MS, [end(out[0], LATE, took=2 * S)])
    assert not [a for a in notes if isinstance(a, LogLine)]


def test_late_messages_own_time_out_tells_nothing() -> None:
    """i93776c: messages sent with little time left made a sound target look hung."""
    d = started(ONE)
    for n in range(6):
        out = sends(d.handle(n * S, [ask(f"m{n}", due=n * S + 300 * MS)]))
        actions = d.handle(n * S + 300 * MS, [end(out[0], LATE, took=300 * MS)])
        assert not [a for a in actions if isinstance(a, LogLine)]


def test_full_buffer_costs_the_largest_pile() -> None:
    """i93776c: one destination's pile filled the buffer and all others were turned away at the door."""
    d = started(max_open_messages=20)
    d.handle(0, [ask(f"a{n}", due=6 * S) for n in range(15)] + [ask("b", 12)])
    actions = d.handle(MS, [ask("c", 12), ask("d", 12), ask("e", 12)])
    refused = [a.message_id for a in finals(actions)]
    assert refused
    assert all(name.startswith("a") for name in refused)


def test_refused_limit_is_paced() -> None:
    d = started(ONE)
    out = sends(d.handle(0, [ask("a")]))
    d.handle(100 * MS, [end(out[0], OK, report=LoadReport(0.1, 2.0))])
    count = 0
    for n in range(1, 200):
        out = sends(d.handle(100 * MS + n * 20 * MS, [ask(f"m{n}", due=60 * S)]))
        count += len(out)
        for o in out:
            d.handle(100 * MS + n * 20 * MS + MS, [end(o, OK, report=LoadReport(0.1, 2.0))])
    assert 3 <= count <= 8  # our half of two a second, for four seconds


def test_subscribes_and_asks_again_backing_off() -> None:
    d = Dispatcher(settings(poll_endpoint_list=True), 1, 0)
    assert RequestEndpointList() in d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ONE)])
    times, now = [], 0
    for _ in range(3):
        d.handle(now, [EndpointListReceived(EndpointListKind.FAILED)])
        asked = now
        while not any(isinstance(a, RequestEndpointList) for a in d.handle(now, [TimerFired("look")])):
            now += 50 * MS
            assert now < 60 * S
        times.append(now - asked)
    assert times[0] >= 500 * MS
    assert times[2] >= 2 * S


@pytest.mark.parametrize(
    "bad",
    [
        {"slots": 0},
        {"forwarders": 0},
        {"max_open_messages": 0},
        {"slow_start_from": 2.0},
        {"classes": (MessageClass("x", 1, 0),)},
        {"classes": (MessageClass("x", 1, 5, "twice"),)},  # type: ignore[arg-type]
    ],
)
def test_settings_that_cannot_hold_name_the_setting(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError) as told:
        settings(**bad)
    names = {
        "classes": "deadline_us|effect",
        "forwarders": "balancers",
        "max_open_messages": "max_open",
        "slow_start_from": "cold_from",
    }
    name = names.get(next(iter(bad)), next(iter(bad)))
    assert any(part in str(told.value) for part in name.split("|"))


def test_odd_but_legal() -> None:
    d = started()
    assert finals(d.handle(0, [ask("due", due=-5)])) == [RejectMessage("due", S)]
    assert finals(d.handle(0, [ask("stranger", cls="no such class")])) == [FailMessage("stranger")]
    assert not sends(d.handle(0, [ask("nowhere", 99, due=300 * MS)]))
    assert [a for _, a in sweep(d, MS, 400 * MS) if isinstance(a, RejectMessage)]
    send = sends(d.handle(S, [ask("a")]))[0]
    d.handle(S, [MessageWithdrawn("a"), MessageWithdrawn("a"), TimerFired("unheard of")])
    assert not finals(d.handle(S, [end(send, LATE, closed=True)]))
    d.handle(S, [end(send, OK)])
    assert d.handle(2 * S, []) == []


def test_recalled_message_keeps_what_it_did_before_the_restart() -> None:
    d = started(ONE)
    told = d.handle(
        MS, [MessageRecovered("once", 10, CLASS["once"], 8 * S, attempts=1, maybe_ran_at_us=0, maybe_ran_on=1)]
    )
    assert not sends(told)
    assert finals(told) == [FailMessage("once")]
    told = d.handle(
        S, [MessageRecovered("k", 10, CLASS["keyed"], 8 * S, attempts=2, maybe_ran_at_us=0, maybe_ran_on=1)]
    )
    send = sends(told)[0]
    told = d.handle(3 * S, [end(send, FAILED, attempt=2)])  # its key is remembered for 3 s from the first
    assert not sends(told)
    assert [a.message_id for a in finals(told)] == ["k"]
    cls = CLASS["zoned"]
    told = d.handle(8 * S, [MessageRecovered("z", 10, cls, 9 * S, attempts=1, maybe_ran_at_us=7 * S, maybe_ran_on=99)])
    assert not sends(told)  # its first target is gone, and only that one's zone knows the key


def test_unreadable_answers_are_no_outage_but_may_have_run() -> None:
    d = started((EndpointEntry(1, 10, "north", "plain"),))
    for n in range(4):
        out = sends(d.handle(n * S, [ask(f"m{n}", cls="once", due=(n + 8) * S)]))[0]
        told = d.handle(n * S + MS, [end(out, Outcome.UNREADABLE)])
        assert [a for a in told if isinstance(a, FailMessage)]
        assert not [a for a in told if isinstance(a, EjectionChanged)]


def test_a_silent_target_does_not_keep_the_slot_of_a_once_only_call_to_its_end() -> None:
    """event7785: slots were held for up to 12 s, where a usual call took 60 ms."""
    long = MessageClass("long", 2 * S, 60 * S, Effect.ONCE)
    d = started(classes=(long,))
    out = sends(d.handle(0, [ask("a", cls="long", due=60 * S)]))[0]
    assert S <= out.timeout_us <= 4 * S
    assert finals(d.handle(out.timeout_us, [end(out, LATE, took=out.timeout_us)])) == [FailMessage("a")]
    late = sends(d.handle(50 * S, [ask("b", cls="long", due=51 * S)]))[0]
    assert late.timeout_us == S


def test_key_rests_after_a_restart_cut_off_its_attempt() -> None:
    d = started(ONE)
    told = d.handle(
        0,
        [
            MessageRecovered("a", 10, CLASS["turns"], 8 * S, "k", None, 6, 0, 1, True),
            ask("b", cls="turns", due=8 * S, key="k"),
        ],
    )
    assert [a.message_id for a in finals(told)] == ["a"]
    assert not sends(told)
    got = [t for t, a in sweep(d, 20 * MS, 2 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 300 * MS


@pytest.mark.parametrize("cls", ["safe", "once"])
def test_no_attempt_is_waited_for_much_longer_than_a_usual_call(cls: str) -> None:
    """What has not answered by then has fallen quiet, and its slot is lost to the others."""
    d, now = started(ONE), 0
    for n in range(30):
        send = sends(d.handle(now, [ask(f"m{n}", cls=cls, due=now + 8 * S)]))[0]
        now += 50 * MS
        d.handle(now, [end(send, OK, took=50 * MS)])
    last = sends(d.handle(now, [ask("last", cls=cls, due=now + 8 * S)]))[0]
    assert 300 * MS <= last.timeout_us <= 600 * MS


def test_what_must_wait_past_its_time_is_refused_at_once() -> None:
    """Held to its end it blocked its key, and its client heard too late that it may come again."""
    d = started(ONE, max_retry_after_us=3 * S)
    send = sends(d.handle(0, [ask("first", due=20 * S)]))[0]
    told = d.handle(MS, [end(send, FULL, retry_after_us=9 * S), ask("short"), ask("long", due=20 * S)])
    assert finals(told) == [RejectMessage("short", 3 * S)]
    assert [a.message_id for a in finals(d.handle(2 * MS, [ask("next")]))] == ["next"]
    both = started((*ONE, EndpointEntry(9, 10, "south", "ways")))
    send = next(s for s in sends(both.handle(0, [ask("a"), ask("b")])) if s.endpoint == 1)
    assert not finals(both.handle(MS, [end(send, FULL, retry_after_us=9 * S), ask("free")])), "one target is open"


def test_a_message_keeps_its_class_when_the_settings_change() -> None:
    d = started(ONE, max_attempts=6)
    send = sends(d.handle(0, [ask("old", cls="once", due=8 * S)]))[0]
    fresh = settings(
        max_attempts=2,
        classes=(MessageClass("once", 2 * S, 8 * S), MessageClass("new", 2 * S, 8 * S, Effect.ONCE)),
    )
    told = d.handle(
        MS,
        [
            SettingsChanged(fresh),
            EndpointListReceived(EndpointListKind.WHOLE, ONE),
            ask("gone", cls="safe"),
            ask("new", cls="new", due=8 * S),
            end(send, Outcome.UNREADABLE),
        ],
    )
    assert sorted(a.message_id for a in finals(told)) == ["gone", "old"]
    assert all(isinstance(a, FailMessage) for a in finals(told))
    send = sends(told)[0]
    assert send.message_id == "new"
    assert finals(d.handle(2 * MS, [end(send, Outcome.UNREADABLE)])) == [FailMessage("new")]


def test_fewer_attempts_bind_what_is_held_already() -> None:
    d = started(ONE, max_attempts=6)
    send = sends(d.handle(0, [ask("m")]))[0]
    d.handle(MS, [SettingsChanged(settings(max_attempts=1)), EndpointListReceived(EndpointListKind.WHOLE, ONE)])
    told = d.handle(2 * MS, [end(send, FAILED)])
    assert [a.message_id for a in finals(told)] == ["m"]
    assert not sends(told)


def test_outage_is_told_to_be_remembered_and_binds_when_recalled() -> None:
    d = started(ONE, weights_reported=True)
    now, told = 0, []
    out = sends(d.handle(0, [ask(f"m{n}", due=60 * S) for n in range(3)]))
    for _ in range(40):
        now += 100 * MS
        actions = d.handle(now, [end(o, FAILED, attempt=0) for o in out] + [TimerFired("look")])
        told += [a for a in actions if isinstance(a, EjectionChanged)]
        out = [o for o in sends(actions) if o.message_id not in {x.message_id for x in out}]
    assert told
    assert told[0].endpoint == 1
    assert told[0].recovering_since_us == -1
    d = started(ONE)
    d.handle(S, [EjectionRecovered(1, 0)])
    assert d.slow_start.is_active(d.endpoints[1])
    count = len(sends(d.handle(S, [ask(f"n{n}") for n in range(5)])))
    assert count + sum(isinstance(a, SendAttempt) for _, a in sweep(d, S + 20 * MS, S + 400 * MS)) <= 1
