"""What the runtime looks at several times a second, whatever else goes on."""

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
"""A delay of the event loop that is worth a line in the log."""
LAG_LOG_INTERVAL_S = 10.0
REASONS_LOG_INTERVAL_S = 1.0
STATE_LOG_INTERVAL_S = 5.0
OVERDUE_US = 120_000
"""A message without an end is ended here so long after its time."""
log = logging.getLogger("forwarder.engine")


class PeriodicChecks:
    """Retries what could not be written, logs the state, and ends messages that were left without an end."""

    def __init__(self, runtime: Runtime, folder_ownership: FolderOwnership) -> None:
        self.runtime = runtime
        self.folder_ownership = folder_ownership
        self._next_check_s = 0.0
        self._lag_logged_s = -LAG_LOG_INTERVAL_S
        self._state_logged_s = time.monotonic()
        self._reasons_logged_s = self._state_logged_s

    def start(self) -> RepeatingTimer:
        """Makes the checks from now on, until what is returned is cancelled."""
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
            log.warning("the loop stood still for %d ms", lag_s * 1000)
        if now_s - self._state_logged_s > STATE_LOG_INTERVAL_S:
            self._state_logged_s = now_s
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
        self._follow_startup()
        overdue = self._overdue_messages()
        # After a standstill the decisions come first: their timers are due as well. The clock is read after what it is
        # to vouch for, so that a standstill within this check counts too.
        if time.monotonic() - due_s <= LAG_S:
            self._end(overdue)

    def _follow_startup(self) -> None:
        progress = self.runtime.startup_progress
        if progress.phase is StartupPhase.SERVING:
            return
        if progress.update(self.runtime.clock(), self.runtime.store.messages):
            log.info("phase: %s", progress.describe(self.runtime.clock()))

    def end_overdue_messages(self) -> None:
        """Ends what the decisions have left without an end past its time: that would break a promise."""
        self._end(self._overdue_messages())

    def _overdue_messages(self) -> list[AcceptedMessage]:
        runtime = self.runtime
        if runtime.run_state.is_frozen:
            return []
        limit_us = runtime.clock() - OVERDUE_US
        return [message for message in runtime.store.messages.values() if message.due_us < limit_us]

    def _end(self, overdue: Iterable[AcceptedMessage]) -> None:
        runtime = self.runtime
        for message in overdue:
            log.error("a message was left without an end: id=%s", message.id)
            runtime.store.add_pending_notice(message.id, "failed", 0)
            if message.key is not None:  # the next of its key waits until the platform has heard of it
                runtime.post(PendingNoticeRecovered(message.id, message.key))
            runtime.post(MessageWithdrawn(message.id))
