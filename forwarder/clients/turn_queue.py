"""Divides each iteration of the event loop among the connections whose clients have sent more than one request."""

from __future__ import annotations

import asyncio
from typing import Generic, Protocol, TypeVar

MAX_TURNS_PER_ITERATION = 16


class TurnTaker(Protocol):
    """Has input that waits for its turn."""

    def take_turn(self) -> None:
        """Processes a bounded part of the input, and queues again if there is more."""


Taker = TypeVar("Taker", bound=TurnTaker)


class TurnQueue(Generic[Taker]):
    """Gives turns in the order in which they were asked for, a limited number in each iteration of the event loop.

    What clients send that take one answer after the other does not pass through this queue.
    """

    def __init__(self) -> None:
        self._waiting: dict[Taker, None] = {}
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, taker: Taker) -> None:
        """Queues for a turn, unless it is queued already."""
        self._waiting.setdefault(taker)
        self._schedule()

    def discard(self, taker: Taker) -> None:
        """Gives up a turn."""
        self._waiting.pop(taker, None)

    def next_taker(self) -> Taker | None:
        """Returns the one whose turn is next; None if nobody waits."""
        return next(iter(self._waiting), None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._is_scheduled = False
        for _ in range(min(MAX_TURNS_PER_ITERATION, len(self._waiting))):
            taker = self.next_taker()
            if taker is None:
                return
            del self._waiting[taker]
            taker.take_turn()
        if self._waiting:
            self._schedule()
