"""Datagrams: msgpack, a version byte, a keyed tag, and a bound on replay. Pure.

A datagram is a version byte, 16 bytes of tag (BLAKE2b, keyed with the shared key, over the cluster's name and all that
follows), and the message. Fields are named, and unknown ones passed over, so a later version may add some. Their names
on the wire are one letter long; they are mapped here alone.

Each sender numbers its datagrams since its start; of those that came, a window of the newest 256 is remembered.
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
"""Datagrams of one sender that are remembered, as bits of a number."""
MAX_SENDERS = 6000
MAX_ROWS = 40
MAX_PROCESS_IDS = 4
"""Processes that may claim one name and start number."""
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
        """Returns the record. A phase of a later version counts as serving."""
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
    """Returns a record as it stands in a datagram."""
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
    """What a datagram says.

    Kinds: ping, ack, nack, probe (ping another member for me), join (send me the whole view), full (a part of it),
    former (others know a later incarnation of you), ask (send me all gossip records), facts (some of them).
    """

    kind: Annotated[str, Meta(max_length=8)]
    sender: Name
    start_number: Number
    process_id: Text = ""
    """Drawn at each start of the sender's process."""
    datagram_number: Number = 0
    request_number: Number = 0
    target: MemberRow | None = None
    members: Annotated[list[MemberRow], Meta(max_length=MAX_ROWS)] = []
    digest: Text = ""
    records: Annotated[list[GossipRow], Meta(max_length=MAX_GOSSIP_ROWS)] = []
    """Gossip records; of those that have no store, none."""


class DatagramRejectedError(Exception):
    """A datagram is not taken; the text is the reason, under which it is counted."""


class FormerIncarnationError(DatagramRejectedError):
    """A datagram of an earlier start than the newest that is known: replayed, or its forwarder has lost its folder."""

    def __init__(self, sender: str, request_number: int) -> None:
        super().__init__("former life")
        self.sender = sender
        self.request_number = request_number


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


@dataclass(slots=True)
class _ReplayWindow:
    """Which datagrams of one process came: bit n stands for the one that is n before the highest."""

    highest: int
    bits: int


@dataclass(slots=True)
class Codec:
    """Seals and opens datagrams. The first key seals; all open, while keys are changed."""

    cluster: str
    keys: Sequence[bytes]
    windows: dict[str, dict[str, _ReplayWindow]] = field(default_factory=dict)
    """Of each sender since its newest start, by the process ids that claim its name."""
    start_numbers: dict[str, int] = field(default_factory=dict)
    """The newest start of each sender."""
    datagram_number: int = 0

    def _tag(self, key: bytes, data: bytes) -> bytes:
        name = self.cluster.encode()
        return hashlib.blake2b(len(name).to_bytes(1, "big") + name + data, key=key, digest_size=TAG_BYTES).digest()

    def seal(self, datagram: Datagram) -> bytes:
        """Returns the bytes of a datagram, under the next number.

        Raises:
            ValueError: it is too long.
        """
        self.datagram_number += 1
        datagram.datagram_number = self.datagram_number
        data = _encoder.encode(datagram)
        if 1 + TAG_BYTES + len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {1 + TAG_BYTES + len(data)} bytes")
        return bytes([VERSION]) + self._tag(self.keys[0], data) + data

    def open(self, sealed: bytes) -> Datagram:
        """Returns what a datagram says.

        The tag is checked before all else but the length and the version, so a forged datagram costs one hash.

        Raises:
            DatagramRejectedError: it is not taken.
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
            self.windows[datagram.sender] = {}
        windows = self.windows[datagram.sender]
        window = windows.get(datagram.process_id)
        if window is not None:
            _check_window(window, datagram.datagram_number)
            return
        if len(windows) >= MAX_PROCESS_IDS:
            raise DatagramRejectedError("too many ids")
        windows[datagram.process_id] = _ReplayWindow(datagram.datagram_number, 1)


def _check_window(window: _ReplayWindow, number: int) -> None:
    """Notes that a datagram came. Raises DatagramRejectedError if it came before, or is too old to tell."""
    ahead = number - window.highest
    if ahead > 0:
        window.bits = (window.bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
        window.highest = number
    elif -ahead >= REPLAY_WINDOW or window.bits >> -ahead & 1:
        raise DatagramRejectedError("replayed")
    else:
        window.bits |= 1 << -ahead
