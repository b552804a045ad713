r"""Upgrades: which process owns the journal, and how it hands all that it has to the one that takes over.

Whoever holds the lock on `lock` in $LB_STATE owns the journal and every message. The owner also listens on the Unix
socket `upgrade` beside it. A process that finds the lock taken asks there:

    new: "take over 1\n"       old: stands still; its description as JSON, and descriptors in chunks
    new: "taken\n"             once it could serve, without having written anything
    old: "yours\n" + the lock  from the moment at which it has read that, the old one owns nothing

Up to "taken" any fault leaves the old process as it was. If it dies before "yours" came, the lock is free, and the new
one starts from the journal as after any crash. The lock goes with its processes, so no file that was left behind can
stand for an owner.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import os
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import TypeVar

from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.handover_format import HandoverDescription, decode_description, encode_description
from forwarder.storage.file_io import close_descriptor

TAKEOVER_REQUEST = b"take over 1\n"
TAKEOVER_READY = b"taken\n"
OWNERSHIP_GRANTED = b"yours\n"
HANDOVER_HEADER = struct.Struct("<II")
"""Bytes of the description, and number of descriptors."""
DESCRIPTORS_PER_MESSAGE = 100
HANDOVER_TIMEOUT_S = 0.8
"""Either side waits so long for the other; the old one stands still meanwhile."""
ASK_TIMEOUT_S = 0.2
"""Who connects asks at once."""
RETRY_S = 0.1
LOCK_PATIENCE_S = 2.0
"""A start waits so long for a lock that cannot be opened. Then it serves, and writes nothing until the lock is had."""
ADDRESS_PATIENCE_S = 20.0
"""So long a start waits for an address that another process has, which may be about to take the lock and hand over."""
LISTEN_RETRY_S = 0.5
REFUSALS = frozenset({errno.ENOSYS, errno.EPERM, errno.EACCES, errno.EOPNOTSUPP, errno.EAFNOSUPPORT})
"""Errors of a platform that has no Unix sockets for this process."""
BACKLOG = 4
NOT_OPEN = -1
Made = TypeVar("Made")
log = logging.getLogger("forwarder.upgrade")


class HandoverState:
    """What the process before handed over. Descriptors belong to whoever takes them out."""

    def __init__(self, link: socket.socket, description: HandoverDescription, descriptors: Sequence[int]) -> None:
        self.link = link
        self.description = description
        self._descriptors = dict(enumerate(descriptors))

    def socket(self, index: int) -> socket.socket:
        """Takes out a descriptor, by its index in the description. Returns its socket.

        Raises:
            KeyError: there is none, or it was taken out before.
            OSError: it is no socket.
        """
        return socket.socket(fileno=self._descriptors.pop(index))

    def confirm(self) -> int:
        """Says that all is taken. Returns the lock's descriptor, or `NOT_OPEN`: then nothing was handed over."""
        try:
            self.link.sendall(TAKEOVER_READY)
            reply, descriptors, *_ = socket.recv_fds(self.link, len(OWNERSHIP_GRANTED), 1)
            return descriptors[0] if reply == OWNERSHIP_GRANTED and descriptors else NOT_OPEN
        except OSError:
            return NOT_OPEN

    def close(self) -> None:
        """Closes the connection, and the descriptors that nobody has taken out."""
        self.link.close()
        while self._descriptors:
            close_descriptor(self._descriptors.popitem()[1])


MakeServer = Callable[[HandoverState | None], Awaitable[Made]]
"""Makes what will serve: alone, or from what was handed over."""


class Ownership:
    """The lock and the socket of one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listener: socket.socket | None = None
        self.has_lock = False
        """Whether no other process can own the folder: the lock is held, or the platform refuses locks."""
        self.locking = FailureSpan(log, "take the lock")
        self._folder_descriptor = NOT_OPEN
        self._lock = NOT_OPEN
        self._logged_problem = ""

    @property
    def path(self) -> str:
        """The socket's path by way of the folder's descriptor: a Unix socket's path has 107 bytes at most."""
        return f"/proc/self/fd/{self._folder_descriptor}/upgrade"

    # Becoming the owner

    async def obtain(self, make: MakeServer[Made]) -> Made:
        """Becomes the owner: alone, or by taking over.

        Args:
            make: is called again where a take-over came to nothing.

        Raises:
            OSError: what serves alone cannot be made.
        """
        give_up_s = time.monotonic() + ADDRESS_PATIENCE_S
        while True:
            await self._open_patiently()
            if self._lock == NOT_OPEN or self._try_lock():
                try:
                    return await make(None)
                except OSError as error:
                    if error.errno != errno.EADDRINUSE or time.monotonic() > give_up_s:
                        raise
                    log.warning("another process serves, and has no lock that it could hand over yet: %s", error)
                    self._unlock()
            else:
                made = await self._ask_and_take_over(make)
                if made is not None:
                    return made
            await asyncio.sleep(RETRY_S)

    def acquire(self) -> None:
        """Takes the lock, if it is not held yet: nothing may be written to the folder before.

        Raises:
            OSError: it cannot be opened just now, or another process has it.
        """
        if self.has_lock:
            return
        error = self._open()
        if error is None and not self._try_lock():
            error = BlockingIOError(errno.EAGAIN, "another process has the lock")
        if error is not None:
            self.locking.failed(error)
            raise error
        self.locking.worked()

    async def _open_patiently(self) -> None:
        """Opens folder and lock, again for a while: without the lock the process before cannot be told from none."""
        give_up_s = time.monotonic() + LOCK_PATIENCE_S
        while (error := self._open()) is not None:
            self.locking.failed(error)
            if time.monotonic() > give_up_s:
                # Whoever else serves here has the listening address, so that this process will not come to serve.
                return
            await asyncio.sleep(RETRY_S)

    def _open(self) -> OSError | None:
        """Opens folder and lock, if they are not open yet. Returns why that failed, if it did."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            if self._folder_descriptor == NOT_OPEN:
                self._folder_descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            if self._lock == NOT_OPEN:
                self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            return error
        return None

    def _try_lock(self) -> bool:
        """Takes the lock if nobody has it. Where locks are refused, nobody can have it."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("the lock is refused here, going on without it: %s", error)
        self.has_lock = True
        return True

    def _unlock(self) -> None:
        """Leaves the lock to the process that serves."""
        self.has_lock = False
        if self._lock != NOT_OPEN:
            with suppress(OSError):
                fcntl.flock(self._lock, fcntl.LOCK_UN)

    async def _ask_and_take_over(self, make: MakeServer[Made]) -> Made | None:
        """Returns what serves from now on, if the owner has handed over."""
        handover = self._ask()
        if handover is None:
            return None
        made = await self._take_over(handover, make)
        if made is None:
            handover.close()
            log.warning("the process before has not handed over; trying again")
        return made

    def _ask(self) -> HandoverState | None:
        """Asks the owner for all that it has. Returns None where it does not answer as it should."""
        descriptors: list[int] = []
        link = None
        try:
            link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            link.settimeout(HANDOVER_TIMEOUT_S)
            link.connect(self.path)
            link.sendall(TAKEOVER_REQUEST)
            size, count = HANDOVER_HEADER.unpack(receive(link, HANDOVER_HEADER.size))
            data = receive(link, size)
            while len(descriptors) < count:
                received, more, *_ = socket.recv_fds(link, 1, DESCRIPTORS_PER_MESSAGE)
                descriptors += more
                if not received:
                    raise ConnectionResetError("the process before has gone")
            return HandoverState(link, decode_description(data), descriptors)
        except (OSError, ValueError, struct.error) as error:
            self._log_refused_handover(error)
            if link is not None:
                HandoverState(link, HandoverDescription(), descriptors).close()
            return None

    def _log_refused_handover(self, error: Exception) -> None:
        """Logs a problem once: asked again and again, the process before may well say the same for seconds."""
        problem = str(error) or type(error).__name__
        if problem != self._logged_problem:
            log.warning("the process before does not hand over: %s", problem)
        self._logged_problem = problem

    async def _take_over(self, handover: HandoverState, make: MakeServer[Made]) -> Made | None:
        """Returns what serves from now on, if it could be made and the process before has let go.

        The process before goes on otherwise.
        """
        try:
            made = await make(handover)
        except OSError as error:
            log.warning("cannot take over just now: %s", error)
            return None
        lock = handover.confirm()
        if lock == NOT_OPEN:
            return None
        handover.link.close()
        close_descriptor(self._lock)
        self._lock = lock
        self.has_lock = True
        return made

    # Being the owner

    def listen(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Waits for the process that takes over, and calls `hand_over` with its connection.

        Only the owner may: a socket that lies there is a leftover. Where the platform refuses Unix sockets, an upgrade
        is a restart.
        """
        try:
            Path(self.path).unlink(missing_ok=True)
            self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.listener.bind(self.path)
            self.listener.listen(BACKLOG)
        except OSError as error:
            self._listening_failed(error, hand_over)
            return
        self.listener.setblocking(False)
        self._watch_listener(hand_over)

    def _listening_failed(self, error: OSError, hand_over: Callable[[socket.socket], None]) -> None:
        """Listens later, unless the platform has no such sockets."""
        log.warning("no process can take over from this one: %s", error)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if error.errno not in REFUSALS:
            asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self.listen, hand_over)

    def _watch_listener(self, hand_over: Callable[[socket.socket], None]) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener, self._accept, hand_over)

    def _accept(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Hands over to the process that has connected, if it asks at once."""
        assert self.listener is not None
        try:
            link, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError as error:  # the other process asks again
            log.warning("no process can take over just now: %s", error)
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.listener)
            loop.call_later(RETRY_S, self._watch_listener, hand_over)
            return
        with link:
            link.settimeout(ASK_TIMEOUT_S)
            try:
                if receive(link, len(TAKEOVER_REQUEST)) == TAKEOVER_REQUEST:
                    link.settimeout(HANDOVER_TIMEOUT_S)
                    hand_over(link)
            except OSError as error:
                log.warning("not handed over: %s", error or type(error).__name__)

    def give(self, link: socket.socket, description: HandoverDescription, descriptors: Sequence[int]) -> bool:
        """Hands all over. Returns whether the other process owns it now: nothing may be written or sent here then.

        Raises:
            OSError: the other process has gone, or is silent; this one is still the owner.
        """
        data = encode_description(description)
        link.sendall(HANDOVER_HEADER.pack(len(data), len(descriptors)) + data)
        for first in range(0, len(descriptors), DESCRIPTORS_PER_MESSAGE):
            socket.send_fds(link, [b"f"], descriptors[first : first + DESCRIPTORS_PER_MESSAGE])
        if receive(link, len(TAKEOVER_READY)) != TAKEOVER_READY:
            return False
        try:
            socket.send_fds(link, [OWNERSHIP_GRANTED], [self._lock])
        except OSError:  # it has gone, so it cannot own anything
            return False
        return True

    def close(self) -> None:
        """Stops listening. The lock goes with the process: it is not given back before its end."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None


def receive(link: socket.socket, size: int) -> bytes:
    """Returns exactly so many bytes.

    Raises:
        ConnectionResetError: the other process has gone.
        TimeoutError: it is silent.
    """
    data = b""
    while len(data) < size:
        chunk = link.recv(size - len(data))
        if not chunk:
            raise ConnectionResetError("the other process has gone")
        data += chunk
    return data
