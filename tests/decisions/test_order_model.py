"""A state machine test of the real engine with random events and restarts, checked against an oracle.

The messages of a key must be sent in order, and no message may be sent after its end, for any sequence of rejections,
local failures, notices, failing writes and restarts. Hypothesis derives the examples from the source of KeyOrder.
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
from forwarder.units import SECOND_US
from lab.harness.config import CLASSES, ENDPOINTS, KEY_BACKOFF_US
from lab.harness.forwarder import ForwarderHarness

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
        self.harness = ForwarderHarness(Path(self.folder.name))
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
        self.harness.close()
        self.folder.cleanup()

    @rule(
        key=st.sampled_from(KEYS), cls=st.sampled_from([*CLASSES]), left_us=st.sampled_from([SECOND_US, 6 * SECOND_US])
    )
    def hand_in(self, key: str, cls: str, left_us: int) -> None:
        if key not in self.harness.busy_keys:
            self.names += 1
            self.harness.submit(f"m{self.names}", cls, key, left_us)

    @rule(key=st.sampled_from(KEYS), cls=st.sampled_from([*CLASSES]), outcome=st.sampled_from(OUTCOMES))
    def hand_in_and_end(self, key: str, cls: str, outcome: Outcome) -> None:
        """A message's whole way, if nothing is before it: its call, its outcome, and its notice, if it has one."""
        self.hand_in(key, cls, SECOND_US)
        self.harness.pass_time(10 * MS)
        name = f"m{self.names}"
        if any(message == name for message, _ in self.harness.pool.calls):
            self.harness.pool.end(name, outcome)
        self.harness.pass_time(10 * MS)
        self.harness.send_notices(acknowledged=True)
        self.harness.pass_time(10 * MS)

    @rule(us=st.sampled_from([10 * MS, 60 * MS, KEY_BACKOFF_US // 2]))
    def pass_time(self, us: int) -> None:
        self.harness.pass_time(us)

    @precondition(lambda self: self.harness.pool.calls)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def end_a_call(self, data: st.DataObject, outcome: Outcome) -> None:
        names = sorted({name for name, _ in self.harness.pool.calls})
        self.harness.pool.end(data.draw(st.sampled_from(names)), outcome)
        self.harness.pass_time(10 * MS)

    @rule(heard=st.booleans())
    def notify(self, heard: bool) -> None:
        self.harness.send_notices(heard)

    @rule(calls=st.sampled_from([(), (), FILE_CALLS, ("write",), ("pwrite",), ("replace",), ("open",)]))
    def fail(self, calls: tuple[str, ...]) -> None:
        self.failing = calls

    @precondition(lambda self: self.harness.unanswered)
    @rule()
    def give_up(self) -> None:
        """The client of the oldest message without an answer."""
        self.harness.withdraw(next(iter(self.harness.unanswered)))

    @rule(down_us=st.sampled_from([100 * MS, SECOND_US]), in_order=st.booleans())
    def restart(self, down_us: int, in_order: bool) -> None:
        """By SIGKILL, or in order first."""
        if in_order:
            self.harness.terminate()
        else:
            self.harness.kill()
        self.harness.clock.now_us += down_us
        self.harness.start()
        self.harness.pass_time(10 * MS)
        self.harness.pass_time(10 * MS)

    @rule()
    def upgrade(self) -> None:
        """Another process takes over, if the journal has all that it goes by."""
        self.harness.hand_over()
        self.harness.pass_time(10 * MS)

    @rule(number=st.integers(0, ENDPOINTS - 1), health=st.sampled_from(["up", "up", "draining", "removed"]))
    def change_list(self, number: int, health: str) -> None:
        self.harness.change_endpoint(number, health)
        self.harness.pass_time(10 * MS)

    @invariant()
    def breaks_no_rule(self) -> None:
        assert self.harness.overdue_messages() == []
        assert self.harness.oracle.violations == []
        assert "violations: none" in self.harness.engine.commands.rules()


KeyOrder.TestCase.settings = profile(derandomize=True, max_examples=80, stateful_step_count=50, deadline=None)
test_keys_keep_their_order = KeyOrder.TestCase


def test_every_accepted_message_ends(tmp_path: Path) -> None:
    """Checks the harness itself: every message of a run with a crash ends, and some messages are delivered."""
    harness = ForwarderHarness(tmp_path)
    for n in range(20):
        harness.submit(f"m{n}", [*CLASSES][n % 3], f"k{n % 5}", 2 * SECOND_US)
        harness.pass_time(20 * MS)
        if n == 10:
            harness.kill()
            harness.start()
        for name in sorted({name for name, _ in harness.pool.calls})[:1]:
            harness.pool.end(name, OUTCOMES[n % len(OUTCOMES)])
    for _ in range(300):
        harness.pass_time(20 * MS)
        harness.send_notices(acknowledged=True)
    assert not harness.oracle.pending_messages()
    assert any(message.is_delivered for message in harness.oracle.messages.values())
    harness.close()


def test_a_call_to_an_endpoint_that_has_left_the_list_continues_across_a_hand_over(tmp_path: Path) -> None:
    """The new process must not lose the call, or it sends the message again and releases the next one of its key.

    The state machine above found this failure.
    """
    harness = ForwarderHarness(tmp_path)
    harness.submit("m1", "once", "k1", 6 * SECOND_US)
    harness.pass_time(10 * MS)
    (call,) = harness.pool.calls.values()
    called = next(n for n in range(ENDPOINTS) if harness.engine.endpoint_table.names[call.endpoint] == f"s{n}")
    harness.change_endpoint(called, "removed")
    harness.submit("m2", "once", "k1", 6 * SECOND_US)
    assert harness.hand_over()
    for _ in range(20):
        harness.pass_time(20 * MS)
    assert [name for name, _ in harness.pool.calls] == ["m1"]
    assert "violations: none" in harness.engine.commands.rules()
    assert harness.oracle.violations == []
    harness.pool.end("m1", Outcome.DELIVERED)
    for _ in range(20):
        harness.pass_time(20 * MS)
    assert [name for name, _ in harness.pool.calls] == ["m2"]
    harness.close()
