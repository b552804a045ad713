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

from forwarder.membership.gossip_store import MOST_ITEMS, Item
from forwarder.membership.view import MemberRecord, Phase, State

VERSION = 1
TAG = 16
MOST_BYTES = 1200
WINDOW = 256
MOST_SENDERS = 6000
MOST_ROWS = 40
MOST_IDS = 4
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]


class Row(
    msgspec.Struct,
    rename={
        "name": "n",
        "host": "h",
        "port": "p",
        "incarnation": "i",
        "state": "s",
        "id": "d",
        "phase": "f",
        "version": "v",
        "by": "b",
    },
    omit_defaults=True,
):
    """One member's state in a datagram."""

    name: Name
    host: Text
    port: Annotated[int, Meta(ge=0, le=65535)]
    incarnation: Number
    state: Annotated[int, Meta(ge=0, le=4)]
    id: Text = ""
    phase: Annotated[int, Meta(ge=0, le=255)] = 0
    version: Text = ""
    by: Text = ""

    def news(self) -> MemberRecord:
        """A phase of a later version counts as serving."""
        phase = Phase(self.phase) if self.phase <= max(Phase) else Phase.SERVING
        return MemberRecord(
            self.name,
            (self.host, self.port),
            self.incarnation,
            State(self.state),
            self.id,
            phase,
            self.version,
            self.by,
        )


def row(news: MemberRecord) -> Row:
    return Row(
        news.name, *news.where, news.incarnation, int(news.state), news.id, int(news.phase), news.version, news.by
    )


class Body(
    msgspec.Struct,
    rename={
        "kind": "k",
        "sender": "w",
        "life": "l",
        "number": "c",
        "seq": "q",
        "target": "t",
        "news": "g",
        "digest": "d",
        "id": "i",
        "facts": "x",
    },
    omit_defaults=True,
):
    """What a datagram says. Kinds: ping, ack, nack, probe (ping it for me), join (tell me all), full (a part of
    all), former (you had a later life), ask (what have you heard), facts (a part of it).
    """

    kind: Annotated[str, Meta(max_length=8)]
    sender: Name
    life: Number
    id: Text = ""
    """Drawn at each start of the sender's process."""
    number: Number = 0
    seq: Number = 0
    target: Row | None = None
    news: Annotated[list[Row], Meta(max_length=MOST_ROWS)] = []
    digest: Text = ""
    facts: Annotated[list[Item], Meta(max_length=MOST_ITEMS)] = []
    """Beside who is there; of those that have no board, none."""


class DatagramRejectedError(Exception):
    """A datagram that is not taken; the text is the reason that it is counted under."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


@dataclass(slots=True)
class _Seen:
    top: int
    bits: int


@dataclass(slots=True)
class Codec:
    """Seals and opens datagrams. The first key seals; all open, while keys are changed."""

    cluster: str
    keys: Sequence[bytes]
    seen: dict[str, dict[str, _Seen]] = field(default_factory=dict)
    """Of each sender's newest life, by the ids that claim its name."""
    lives: dict[str, int] = field(default_factory=dict)
    number: int = 0

    def _tag(self, key: bytes, data: bytes) -> bytes:
        name = self.cluster.encode()
        return hashlib.blake2b(len(name).to_bytes(1, "big") + name + data, key=key, digest_size=TAG).digest()

    def seal(self, body: Body) -> bytes:
        """A datagram, with the next number. Raises ValueError where it is too long."""
        self.number += 1
        body.number = self.number
        data = _encoder.encode(body)
        if 1 + TAG + len(data) > MOST_BYTES:
            raise ValueError(f"a datagram of {1 + TAG + len(data)} bytes")
        return bytes([VERSION]) + self._tag(self.keys[0], data) + data

    def open(self, datagram: bytes) -> Body:
        """What a datagram says, or Dropped with why it is not heard. The tag is looked at before all else but the
        length and the version, so what is forged costs one hash.
        """
        if len(datagram) > MOST_BYTES:
            raise DatagramRejectedError("too long")
        if len(datagram) <= 1 + TAG or datagram[0] != VERSION:
            raise DatagramRejectedError("other version")
        tag, data = datagram[1 : 1 + TAG], datagram[1 + TAG :]
        if not any(hmac.compare_digest(tag, self._tag(key, data)) for key in self.keys):
            raise DatagramRejectedError("forged")
        try:
            body = _decoder.decode(data)
        except (msgspec.ValidationError, msgspec.DecodeError):
            raise DatagramRejectedError("garbled") from None
        self._check_replay(body)
        return body

    def _check_replay(self, body: Body) -> None:
        life = self.lives.get(body.sender)
        if life is None and len(self.lives) >= MOST_SENDERS:
            raise DatagramRejectedError("too many senders")
        if life is not None and body.life < life:
            raise FormerLife(body.sender, body.seq)
        if life is None or body.life > life:
            self.lives[body.sender], self.seen[body.sender] = body.life, {}
        ids = self.seen[body.sender]
        if body.id not in ids:
            if len(ids) >= MOST_IDS:
                raise DatagramRejectedError("too many ids")
            ids[body.id] = _Seen(body.number, 1)
            return
        seen = ids[body.id]
        ahead = body.number - seen.top
        if ahead > 0:
            seen.bits = (seen.bits << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1)
            seen.top = body.number
        elif -ahead >= WINDOW or seen.bits >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        else:
            seen.bits |= 1 << -ahead


class FormerLife(DatagramRejectedError):
    """From a life before the newest that is known: replayed, or its forwarder has lost its folder."""

    def __init__(self, sender: str, seq: int) -> None:
        super().__init__("former life")
        self.sender, self.seq = sender, seq
