"""Graceful shutdown (SIGTERM): serves as before while clients still arrive, then waits for work in progress."""

from __future__ import annotations

import asyncio
import logging
import time

from forwarder.clients.drain import DRAIN_DELAY_S
from forwarder.runtime.context import Runtime

FREEZE_S = 2.8
"""Time after SIGTERM from which nothing new is sent, and only work in progress is waited for."""
EXIT_S = 3.3
"""Time after SIGTERM at which the process ends at the latest: SIGKILL may come at 3.7 s."""
CHECK_INTERVAL_S = 0.05
log = logging.getLogger("forwarder.engine")


class GracefulShutdown:
    """Ends the process, by setting `done`, once nothing is left to wait for."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.done = asyncio.Event()

    def start(self) -> None:
        """Begins the shutdown; a second call does nothing."""
        runtime = self.runtime
        if runtime.run_state.is_stopping:
            return
        runtime.run_state.stopping_since_s = time.monotonic()
        log.info("stopping: held=%d calls=%d", len(runtime.store.messages), runtime.pool.calls_in_flight)
        runtime.start_draining()
        runtime.supervisor.repeat("stop", CHECK_INTERVAL_S, self._check).arm(DRAIN_DELAY_S)

    def _check(self) -> None:
        """Freezes the process when that is due, and ends it once nothing is left to wait for or its time is over."""
        runtime = self.runtime
        stopping_since_s = runtime.run_state.stopping_since_s
        assert stopping_since_s is not None
        elapsed_s = time.monotonic() - stopping_since_s
        if elapsed_s >= FREEZE_S and not runtime.run_state.is_frozen:
            self._freeze()
        if elapsed_s >= EXIT_S or self._has_nothing_left():
            log.info(
                "stopped: the journal keeps held=%d pending_notices=%d",
                len(runtime.store.messages),
                len(runtime.store.pending_notices),
            )
            self.done.set()

    def _freeze(self) -> None:
        runtime = self.runtime
        if runtime.loop.has_work():
            runtime.loop.run_round()
        runtime.loop.sync_barrier()
        runtime.run_state.is_frozen = True
        for extension in runtime.extensions:
            runtime.supervisor.guard(extension.name, extension.abort)

    def _has_nothing_left(self) -> bool:
        """Returns whether all work is done or, once the process is frozen, all work that could still end."""
        runtime = self.runtime
        if runtime.store.pending_notices:
            return False
        if runtime.run_state.is_frozen and not runtime.pool.calls_in_flight:
            return True
        is_busy = any(extension.is_busy() for extension in runtime.extensions)
        return not (runtime.store.messages or runtime.intake.pending or is_busy)
