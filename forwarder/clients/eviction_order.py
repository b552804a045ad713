"""The order in which client connections are closed to make room for others, updated with each use."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class EvictableConnection(Protocol):
    """The attributes that determine the order. Times are microseconds of the forwarder's clock."""

    opened_us: int
    last_used_us: int
    has_sent_request: bool


Connection = TypeVar("Connection", bound=EvictableConnection)


class EvictionOrder(Generic[Connection]):
    """Orders connections by how soon they are closed to make room.

    Connections without a complete request that are no longer new come first, the oldest of them at the front. Then come
    those that have sent a request, the least recently used at the front, and last the new ones.

    Attributes:
        proposed_count: number of connections proposed since the start.
    """

    def __init__(self) -> None:
        self.proposed_count = 0
        self._without_request: OrderedDict[Connection, None] = OrderedDict()
        self._by_last_use: OrderedDict[Connection, None] = OrderedDict()

    def note_use(self, connection: Connection) -> None:
        """Adds a connection, or notes that it was just used."""
        if connection.has_sent_request:
            self._without_request.pop(connection, None)
            self._by_last_use[connection] = None
            self._by_last_use.move_to_end(connection)
        else:
            self._without_request.setdefault(connection)

    def discard(self, connection: Connection) -> None:
        """Removes a connection if it is present."""
        self._without_request.pop(connection, None)
        self._by_last_use.pop(connection, None)

    def sort(self) -> None:
        """Sorts connections by their last use, since a hand-over adds them in no particular order."""
        self._by_last_use = OrderedDict.fromkeys(sorted(self._by_last_use, key=lambda each: each.last_used_us))

    def propose(self, new_since_us: int, max_proposals: int) -> Iterator[Connection]:
        """Proposes connections to close, in order.

        A proposed connection moves to the back of its queue, so that one that cannot be closed now is proposed again
        only after all others.

        Args:
            new_since_us: connections opened at this time or later are new.
            max_proposals: maximum number of connections to propose.
        """
        queues = ((self._without_request, new_since_us), (self._by_last_use, None), (self._without_request, None))
        for queue, opened_before_us in queues:
            for _ in range(min(max_proposals, len(queue))):
                connection = next(iter(queue), None)
                if connection is None or (opened_before_us is not None and connection.opened_us >= opened_before_us):
                    break
                queue.move_to_end(connection)
                max_proposals -= 1
                self.proposed_count += 1
                yield connection
