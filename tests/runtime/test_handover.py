"""Two processes on one folder: the state of the old process passes to the new one completely, or not at all."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointListKind,
    EndpointListReceived,
    Event,
    HandoverReceived,
    MessageRecovered,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.runtime.learned_state_format import learned_state_from_stored, learned_state_to_stored
from tests.nodes import Node, message
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_node
from tests.scripts import ENTRIES, MS, S, ask, end, sends, settings, started
from tests.sockets import OK, PATIENCE, Answer, Peer, Request, always, hang


async def upgrade(node: Node) -> Node:
    """Starts the new process, and waits until it serves and the old one has ended without a signal."""
    new = node.successor()
    end_with_scene(new)
    await new.start()
    assert (await new.call(b"HEALTH\n")).startswith("ok")
    async with asyncio.timeout(PATIENCE):
        assert await node.process.wait() == 0
    return new


async def send_split_commands(node: Node) -> set[bytes]:
    """Opens an admin connection with half a command every 0.1 s until the process hands over, then sends the rest.

    Returns the answers. The old process answers an incomplete line after 0.5 s, so some connections are handed over
    with half a command however long the new process takes to start.
    """
    writers, answers = [], []
    while not any("handed over" in line for line in node.log):
        reader, writer = await asyncio.open_connection(node.host, node.control)
        writer.write(b"HEAL")
        writers.append(writer)
        answers.append(asyncio.create_task(reader.read()))
        await asyncio.sleep(0.1)
    for writer in writers:
        writer.write(b"TH\n")
    async with asyncio.timeout(PATIENCE):
        return set(await asyncio.gather(*answers))


async def hold_answers(release: asyncio.Event, peer: Peer, status: int = 200) -> None:
    async def handler(request: Request) -> Answer:
        await release.wait()
        return Answer(status)

    peer.handler = handler


def test_clients_calls_and_order_pass_to_the_new_process(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        one, two = await start_endpoint(platform, hang), await start_endpoint(platform, always(OK), "s2", block=8)
        release = asyncio.Event()
        await hold_answers(release, one)
        node = await start_node(folder, platform)
        kept, half = await node.client(), await node.client()
        assert (await kept.submit("a", "turn", X_Session_Key="claim"))[0] == 202
        await one.wait_for_requests(1)
        assert (await kept.submit("b", "turn", dest=8, X_Session_Key="claim"))[0] == 202
        data = message("c", "turn", dest=8, X_Session_Key="other")
        half.writer.write(data[:70])
        commands = asyncio.create_task(send_split_commands(node))
        new = await upgrade(node)
        admin_answers = await commands
        assert b"ok serving\n" in admin_answers
        assert admin_answers <= {b"ok serving\n", b"fail no whole line came\n"}
        half.writer.write(data[70:])
        assert (await half.answer())[0] == 202
        assert (await kept.submit("d", "turn", dest=8, X_Session_Key="claim"))[0] == 202
        assert (await kept.submit("a", "turn", X_Session_Key="claim"))[0] == 202, (
            "this forwarder has accepted it already"
        )
        await two.wait_for_requests(1)
        assert received_ids(one) == ["a"]
        assert received_ids(two) == ["c"]
        release.set()
        await two.wait_for_requests(3)
        assert received_ids(one) == ["a"]
        assert received_ids(two) == ["c", "b", "d"]
        assert await new.end(signal.SIGTERM) == 0
        assert not platform.notices
        assert not (folder / "state/journal.new").exists()

    play(scene, tmp_path)


def test_disabled_endpoints_retry_after_drains_and_pending_notices_pass_to_the_new_process(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        rejection = Answer(429, {"X-RateLimit-Wait-Ms": "60000"})
        one, two = (
            await start_endpoint(platform, always(rejection)),
            await start_endpoint(platform, always(OK), "s2", block=8),
        )
        three = await start_endpoint(platform, always(Answer(500)), "s3", block=9)
        platform.accepts = False
        node = await start_node(folder, platform)
        assert (await node.submit("waits", "status"))[0] == 202
        await one.wait_for_requests(1)
        assert (await node.call(b"OFFLINE s2\n")).startswith("ok")
        assert (await node.submit("banned", "status", dest=8))[0] == 202
        assert (await node.submit("owed", "pay", dest=9))[0] == 202
        await three.wait_for_requests(1)
        await platform.wait_until(lambda: any(r.path == "/v1/notices" for r in platform.requests))
        assert (await node.call(b"LEAVE\n")).startswith("ok")
        new = await upgrade(node)
        client = await new.client()
        client.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await client.answer())[0] == 503
        assert (await new.call(b"JOIN\n")).startswith("ok")
        assert not two.requests
        assert len(one.requests) == 1
        platform.accepts = True
        assert (await platform.wait_for_notice("owed"))["state"] == "failed"
        assert (await new.call(b"ONLINE s2\n")).startswith("ok")
        await two.wait_for_requests(1)
        assert received_ids(two) == ["banned"]
        assert len(one.requests) == len(three.requests) == 1

    play(scene, tmp_path)


def test_no_connection_is_refused_or_closed_unread_during_upgrades(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform, max_open=10_000)
        accepted: set[str] = set()
        stop = asyncio.Event()

        async def client(number: int) -> None:
            n = 0
            while not stop.is_set():
                name = f"c{number}-{n}"
                status, _ = await node.submit(name, "pay")
                assert status == 202
                accepted.add(name)
                n += 1

        clients = [asyncio.create_task(client(n)) for n in range(6)]
        last = node
        for _ in range(3):
            before = len(accepted)
            while len(accepted) < before + 20:
                await asyncio.sleep(0.01)
            last = await upgrade(last)
        stop.set()
        await asyncio.gather(*clients)
        async with asyncio.timeout(PATIENCE):
            while set(received_ids(peer)) != accepted:
                await asyncio.sleep(0.05)
        assert len(peer.requests) == len(accepted), "each message has to be sent once"

    play(scene, tmp_path)


def test_requests_that_wait_behind_each_other_are_answered_after_an_upgrade(tmp_path: Path) -> None:
    """Issue 58, point 5: requests that were read and waited were neither handed over nor answered."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform, max_open=2_000)
        client = await node.client()
        names: list[str] = []
        starting = asyncio.create_task(upgrade(node))
        while not starting.done():  # some of them wait while the state is handed over
            more = [f"m{len(names) + number}" for number in range(20)]
            client.writer.write(b"".join(message(name, "status") for name in more))
            for _ in more:
                assert (await client.answer())[0] == 202
            names += more
        await starting
        await peer.wait_until(lambda: len(peer.requests) >= len(names))
        assert sorted(received_ids(peer)) == sorted(names)
        client.writer.close()

    play(scene, tmp_path)


def successor_of(dispatcher: Dispatcher, messages: list[Event], now: int) -> Dispatcher:
    """Returns a dispatcher that takes over from another one, with the learned state that a hand-over transfers."""
    new = Dispatcher(settings(), 8, now)
    stored = json.loads(json.dumps(learned_state_to_stored(dispatcher.learned_state())))
    new.handle(
        now,
        [
            EndpointListReceived(EndpointListKind.SAVED, ENTRIES),
            *messages,
            HandoverReceived(learned_state_from_stored(stored)),
        ],
    )
    return new


def test_a_new_dispatcher_keeps_slots_retry_after_and_key_order() -> None:
    d = started()
    cls = {c.name: c for c in settings().classes}["turns"]
    first = sends(d.handle(0, [ask("a", 11, cls="turns", due=9 * S, key="k")]))[0]
    full = sends(d.handle(0, [ask("x")]))[0]
    d.handle(MS, [end(full, Outcome.REJECTED, retry_after_us=3 * S), ask("b", 11, cls="turns", due=9 * S, key="k")])
    held: list[Event] = [
        MessageRecovered("x", 10, settings().classes[0], 6 * S, attempts=1),
        MessageRecovered("a", 11, cls, 9 * S, "k", attempts=1),
        MessageRecovered("b", 11, cls, 9 * S, "k"),
    ]
    new = successor_of(d, held, 2 * MS)
    assert not sends(new.handle(S, [ask("y")])), (
        "the Retry-After still applies, and a call with the key is still in flight"
    )
    after = sends(new.handle(2 * S, [end(first, Outcome.DELIVERED)]))
    assert [s.message_id for s in after] == ["b"]
    assert {s.message_id for s in sends(new.handle(4 * S, [TimerFired("look")]))} <= {"x", "y"}
    assert new.calls_in_flight == len(new.calls.attempts) > 1


def test_an_admin_address_that_is_in_use_does_not_delay_clients(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = Node(folder, platform)
        with socket.socket() as other:
            other.bind((node.host, node.control))
            other.listen()
            end_with_scene(node)
            await node.start()
            assert (await (await node.client()).submit("a"))[0] == 202
            async with asyncio.timeout(PATIENCE):
                while "operators cannot call" not in "".join(node.log):
                    await asyncio.sleep(0.1)
            assert (await (await node.client()).submit("b"))[0] == 202

    play(scene, tmp_path)
