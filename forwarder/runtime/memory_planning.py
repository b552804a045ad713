"""Makes the plan of this process's memory from its configuration and what it takes."""

from __future__ import annotations

import logging

from forwarder.config.config import BYTES_PER_MB, Config
from forwarder.decisions.memory_plan import MemoryPlan, plan_memory
from forwarder.runtime.process_memory import USUAL_BASE_BYTES, own_memory_bytes

BYTES_PER_KB = 1000
UNPLANNED = MemoryPlan(limit_bytes=0, request_bytes=0, endpoint_list_bytes=0, handover_bytes=0)
"""Stands for the plan until the first one is made."""
log = logging.getLogger("forwarder.engine")


def plan_process_memory(config: Config, connections: int, held_bytes: int) -> MemoryPlan:
    """Returns the plan for the memory that is left now.

    Args:
        config: the configuration.
        connections: the most connections, of clients and to endpoints together.
        held_bytes: the memory that requests in part take now, which is not a part of what the process always takes.
    """
    base_bytes = (own_memory_bytes() or USUAL_BASE_BYTES) - held_bytes
    return plan_memory(config.memory_mb * BYTES_PER_MB, base_bytes, config.disk_bytes, connections)


def log_memory_plan(plan: MemoryPlan) -> None:
    """Logs a plan, with what the process takes."""
    own_bytes = own_memory_bytes()
    log.info(
        "memory: %d kB allowed, %s kB used; at most %d kB for requests in part, %d kB for an endpoint list, "
        "%d kB for requests that are handed over",
        plan.limit_bytes // BYTES_PER_KB,
        "unknown" if own_bytes is None else own_bytes // BYTES_PER_KB,
        plan.request_bytes // BYTES_PER_KB,
        plan.endpoint_list_bytes // BYTES_PER_KB,
        plan.handover_bytes // BYTES_PER_KB,
    )
