"""Sockets whose connection outlasts a passing shortage of this machine, and connecting with them."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from forwarder.config.config import Address
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.descriptor_watch import rest

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
"""Errors of send(2) and recv(2) that say nothing about the connection."""
Made = TypeVar("Made", bound=asyncio.BaseProtocol)


class RetryingSocket(socket.socket):
    """A socket that tries again where memory or buffers were not to be had.

    The event loop makes the call again a moment later. To end the connection instead would leave its request
    unanswered.
    """

    is_short_of_buffers = False
    """Whether the last send failed for want of memory or buffers, so that it says nothing about the peer."""

    is_unreadable = False
    """Whether something has come that could not be read for want of memory or buffers."""
    sent_bytes = 0
    """Bytes that the kernel has taken since this object was made."""

    @classmethod
    def of(cls, sock: socket.socket) -> RetryingSocket:
        """Takes the place of a plain socket, which has no descriptor any more then."""
        return cls(sock.family, sock.type, sock.proto, sock.detach())

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Reads, as the base class does.

        Raises:
            BlockingIOError: nothing can be read now.
            OSError: the connection has failed.
        """
        try:
            data = super().recv(bufsize, flags)
        except OSError as error:
            self.is_unreadable = error.errno in TRANSIENT_ERRORS
            raise self._to_be_retried(error) from None
        self.is_unreadable = False
        return data

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Reads into a buffer, as the base class does.

        Raises:
            BlockingIOError: nothing can be read now.
            OSError: the connection has failed.
        """
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            raise self._to_be_retried(error) from None

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """Sends from a buffer, as the base class does.

        Raises:
            BlockingIOError: nothing can be sent now.
            OSError: the connection has failed.
        """
        try:
            sent = super().send(data, flags)
        except OSError as error:
            self.is_short_of_buffers = error.errno in TRANSIENT_ERRORS
            raise self._to_be_retried(error) from None
        self.is_short_of_buffers = False
        self.sent_bytes += sent
        return sent

    def _to_be_retried(self, error: OSError) -> OSError:
        """Returns a transient error in the form by which the event loop knows it, and leaves the socket alone."""
        if error.errno not in TRANSIENT_ERRORS:
            return error
        rest(self.fileno())
        return BlockingIOError(errno.EAGAIN, str(error))


class SpareSocket:
    """A socket in reserve, for a connection that must not wait until one can be had."""

    def __init__(self) -> None:
        self._spare: RetryingSocket | None = None
        self.fill()

    def fill(self) -> None:
        """Puts a socket in reserve, if there is none and one can be had."""
        if self._spare is None:
            with suppress(OSError):
                self._spare = _new_socket(socket.AF_INET)

    def make(self, family: int) -> RetryingSocket:
        """Returns a new socket, or the one in reserve where no other can be had.

        Raises:
            OSError: there is none in reserve either.
        """
        try:
            return _new_socket(family)
        except OSError:
            spare = self._spare
            if spare is None or spare.family != family:
                raise
            self._spare = None
            return spare


async def connect(
    make_protocol: Callable[[RetryingSocket], Made],
    address: Address,
    reserve: DescriptorReserve | None = None,
    spare: SpareSocket | None = None,
) -> Made:
    """Connects to an address, and returns the protocol of the connection.

    Args:
        make_protocol: makes the protocol from the connection's socket.
        address: where to connect to.
        reserve: helps where the process has no descriptor left.
        spare: helps where no socket can be had.

    Raises:
        OSError: no connection can be had.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    make = partial(_new_socket if spare is None else spare.make, family)
    sock = make() if reserve is None else reserve.allocate(make)
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.host.strip("[]"), address.port))
        _, protocol = await loop.create_connection(lambda: make_protocol(sock), sock=sock)
    except BaseException:
        sock.close()
        raise
    return protocol


def _new_socket(family: int) -> RetryingSocket:
    return RetryingSocket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)  # else asyncio sets no TCP_NODELAY
