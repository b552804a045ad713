r"""Upgrades: who owns the journal, and how a process hands all that it has to the one that takes over.

Whoever holds the lock on `lock` in $LB_STATE owns the journal and every message. It also listens on the Unix
socket `upgrade` beside it. A process that finds the lock taken asks there:

    new: "take over 1\n"       old: stands still; what it has, as JSON and descriptors, in chunks
    new: "taken\n"             once it could serve, without having written anything
    old: "yours\n" + the lock  from the moment it has read that, the old one owns nothing

Up to "taken" any fault leaves the old process as it was. If it dies before "yours" came, the lock is free,
and the new one starts from the journal as after any crash. The lock goes with its processes, so no file that
was left behind can stand for an owner.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import json
import logging
import os
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from forwarder.storage.file_io import close_descriptor

ASK, TAKEN, YOURS = b"take over 1\n", b"taken\n", b"yours\n"
HEAD = struct.Struct("<II")  # bytes of JSON, descriptors
FDS_A_TIME = 100
PATIENCE_S = 0.8  # either side waits so long for the other; the old one stands still meanwhile
HELLO_S = 0.2  # who connects asks at once
RETRY_S = 0.1
LOCK_PATIENCE_S = 2.0  # a lock that cannot be opened is tried again for so long
Made = TypeVar("Made")
log = logging.getLogger("forwarder.upgrade")


class HandoverState:
    """What the process before handed over. Descriptors belong to whoever takes them out."""

    def __init__(self, link: socket.socket, told: dict[str, Any], fds: list[int]) -> None:
        self.link, self.told, self.fds = link, told, dict(enumerate(fds))

    def socket(self, number: int) -> socket.socket:
        return socket.socket(fileno=self.fds.pop(number))

    def confirm(self) -> int:
        """Say that all is taken. Returns the lock's descriptor, or -1: then nothing was handed over."""
        try:
            self.link.sendall(TAKEN)
            said, fds, *_ = socket.recv_fds(self.link, len(YOURS), 1)
            return fds[0] if said == YOURS and fds else -1
        except OSError:
            return -1

    def close(self) -> None:
        """Close what nobody has taken out."""
        self.link.close()
        while self.fds:
            close_descriptor(self.fds.popitem()[1])


class Ownership:
    """The lock and the socket of one folder."""

    def __init__(self, folder: Path) -> None:
        self.where, self.fd, self.folder = folder, -1, -1
        self.listener: socket.socket | None = None
        self.why = ""

    @property
    def path(self) -> str:
        """Of the socket, by way of the folder's descriptor: a Unix socket's path has 107 bytes at most."""
        return f"/proc/self/fd/{self.folder}/upgrade"

    def open(self) -> OSError | None:
        """Open folder and lock, if they are not yet. Why that failed, if it did."""
        try:
            self.where.mkdir(parents=True, exist_ok=True)
            if self.folder < 0:
                self.folder = os.open(self.where, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            if self.fd < 0:
                self.fd = os.open(self.where / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            return error
        return None

    async def open_patiently(self) -> None:
        """A failure may be over in a moment: without the lock the process before cannot be told from none."""
        patience_s = time.monotonic() + LOCK_PATIENCE_S
        while (error := self.open()) is not None:
            if time.monotonic() > patience_s:
                # Whoever else serves here has the listening address, so that this process will not come to serve.
                log.error("the lock cannot be had, going on without it: %s", error)
                return
            await asyncio.sleep(RETRY_S)

    def free(self) -> bool:
        """Take the lock if nobody has it. Where locks are refused, nobody can have it."""
        if self.fd < 0:
            return True
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("the lock is refused here, going on without it: %s", error)
        return True

    async def obtain(self, make: Callable[[HandoverState | None], Awaitable[Made]]) -> Made:
        """Become the owner: alone, or by taking over. `make` builds what will serve, and may be called again
        where a take-over came to nothing.
        """
        while True:
            await self.open_patiently()
            if self.free():
                try:
                    return await make(None)
                except OSError as error:
                    if self.fd >= 0 or error.errno != errno.EADDRINUSE:
                        raise
                    log.warning("without its lock the process before cannot be asked, and it serves: %s", error)
                    continue
            handover = self.ask()
            if handover is not None:
                made = await self.taken_over(handover, make)
                if made is not None:
                    return made
                handover.close()
                log.warning("the process before has not handed over; trying again")
            await asyncio.sleep(RETRY_S)

    async def taken_over(
        self, handover: HandoverState, make: Callable[[HandoverState | None], Awaitable[Made]]
    ) -> Made | None:
        """What serves from now on, if that could be made and the process before has let go; it goes on otherwise."""
        try:
            made = await make(handover)
        except OSError as error:
            log.warning("cannot take over just now: %s", error)
            return None
        lock = handover.confirm()
        if lock < 0:
            return None
        handover.link.close()
        close_descriptor(self.fd)
        self.fd = lock
        return made

    def ask(self) -> HandoverState | None:
        """Ask the owner for all that it has; None where it does not answer as it should."""
        fds: list[int] = []
        link = None
        try:
            link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            link.settimeout(PATIENCE_S)
            link.connect(self.path)
            link.sendall(ASK)
            size, count = HEAD.unpack(receive(link, HEAD.size))
            told = json.loads(receive(link, size))
            while len(fds) < count:
                said, more, *_ = socket.recv_fds(link, 1, FDS_A_TIME)
                fds += more
                if not said:
                    raise ConnectionResetError("the process before has gone")
            return HandoverState(link, told, fds)
        except (OSError, ValueError, struct.error) as error:
            why = str(error) or type(error).__name__
            if why != self.why:  # asked again and again, it may well say the same for seconds
                log.warning("the process before does not hand over: %s", why)
            self.why = why
            if link is not None:
                HandoverState(link, {}, fds).close()
            return None

    def listen(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Wait for the process that takes over. Only the owner may: what lies there is a leftover. Where
        the platform refuses it, an upgrade is a restart.
        """
        try:
            Path(self.path).unlink(missing_ok=True)
            self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.listener.bind(self.path)
            self.listener.listen(4)
        except OSError as error:
            log.warning("no process can take over from this one: %s", error)
            if self.listener is not None:
                self.listener.close()
                self.listener = None
            return
        self.listener.setblocking(False)
        self.listen_on(hand_over)

    def listen_on(self, hand_over: Callable[[socket.socket], None]) -> None:
        """Go on after a failure."""
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener, self.asked, hand_over)

    def asked(self, hand_over: Callable[[socket.socket], None]) -> None:
        assert self.listener is not None
        try:
            link, _ = self.listener.accept()
        except BlockingIOError:
            return
        except OSError as error:  # who takes over asks again
            log.warning("no process can take over just now: %s", error)
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.listener)
            loop.call_later(RETRY_S, self.listen_on, hand_over)
            return
        with link:
            link.settimeout(HELLO_S)
            try:
                if receive(link, len(ASK)) == ASK:
                    link.settimeout(PATIENCE_S)
                    hand_over(link)
            except OSError as error:
                log.warning("not handed over: %s", error or type(error).__name__)

    def give(self, link: socket.socket, told: dict[str, Any], fds: list[int]) -> bool:
        """Hand over. True once the other process owns all; then nothing may be written or sent here."""
        data = json.dumps(told, separators=(",", ":")).encode()
        link.sendall(HEAD.pack(len(data), len(fds)) + data)
        for first in range(0, len(fds), FDS_A_TIME):
            socket.send_fds(link, [b"f"], fds[first : first + FDS_A_TIME])
        if receive(link, len(TAKEN)) != TAKEN:
            return False
        try:
            socket.send_fds(link, [YOURS], [self.fd])
        except OSError:  # it has gone, so it cannot own anything
            return False
        return True

    def close(self) -> None:
        """The lock goes with the process: it is not given back before its end."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None


def receive(link: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        more = link.recv(size - len(data))
        if not more:
            raise ConnectionResetError("the other process has gone")
        data += more
    return data
