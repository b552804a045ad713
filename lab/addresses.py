"""Addresses in 127.0.0.0/8: every forwarder dials each party at an address that only this forwarder is given."""

from __future__ import annotations

import enum
import socket

NODES_PER_OCTET = 250


class Role(enum.IntEnum):
    """What an address is for; the values are the addresses' second octets."""

    FORWARDER = 10
    DISCOVERY = 11
    DATAGRAM_PROXY = 12
    MOVED_DISCOVERY = 13
    ENDPOINT = 20
    """The first endpoint; the others follow."""


def host_for(role: Role, node: int, number: int = 0) -> str:
    """Return the IPv4 address that stands for a party, for one forwarder.

    Args:
        role: What the address is for.
        node: The forwarder's index.
        number: The endpoint's number.
    """
    return f"127.{role + number}.{node // NODES_PER_OCTET}.{1 + node % NODES_PER_OCTET}"


def free_port() -> int:
    """Return a port that is free at the first forwarder's address; the other addresses are the lab's alone."""
    with socket.socket() as sock:
        sock.bind((host_for(Role.FORWARDER, 0), 0))
        return int(sock.getsockname()[1])
