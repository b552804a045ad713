"""Answers that wait for their socket: what is undone if a client goes before the first byte of one has left."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from forwarder.runtime.retrying_socket import RetryingSocket


@dataclass(frozen=True, slots=True)
class UnsentAnswer:
    """An answer that was written to its connection and has not begun to leave."""

    first_byte: int
    """Its place among all bytes that were written to the connection."""
    undo: Callable[[], None]


class UnsentAnswers:
    """The answers of one connection, in their order.

    Args:
        sock: the connection's socket, which counts what has left; None where nothing is to be undone.
    """

    def __init__(self, sock: RetryingSocket | None) -> None:
        self._sock = sock
        self._written_bytes = 0
        self._waiting: deque[UnsentAnswer] = deque()

    def note(self, size: int, undo: Callable[[], None] | None) -> None:
        """Takes note of an answer that was just written.

        Args:
            size: its length in bytes.
            undo: is called if it never begins to leave; None for nothing.
        """
        first_byte = self._written_bytes
        self._written_bytes += size
        if undo is not None and self._sock is not None and self._sock.sent_bytes <= first_byte:
            self._waiting.append(UnsentAnswer(first_byte, undo))

    def await_buffers(self) -> bool:
        """Returns whether an answer that would have to be undone waits for buffers here, and not for its peer."""
        is_short = self._sock is not None and self._sock.is_short_of_buffers
        return is_short and any(self._is_unsent(each) for each in self._waiting)

    def undo(self) -> bool:
        """Undoes the answers of which no byte has left; returns whether there were any. They must not leave after."""
        waiting, self._waiting = self._waiting, deque()
        unsent = [each for each in waiting if self._is_unsent(each)]
        for answer in unsent:
            answer.undo()
        return bool(unsent)

    def _is_unsent(self, answer: UnsentAnswer) -> bool:
        return self._sock is not None and self._sock.sent_bytes <= answer.first_byte
