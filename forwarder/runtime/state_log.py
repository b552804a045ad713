"""Log lines that describe the state of the forwarder every few seconds; counts are since the start."""

from __future__ import annotations

import logging
import os
import time

from forwarder.config.config import BYTES_PER_MB
from forwarder.runtime.context import Runtime
from forwarder.runtime.memory_planning import BYTES_PER_KB
from forwarder.runtime.process_memory import own_memory_bytes
from forwarder.runtime.reason_counts import Subject
from forwarder.units import SECOND_US

MAX_HOLD_REASONS = 3
"""Number of hold reasons that a line names, the largest first."""
log = logging.getLogger("forwarder.engine")


def open_descriptors() -> int:
    """Returns how many file descriptors this process has open, or -1 if that cannot be read."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # not counting the one that lists the folder
    except OSError:
        return -1


def log_state(runtime: Runtime) -> None:
    """Logs the state of a running forwarder."""
    _log_counts(runtime)
    reasons = runtime.reasons
    log.info(
        "state: closed for clients: %s; violations: %d (%s)",
        reasons.summary(Subject.CLIENT_CLOSED),
        reasons.total(Subject.VIOLATION),
        reasons.summary(Subject.VIOLATION),
    )
    log.info(
        "state: read late: %s; refused: %s; held back: %s; retries: %s",
        reasons.summary(Subject.READ_LATE),
        reasons.summary(Subject.REFUSAL),
        reasons.summary(Subject.HELD_BACK),
        reasons.summary(Subject.RETRY),
    )
    _log_memory(runtime)
    listener = runtime.server.listener
    log.info(
        "state: lock %s; accept %s; connection for notices: %s; notices: %s",
        "held" if runtime.ownership.has_lock else "missing",
        "not begun" if listener is None else listener.accepting.describe(),
        runtime.notices.connecting.describe(),
        runtime.notices.posting.describe(),
    )
    largest = runtime.dispatcher.hold_times.totals()[:MAX_HOLD_REASONS]
    held_by = [f"{reason.value} {held_us / SECOND_US:.1f} s" for reason, held_us in largest]
    log.info("state: %s; held by: %s", runtime.startup_progress.phase.value, "; ".join(held_by) or "nothing")
    for extension in runtime.extensions:
        log.info("state: %s: %s", extension.name, extension.describe_state())


def _log_memory(runtime: Runtime) -> None:
    """Logs the memory of the process, and what is held for whom."""
    server = runtime.server
    own_bytes = own_memory_bytes()
    log.info(
        "state: memory: allowed_kb=%d own_kb=%s requests_kb=%d of %d; messages_kb=%d answers_kb=%d journal_kb=%d; "
        "waiting for a turn=%d",
        runtime.config.memory_mb * BYTES_PER_MB // BYTES_PER_KB,
        "unknown" if own_bytes is None else own_bytes // BYTES_PER_KB,
        server.request_memory.used_bytes // BYTES_PER_KB,
        server.request_memory.limit_bytes // BYTES_PER_KB,
        sum(len(message.body) for message in runtime.store.messages.values()) // BYTES_PER_KB,
        sum(len(connection.received) for connection in runtime.pool.connections) // BYTES_PER_KB,
        runtime.store.recovery_bytes // BYTES_PER_KB,
        len(server.turns),
    )


def _log_counts(runtime: Runtime) -> None:
    store = runtime.store
    usage = store.files.usage
    key_queues = runtime.dispatcher.key_queues.by_key.values()
    log.info(
        "state: held=%d queued_by_key=%d key_queues=%d calls=%d pending_notices=%d disabled_endpoints=%d "
        "clients=%d endpoint_connections=%d descriptors=%d rounds=%d cpu_s=%.1f "
        "journal_kb=%d live_kb=%d compactions=%d disk_kb=%d of %d, at most %d%s",
        len(store.messages),
        sum(len(queue.messages) for queue in key_queues),
        len(key_queues),
        runtime.pool.calls_in_flight,
        len(store.pending_notices),
        len(store.disabled_endpoints),
        len(runtime.server.connections),
        len(runtime.pool.connections),
        open_descriptors(),
        runtime.loop.rounds,
        time.process_time(),
        store.recovery_bytes // 1000,
        store.message_bytes // 1000,
        store.compactions,
        usage.used_bytes // BYTES_PER_KB,
        usage.limit_bytes // BYTES_PER_KB,
        usage.peak_bytes // BYTES_PER_KB,
        "" if not store.recovered.is_damaged else f"; as found: {store.describe_damage()}",
    )
