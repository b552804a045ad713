"""Where operators call: a connection carries one line, and is answered by a line with `ok` or `fail`.

It decides nothing: what a call does is the engine's. A line counts only with its end, since what comes
before it may be the start of another id.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping

from forwarder.clients.listener import Listener
from forwarder.config.config import Address

MOST_LINE = 256
MOST_CALLERS = 32
PATIENCE_S = 0.5  # a caller that has sent no whole line by then is told so
LINGER_S = 1.0  # after an answer, for callers that are still sending
BACKLOG = 128
log = logging.getLogger("forwarder.control")


class CommandRefusedError(Exception):
    """The call cannot be carried out; the text says why, in one line."""


CommandTable = Mapping[str, Callable[[str], str]]
"""For each word what it does with the rest of its line: it returns what to tell, or raises Refused."""


def without_arguments(call: Callable[[], str]) -> Callable[[str], str]:
    """A call that stands alone on its line."""

    def checked(rest: str) -> str:
        if rest:
            raise CommandRefusedError("this call stands alone")
        return call()

    return checked


class AdminConnection(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, control: AdminServer, line: bytes = b"") -> None:
        self.control, self.line = control, line
        self.transport: asyncio.Transport | None = None
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.answer, "fail no whole line came")
        self.control.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        line, end, _ = (self.line + data[: MOST_LINE + 1]).partition(b"\n")
        self.line = line
        if len(line) > MOST_LINE:
            self.answer("fail the line is too long")
        elif end:
            self.answer(self.control.call(line))

    def eof_received(self) -> bool:
        if not self.answered:
            self.answer("fail the line has no end")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.control.callers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def answer(self, text: str) -> None:
        """Answer, and close once the caller has had time to read: a close over unread bytes is a reset."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        self.transport.write(text.encode() + b"\n")
        if self.transport.can_write_eof():
            self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self.transport.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class AdminServer:
    """Listens for operators. Before the process can serve, `calls` is None and every call fails."""

    def __init__(self) -> None:
        self.calls: CommandTable | None = None
        self.callers: dict[AdminConnection, None] = {}  # the oldest first
        self.listeners: dict[Address, Listener] = {}  # our own, and for a time that of the process before

    def listen(self, sock: socket.socket) -> Listener:
        listener = Listener(sock, BACKLOG, lambda waited_us: AdminConnection(self), self.room)
        self.listeners[listener.address()] = listener
        return listener

    async def adopt(self, sock: socket.socket, line: bytes) -> None:
        """Go on with a caller of the process before."""
        sock.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: AdminConnection(self, line), sock)

    def room(self) -> int:
        """How many more may be accepted now: those that are closed hold a descriptor until the loop's next turn."""
        coming = sum(len(listener.attaching) for listener in self.listeners.values())
        return 2 * MOST_CALLERS - len(self.callers) - coming

    def joined(self, caller: AdminConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = min(self.callers, key=lambda c: not c.answered)
            oldest.answer("fail too many callers")
            self.callers.pop(oldest)
            oldest.close()

    def call(self, line: bytes) -> str:
        """Carry out one line. Returns the answer."""
        try:
            word, _, rest = line.decode("ascii").strip().partition(" ")
            if self.calls is None:
                raise CommandRefusedError("not serving yet")
            if word not in self.calls:
                raise CommandRefusedError("no such call")
            return f"ok {self.calls[word](rest.strip())}".rstrip()
        except UnicodeDecodeError:
            text = "fail not a readable line"
        except CommandRefusedError as refused:
            text = f"fail {refused}"
        except Exception:
            log.exception("a call failed")
            text = "fail internal fault"
        if self.calls is not None:
            log.warning("called %r: %s", line, text)
        return text

    def close(self) -> None:
        for listener in self.listeners.values():
            listener.close()
        for caller in list(self.callers):
            caller.close()
