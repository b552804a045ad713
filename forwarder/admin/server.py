"""The admin interface's listener: a connection carries one line, and is answered by a line with `ok` or `fail`.

It decides nothing: what a command does is for the runtime. A line counts only with its end, since what comes before it
may be the start of another id.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from functools import partial

from forwarder.clients.listener import Listener
from forwarder.config.config import Address
from forwarder.errors import ForwarderError
from forwarder.runtime.supervisor import result_or_error

MAX_LINE_BYTES = 256
MAX_CONNECTIONS = 32
LINE_TIMEOUT_S = 0.5
"""A connection that has sent no complete line by then is told so."""
LINGER_S = 1.0
"""After an answer, for callers that are still sending."""
BACKLOG = 128
log = logging.getLogger("forwarder.control")


class CommandRefusedError(ForwarderError):
    """The command cannot be carried out; the text says why, in one line."""


Command = Callable[[str], str]
"""Takes the rest of its line. Returns its answer, or raises CommandRefusedError."""
CommandTable = Mapping[str, Command]
"""Commands by the word that their line starts with."""


def without_arguments(command: Callable[[], str]) -> Command:
    """Returns a command that has to stand alone on its line."""

    def _without_arguments(arguments: str) -> str:
        if arguments:
            raise CommandRefusedError("this call stands alone")
        return command()

    return _without_arguments


class AdminConnection(asyncio.Protocol):
    """One connection, for one command."""

    def __init__(self, server: AdminServer, line: bytes = b"") -> None:
        """Goes on with what another process has read of the line."""
        self.server = server
        self.line = line
        self.transport: asyncio.Transport | None = None
        self.is_answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the line."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINE_TIMEOUT_S, self.answer, "fail no whole line came")
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        """Carries out the line once it is complete."""
        if self.is_answered:
            return
        line, end, _ = (self.line + data[: MAX_LINE_BYTES + 1]).partition(b"\n")
        self.line = line
        if len(line) > MAX_LINE_BYTES:
            self.answer("fail the line is too long")
        elif end:
            self.answer(self.server.run_command(line))

    def eof_received(self) -> bool:
        """Refuses what has no line feed."""
        if not self.is_answered:
            self.answer("fail the line has no end")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Forgets the connection."""
        self.server.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def answer(self, text: str) -> None:
        """Answers, and closes once the caller has had time to read: a close over unread bytes is a reset."""
        if self.is_answered or self.transport is None or self.transport.is_closing():
            return
        self.is_answered = True
        self.transport.write(text.encode() + b"\n")
        if self.transport.can_write_eof():
            self.transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.transport.close)

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.close()


class AdminServer:
    """Listens for operators."""

    def __init__(self) -> None:
        self.commands: CommandTable | None = None
        """None before the process can serve: every command fails until then."""
        self.connections: dict[AdminConnection, None] = {}
        """The oldest first."""
        self.listeners: dict[Address, Listener] = {}
        """By address: its own, and for a time that of the process before."""

    def listen(self, sock: socket.socket) -> Listener:
        """Accepts connections on a socket that is bound."""
        listener = Listener(sock, BACKLOG, lambda _sock, _waited_us: AdminConnection(self), self.free_connections)
        self.listeners[listener.address()] = listener
        return listener

    async def adopt(self, sock: socket.socket, line: bytes) -> None:
        """Goes on with a connection of the process before.

        Raises:
            OSError: the connection has gone.
        """
        sock.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: AdminConnection(self, line), sock)

    def free_connections(self) -> int:
        """Returns how many may be accepted now: those that close hold a descriptor until the loop's next turn."""
        accepted = sum(len(listener.attaching) for listener in self.listeners.values())
        return 2 * MAX_CONNECTIONS - len(self.connections) - accepted

    def add(self, connection: AdminConnection) -> None:
        """Keeps the bound: a connection beyond it costs the oldest one, one that is answered first."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = min(self.connections, key=lambda candidate: not candidate.is_answered)
            oldest.answer("fail too many callers")
            self.connections.pop(oldest)
            oldest.close()

    def run_command(self, line: bytes) -> str:
        """Carries out one line. Returns the answer."""
        try:
            return f"ok {self._run(line)}".rstrip()
        except UnicodeDecodeError:
            text = "fail not a readable line"
        except CommandRefusedError as refused:
            text = f"fail {refused}"
        if self.commands is not None:
            log.warning("called %r: %s", line, text)
        return text

    def _run(self, line: bytes) -> str:
        word, _, arguments = line.decode("ascii").strip().partition(" ")
        if self.commands is None:
            raise CommandRefusedError("not serving yet")
        if word not in self.commands:
            raise CommandRefusedError("no such call")
        answer = result_or_error(partial(self.commands[word], arguments.strip()))
        if isinstance(answer, CommandRefusedError):
            raise answer
        if isinstance(answer, Exception):
            log.error("a call failed", exc_info=answer)
            raise CommandRefusedError("internal fault")
        return answer

    def close(self) -> None:
        """Closes all listeners and connections."""
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self.connections):
            connection.close()
