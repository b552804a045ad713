"""Tracks answers of which no byte has been sent, so that they can be undone if the client disconnects first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from forwarder.runtime.retrying_socket import RetryingSocket


@dataclass(frozen=True, slots=True)
class UnsentAnswer:
    """An answer that was written to its connection and of which no byte has been sent."""

    first_byte: int
    """Offset of its first byte among all bytes written to the connection."""
    undo: Callable[[], None]


class UnsentAnswers:
    """The answers of one connection, in the order of their writing.

    Args:
        sock: the connection's socket, which counts the bytes sent; None if no answer needs to be undone.
    """

    def __init__(self, sock: RetryingSocket | None) -> None:
        self._sock = sock
        self._written_bytes = 0
        self._tracked: deque[UnsentAnswer] = deque()

    def note(self, size: int, undo: Callable[[], None] | None) -> None:
        """Records an answer that was just written.

        Args:
            size: length of the answer in bytes.
            undo: called if no byte of the answer is ever sent; None if nothing needs to be undone.
        """
        first_byte = self._written_bytes
        self._written_bytes += size
        if undo is not None and self._sock is not None and self._sock.sent_bytes <= first_byte:
            self._tracked.append(UnsentAnswer(first_byte, undo))

    def is_short_of_buffers(self) -> bool:
        """Returns whether this machine, and not the client, keeps answers from leaving."""
        return self._sock is not None and self._sock.is_short_of_buffers

    def await_buffers(self) -> bool:
        """Returns whether an answer with an undo callback waits for this machine's buffers and not for its client."""
        return self.is_short_of_buffers() and any(self._is_unsent(each) for each in self._tracked)

    def undo(self) -> bool:
        """Undoes the answers of which no byte was sent; returns whether there were any. They must not be sent later."""
        tracked, self._tracked = self._tracked, deque()
        unsent = [each for each in tracked if self._is_unsent(each)]
        for answer in unsent:
            answer.undo()
        return bool(unsent)

    def _is_unsent(self, answer: UnsentAnswer) -> bool:
        return self._sock is not None and self._sock.sent_bytes <= answer.first_byte
