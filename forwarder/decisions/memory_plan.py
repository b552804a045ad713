"""Divides the memory that the process may have among those it holds data for.

The unanswered input of all clients counts against one sum; the other data has a bound of its own. The floors below hold
even where no memory is free. Who waits or is refused first:

- Requests of clients that are not complete: of the clients that hold more than an equal part, the one that has held
  something for longest is refused.
- Further bytes of clients wait in the kernel.
- Answers of endpoints have a bound each, and the slots limit their number; a longer one counts as unreadable.
- An endpoint list that is too long counts as unreadable, and discovery is asked again.
- Accepted messages may take what the journal has room for; new ones are refused then.
- Requests in part at a hand-over: the largest are refused before it.
"""

from __future__ import annotations

from dataclasses import dataclass

CONNECTION_BYTES = 4_000
"""Memory of a connection on which nothing is held."""
MIN_REQUEST_BYTES = 1_000_000
MAX_REQUEST_BYTES = 16_000_000
REQUEST_SHARE = 0.35
"""Share of the free memory for requests that are not complete. Answers of endpoints and the list take the rest."""
MIN_ENDPOINT_LIST_BYTES = 1_000_000
"""Enough for the list of the largest fleet, 3,200 endpoints, with indentation."""
MAX_ENDPOINT_LIST_BYTES = 8 * 1024 * 1024
LIST_COST_FACTOR = 10
"""Memory of a list that is being read, in relation to its length on the wire."""
HANDOVER_COST_FACTOR = 4
"""Memory of the description of a hand-over, in relation to the bytes of requests that it contains."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How much may be held, in bytes of memory unless it says otherwise."""

    limit_bytes: int
    """The memory that the process may have."""
    request_bytes: int
    """For the input of all clients that is not answered yet."""
    endpoint_list_bytes: int
    """The longest answer with an endpoint list, on the wire."""
    handover_bytes: int
    """The requests in part that are handed over to another process, on the wire."""


def plan_memory(limit_bytes: int, base_bytes: int, disk_bytes: int, connections: int) -> MemoryPlan:
    """Returns the plan of a process.

    Args:
        limit_bytes: the memory that the process may have.
        base_bytes: the memory of the process before it serves anybody.
        disk_bytes: the size of the state folder. Its files count as memory, and its messages are in memory too.
        connections: the most connections, of clients and to endpoints together.
    """
    fixed_bytes = base_bytes + 2 * disk_bytes + connections * CONNECTION_BYTES
    free_bytes = max(0, limit_bytes - fixed_bytes)
    request_bytes = round(min(MAX_REQUEST_BYTES, max(MIN_REQUEST_BYTES, REQUEST_SHARE * free_bytes)))
    list_bytes = free_bytes // LIST_COST_FACTOR
    return MemoryPlan(
        limit_bytes,
        request_bytes,
        min(MAX_ENDPOINT_LIST_BYTES, max(MIN_ENDPOINT_LIST_BYTES, list_bytes)),
        request_bytes // HANDOVER_COST_FACTOR,
    )
