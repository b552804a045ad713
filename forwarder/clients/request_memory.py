"""Counts the memory that clients' unanswered input takes, and tells who is refused when it is too much."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

UNLIMITED_BYTES = 1 << 62


class Holder(Protocol):
    """A connection that holds input."""

    def has_partial_request(self) -> bool:
        """Returns whether it holds a request whose end has not arrived, which can be refused."""


HolderT = TypeVar("HolderT", bound=Holder)


class RequestMemory(Generic[HolderT]):
    """The memory that all connections together hold.

    Each connection may always hold an equal part of the limit, so that slow clients cannot take the room of sound ones.

    Attributes:
        limit_bytes: the memory that all connections together may hold.
        equal_part_bytes: the memory that each connection may hold in any case.
        used_bytes: the memory that they hold.
    """

    def __init__(self) -> None:
        self.limit_bytes = UNLIMITED_BYTES
        self.equal_part_bytes = UNLIMITED_BYTES
        self.used_bytes = 0
        self._held: dict[HolderT, int] = {}
        """By connection, those that have held something for longest first."""

    def set_limit(self, limit_bytes: int, max_connections: int) -> None:
        """Sets the limit, which `max_connections` connections share."""
        self.limit_bytes = limit_bytes
        self.equal_part_bytes = limit_bytes // max_connections

    def free_bytes(self) -> int:
        """Returns how much more may be held."""
        return max(0, self.limit_bytes - self.used_bytes)

    def note(self, holder: HolderT, held_bytes: int) -> None:
        """Notes what a connection holds now; 0 if nothing."""
        self.used_bytes += held_bytes - self._held.get(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)

    def next_to_refuse(self) -> HolderT | None:
        """Returns the connection whose partial request is refused next; None if the limit is kept.

        It is the one that has held something for longest, of those that hold more than an equal part.
        """
        return next(self._refusable(), None) if self.used_bytes > self.limit_bytes else None

    def _refusable(self) -> Iterator[HolderT]:
        for holder, held_bytes in self._held.items():
            if held_bytes > self.equal_part_bytes and holder.has_partial_request():
                yield holder

    def largest_partial(self) -> HolderT | None:
        """Returns the connection that holds the most, of those with a partial request; None if there is none."""
        partial = [holder for holder in self._held if holder.has_partial_request()]
        return max(partial, key=self._held.__getitem__, default=None)
