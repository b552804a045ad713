"""When the periodic checks end a message themselves, and when they leave it to the decisions."""

from __future__ import annotations

import time
from types import SimpleNamespace

from forwarder.runtime.periodic_checks import INTERVAL_S, LAG_S, OVERDUE_US, PeriodicChecks
from forwarder.runtime.startup_phase import StartupPhase
from forwarder.storage.clock import Clock
from forwarder.units import SECOND_US

BLOCKED_S = 0.3


class FakeStore:
    """A store with one message, whose retry of a failed write can take long."""

    def __init__(self, due_us: int) -> None:
        self.messages = {"m": SimpleNamespace(id="m", due_us=due_us, key=None)}
        self.pending_notices: dict[str, str] = {}
        self.retry_takes_s = 0.0

    def retry(self) -> None:
        time.sleep(self.retry_takes_s)

    def write_snapshot_step(self) -> None: ...

    def add_pending_notice(self, message_id: str, state: str, retry_after_ms: int) -> None:
        self.pending_notices[message_id] = state


def make_checks(store: FakeStore, clock: Clock) -> PeriodicChecks:
    runtime = SimpleNamespace(
        store=store,
        clock=clock,
        notices=SimpleNamespace(wake=lambda: None),
        startup_progress=SimpleNamespace(phase=StartupPhase.SERVING),
        run_state=SimpleNamespace(is_frozen=False),
        post=lambda event: None,
    )
    folder_ownership = SimpleNamespace(begin_to_write=lambda: None, begin_to_hand_over=lambda: None)
    checks = PeriodicChecks(runtime, folder_ownership)
    checks._next_check_s = time.monotonic()
    return checks


def test_a_check_that_is_blocked_midway_leaves_messages_to_the_decisions() -> None:
    """Guards against a wrong end: after a stop within a check, it ended a message before the decisions had run."""
    clock = Clock()
    clock.store_anchor = lambda: None
    store = FakeStore(clock() + SECOND_US // 20)
    checks = make_checks(store, clock)
    store.retry_takes_s = BLOCKED_S
    assert BLOCKED_S * SECOND_US > SECOND_US // 20 + OVERDUE_US
    assert BLOCKED_S > LAG_S
    checks._check()
    assert not store.pending_notices


def test_a_message_without_an_end_is_ended_by_a_check_that_is_not_delayed() -> None:
    clock = Clock()
    clock.store_anchor = lambda: None
    store = FakeStore(clock() - OVERDUE_US - 1)
    checks = make_checks(store, clock)
    time.sleep(INTERVAL_S / 10)
    checks._check()
    assert store.pending_notices == {"m": "failed"}
