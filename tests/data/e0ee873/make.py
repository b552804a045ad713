"""Makes the stored data beside this file with the program of commit e0ee873.

Run it from a checkout of that commit, with the packages of its requirements-dev.txt:

    python .../tests/data/e0ee873/make.py OUT

OUT/killed: the state folder of a process that was ended by SIGKILL after half of an upgrade.
OUT/handover.json: what that process told the one that was to take over, and when, by its own clock.
OUT/config.json: the configuration that it ran with.
OUT/records: a state folder with a snapshot and every kind of journal record, written by the store's class.
OUT/version1, OUT/version2: journals of the older formats.
OUT/lease: a lease, with the boot id and the boot clock that it was written by (lease.json).
OUT/lines.json: the simulator's wire, each line in with the line out.
OUT/datagrams.json: datagrams between forwarders, sealed with a key that the script gives.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, os.getcwd())

from lemonshunt import journal
from lemonshunt.interface import Effect, MessageClass, Scope
from lemonshunt.members.board import Item
from lemonshunt.members.codec import Body, Codec, Row
from lemonshunt.net import lease as lease_module
from lemonshunt.net.clock import Clock
from lemonshunt.net.store import AcceptedMessage, Store
from lemonshunt.net.upgrade import ASK, HEAD, receive
from lemonshunt.wirehost import Host
from tests import sockets
from tests.sockets import OK, Answer, Node, Peer, Platform, always, hang, message

SAFE = MessageClass("safe", 10**6, 10**7)
KEYED = MessageClass("keyed", 10**6, 10**7, Effect.KEYED, Scope.ZONE, 30_000_000, False, 2.5, 0.5)
ONCE = MessageClass("once", 10**6, 10**7, Effect.ONCE, in_order=True)
MB = 3_000_000


def say_over(folder: Path) -> tuple[dict[str, Any], int]:
    """Ask the process for all that it has, and leave it as it is."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(20)
    link.connect(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
    link.sendall(ASK)
    size, count = HEAD.unpack(receive(link, HEAD.size))
    told = json.loads(receive(link, size))
    link.close()
    return told, count


async def killed(out: Path, work: Path) -> None:
    platform = Platform()
    await platform.start()

    async def target(name: str, handler: Any, block: int, kind: str = "plain") -> Peer:
        peer = await Peer(handler).start()
        platform.host(name, peer.port, block, kind=kind)
        return peer

    one = await target("s1", hang, 7)
    two = await target("s2", always(OK), 8)
    three = await target("s3", always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"})), 9)
    four = await target("s4", always(Answer(500)), 10)
    five = await target("s5", always(None), 11)
    await target("s6", always(OK), 12)
    platform.host("s7", sockets.free_port(), 13)
    platform.accepts = False
    node = Node(work, platform)
    contract = sockets.SETTINGS["contract"] | {"key_rest_us": 30_000_000, "warm_after_us": 60_000_000}
    read = json.loads((work / "config.json").read_text())
    node.configure(settings=read["settings"] | {"contract": contract})
    await node.start()
    kept, half = await node.client(), await node.client()
    assert (await kept.hand_in("out", "turn", X_Session_Key="claim", body=b"body of out"))[0] == 202
    await one.got(1)
    assert (await kept.hand_in("behind", "turn", X_Session_Key="claim"))[0] == 202
    assert (await node.hand_in("done", "status", dest=8))[0] == 202
    await two.got(1)
    assert (await node.hand_in("done again", "status", dest=8))[0] == 400
    assert (await node.hand_in("done-again", "status", dest=8))[0] == 202
    await two.got(2)
    assert (await node.hand_in("waits", "status", dest=9, Idempotency_Key="idem-1"))[0] == 202
    await three.got(1)
    assert (await node.hand_in("failed", "pay", dest=10))[0] == 202
    await four.got(1)
    assert (await node.hand_in("reset", "turn", dest=11, X_Session_Key="other"))[0] == 202
    await five.got(1)
    assert (await node.hand_in("rests", "turn", dest=11, X_Session_Key="other"))[0] == 202
    assert (await node.call(b"OFFLINE s6\n")).startswith("ok")
    assert (await node.hand_in("banned", "order", dest=12))[0] == 202
    assert (await node.hand_in("unreached", "status", dest=13))[0] == 202
    half.writer.write(message("half", "status", dest=8, body=b"the rest comes later")[:70])
    await platform.until(lambda: any(r.path == "/v1/notices" for r in platform.requests))
    await asyncio.sleep(0.3)
    state = work / "state"
    base = int(json.loads((state / "clock").read_bytes().partition(b" ")[2])["clock_ns"]) - int(
        json.loads((state / "clock").read_bytes().partition(b" ")[2])["monotonic_ns"]
    )
    now_us = Clock(base)()
    told, count = await asyncio.to_thread(say_over, work)
    await asyncio.sleep(0.3)
    node.process.kill()
    await node.process.wait()
    text = json.dumps({"now_us": now_us, "descriptors": count, "told": told}, indent=1)
    (out / "handover.json").write_text(text + "\n")
    shutil.copy(work / "config.json", out / "config.json")
    shutil.copytree(state, out / "killed", ignore=shutil.ignore_patterns("lock", "upgrade"))


def taken(name: str, cls: MessageClass, **more: Any) -> AcceptedMessage:
    key = f"k-{name}" if cls is not SAFE else None
    return AcceptedMessage(name, cls, 7, 10**15, key, "acme", f"body of {name}\n\0".encode(), **more)


def records(folder: Path) -> None:
    """A snapshot and a journal with every kind of record."""
    folder.mkdir()
    store = Store(folder, MB, salt=1234).own()
    store.take(taken("over", ONCE))
    store.over("over")
    store.take(taken("tried", KEYED))
    store.attempt(store.messages["tried"], 0, 40, "s1")
    store.outcome(store.messages["tried"], 0, True)
    for number in (1, 2, 3, 5):
        store.attempt(store.messages["tried"], number, 50 + number, "s2")
        store.held(store.messages["tried"], number)
    store.attempt(store.messages["tried"], 6, 70, "s2")
    store.flush()
    assert store.compact()
    hosts = {n: {"host": n, "dial": "127.0.0.1:9", "block": 7, "health": "up"} for n in ("s1", "s2")}
    store.list(41, hosts, 10)
    store.take(taken("once", ONCE))
    store.attempt(store.messages["once"], 0, 60, "s2")
    store.outcome(store.messages["once"], 0, False)
    store.take(taken("safe", SAFE, idempotency_key="idem"))
    store.attempt(store.messages["safe"], 0, 80, "s1")
    store.held(store.messages["safe"], 0)
    store.take(taken("owed", ONCE))
    store.owe("owed", "returned", 500)
    store.take(taken("told", ONCE))
    store.owe("told", "failed", 0)
    store.told("told")
    store.rest("k-once", 12345, 10)
    store.outage("s1", 5, -1)
    store.outage("s2", 6, 7)
    store.ban("s2", 77)
    store.ban("s1", 78)
    store.ban("s1", -1)
    store.note_names(["s3"])
    store.flush()


def older(out: Path) -> None:
    lines: list[tuple[Any, ...]] = [
        ("taken", "old", "order", 7, 10**15, "k", None, 1, 40, "s1", [[1, 50, "s2"]]),
        ("owed", "end", "failed", 0, None),
        ("ban", "s1", 5),
        ("outage", "s2", 7, -1),
    ]
    payloads = [json.dumps(line).encode() + b"\n" + (b"body" if line[0] == "taken" else b"") for line in lines]
    (out / "version1").mkdir()
    old = b"".join(journal.OLD_HEAD.pack(len(p), journal.zlib.crc32(p)) + p for p in payloads)
    (out / "version1/journal").write_bytes(old)
    cls = ["keyed", 10**6, 10**7, "keyed", "zone", 30_000_000, False, 2.5, 0.5]
    lines[0] = ("taken", "old", cls, 7, 10**15, "k", None, 1, 40, "s1", [[1, 50, "s2"]], "idem")
    (out / "version2").mkdir()
    second = journal._header(2, 1234, 0)
    for number, line in enumerate(lines, 1):
        second += journal.record(1234, number, line, b"body" if line[0] == "taken" else b"")
    (out / "version2/journal").write_bytes(second)


def lease(out: Path) -> None:
    (out / "lease").mkdir()
    boot_id = "11111111-2222-3333-4444-555555555555"
    since_boot_us = 10**9
    clock_us = 5 * 10**9
    until_us = clock_us + 7_000_000
    lease_module.boot_id = lambda: boot_id
    lease_module.since_boot = lambda: since_boot_us
    made = lease_module.Lease(out / "lease", lambda: clock_us)
    made.keep(until_us)
    made.close()
    facts = {"boot_id": boot_id, "since_boot_us": since_boot_us, "clock_us": clock_us, "until_us": until_us}
    (out / "lease.json").write_text(json.dumps(facts, indent=1) + "\n")


def datagrams(out: Path) -> None:
    """Datagrams between forwarders, with every field set, and with none but the needed ones."""
    member = Row("n1", "127.0.0.1", 3200, 3 << 20, 2, "abcd", 1, "0.1.0", "n2")
    item = Item("out", "s1", "n3", 4, 5, 6, 7, 8)
    bodies = [
        Body("ping", "n0", 2),
        Body("full", "n0", 2, "0123", 0, 9, member, [member, Row("n4", "h", 1, 1 << 20, 1)], "abcdef01", [item]),
        Body("facts", "n0", 2, "0123", 0, 0, None, [], "", [item, Item("holds", "s2", "n3", 4, 6)]),
    ]
    codec = Codec("cluster", [b"a key of sixteen bytes"])
    (out / "datagrams.json").write_text(json.dumps([codec.seal(body).hex() for body in bodies], indent=1) + "\n")


def wire(out: Path) -> None:
    """Lines for two instances, with every event and most actions."""
    facts = sockets.SETTINGS | {"discovery": "on_request"}
    spans = {"key_rest_us": 200_000, "warm_after_us": 500_000, "fall_us": 100_000}
    facts = facts | {"contract": facts["contract"] | spans}

    def ask(name: str, cls: str, dest: int, due: int, key: str | None = None) -> dict[str, Any]:
        return {
            "type": "ASK",
            "forwarder_id": "f1",
            "msg_id": name,
            "dest": dest,
            "class": cls,
            "due_us": due,
            "route_key": key,
            "account": "acme",
        }

    def closed(name: str, attempt: int, target: int, result: str, **more: Any) -> dict[str, Any]:
        return {
            "type": "CLOSED_ATTEMPT",
            "forwarder_id": "f1",
            "msg_id": name,
            "try": attempt,
            "target": target,
            "result": result,
            "lag_us": 40_000,
            **more,
        }

    row = {"hall": "x", "kind": "plain", "readiness": "SERVING", "power_hint": 100.0}
    elements = [{"target": n, "belongs_to": 7 + n % 2, **row} for n in (1, 2, 3, 4)]
    inboxes: list[tuple[int, list[dict[str, Any]]]] = [
        (
            0,
            [
                {"type": "UP", "forwarder_id": "f1", "facts": facts, "entropy": 5},
                {"type": "UP", "forwarder_id": "f2", "facts": facts, "entropy": 6},
            ],
        ),
        (
            1_000,
            [
                {"type": "TABLE", "buffer": 1, "elements": elements},
                {"type": "MEMBERS", "forwarder_id": "f1", "how": "FULL", "buffer": 1},
                {"type": "MEMBERS", "forwarder_id": "f2", "how": "FAILED"},
            ],
        ),
        (2_000, [ask(f"m{n}", "status", 7 + n % 2, 3_000_000 + n) for n in range(12)]),
        (3_000, [ask("k1", "turn", 7, 4_000_000, "a"), ask("k2", "turn", 8, 4_000_000, "a"), ask("u", "none", 7, 9)]),
        (
            50_000,
            [
                closed("m0", 0, 2, "Ok", telemetry=[0.5, 20.0]),
                closed("m1", 0, 1, "QueueFull", wait_ms=300),
                closed("m2", 0, 4, "Failed"),
                closed("m3", 0, 3, "ConnectError"),
            ],
        ),
        (
            60_000,
            [
                closed("m4", 0, 2, "ResetByPeer"),
                closed("m5", 0, 1, "TimedOut"),
                {"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"},
                {"type": "CHECK_RESULT", "forwarder_id": "f1", "target": 1, "result": "Ok", "lag_us": 900},
            ],
        ),
        (
            200_000,
            [
                {"type": "CLIENT_LEFT", "forwarder_id": "f1", "msg_id": "m6"},
                {"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"},
            ],
        ),
        (
            400_000,
            [
                closed("m7", 0, 1, "Ok"),
                closed("m8", 0, 2, "Ignored"),
                closed("m9", 0, 3, "Canceled"),
                {"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"},
            ],
        ),
        (
            1_500_000,
            [
                {"type": "TABLE", "buffer": 2, "elements": [elements[0] | {"readiness": "DRAINING"}]},
                {"type": "MEMBERS", "forwarder_id": "f1", "how": "INCREMENTAL", "buffer": 2},
                {"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"},
            ],
        ),
        (2_990_000, [{"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"}]),
        (
            3_990_000,
            [
                {"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"},
                {"type": "DEADLINE_HIT", "forwarder_id": "f2", "token": "look"},
            ],
        ),
        (4_500_000, [{"type": "DOWN", "forwarder_id": "f2"}]),
    ]
    host, pairs = Host(), []

    def play(now: int, inbox: list[dict[str, Any]]) -> list[dict[str, Any]]:
        line = json.dumps({"clock_us": now, "inbox": inbox})
        pairs.append([line, host.batch(line)])
        done: list[dict[str, Any]] = json.loads(pairs[-1][1])["do"]
        return done

    for now, inbox in inboxes:
        play(now, inbox)
    play(4_600_000, [{"type": "DOWN", "forwarder_id": "f1"}])
    play(
        4_700_000,
        [
            {"type": "UP", "forwarder_id": "f1", "facts": facts, "entropy": 7},
            {"type": "MEMBERS", "forwarder_id": "f1", "how": "FULL", "buffer": 1},
        ],
    )
    # From here on every call that is made ends, each in another way than the one before.
    ends = itertools.cycle(
        [
            {"result": "Ok", "telemetry": [0.5, 20.0]},
            {"result": "QueueFull", "wait_ms": 30},
            {"result": "QueueFull"},
            {"result": "Failed"},
            {"result": "Ok"},
            {"result": "ConnectError"},
            {"result": "ResetByPeer"},
            {"result": "Ok", "closed": True},
            {"result": "TimedOut"},
            {"result": "Canceled"},
            {"result": "Ignored"},
        ]
    )
    attempts: dict[str, int] = {}
    sent: list[dict[str, Any]] = []
    for n in range(60):
        now = 5_000_000 + n * 90_000
        inbox = [closed(a["msg_id"], attempts[a["msg_id"]], a["target"], **next(ends)) for a in sent]
        inbox += [
            ask(f"r{n}-{k}", ("status", "order", "pay", "turn")[(n + k) % 4], 7 + k % 2, now + 900_000, f"key{k}")
            for k in range(3 if n < 50 else 0)
        ]
        inbox.append({"type": "DEADLINE_HIT", "forwarder_id": "f1", "token": "look"})
        sent = [a for a in play(now, inbox) if a["type"] == "ISSUE"]
        for a in sent:
            attempts[a["msg_id"]] = attempts.get(a["msg_id"], -1) + 1
    (out / "lines.json").write_text(json.dumps(pairs, indent=1) + "\n")


def main() -> None:
    out = Path(sys.argv[1])
    out.mkdir(exist_ok=True)
    for name in ("killed", "records", "version1", "version2", "lease"):
        shutil.rmtree(out / name, ignore_errors=True)
    records(out / "records")
    older(out)
    lease(out)
    wire(out)
    datagrams(out)
    with tempfile.TemporaryDirectory() as work:
        asyncio.run(killed(out, Path(work)))
    print(f"made at {time.ctime()} in {out}")


if __name__ == "__main__":
    main()
