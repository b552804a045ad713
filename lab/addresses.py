"""Addresses in 127.0.0.0/8: each forwarder dials each party at an address that no other forwarder uses."""

from __future__ import annotations

import enum
import socket

NODES_PER_OCTET = 250


class Role(enum.IntEnum):
    """The party that an address belongs to; the value is the address's second octet."""

    FORWARDER = 10
    DISCOVERY = 11
    DATAGRAM_PROXY = 12
    MOVED_DISCOVERY = 13
    ENDPOINT = 20
    """The first endpoint; the others use the following octets."""


def host_for(role: Role, node: int, number: int = 0) -> str:
    """Return the IPv4 address at which one forwarder reaches a party.

    Args:
        role: The party's role.
        node: The forwarder's index.
        number: The endpoint's number.
    """
    return f"127.{role + number}.{node // NODES_PER_OCTET}.{1 + node % NODES_PER_OCTET}"


def free_port() -> int:
    """Return a port that is free at the first forwarder's address; only the lab uses the other addresses."""
    with socket.socket() as sock:
        sock.bind((host_for(Role.FORWARDER, 0), 0))
        return int(sock.getsockname()[1])
