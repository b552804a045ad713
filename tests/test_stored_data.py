"""Data that commit e0ee873 left behind is read field by field, and its simulator's wire is repeated to the byte.

The files, and the script that made them, are in tests/data/e0ee873.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import shutil
import socket
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest

from forwarder.decisions.settings import Effect, MessageClass, Scope
from forwarder.membership.codec import Codec, Datagram, MemberRow
from forwarder.membership.gossip_store import GossipRow
from forwarder.runtime.learned_state_format import learned_state_from_stored, learned_state_to_stored
from forwarder.runtime.ownership import HANDOVER_HEADER, OWNERSHIP_GRANTED, TAKEOVER_READY, TAKEOVER_REQUEST, receive
from forwarder.simulator.adapter import SimulatorHost
from forwarder.storage import clock, identity, lease
from forwarder.storage.messages import AcceptedMessage, PendingNotice
from forwarder.storage.store import MessageStore
from tests.nodes import Node, message
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, start_endpoint
from tests.sockets import OK, PATIENCE, Peer, always

DATA = Path(__file__).resolve().parent / "data" / "e0ee873"
MB = 3_000_000
HANDED: dict[str, Any] = json.loads((DATA / "handover.json").read_text())
TOLD: dict[str, Any] = HANDED["told"]


def copied(name: str, folder: Path) -> Path:
    """A copy, so that nothing can be written to the data itself."""
    return Path(shutil.copytree(DATA / name, folder / name))


def fields(m: AcceptedMessage) -> dict[str, Any]:
    return {
        "destination": m.destination,
        "due_us": m.due_us,
        "key": m.key,
        "tenant": m.tenant,
        "body": m.body,
        "attempts": m.attempts,
        "held": m.local_failures,
        "ran_at_us": m.maybe_ran_at_us,
        "ran_on": m.maybe_ran_on,
        "out": m.in_flight,
        "idempotency_key": m.idempotency_key,
        "doubtful": m.is_doubtful,
    }


PLAIN: dict[str, Any] = {
    "destination": 7,
    "due_us": 10**15,
    "key": None,
    "tenant": "acme",
    "attempts": 0,
    "held": set(),
    "ran_at_us": -1,
    "ran_on": "",
    "out": {},
    "idempotency_key": None,
    "doubtful": False,
}


def test_a_snapshot_and_every_kind_of_record_are_read_field_by_field(tmp_path: Path) -> None:
    store = MessageStore(copied("records", tmp_path), MB)
    assert (store.recovered.version, store.salt, store.recovered.is_damaged, store.recovered.torn_bytes) == (
        3,
        1234,
        False,
        0,
    )
    assert {name: fields(m) for name, m in store.messages.items()} == {
        "tried": PLAIN
        | {
            "body": b"body of tried\n\0",
            "key": "k-tried",
            "attempts": 7,
            "held": {1, 2, 3, 5},
            "ran_at_us": 40,
            "ran_on": "s1",
            "out": {6: (70, "s2")},
        },
        "once": PLAIN | {"body": b"body of once\n\0", "key": "k-once", "attempts": 1},
        "safe": PLAIN | {"body": b"body of safe\n\0", "attempts": 1, "held": {0}, "idempotency_key": "idem"},
    }
    assert [m.message_class for m in store.messages.values()] == [
        MessageClass("keyed", 10**6, 10**7, Effect.KEYED, Scope.ZONE, 30_000_000, False, 2.5, 0.5),
        MessageClass("once", 10**6, 10**7, Effect.ONCE, in_order=True),
        MessageClass("safe", 10**6, 10**7),
    ]
    assert store.pending_notices == {"owed": PendingNotice("returned", 500, "k-owed")}
    assert list(store.ended_ids) == ["over", "owed", "told"]
    assert (store.endpoint_list_version, list(store.endpoints), store.endpoints["s2"]["dial"]) == (
        41,
        ["s1", "s2"],
        "127.0.0.1:9",
    )
    assert (store.disabled_endpoints, store.ejections) == ({"s2": 77}, {"s1": (5, -1), "s2": (6, 7)})
    assert (store.key_backoffs, list(store.known_endpoints)) == ({"k-once": 12345}, ["s1", "s2", "s3"])


@pytest.mark.parametrize(
    ("version", "cls", "idempotency_key"),
    [
        (1, MessageClass("order", 10**6, 10**6, Effect.ONCE), None),
        (2, MessageClass("keyed", 10**6, 10**7, Effect.KEYED, Scope.ZONE, 30_000_000, False, 2.5, 0.5), "idem"),
    ],
)
def test_journals_of_older_formats_are_read_field_by_field_and_carried_over(
    tmp_path: Path, version: int, cls: MessageClass, idempotency_key: str | None
) -> None:
    folder = copied(f"version{version}", tmp_path)
    for read_as in (version, 3):
        store = MessageStore(folder, MB)
        assert (store.recovered.version, store.recovered.is_damaged) == (read_as, False)
        assert {name: fields(m) for name, m in store.messages.items()} == {
            "old": PLAIN
            | {
                "body": b"body",
                "key": "k",
                "tenant": None,
                "attempts": 2,
                "ran_at_us": 40,
                "ran_on": "s1",
                "out": {1: (50, "s2")},
                "idempotency_key": idempotency_key,
            }
        }
        assert store.messages["old"].message_class == cls
        assert store.pending_notices == {"end": PendingNotice("failed", 0, None)}
        assert (store.disabled_endpoints, store.ejections) == ({"s1": 5}, {"s2": (7, -1)})
        store.take_ownership().close()


def test_what_a_killed_process_left_is_read_field_by_field(tmp_path: Path) -> None:
    folder, numbers = copied("killed", tmp_path), TOLD["numbers"]
    store = MessageStore(folder, MB)
    assert not store.recovered.is_damaged
    assert not store.recovered.torn_bytes
    at = {c["attempts"][0][0]: c["sent_us"] for c in TOLD["memory"]["calls"]}
    assert {
        name: (m.message_class.name, m.destination, m.key, m.attempts, m.in_flight)
        for name, m in store.messages.items()
    } == {
        "out": ("turn", 7, "claim", 1, {0: (at["out"], "s1")}),
        "behind": ("turn", 7, "claim", 0, {}),
        "rests": ("turn", 11, "other", 0, {}),
        "banned": ("order", 12, "key-banned", 0, {}),
    }
    assert store.messages["out"].body == b"body of out"
    assert store.messages["out"].tenant == "acme"
    assert store.pending_notices == {
        "waits": PendingNotice("returned", 3000, "key-waits"),
        "failed": PendingNotice("failed", 0, "key-failed"),
        "reset": PendingNotice("failed", 0, "other"),
        "unreached": PendingNotice("returned", 1000, "key-unreached"),
    }
    assert list(store.ended_ids) == ["done", "done-again", "waits", "failed", "reset", "unreached"]
    assert set(store.disabled_endpoints) == {"s6"}
    assert set(store.ejections) == {"s4", "s5", "s7"}
    assert store.key_backoffs == TOLD["memory"]["rests"]
    assert set(store.known_endpoints) == set(numbers)
    found = identity.read_identity(folder)
    told = json.loads((folder / "identity").read_bytes().partition(b" ")[2])
    assert found is not None
    assert (found.forwarder_name, found.folder_id, found.start_count, found.salt) == (
        told["name"],
        told["id"],
        told["starts"],
        store.salt,
    )
    anchor = clock.read_anchor(folder)
    told = json.loads((folder / "clock").read_bytes().partition(b" ")[2])
    assert anchor is not None
    assert (anchor.boot_id, anchor.monotonic_ns, anchor.clock_ns) == (
        told["boot"],
        told["monotonic_ns"],
        told["clock_ns"],
    )
    assert anchor.clock_ns - anchor.monotonic_ns == TOLD["clock"]


def test_small_files_are_written_as_they_were(tmp_path: Path) -> None:
    folder = copied("killed", tmp_path)
    before = {name: (folder / name).read_bytes() for name in ("identity", "clock")}
    found, anchor = identity.read_identity(folder), clock.read_anchor(folder)
    assert found is not None
    assert anchor is not None
    identity.write_identity(folder, found)
    clock.write_anchor(folder, anchor)
    assert {name: (folder / name).read_bytes() for name in before} == before


def test_a_lease_is_read_and_written_as_it_was(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    folder, facts = copied("lease", tmp_path), json.loads((DATA / "lease.json").read_text())
    monkeypatch.setattr(lease, "read_boot_id", lambda: facts["boot_id"])
    monkeypatch.setattr(lease, "time_since_boot_us", lambda: facts["since_boot_us"])
    kept = lease.Lease(folder, lambda: int(facts["clock_us"]))
    assert kept.read_end_us(10**9) == facts["until_us"]
    line = (folder / "lease").read_bytes()
    (folder / "lease").unlink()
    kept.renew(facts["until_us"])
    assert (folder / "lease").read_bytes() == line


def test_the_memory_that_was_handed_over_is_read_field_by_field() -> None:
    told = TOLD["memory"]
    found = learned_state_from_stored(told)
    assert [(*scope[:2], as_stored(scope[2], SCOPE_FIELDS)) for scope in found.limit_scopes] == [
        (destination, endpoint, stored) for destination, endpoint, stored in told["places"]
    ]
    assert [(number, as_stored(fields, ENDPOINT_FIELDS)) for number, fields in found.endpoints] == [
        (number, stored) for number, stored in told["targets"]
    ]
    assert (len(found.limit_scopes), len(found.endpoints)) == (7, 7)
    assert found.key_backoffs == told["rests"]
    assert found.tenant_buckets == told["purses"]
    assert found.trusted_idle_us == told["idle_us"]
    assert [
        (c.endpoint, c.sent_us, c.connection_idle_us, c.since_previous_us, c.counted, c.attempts) for c in found.calls
    ] == [(c["target"], c["sent_us"], c["idle_us"], c["gap_us"], c["judged"], (("out", 0),)) for c in told["calls"]]
    assert json.loads(json.dumps(learned_state_to_stored(found))) == told, "and is written as it was"


SCOPE_FIELDS = {
    "window": "concurrency_window",
    "mean": "expected_call_us",
    "seed": "initial_call_us",
    "mean_at": "learned_at_us",
    "wait_until": "retry_after_until_us",
    "rest_until": "backoff_until_us",
    "rest": "backoff_us",
    "cut_at": "window_cut_at_us",
    "limit": "limit_per_s",
    "left": "limit_left",
    "share": "quota_share",
    "told_at": "reported_at_us",
    "pace_at": "next_call_at_us",
}
ENDPOINT_FIELDS = {
    "failing": "error_rate",
    "tried_at": "last_call_at_us",
    "idle_at": "idle_since_us",
    "outage_at": "ejected_at_us",
    "back_at": "recovering_since_us",
    "spread": "slow_start_jitter",
}


def as_stored(fields: Mapping[str, float], names: dict[str, str]) -> dict[str, float]:
    """The fields under their stored names; nothing else may be among them."""
    assert set(fields) == set(names.values())
    return {stored: fields[name] for stored, name in names.items()}


def test_what_is_handed_over_has_the_fields_that_it_had(tmp_path: Path) -> None:
    """The same story as the data's, told by this program: the same keys, at every depth."""

    def shape(told: Any) -> Any:
        if isinstance(told, dict):
            return {key: shape(value) for key, value in told.items()}
        if isinstance(told, list):
            return [shape(value) for value in told][:1]
        return type(told).__name__

    async def scene(platform: Platform, folder: Path) -> None:
        node, *peers = await handed_over(platform, folder)
        told = await asyncio.to_thread(say_over, folder)
        for key in ("numbers", "memory"):
            told[key] = {**told[key], "rests": {}, "purses": {}} if key == "memory" else {}
        want = TOLD | {"numbers": {}, "memory": {**TOLD["memory"], "rests": {}, "purses": {}}}
        assert shape(told) == shape(want)
        assert await node.end() != 0
        assert peers

    play(scene, tmp_path)


def say_over(folder: Path) -> dict[str, Any]:
    """Ask a process for all that it has, and leave it as it is."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(PATIENCE)
        link.connect(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
        link.sendall(TAKEOVER_REQUEST)
        size, _ = HANDOVER_HEADER.unpack(receive(link, HANDOVER_HEADER.size))
        told: dict[str, Any] = json.loads(receive(link, size))
        return told


class Owner:
    """Stands for the process of e0ee873.

    Holds its folder, and hands over what it told, with connections of this test in place of those it had.
    """

    def __init__(self, node: Node, told: dict[str, Any], descriptors: list[int]) -> None:
        self.state, self.told, self.descriptors = node.folder / "state", told, descriptors
        self.lock = os.open(self.state / "lock", os.O_RDWR | os.O_CREAT)
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.bind(f"/proc/self/fd/{os.open(self.state, os.O_RDONLY)}/upgrade")
        self.listener.listen()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        link, _ = self.listener.accept()
        assert receive(link, len(TAKEOVER_REQUEST)) == TAKEOVER_REQUEST
        data = json.dumps(self.told, separators=(",", ":")).encode()
        link.sendall(HANDOVER_HEADER.pack(len(data), len(self.descriptors)) + data)
        socket.send_fds(link, [b"f"], self.descriptors)
        assert receive(link, len(TAKEOVER_READY)) == TAKEOVER_READY
        socket.send_fds(link, [OWNERSHIP_GRANTED], [self.lock])
        os.close(self.lock)
        link.close()


def connected() -> tuple[socket.socket, socket.socket]:
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return near, far


async def handed_over(platform: Platform, folder: Path) -> tuple[Node, Peer, socket.socket, list[socket.socket]]:
    """A process that has taken over from that of the data, and the endpoint that it calls now.

    With them its connection to endpoint s1, on which a call is out, by its far end; and the far ends of its two
    clients, the one in the middle of a request first, and last that of its idle connection to s2.
    """
    one = await start_endpoint(platform, always(OK))
    for n, block in enumerate((8, 9, 10, 11, 12, 13), 2):
        platform.add_endpoint(f"s{n}", one.port, block)
    platform.version = 2
    platform.changes[2] = [dict(host) for host in platform.endpoints.values()]
    node = Node(folder, platform)
    shutil.copytree(DATA / "killed", folder / "state", dirs_exist_ok=True)
    told = json.loads(json.dumps(TOLD)) | {"clock": HANDED["now_us"] * 1000 - time.monotonic_ns()}
    control = socket.create_server(("127.0.0.1", 0))
    listener = socket.create_server((node.host, node.port))
    call, far_call = connected()
    idle, far_idle = connected()
    doors = [connected() for _ in told["doors"]]
    at = {
        told["clients"]: listener,
        told["connections"][0]: call,
        told["connections"][1]: idle,
        told["controls"][0]: control,
    }
    at |= {door["fd"]: near for door, (near, _) in zip(told["doors"], doors, strict=True)}
    assert len(at) == HANDED["descriptors"]
    Owner(node, told, [at[n].fileno() for n in range(len(at))])
    end_with_scene(node)
    await node.start()
    return node, one, far_call, [*(far for _, far in doors), far_idle]


def test_a_process_goes_on_with_all_that_an_older_one_handed_over(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node, peer, call, (half, kept, idle) = await handed_over(platform, folder)
        loop = asyncio.get_running_loop()
        for sock in (call, half, kept, idle):
            sock.setblocking(False)
        await loop.sock_sendall(call, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        # The rest of the request that was half read.
        data = message("half", "status", dest=8, body=b"the rest comes later")
        await loop.sock_sendall(half, data[70:])
        assert b" 202 " in await loop.sock_recv(half, 1000)
        await loop.sock_sendall(kept, message("done", "status", dest=8))
        assert b" 202 " in await loop.sock_recv(kept, 1000), "it was taken on before"
        assert (await node.call(b"HEALTH\n")).startswith("ok")
        assert set((await platform.wait_for_notice("waits")).items()) >= {("state", "returned")}
        for name in ("failed", "reset", "unreached"):
            await platform.wait_for_notice(name)
        assert b"X-Correlation-Id: behind\r\n" in await loop.sock_recv(call, 1000), "the next of its key"
        assert b"X-Correlation-Id: half\r\n" in await loop.sock_recv(idle, 1000)
        assert "out" not in {notice["id"] for notice in platform.notices}
        assert not peer.requests, "the others wait: for a ban, for their key, or are over"

    play(scene, tmp_path)


def test_the_simulators_wire_is_repeated_to_the_byte() -> None:
    host = SimulatorHost()
    for line, answer in json.loads((DATA / "lines.json").read_text()):
        assert host.batch(line) == answer


def test_datagrams_between_forwarders_are_read_field_by_field_and_written_as_they_were() -> None:
    sealed = [bytes.fromhex(text) for text in json.loads((DATA / "datagrams.json").read_text())]
    member = MemberRow("n1", "127.0.0.1", 3200, 3 << 20, 2, "abcd", 1, "0.1.0", "n2")
    record = GossipRow("out", "s1", "n3", 4, 5, 6, 7, 8)
    other = MemberRow("n4", "h", 1, 1 << 20, 1)
    bodies = [
        Datagram("ping", "n0", 2, datagram_number=1),
        Datagram(
            "full",
            "n0",
            2,
            process_id="0123",
            datagram_number=2,
            request_number=9,
            target=member,
            members=[member, other],
            digest="abcdef01",
            records=[record],
        ),
        Datagram(
            "facts",
            "n0",
            2,
            process_id="0123",
            datagram_number=3,
            records=[record, GossipRow("holds", "s2", "n3", 4, 6)],
        ),
    ]
    codec = Codec("cluster", [b"a key of sixteen bytes"])
    assert [Codec("cluster", [b"a key of sixteen bytes"]).open(data) for data in sealed] == bodies
    assert [codec.seal(body) for body in bodies] == sealed
