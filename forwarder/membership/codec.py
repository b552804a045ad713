"""Datagrams: msgpack, a version byte, a keyed tag, and a bound on replay. Pure.

A datagram is a version byte, 16 bytes of tag (BLAKE2b, keyed with the shared key, over the cluster's name and all that
follows), and the message. Fields are named, and unknown ones passed over, so a later version may add some.
Each sender numbers its datagrams within its life; of those that came, a window of the newest 256 is remembered.
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
MAX_SENDERS = 6000
MAX_ROWS = 40
MAX_PROCESS_IDS = 4
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
    """One member's state in a datagram."""

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
        """A phase of a later version counts as serving."""
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


def member_row(news: MemberRecord) -> MemberRow:
    return MemberRow(
        news.name,
        *news.address,
        news.incarnation,
        int(news.state),
        news.process_id,
        int(news.phase),
        news.version,
        news.suspected_by,
    )


class Datagram(
    msgspec.Struct,
    rename={
        "kind": "k",
        "sender": "w",
        "start_number": "l",
        "datagram_number": "c",
        "request_number": "q",
        "target": "t",
        "members": "g",
        "digest": "d",
        "process_id": "i",
        "records": "x",
    },
    omit_defaults=True,
):
    """What a datagram says. Kinds: ping, ack, nack, probe (ping it for me), join (tell me all), full (a part of
    all), former (you had a later life), ask (what have you heard), facts (a part of it).
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
    """Beside who is there; of those that have no board, none."""


class DatagramRejectedError(Exception):
    """A datagram that is not taken; the text is the reason that it is counted under."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


@dataclass(slots=True)
class _ReplayWindow:
    highest: int
    bits: int


@dataclass(slots=True)
class Codec:
    """Seals and opens datagrams. The first key seals; all open, while keys are changed."""

    cluster: str
    keys: Sequence[bytes]
    windows: dict[str, dict[str, _ReplayWindow]] = field(default_factory=dict)
    """Of each sender's newest life, by the ids that claim its name."""
    start_numbers: dict[str, int] = field(default_factory=dict)
    datagram_number: int = 0

    def _tag(self, key: bytes, data: bytes) -> bytes:
        name = self.cluster.encode()
        return hashlib.blake2b(len(name).to_bytes(1, "big") + name + data, key=key, digest_size=TAG_BYTES).digest()

    def seal(self, body: Datagram) -> bytes:
        """A datagram, with the next number. Raises ValueError where it is too long."""
        self.datagram_number += 1
        body.datagram_number = self.datagram_number
        data = _encoder.encode(body)
        if 1 + TAG_BYTES + len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {1 + TAG_BYTES + len(data)} bytes")
        return bytes([VERSION]) + self._tag(self.keys[0], data) + data

    def open(self, datagram: bytes) -> Datagram:
        """What a datagram says, or Dropped with why it is not heard. The tag is looked at before all else but the
        length and the version, so what is forged costs one hash.
        """
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too long")
        if len(datagram) <= 1 + TAG_BYTES or datagram[0] != VERSION:
            raise DatagramRejectedError("other version")
        tag, data = datagram[1 : 1 + TAG_BYTES], datagram[1 + TAG_BYTES :]
        if not any(hmac.compare_digest(tag, self._tag(key, data)) for key in self.keys):
            raise DatagramRejectedError("forged")
        try:
            body = _decoder.decode(data)
        except (msgspec.ValidationError, msgspec.DecodeError):
            raise DatagramRejectedError("garbled") from None
        self._check_replay(body)
        return body

    def _check_replay(self, body: Datagram) -> None:
        life = self.start_numbers.get(body.sender)
        if life is None and len(self.start_numbers) >= MAX_SENDERS:
            raise DatagramRejectedError("too many senders")
        if life is not None and body.start_number < life:
            raise FormerIncarnationError(body.sender, body.request_number)
        if life is None or body.start_number > life:
            self.start_numbers[body.sender], self.windows[body.sender] = body.start_number, {}
        ids = self.windows[body.sender]
        if body.process_id not in ids:
            if len(ids) >= MAX_PROCESS_IDS:
                raise DatagramRejectedError("too many ids")
            ids[body.process_id] = _ReplayWindow(body.datagram_number, 1)
            return
        seen = ids[body.process_id]
        ahead = body.datagram_number - seen.highest
        if ahead > 0:
            seen.bits = (seen.bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            seen.highest = body.datagram_number
        elif -ahead >= REPLAY_WINDOW or seen.bits >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        else:
            seen.bits |= 1 << -ahead


class FormerIncarnationError(DatagramRejectedError):
    """From a life before the newest that is known: replayed, or its forwarder has lost its folder."""

    def __init__(self, sender: str, seq: int) -> None:
        super().__init__("former life")
        self.sender, self.request_number = sender, seq
