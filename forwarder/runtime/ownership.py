r"""Upgrades: which process owns the journal, and how the owner hands its state over to a new process.

The process that holds the lock on the file `lock` in $LB_STATE owns the journal and every message. The owner also
listens on the Unix socket `upgrade` in the same folder. A new process that finds the lock held connects to that socket:

    new: "take over 1\n"       old: blocks its event loop; sends its description as JSON, and descriptors in chunks
    new: "taken\n"             sent once it is able to serve, without having written anything
    old: "yours\n" + the lock  once this is sent, the old process owns nothing

Any failure before "taken" leaves the old process unchanged. If the old process dies before "yours" arrives, the lock is
free, and the new process starts from the journal as after any crash. The kernel releases the lock when its processes
end, so a file that was left behind is never mistaken for an owner.

After "yours" the old process acts on no signal any more, but may still get one. The new process therefore watches it
until it has ended (`previous_process`), and then reads the configuration once more (`reload`).
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
from forwarder.runtime.previous_process import PreviousProcess
from forwarder.storage.file_io import close_descriptor

TAKEOVER_REQUEST = b"take over 1\n"
TAKEOVER_READY = b"taken\n"
OWNERSHIP_GRANTED = b"yours\n"
HANDOVER_HEADER = struct.Struct("<II")
"""Size of the description in bytes, and number of descriptors."""
DESCRIPTORS_PER_MESSAGE = 100
HANDOVER_TIMEOUT_S = 0.8
"""Each side waits this long for the other. The event loop of the old process is blocked meanwhile."""
REQUEST_TIMEOUT_S = 0.2
"""A process that connects has to send its request within this time."""
RETRY_INTERVAL_S = 0.1
LOCK_OPEN_TIMEOUT_S = 2.0
"""A starting process retries for this long if the lock file cannot be opened.

After that it serves, but writes nothing until it holds the lock.
"""
ADDRESS_TIMEOUT_S = 20.0
"""A starting process retries for this long if another process has its listening address.

That process may be about to take the lock and hand over.
"""
LISTEN_RETRY_INTERVAL_S = 0.5
UNSUPPORTED_ERRORS = frozenset({errno.ENOSYS, errno.EPERM, errno.EACCES, errno.EOPNOTSUPP, errno.EAFNOSUPPORT})
"""Errors of a platform on which this process cannot use Unix sockets."""
BACKLOG = 4
NOT_OPEN = -1
Made = TypeVar("Made")
log = logging.getLogger("forwarder.upgrade")


class HandoverState:
    """The state that the previous process handed over. A descriptor belongs to the caller that takes it out."""

    def __init__(
        self,
        link: socket.socket,
        description: HandoverDescription,
        descriptors: Sequence[int],
        previous: PreviousProcess | None = None,
    ) -> None:
        self.link = link
        self.description = description
        self.previous = previous
        """The process that hands over, if it is to be watched."""
        self._descriptors = dict(enumerate(descriptors))

    def socket(self, index: int) -> socket.socket:
        """Takes out the descriptor with the given index in the description, and returns it as a socket.

        Raises:
            KeyError: there is no such descriptor, or it has already been taken out.
            OSError: the descriptor is not a socket.
        """
        return socket.socket(fileno=self._descriptors.pop(index))

    def confirm(self) -> int:
        """Confirms the hand-over. Returns the lock's descriptor, or `NOT_OPEN` if nothing was handed over."""
        try:
            self.link.sendall(TAKEOVER_READY)
            reply, descriptors, *_ = socket.recv_fds(self.link, len(OWNERSHIP_GRANTED), 1)
            return descriptors[0] if reply == OWNERSHIP_GRANTED and descriptors else NOT_OPEN
        except OSError:
            return NOT_OPEN

    def close(self) -> None:
        """Closes the connection and all descriptors that were not taken out."""
        if self.previous is not None:
            self.previous.close()
        self.link.close()
        self.close_descriptors()

    def close_descriptors(self) -> None:
        """Closes all descriptors that were not taken out."""
        while self._descriptors:
            close_descriptor(self._descriptors.popitem()[1])


MakeServer = Callable[[HandoverState | None], Awaitable[Made]]
"""Creates the server: with no prior state for None, otherwise from the state that was handed over."""


class Ownership:
    """The lock and the upgrade socket of one state folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listener: socket.socket | None = None
        self.previous: PreviousProcess | None = None
        """The process that handed over to this one, until it has ended."""
        self.has_lock = False
        """Whether no other process can own the folder: this one holds the lock, or the platform refuses locks."""
        self.locking = FailureSpan(log, "take the lock")
        self._folder_descriptor = NOT_OPEN
        self._lock = NOT_OPEN
        self._logged_problem = ""

    @property
    def path(self) -> str:
        """The socket's path through the folder's descriptor, because a Unix socket path is limited to 107 bytes."""
        return f"/proc/self/fd/{self._folder_descriptor}/upgrade"

    # Becoming the owner

    async def obtain(self, make: MakeServer[Made], discard: Callable[[Made], None] = lambda made: None) -> Made:
        """Becomes the owner, either from the free lock or by taking over from the current owner.

        Args:
            make: creates the server; called again after a failed take-over.
            discard: closes what a server that was created took out of a hand-over that was not completed.

        Raises:
            OSError: the server cannot be created without a hand-over.
        """
        deadline_s = time.monotonic() + ADDRESS_TIMEOUT_S
        while True:
            await self._open_with_retries()
            if self._lock == NOT_OPEN or self._try_lock():
                try:
                    return await make(None)
                except OSError as error:
                    if error.errno != errno.EADDRINUSE or time.monotonic() > deadline_s:
                        raise
                    log.warning(
                        "another process is serving but does not hold the lock yet, so it cannot hand over: %s", error
                    )
                    self._unlock()
            else:
                made = await self._request_take_over(make, discard)
                if made is not None:
                    return made
            await asyncio.sleep(RETRY_INTERVAL_S)

    def acquire(self) -> None:
        """Takes the lock unless this process already holds it. Nothing may be written to the folder before.

        Raises:
            OSError: the lock file cannot be opened now, or another process holds the lock.
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

    async def _open_with_retries(self) -> None:
        """Opens the folder and the lock file, with retries: only the lock shows whether there is another owner."""
        deadline_s = time.monotonic() + LOCK_OPEN_TIMEOUT_S
        while (error := self._open()) is not None:
            self.locking.failed(error)
            if time.monotonic() > deadline_s:
                # Any other process that serves here has the listening address, so this one cannot start to serve.
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _open(self) -> OSError | None:
        """Opens the folder and the lock file unless they are open. Returns the error on failure, otherwise None."""
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
        """Takes the lock if it is free. Where the platform refuses locks, no process can hold it."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("the platform refuses the lock; continuing without it: %s", error)
        self.has_lock = True
        return True

    def _unlock(self) -> None:
        """Releases the lock, so that the process that is serving can take it."""
        self.has_lock = False
        if self._lock != NOT_OPEN:
            with suppress(OSError):
                fcntl.flock(self._lock, fcntl.LOCK_UN)

    async def _request_take_over(self, make: MakeServer[Made], discard: Callable[[Made], None]) -> Made | None:
        """Returns the new server if the owner has handed over, otherwise None."""
        handover = self._request_state()
        if handover is None:
            return None
        made = await self._take_over(handover, make, discard)
        if made is None:
            handover.close()
            log.warning("the previous process did not complete the hand-over; retrying")
        return made

    def _request_state(self) -> HandoverState | None:
        """Requests the owner's state. Returns None if the owner does not send a valid answer."""
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
                    raise ConnectionResetError("the previous process closed the connection")
            return HandoverState(link, decode_description(data), descriptors, PreviousProcess(link))
        except (OSError, ValueError, struct.error) as error:
            self._log_request_failure(error)
            if link is not None:
                HandoverState(link, HandoverDescription(), descriptors).close()
            return None

    def _log_request_failure(self, error: Exception) -> None:
        """Logs a problem unless it is the same as the last one: every retry may fail in the same way for seconds."""
        problem = str(error) or type(error).__name__
        if problem != self._logged_problem:
            log.warning("the previous process does not hand over: %s", problem)
        self._logged_problem = problem

    async def _take_over(
        self, handover: HandoverState, make: MakeServer[Made], discard: Callable[[Made], None]
    ) -> Made | None:
        """Returns the new server if it was created and the previous process has given up ownership.

        Otherwise returns None, and the previous process keeps serving.
        """
        try:
            made = await make(handover)
        except OSError as error:
            log.warning("cannot take over now: %s", error)
            return None
        lock = handover.confirm()
        if lock == NOT_OPEN:
            discard(made)
            return None
        self.previous = handover.previous
        close_descriptor(self._lock)
        self._lock = lock
        self.has_lock = True
        return made

    # Being the owner

    def listen(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Listens for a new process that takes over, and calls `hand_over` with its connection.

        Only the owner may call this, because it deletes an existing socket file as a leftover. Where the platform does
        not support Unix sockets, an upgrade is a restart.
        """
        try:
            Path(self.path).unlink(missing_ok=True)
            self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.listener.bind(self.path)
            self.listener.listen(BACKLOG)
        except OSError as error:
            self._handle_listen_error(error, hand_over)
            return
        self.listener.setblocking(False)
        self._watch_listener(hand_over)

    def _handle_listen_error(self, error: OSError, hand_over: Callable[[socket.socket], None]) -> None:
        """Schedules another attempt to listen, unless the platform does not support Unix sockets."""
        log.warning("cannot listen for a process that takes over: %s", error)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if error.errno not in UNSUPPORTED_ERRORS:
            asyncio.get_running_loop().call_later(LISTEN_RETRY_INTERVAL_S, self.listen, hand_over)

    def _watch_listener(self, hand_over: Callable[[socket.socket], None]) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener, self._accept, hand_over)

    def _accept(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Accepts a connection, and hands over if the request arrives in time."""
        assert self.listener is not None
        try:
            link, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError as error:  # the other process retries
            log.warning("cannot accept a process that takes over: %s", error)
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.listener)
            loop.call_later(RETRY_INTERVAL_S, self._watch_listener, hand_over)
            return
        with link:
            link.settimeout(REQUEST_TIMEOUT_S)
            try:
                if receive(link, len(TAKEOVER_REQUEST)) == TAKEOVER_REQUEST:
                    link.settimeout(HANDOVER_TIMEOUT_S)
                    hand_over(link)
            except OSError as error:
                log.warning("the hand-over failed: %s", error or type(error).__name__)

    def transfer(self, link: socket.socket, description: HandoverDescription, descriptors: Sequence[int]) -> bool:
        """Sends the state, then the lock. Returns whether the other process is the owner now.

        If it is, this process may not write or send anything more.

        Raises:
            OSError: the other process has closed the connection or does not answer; this one is still the owner.
        """
        data = encode_description(description)
        link.sendall(HANDOVER_HEADER.pack(len(data), len(descriptors)) + data)
        for first in range(0, len(descriptors), DESCRIPTORS_PER_MESSAGE):
            socket.send_fds(link, [b"f"], descriptors[first : first + DESCRIPTORS_PER_MESSAGE])
        if receive(link, len(TAKEOVER_READY)) != TAKEOVER_READY:
            return False
        try:
            socket.send_fds(link, [OWNERSHIP_GRANTED], [self._lock])
        except OSError:  # the other process has ended, so it cannot be the owner
            return False
        return True

    def call_at_previous_end(self, on_end: Callable[[], None]) -> None:
        """Calls a function once the process that handed over has ended; never if there was none."""
        if self.previous is not None:
            self.previous.call_at_end(on_end)

    def close(self) -> None:
        """Stops listening. The lock stays held until the process ends."""
        if self.previous is not None:
            self.previous.close()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None


def receive(link: socket.socket, size: int) -> bytes:
    """Reads exactly `size` bytes.

    Raises:
        ConnectionResetError: the other process has closed the connection.
        TimeoutError: the other process does not send within the connection's timeout.
    """
    data = b""
    while len(data) < size:
        chunk = link.recv(size - len(data))
        if not chunk:
            raise ConnectionResetError("the other process closed the connection")
        data += chunk
    return data
