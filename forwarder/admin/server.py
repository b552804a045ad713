"""The listener of the admin interface: a connection carries one command line and one answer, `ok` or `fail`.

The commands themselves are implemented elsewhere. A line is run only once its line feed has arrived, since an
incomplete line may hold only the beginning of an id.
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
"""The time within which a complete line must arrive; the connection is answered with an error otherwise."""
LINGER_S = 1.0
"""How long a connection stays open after its answer, for callers that are still sending."""
BACKLOG = 128
log = logging.getLogger("forwarder.control")


class CommandRefusedError(ForwarderError):
    """The command cannot be run; the text gives the reason in one line."""


Command = Callable[[str], str]
"""Called with the rest of its line; returns its answer or raises CommandRefusedError."""
CommandTable = Mapping[str, Command]
"""Commands by name, the first word of their line."""


def without_arguments(command: Callable[[], str]) -> Command:
    """Returns a command that accepts no arguments."""

    def _without_arguments(arguments: str) -> str:
        if arguments:
            raise CommandRefusedError("this call stands alone")
        return command()

    return _without_arguments


class AdminConnection(asyncio.Protocol):
    """One connection, for one command."""

    def __init__(self, server: AdminServer, line: bytes = b"") -> None:
        """Starts with the part of the line that a previous process has already read."""
        self.server = server
        self.line = line
        self.transport: asyncio.Transport | None = None
        self.is_answered = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the time-out for its line."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINE_TIMEOUT_S, self.answer, "fail no whole line came")
        self.server.add(self)

    def data_received(self, data: bytes) -> None:
        """Runs the line once it is complete."""
        if self.is_answered:
            return
        line, end, _ = (self.line + data[: MAX_LINE_BYTES + 1]).partition(b"\n")
        self.line = line
        if len(line) > MAX_LINE_BYTES:
            self.answer("fail the line is too long")
        elif end:
            self.answer(self.server.run_command(line))

    def eof_received(self) -> bool:
        """Rejects a line without a line feed."""
        if not self.is_answered:
            self.answer("fail the line has no end")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection from the server."""
        self.server.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def answer(self, text: str) -> None:
        """Writes the answer and closes after LINGER_S: a close with unread input would reset the connection."""
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
    """Accepts connections to the admin interface."""

    def __init__(self) -> None:
        self.commands: CommandTable | None = None
        """None until the process can serve; every command fails until then."""
        self.connections: dict[AdminConnection, None] = {}
        """The open connections, oldest first."""
        self.listeners: dict[Address, Listener] = {}
        """The listeners by address: its own and, for a time, that of the previous process."""

    def listen(self, sock: socket.socket) -> Listener:
        """Accepts connections on a bound socket."""
        listener = Listener(sock, BACKLOG, lambda _sock, _waited_us: AdminConnection(self), self.free_connections)
        self.listeners[listener.address()] = listener
        return listener

    async def adopt(self, sock: socket.socket, line: bytes) -> None:
        """Continues with a connection of the previous process.

        Raises:
            OSError: the connection has ended.
        """
        sock.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: AdminConnection(self, line), sock)

    def free_connections(self) -> int:
        """Returns the number of connections that may be accepted; one that is closing still holds a descriptor."""
        accepted = sum(len(listener.attaching) for listener in self.listeners.values())
        return 2 * MAX_CONNECTIONS - len(self.connections) - accepted

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; beyond the limit, closes the oldest one, preferably one that has been answered."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = min(self.connections, key=lambda candidate: not candidate.is_answered)
            oldest.answer("fail too many callers")
            self.connections.pop(oldest)
            oldest.close()

    def run_command(self, line: bytes) -> str:
        """Runs one line and returns the answer."""
        try:
            return f"ok {self._run(line)}".rstrip()
        except UnicodeDecodeError:
            text = "fail not a readable line"
        except CommandRefusedError as refused:
            text = f"fail {refused}"
        if self.commands is not None:
            log.warning("command %r: %s", line, text)
        return text

    def _run(self, line: bytes) -> str:
        name, _, arguments = line.decode("ascii").strip().partition(" ")
        if self.commands is None:
            raise CommandRefusedError("not serving yet")
        if name not in self.commands:
            raise CommandRefusedError("no such call")
        answer = result_or_error(partial(self.commands[name], arguments.strip()))
        if isinstance(answer, CommandRefusedError):
            raise answer
        if isinstance(answer, Exception):
            log.error("admin command failed", exc_info=answer)
            raise CommandRefusedError("internal fault")
        return answer

    def close(self) -> None:
        """Closes all listeners and connections."""
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self.connections):
            connection.close()
