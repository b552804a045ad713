"""Sockets whose connections survive a transient lack of memory or buffers on this machine, and connecting them."""

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
from forwarder.runtime.descriptor_watch import pause

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
"""Errors of send(2) and recv(2) that do not concern the connection itself."""
Made = TypeVar("Made", bound=asyncio.BaseProtocol)


class RetryingSocket(socket.socket):
    """A socket on which calls that fail for lack of memory or buffers are retried.

    The event loop repeats the call a short time later. Closing the connection instead would leave its request
    unanswered.
    """

    is_short_of_buffers = False
    """Whether the last send failed for lack of memory or buffers, which says nothing about the peer."""

    is_unreadable = False
    """Whether the last read failed for lack of memory or buffers, although there was something to read."""
    sent_bytes = 0
    """Number of bytes that the kernel has accepted since this object was created."""

    @classmethod
    def of(cls, sock: socket.socket) -> RetryingSocket:
        """Creates a socket from a plain one, and takes over its descriptor."""
        return cls(sock.family, sock.type, sock.proto, sock.detach())

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Reads as the base class does.

        Raises:
            BlockingIOError: nothing can be read now.
            OSError: the connection has failed.
        """
        try:
            data = super().recv(bufsize, flags)
        except OSError as error:
            self.is_unreadable = error.errno in TRANSIENT_ERRORS
            raise self._convert_transient_error(error) from None
        self.is_unreadable = False
        return data

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Reads into a buffer as the base class does.

        Raises:
            BlockingIOError: nothing can be read now.
            OSError: the connection has failed.
        """
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            raise self._convert_transient_error(error) from None

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """Sends from a buffer as the base class does.

        Raises:
            BlockingIOError: nothing can be sent now.
            OSError: the connection has failed.
        """
        try:
            sent = super().send(data, flags)
        except OSError as error:
            self.is_short_of_buffers = error.errno in TRANSIENT_ERRORS
            raise self._convert_transient_error(error) from None
        self.is_short_of_buffers = False
        self.sent_bytes += sent
        return sent

    def _convert_transient_error(self, error: OSError) -> OSError:
        """Converts a transient error to one after which the event loop retries, and pauses the socket's descriptor."""
        if error.errno not in TRANSIENT_ERRORS:
            return error
        pause(self.fileno())
        return BlockingIOError(errno.EAGAIN, str(error))


class SpareSocket:
    """A socket in reserve, for a connection that must not wait until a new socket can be created."""

    def __init__(self) -> None:
        self._spare: RetryingSocket | None = None
        self.fill()

    def fill(self) -> None:
        """Puts a socket in reserve if there is none and one can be created."""
        if self._spare is None:
            with suppress(OSError):
                self._spare = _new_socket(socket.AF_INET)

    def make(self, family: int) -> RetryingSocket:
        """Returns a new socket, or the one in reserve if none can be created.

        Raises:
            OSError: no socket can be created, and there is none of this family in reserve.
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
        make_protocol: creates the protocol from the connection's socket.
        address: the address of the peer.
        reserve: used if the process has no descriptor left.
        spare: used if no socket can be created.

    Raises:
        OSError: the connection cannot be established.
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
    # asyncio sets TCP_NODELAY only on a socket that was created with IPPROTO_TCP.
    return RetryingSocket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
