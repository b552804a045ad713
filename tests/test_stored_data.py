"""Compatibility tests with data of commit e0ee873: stored state, hand-over, simulator protocol and datagrams.

The files, and the script that created them, are in tests/data/e0ee873.
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
MAX_BYTES = 3_000_000
HANDOVER: dict[str, Any] = json.loads((DATA / "handover.json").read_text())
HANDED_OVER_STATE: dict[str, Any] = HANDOVER["told"]


def copy_data(name: str, folder: Path) -> Path:
    """Copies a data folder, so that the original cannot be changed."""
    return Path(shutil.copytree(DATA / name, folder / name))


def message_fields(m: AcceptedMessage) -> dict[str, Any]:
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


DEFAULT_FIELDS: dict[str, Any] = {
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
    store = MessageStore(copy_data("records", tmp_path), MAX_BYTES)
    assert (store.recovered.version, store.salt, store.recovered.is_damaged, store.recovered.torn_bytes) == (
        3,
        1234,
        False,
        0,
    )
    assert {name: message_fields(m) for name, m in store.messages.items()} == {
        "tried": DEFAULT_FIELDS
        | {
            "body": b"body of tried\n\0",
            "key": "k-tried",
            "attempts": 7,
            "held": {1, 2, 3, 5},
            "ran_at_us": 40,
            "ran_on": "s1",
            "out": {6: (70, "s2")},
        },
        "once": DEFAULT_FIELDS | {"body": b"body of once\n\0", "key": "k-once", "attempts": 1},
        "safe": DEFAULT_FIELDS | {"body": b"body of safe\n\0", "attempts": 1, "held": {0}, "idempotency_key": "idem"},
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
def test_journals_of_older_formats_are_read_field_by_field_and_migrated(
    tmp_path: Path, version: int, cls: MessageClass, idempotency_key: str | None
) -> None:
    folder = copy_data(f"version{version}", tmp_path)
    for read_as in (version, 3):
        store = MessageStore(folder, MAX_BYTES)
        assert (store.recovered.version, store.recovered.is_damaged) == (read_as, False)
        assert {name: message_fields(m) for name, m in store.messages.items()} == {
            "old": DEFAULT_FIELDS
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


def test_the_state_of_a_killed_process_is_read_field_by_field(tmp_path: Path) -> None:
    folder, numbers = copy_data("killed", tmp_path), HANDED_OVER_STATE["numbers"]
    store = MessageStore(folder, MAX_BYTES)
    assert not store.recovered.is_damaged
    assert not store.recovered.torn_bytes
    sent_us = {c["attempts"][0][0]: c["sent_us"] for c in HANDED_OVER_STATE["memory"]["calls"]}
    assert {
        name: (m.message_class.name, m.destination, m.key, m.attempts, m.in_flight)
        for name, m in store.messages.items()
    } == {
        "out": ("turn", 7, "claim", 1, {0: (sent_us["out"], "s1")}),
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
    assert store.key_backoffs == HANDED_OVER_STATE["memory"]["rests"]
    assert set(store.known_endpoints) == set(numbers)
    found = identity.read_identity(folder)
    stored_identity = json.loads((folder / "identity").read_bytes().partition(b" ")[2])
    assert found is not None
    assert (found.forwarder_name, found.folder_id, found.start_count, found.salt) == (
        stored_identity["name"],
        stored_identity["id"],
        stored_identity["starts"],
        store.salt,
    )
    anchor = clock.read_anchor(folder)
    stored_anchor = json.loads((folder / "clock").read_bytes().partition(b" ")[2])
    assert anchor is not None
    assert (anchor.boot_id, anchor.monotonic_ns, anchor.clock_ns) == (
        stored_anchor["boot"],
        stored_anchor["monotonic_ns"],
        stored_anchor["clock_ns"],
    )
    assert anchor.clock_ns - anchor.monotonic_ns == HANDED_OVER_STATE["clock"]


def test_small_files_are_written_with_the_same_bytes(tmp_path: Path) -> None:
    folder = copy_data("killed", tmp_path)
    before = {name: (folder / name).read_bytes() for name in ("identity", "clock")}
    found, anchor = identity.read_identity(folder), clock.read_anchor(folder)
    assert found is not None
    assert anchor is not None
    identity.write_identity(folder, found)
    clock.write_anchor(folder, anchor)
    assert {name: (folder / name).read_bytes() for name in before} == before


def test_a_lease_is_read_and_written_with_the_same_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    folder, recorded = copy_data("lease", tmp_path), json.loads((DATA / "lease.json").read_text())
    monkeypatch.setattr(lease, "read_boot_id", lambda: recorded["boot_id"])
    monkeypatch.setattr(lease, "time_since_boot_us", lambda: recorded["since_boot_us"])
    stored_lease = lease.Lease(folder, lambda: int(recorded["clock_us"]))
    assert stored_lease.read_end_us(10**9) == recorded["until_us"]
    line = (folder / "lease").read_bytes()
    (folder / "lease").unlink()
    stored_lease.renew(recorded["until_us"])
    assert (folder / "lease").read_bytes() == line


def test_the_learned_state_that_was_handed_over_is_read_field_by_field() -> None:
    stored_state = HANDED_OVER_STATE["memory"]
    learned_state = learned_state_from_stored(stored_state)
    assert [(*scope[:2], as_stored(scope[2], SCOPE_FIELDS)) for scope in learned_state.limit_scopes] == [
        (destination, endpoint, stored) for destination, endpoint, stored in stored_state["places"]
    ]
    assert [(number, as_stored(fields, ENDPOINT_FIELDS)) for number, fields in learned_state.endpoints] == [
        (number, stored) for number, stored in stored_state["targets"]
    ]
    assert (len(learned_state.limit_scopes), len(learned_state.endpoints)) == (7, 7)
    assert learned_state.key_backoffs == stored_state["rests"]
    assert learned_state.tenant_buckets == stored_state["purses"]
    assert learned_state.trusted_idle_us == stored_state["idle_us"]
    assert [
        (c.endpoint, c.sent_us, c.connection_idle_us, c.since_previous_us, c.counted, c.attempts)
        for c in learned_state.calls
    ] == [
        (c["target"], c["sent_us"], c["idle_us"], c["gap_us"], c["judged"], (("out", 0),))
        for c in stored_state["calls"]
    ]
    assert json.loads(json.dumps(learned_state_to_stored(learned_state))) == stored_state, "encoding changes the state"


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
    """Returns the fields under their stored names; fails if there are any other fields."""
    assert set(fields) == set(names.values())
    return {stored: fields[name] for stored, name in names.items()}


def test_the_handed_over_state_has_the_same_fields_as_before(tmp_path: Path) -> None:
    """After the same scenario as in the data, this program hands over the same keys at every depth."""

    def structure(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: structure(item) for key, item in value.items()}
        if isinstance(value, list):
            return [structure(item) for item in value][:1]
        return type(value).__name__

    async def scene(platform: Platform, folder: Path) -> None:
        node, *endpoint_and_sockets = await start_after_handover(platform, folder)
        state = await asyncio.to_thread(request_handover, folder)
        for key in ("numbers", "memory"):
            state[key] = {**state[key], "rests": {}, "purses": {}} if key == "memory" else {}
        expected = HANDED_OVER_STATE | {
            "numbers": {},
            "memory": {**HANDED_OVER_STATE["memory"], "rests": {}, "purses": {}},
        }
        assert structure(state) == structure(expected)
        assert await node.end() != 0
        assert endpoint_and_sockets

    play(scene, tmp_path)


def request_handover(folder: Path) -> dict[str, Any]:
    """Requests the state that a process hands over, and disconnects without completing the hand-over."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(PATIENCE)
        connection.connect(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
        connection.sendall(TAKEOVER_REQUEST)
        size, _ = HANDOVER_HEADER.unpack(receive(connection, HANDOVER_HEADER.size))
        state: dict[str, Any] = json.loads(receive(connection, size))
        return state


class PreviousProcess:
    """Simulates the process of commit e0ee873.

    Owns its state folder and hands over the recorded state, with sockets of this test in place of the original ones.
    """

    def __init__(self, node: Node, state: dict[str, Any], descriptors: list[int]) -> None:
        self.folder, self.state, self.descriptors = node.folder / "state", state, descriptors
        self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT)
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.bind(f"/proc/self/fd/{os.open(self.folder, os.O_RDONLY)}/upgrade")
        self.listener.listen()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        connection, _ = self.listener.accept()
        assert receive(connection, len(TAKEOVER_REQUEST)) == TAKEOVER_REQUEST
        data = json.dumps(self.state, separators=(",", ":")).encode()
        connection.sendall(HANDOVER_HEADER.pack(len(data), len(self.descriptors)) + data)
        socket.send_fds(connection, [b"f"], self.descriptors)
        assert receive(connection, len(TAKEOVER_READY)) == TAKEOVER_READY
        socket.send_fds(connection, [OWNERSHIP_GRANTED], [self.lock])
        os.close(self.lock)
        connection.close()


def create_tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    return near, far


async def start_after_handover(
    platform: Platform, folder: Path
) -> tuple[Node, Peer, socket.socket, list[socket.socket]]:
    """Starts a process that takes over from the process of the data.

    Returns:
        The process; the endpoint that it calls from now on; the far end of its connection to endpoint s1, with a call
        in progress; and the far ends of its other connections. These are its two client connections, of which the first
        is in the middle of a request, and its idle connection to endpoint s2.
    """
    endpoint = await start_endpoint(platform, always(OK))
    for n, block in enumerate((8, 9, 10, 11, 12, 13), 2):
        platform.add_endpoint(f"s{n}", endpoint.port, block)
    platform.version = 2
    platform.changes[2] = [dict(host) for host in platform.endpoints.values()]
    node = Node(folder, platform)
    shutil.copytree(DATA / "killed", folder / "state", dirs_exist_ok=True)
    state = json.loads(json.dumps(HANDED_OVER_STATE)) | {"clock": HANDOVER["now_us"] * 1000 - time.monotonic_ns()}
    admin_listener = socket.create_server(("127.0.0.1", 0))
    client_listener = socket.create_server((node.host, node.port))
    call, far_call = create_tcp_pair()
    idle, far_idle = create_tcp_pair()
    clients = [create_tcp_pair() for _ in state["doors"]]
    sockets = {
        state["clients"]: client_listener,
        state["connections"][0]: call,
        state["connections"][1]: idle,
        state["controls"][0]: admin_listener,
    }
    sockets |= {client["fd"]: near for client, (near, _) in zip(state["doors"], clients, strict=True)}
    assert len(sockets) == HANDOVER["descriptors"]
    PreviousProcess(node, state, [sockets[n].fileno() for n in range(len(sockets))])
    end_with_scene(node)
    await node.start()
    return node, endpoint, far_call, [*(far for _, far in clients), far_idle]


def test_a_process_continues_with_everything_that_an_older_one_handed_over(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node, endpoint, call, (half_request, idle_client, idle_endpoint) = await start_after_handover(platform, folder)
        loop = asyncio.get_running_loop()
        for sock in (call, half_request, idle_client, idle_endpoint):
            sock.setblocking(False)
        await loop.sock_sendall(call, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        # The rest of the request of which the older process had read the first part.
        data = message("half", "status", dest=8, body=b"the rest comes later")
        await loop.sock_sendall(half_request, data[70:])
        assert b" 202 " in await loop.sock_recv(half_request, 1000)
        await loop.sock_sendall(idle_client, message("done", "status", dest=8))
        assert b" 202 " in await loop.sock_recv(idle_client, 1000), "the message was accepted before"
        assert (await node.call(b"HEALTH\n")).startswith("ok")
        assert set((await platform.wait_for_notice("waits")).items()) >= {("state", "returned")}
        for name in ("failed", "reset", "unreached"):
            await platform.wait_for_notice(name)
        assert b"X-Correlation-Id: behind\r\n" in await loop.sock_recv(call, 1000), "the next message of the key"
        assert b"X-Correlation-Id: half\r\n" in await loop.sock_recv(idle_endpoint, 1000)
        assert "out" not in {notice["id"] for notice in platform.notices}
        assert not endpoint.requests, "the other messages have ended, or wait for their key or a disabled endpoint"

    play(scene, tmp_path)


def test_the_simulator_protocol_is_unchanged_byte_for_byte() -> None:
    host = SimulatorHost()
    for line, answer in json.loads((DATA / "lines.json").read_text()):
        assert host.batch(line) == answer


def test_datagrams_between_forwarders_are_read_field_by_field_and_written_with_the_same_bytes() -> None:
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
