"""Checks that the runtime makes several times a second, independently of rounds."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

from forwarder.decisions.events import MessageWithdrawn, PendingNoticeRecovered
from forwarder.runtime.context import Runtime
from forwarder.runtime.folder_ownership import FolderOwnership
from forwarder.runtime.startup_phase import StartupPhase
from forwarder.runtime.state_log import log_state
from forwarder.runtime.supervisor import RepeatingTimer
from forwarder.storage.messages import AcceptedMessage

INTERVAL_S = 0.1
LAG_S = 0.1
"""Delay of the event loop that is logged, and after which overdue messages are left to the decisions."""
LAG_LOG_INTERVAL_S = 10.0
REASONS_LOG_INTERVAL_S = 1.0
STATE_LOG_INTERVAL_S = 5.0
OVERDUE_US = 120_000
"""Time after its deadline at which a message that still has no end is ended here."""
log = logging.getLogger("forwarder.engine")


class PeriodicChecks:
    """Retries failed writes, logs the state, and ends messages that were left without an end."""

    def __init__(self, runtime: Runtime, folder_ownership: FolderOwnership) -> None:
        self.runtime = runtime
        self.folder_ownership = folder_ownership
        self._next_check_s = 0.0
        self._lag_logged_s = -LAG_LOG_INTERVAL_S
        self._state_logged_s = time.monotonic()
        self._reasons_logged_s = self._state_logged_s

    def start(self) -> RepeatingTimer:
        """Starts the checks, which run until the returned timer is cancelled."""
        self._next_check_s = time.monotonic() + INTERVAL_S
        return self.runtime.supervisor.repeat("tick", INTERVAL_S, self._check)

    def _check(self) -> None:
        runtime = self.runtime
        due_s = self._next_check_s
        now_s = time.monotonic()
        lag_s = now_s - due_s
        self._next_check_s = now_s + INTERVAL_S
        if lag_s > LAG_S and now_s - self._lag_logged_s > LAG_LOG_INTERVAL_S:
            self._lag_logged_s = now_s
            log.warning("the event loop was blocked for %d ms", lag_s * 1000)
        if now_s - self._state_logged_s > STATE_LOG_INTERVAL_S:
            self._state_logged_s = now_s
            runtime.plan_memory()
            log_state(runtime)
        runtime.store.retry()
        runtime.store.write_snapshot_step()
        self.folder_ownership.begin_to_write()
        self.folder_ownership.begin_to_hand_over()
        if runtime.store.pending_notices:
            runtime.notices.wake()
        if now_s - self._reasons_logged_s > REASONS_LOG_INTERVAL_S:
            self._reasons_logged_s = now_s
            runtime.reasons.report()
        self._update_startup()
        overdue = self._overdue_messages()
        # After a delay the decisions come first, since their timers are due as well. The clock is read after the steps
        # above, so that a delay within this check counts too.
        if time.monotonic() - due_s <= LAG_S:
            self._end_messages(overdue)

    def _update_startup(self) -> None:
        progress = self.runtime.startup_progress
        if progress.phase is StartupPhase.SERVING:
            return
        if progress.update(self.runtime.clock(), self.runtime.store.messages):
            log.info("phase: %s", progress.describe(self.runtime.clock()))

    def end_overdue_messages(self) -> None:
        """Ends the messages that the decisions left without an end past their deadline: each is promised an end."""
        self._end_messages(self._overdue_messages())

    def _overdue_messages(self) -> list[AcceptedMessage]:
        runtime = self.runtime
        if runtime.run_state.is_frozen:
            return []
        limit_us = runtime.clock() - OVERDUE_US
        return [message for message in runtime.store.messages.values() if message.due_us < limit_us]

    def _end_messages(self, overdue: Iterable[AcceptedMessage]) -> None:
        runtime = self.runtime
        for message in overdue:
            log.error("a message was left without an end: id=%s", message.id)
            runtime.store.add_pending_notice(message.id, "failed", 0)
            if message.key is not None:  # the next of its key waits until the notice is acknowledged
                runtime.post(PendingNoticeRecovered(message.id, message.key))
            runtime.post(MessageWithdrawn(message.id))
