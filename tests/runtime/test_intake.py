"""Submissions that are not accepted."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from pathlib import Path

import pytest

from forwarder.admin.server import AdminServer
from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.submission import Submission
from forwarder.config.config import Address, load_config
from forwarder.protocol.settings_format import parse_settings
from forwarder.runtime.engine import Engine
from forwarder.runtime.ownership import Ownership
from tests.nodes import SETTINGS, message
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.sockets import OK, always, hang

ORDER = parse_settings(SETTINGS).classes[0]


async def make_engine(folder: Path) -> Engine:
    """Returns an engine that knows one endpoint, and does not run."""
    host = {"host": "s1", "dial": "127.0.0.1:9", "site": "x", "class": "a", "block": 7, "health": "up"}
    document = {
        "name": "n",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:9",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host]},
    }
    (folder / "config.json").write_text(json.dumps(document))
    config = load_config({"LB_CONFIG": str(folder / "config.json"), "LB_STATE": str(folder)})
    engine = Engine(config, Ownership(folder), AdminServer(), await bind(Address("127.0.0.1", 0)))
    engine.clock.store_anchor()
    engine.store.take_ownership()
    return engine


async def connect(engine: Engine) -> tuple[socket.socket, ClientConnection]:
    """Returns a client's socket, and the engine's side of its connection."""
    connection = ClientConnection(engine.server)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted = listener.accept()[0]
    accepted.setblocking(False)
    await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, accepted)
    return client, connection


def submission(engine: Engine) -> Submission:
    return Submission("m", ORDER, 7, engine.clock() + 10**7, "k", "acme", False, b"x")


@pytest.mark.parametrize(
    "client_end", ["", "closed here", "its end is unread", "its end behind more is unread", "its reset is unread"]
)
def test_a_message_whose_client_has_gone_is_not_accepted(tmp_path: Path, client_end: str) -> None:
    """The client cannot be told, and submits the message elsewhere.

    The end of its connection may still be unread: a process that was stopped for longer than clients wait finds each
    request together with the end of the connection.
    """

    async def scene() -> None:
        engine = await make_engine(tmp_path)
        client, connection = await connect(engine)
        engine.intake.submit(submission(engine), connection)
        if client_end == "closed here":
            connection.close()
        elif "more" in client_end:
            client.send(message("next"))
        if "reset" in client_end:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if "unread" in client_end:
            client.close()
        engine.loop.run_round()
        assert list(engine.store.messages) == ([] if client_end else ["m"])
        engine.pool.close()
        engine.client_socket.close()
        client.close()

    asyncio.run(scene())


@pytest.mark.parametrize("has_left", [False, True], ids=["waits", "has left"])
def test_an_id_that_comes_again_at_once_is_accepted_if_its_first_client_has_left(
    tmp_path: Path, has_left: bool
) -> None:
    """Found with issue 61 (c): after a stall, a request behind that of a client that had left was refused."""

    async def scene() -> None:
        engine = await make_engine(tmp_path)
        first, first_connection = await connect(engine)
        second, second_connection = await connect(engine)
        engine.intake.submit(submission(engine), first_connection)
        if has_left:
            first.close()
        engine.intake.submit(submission(engine), second_connection)
        _, answered_connection = engine.intake.pending["m"]
        assert answered_connection is (second_connection if has_left else first_connection)
        engine.loop.run_round()
        assert list(engine.store.messages) == ["m"]
        assert list(engine.dispatcher.messages) == ["m"]
        engine.pool.close()
        engine.client_socket.close()
        first.close()
        second.close()

    asyncio.run(scene())


def test_a_submission_rejected_in_its_round_gets_429_with_a_retry_after(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        status, headers = await node.submit("late", left="0.010")
        assert status == 429
        assert float(headers["retry-after"]) > 0
        assert (await node.submit("good"))[0] == 202
        await peer.wait_for_requests(1)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["good"]

    play(scene, tmp_path)


def test_a_full_buffer_rejects_new_messages(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, hang)
        node = await start_node(folder, platform, max_open=1)
        assert (await node.submit("a"))[0] == 202
        status, headers = await node.submit("b")
        assert status == 503
        assert float(headers["retry-after"]) > 0

    play(scene, tmp_path)
