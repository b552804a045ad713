"""The order in which clients' connections are closed to make room for others, kept up to date with each use."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class EvictableConnection(Protocol):
    """What the order goes by. Times are microseconds of the forwarder's clock."""

    opened_us: int
    last_used_us: int
    has_sent_request: bool


Connection = TypeVar("Connection", bound=EvictableConnection)


class EvictionOrder(Generic[Connection]):
    """Connections by how soon they are closed to make room.

    First come those without a complete request that are not quite new, the oldest at the front; then those that have
    sent one, the one whose last use was longest ago at the front; then the new ones.

    Attributes:
        looks: how many connections were ever proposed.
    """

    def __init__(self) -> None:
        self.looks = 0
        self._without_request: OrderedDict[Connection, None] = OrderedDict()
        self._by_last_use: OrderedDict[Connection, None] = OrderedDict()

    def note_use(self, connection: Connection) -> None:
        """Adds a connection, or notes that it was used just now."""
        if connection.has_sent_request:
            self._without_request.pop(connection, None)
            self._by_last_use[connection] = None
            self._by_last_use.move_to_end(connection)
        else:
            self._without_request.setdefault(connection)

    def discard(self, connection: Connection) -> None:
        """Forgets a connection, if it is among them."""
        self._without_request.pop(connection, None)
        self._by_last_use.pop(connection, None)

    def sort(self) -> None:
        """Puts connections that were handed over, in whatever order, into the order of their last uses."""
        self._by_last_use = OrderedDict.fromkeys(sorted(self._by_last_use, key=lambda each: each.last_used_us))

    def propose(self, new_since_us: int, max_looks: int) -> Iterator[Connection]:
        """Proposes connections to be closed, in their order.

        A proposed one goes to the back of its kind: what cannot be closed now is not proposed again before all others.

        Args:
            new_since_us: those opened at this time or later are new.
            max_looks: how many to propose at most.
        """
        kinds = ((self._without_request, new_since_us), (self._by_last_use, None), (self._without_request, None))
        for kind, opened_before_us in kinds:
            for _ in range(min(max_looks, len(kind))):
                connection = next(iter(kind), None)
                if connection is None or (opened_before_us is not None and connection.opened_us >= opened_before_us):
                    break
                kind.move_to_end(connection)
                max_looks -= 1
                self.looks += 1
                yield connection
