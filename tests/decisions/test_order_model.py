"""Order of keys, and no message forwarded after its end, over any sequence of refusals, calls that this machine cannot
make, notices, failing writes and restarts: the real engine against what its clients and the platform know.
"""

from __future__ import annotations

import errno
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import hypothesis.strategies as st
from hypothesis import settings as profile
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from forwarder.decisions.outcomes import Outcome
from lab.single import CLASSES, HOSTS, KEY_REST_US, SECOND, Single

MS = 1000
KEYS = ("k1", "k2")
OUTCOMES = (
    Outcome.DELIVERED,
    Outcome.FAILED,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.RESET,
    Outcome.NO_CONNECTION,
    Outcome.UNREADABLE,
    Outcome.LOCAL_FAILURE,
)
FILE_CALLS = ("write", "pwrite", "open", "ftruncate", "replace")


class KeyOrder(RuleBasedStateMachine):
    """Each rule is one thing that happens; the forwarder looks after each."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.single = Single(Path(self.folder.name))
        self.names = 0
        self.failing: tuple[str, ...] = ()
        self.real = {name: getattr(os, name) for name in FILE_CALLS}
        for name, call in self.real.items():
            setattr(os, name, self.may_fail(name, call))

    def may_fail(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def replaced(*arguments: Any, **named: Any) -> Any:
            reads = name == "open" and not arguments[1] & os.O_RDWR
            if name in self.failing and not reads:
                raise OSError(errno.EIO, "for the test")
            return call(*arguments, **named)

        return replaced

    def teardown(self) -> None:
        for name, call in self.real.items():
            setattr(os, name, call)
        self.single.close()
        self.folder.cleanup()

    @rule(key=st.sampled_from(KEYS), cls=st.sampled_from([*CLASSES]), left_us=st.sampled_from([SECOND, 6 * SECOND]))
    def hand_in(self, key: str, cls: str, left_us: int) -> None:
        if key not in self.single.busy:
            self.names += 1
            self.single.hand_in(f"m{self.names}", cls, key, left_us)

    @rule(key=st.sampled_from(KEYS), cls=st.sampled_from([*CLASSES]), outcome=st.sampled_from(OUTCOMES))
    def hand_in_and_end(self, key: str, cls: str, outcome: Outcome) -> None:
        """A message's whole way, if nothing is before it: its call, its outcome, and its notice, if it has one."""
        self.hand_in(key, cls, SECOND)
        self.single.pass_time(10 * MS)
        name = f"m{self.names}"
        if any(message == name for message, _ in self.single.calls.calls):
            self.single.calls.end(name, outcome)
        self.single.pass_time(10 * MS)
        self.single.notify(heard=True)
        self.single.pass_time(10 * MS)

    @rule(us=st.sampled_from([10 * MS, 60 * MS, KEY_REST_US // 2]))
    def pass_time(self, us: int) -> None:
        self.single.pass_time(us)

    @precondition(lambda self: self.single.calls.calls)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def end_a_call(self, data: st.DataObject, outcome: Outcome) -> None:
        names = sorted({name for name, _ in self.single.calls.calls})
        self.single.calls.end(data.draw(st.sampled_from(names)), outcome)
        self.single.pass_time(10 * MS)

    @rule(heard=st.booleans())
    def notify(self, heard: bool) -> None:
        self.single.notify(heard)

    @rule(calls=st.sampled_from([(), (), FILE_CALLS, ("write",), ("pwrite",), ("replace",), ("open",)]))
    def fail(self, calls: tuple[str, ...]) -> None:
        self.failing = calls

    @precondition(lambda self: self.single.doors)
    @rule()
    def give_up(self) -> None:
        """The client of the oldest message without an answer."""
        self.single.give_up(next(iter(self.single.doors)))

    @rule(down_us=st.sampled_from([100 * MS, SECOND]), in_order=st.booleans())
    def restart(self, down_us: int, in_order: bool) -> None:
        """By SIGKILL, or in order first."""
        if in_order:
            self.single.stop()
        else:
            self.single.kill()
        self.single.now_us += down_us
        self.single.start()
        self.single.pass_time(10 * MS)
        self.single.pass_time(10 * MS)

    @rule()
    def upgrade(self) -> None:
        """Another process takes over, if the journal has all that it goes by."""
        self.single.hand_over()
        self.single.pass_time(10 * MS)

    @rule(number=st.integers(0, HOSTS - 1), health=st.sampled_from(["up", "up", "draining", "removed"]))
    def change_list(self, number: int, health: str) -> None:
        self.single.change_list(number, health)
        self.single.pass_time(10 * MS)

    @invariant()
    def breaks_no_rule(self) -> None:
        assert self.single.left_without_end() == []
        assert self.single.oracle.broken == []
        assert "violations: none" in self.single.engine.commands.rules()


KeyOrder.TestCase.settings = profile(derandomize=True, max_examples=80, stateful_step_count=50, deadline=None)
test_keys_keep_their_order = KeyOrder.TestCase


def test_every_accepted_message_comes_to_an_end(tmp_path: Path) -> None:
    """The model's own check: what it plays comes to an end, and some of it by each way."""
    single = Single(tmp_path)
    for n in range(20):
        single.hand_in(f"m{n}", [*CLASSES][n % 3], f"k{n % 5}", 2 * SECOND)
        single.pass_time(20 * MS)
        if n == 10:
            single.kill()
            single.start()
        for name in sorted({name for name, _ in single.calls.calls})[:1]:
            single.calls.end(name, OUTCOMES[n % len(OUTCOMES)])
    for _ in range(300):
        single.pass_time(20 * MS)
        single.notify(heard=True)
    assert not single.oracle.unended()
    assert any(fate.delivered for fate in single.oracle.fates.values())
    single.close()


def test_a_call_to_an_endpoint_that_has_left_the_list_goes_on_over_a_hand_over(tmp_path: Path) -> None:
    """Found by the model: who took over forgot the call, tried it again, and let the next of its key go."""
    single = Single(tmp_path)
    single.hand_in("m1", "once", "k1", 6 * SECOND)
    single.pass_time(10 * MS)
    (call,) = single.calls.calls.values()
    called = next(n for n in range(HOSTS) if single.engine.endpoint_table.names[call.endpoint] == f"s{n}")
    single.change_list(called, "removed")
    single.hand_in("m2", "once", "k1", 6 * SECOND)
    assert single.hand_over()
    for _ in range(20):
        single.pass_time(20 * MS)
    assert [name for name, _ in single.calls.calls] == ["m1"]
    assert "violations: none" in single.engine.commands.rules()
    assert single.oracle.broken == []
    single.calls.end("m1", Outcome.DELIVERED)
    for _ in range(20):
        single.pass_time(20 * MS)
    assert [name for name, _ in single.calls.calls] == ["m2"]
    single.close()
