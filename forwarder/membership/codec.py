"""Encodes datagrams as msgpack with a version byte and a keyed tag, and rejects replayed ones. Pure.

A datagram consists of a version byte, a tag of 16 bytes (BLAKE2b, keyed with the shared key, over the cluster's name
and everything after the tag), and the message. Fields are named and unknown fields are ignored, so a later version may
add some. Their names on the wire are one letter long; only this module and `gossip_store` map them.

Each sender numbers its datagrams from its start. The receiver remembers which of the newest 256 numbers it has seen.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from forwarder.membership.gossip_store import MAX_GOSSIP_ROWS, GossipRow
from forwarder.membership.view import MemberPhase, MemberRecord, MemberState

VERSION = 1
TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1200
REPLAY_WINDOW = 256
"""Number of datagrams of one sender process that are remembered, one bit each."""
MAX_SENDERS = 6000
MAX_ROWS = 40
MAX_PROCESS_IDS = 4
"""Maximum number of processes that may claim the same name and start number."""
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]


class MemberRow(
    msgspec.Struct,
    rename={
        "name": "n",
        "host": "h",
        "port": "p",
        "incarnation": "i",
        "state": "s",
        "process_id": "d",
        "phase": "f",
        "version": "v",
        "suspected_by": "b",
    },
    omit_defaults=True,
):
    """One member's record in a datagram."""

    name: Name
    host: Text
    port: Annotated[int, Meta(ge=0, le=65535)]
    incarnation: Number
    state: Annotated[int, Meta(ge=0, le=4)]
    process_id: Text = ""
    phase: Annotated[int, Meta(ge=0, le=255)] = 0
    version: Text = ""
    suspected_by: Text = ""

    def record(self) -> MemberRecord:
        """Returns the record. A phase that only a later version knows counts as serving."""
        phase = MemberPhase(self.phase) if self.phase <= max(MemberPhase) else MemberPhase.SERVING
        return MemberRecord(
            self.name,
            (self.host, self.port),
            self.incarnation,
            MemberState(self.state),
            self.process_id,
            phase,
            self.version,
            self.suspected_by,
        )


def member_row(record: MemberRecord) -> MemberRow:
    """Returns the row that carries a record in a datagram."""
    host, port = record.address
    return MemberRow(
        record.name,
        host,
        port,
        record.incarnation,
        int(record.state),
        record.process_id,
        int(record.phase),
        record.version,
        record.suspected_by,
    )


class Datagram(
    msgspec.Struct,
    rename={
        "kind": "k",
        "sender": "w",
        "start_number": "l",
        "process_id": "i",
        "datagram_number": "c",
        "request_number": "q",
        "target": "t",
        "members": "g",
        "digest": "d",
        "records": "x",
    },
    omit_defaults=True,
):
    """Content of a datagram.

    Kinds: ping, ack, nack, probe (asks the receiver to ping another member), join (requests the whole view), full (a
    part of the view), former (tells the receiver that a later incarnation of it is known), ask (requests all gossip
    records), facts (some gossip records).
    """

    kind: Annotated[str, Meta(max_length=8)]
    sender: Name
    start_number: Number
    process_id: Text = ""
    """Random, drawn at each start of the sender's process."""
    datagram_number: Number = 0
    request_number: Number = 0
    target: MemberRow | None = None
    members: Annotated[list[MemberRow], Meta(max_length=MAX_ROWS)] = []
    digest: Text = ""
    records: Annotated[list[GossipRow], Meta(max_length=MAX_GOSSIP_ROWS)] = []
    """Gossip records; empty if the sender has no gossip store."""


class DatagramRejectedError(Exception):
    """A datagram is rejected. The text is the reason under which the rejection is counted."""


class FormerIncarnationError(DatagramRejectedError):
    """A datagram carries an older start number than the newest known: it is a replay, or its sender lost its folder."""

    def __init__(self, sender: str, request_number: int) -> None:
        super().__init__("former life")
        self.sender = sender
        self.request_number = request_number


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


@dataclass(slots=True)
class _ReplayWindow:
    """Datagram numbers seen from one process: bit n stands for the number that is n below the highest."""

    highest: int
    bits: int


@dataclass(slots=True)
class Codec:
    """Seals and opens datagrams. The first key seals; every key opens, so that keys can be rotated."""

    cluster: str
    keys: Sequence[bytes]
    replay_windows: dict[str, dict[str, _ReplayWindow]] = field(default_factory=dict)
    """By sender, then by process id; only for the newest start of each sender."""
    start_numbers: dict[str, int] = field(default_factory=dict)
    """Newest known start number of each sender."""
    datagram_number: int = 0

    def _tag(self, key: bytes, data: bytes) -> bytes:
        name = self.cluster.encode()
        return hashlib.blake2b(len(name).to_bytes(1, "big") + name + data, key=key, digest_size=TAG_BYTES).digest()

    def seal(self, datagram: Datagram) -> bytes:
        """Gives the datagram the next number and returns its bytes.

        Raises:
            ValueError: the datagram is too long.
        """
        self.datagram_number += 1
        datagram.datagram_number = self.datagram_number
        data = _encoder.encode(datagram)
        if 1 + TAG_BYTES + len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {1 + TAG_BYTES + len(data)} bytes is over the limit")
        return bytes([VERSION]) + self._tag(self.keys[0], data) + data

    def open(self, sealed: bytes) -> Datagram:
        """Returns the content of a sealed datagram.

        Only length and version are checked before the tag, so a forged datagram costs one hash for each key.

        Raises:
            DatagramRejectedError: the datagram is malformed, forged or replayed.
        """
        if len(sealed) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too long")
        if len(sealed) <= 1 + TAG_BYTES or sealed[0] != VERSION:
            raise DatagramRejectedError("other version")
        tag = sealed[1 : 1 + TAG_BYTES]
        data = sealed[1 + TAG_BYTES :]
        if not any(hmac.compare_digest(tag, self._tag(key, data)) for key in self.keys):
            raise DatagramRejectedError("forged")
        try:
            datagram = _decoder.decode(data)
        except (msgspec.ValidationError, msgspec.DecodeError):
            raise DatagramRejectedError("garbled") from None
        self._check_replay(datagram)
        return datagram

    def _check_replay(self, datagram: Datagram) -> None:
        newest = self.start_numbers.get(datagram.sender)
        if newest is None and len(self.start_numbers) >= MAX_SENDERS:
            raise DatagramRejectedError("too many senders")
        if newest is not None and datagram.start_number < newest:
            raise FormerIncarnationError(datagram.sender, datagram.request_number)
        if newest is None or datagram.start_number > newest:
            self.start_numbers[datagram.sender] = datagram.start_number
            self.replay_windows[datagram.sender] = {}
        windows = self.replay_windows[datagram.sender]
        window = windows.get(datagram.process_id)
        if window is not None:
            _check_window(window, datagram.datagram_number)
            return
        if len(windows) >= MAX_PROCESS_IDS:
            raise DatagramRejectedError("too many ids")
        windows[datagram.process_id] = _ReplayWindow(datagram.datagram_number, 1)


def _check_window(window: _ReplayWindow, number: int) -> None:
    """Marks a datagram number as seen.

    Raises:
        DatagramRejectedError: the number was seen before, or is too old for the window.
    """
    ahead = number - window.highest
    if ahead > 0:
        window.bits = (window.bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
        window.highest = number
    elif -ahead >= REPLAY_WINDOW or window.bits >> -ahead & 1:
        raise DatagramRejectedError("replayed")
    else:
        window.bits |= 1 << -ahead
