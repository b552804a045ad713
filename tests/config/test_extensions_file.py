"""Tests of the parts file: its checks, and that the modules of disabled extensions are not loaded."""

from __future__ import annotations

import asyncio
import re
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from forwarder.config.config import Address, Config, ConfigError, EndpointList
from forwarder.runtime.extension_loader import MODULES, load_extensions
from forwarder.streaming.extension import StreamingExtensionFactory
from tests.nodes import Node, message
from tests.platforms import Platform
from tests.scripts import settings
from tests.sockets import OK, PATIENCE, ROOT, Peer, always
from tests.streaming.peers import start_streaming_node

CONFIG = Config(
    "n0",
    Address("127.0.0.1", 3000),
    Address("127.0.0.1", 8500),
    None,
    Path("state"),
    1,
    192,
    256,
    3_000_000,
    EndpointList(1, True, ()),
    settings(),
    (),
    {},
    {},
)
VALID_TABLE = '[streaming]\nlisten = "127.0.0.1:3100"\nmemory_bytes = 1_000_000\n'


def load_error(text: str, folder: Path, config: Config = CONFIG) -> str:
    (folder / "parts.toml").write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_extensions(folder / "parts.toml", config)
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_an_error_names_the_unknown_or_invalid_key(tmp_path: Path) -> None:
    for line, expected in (
        ("colour = 1", "streaming.colour is unknown"),
        ("buffer_bytes = 100", "streaming.buffer_bytes is 100, not from 4096"),
        ("buffer_bytes = 1e6", "streaming.memory_bytes is 1000000: one stream may hold 2032896"),
        ("slots_share = 1.5", "streaming.slots_share is 1.5, not from 0 to 1"),
        ("slots_share = 0.1", "streaming.slots_share is 0.1: of 8 slots"),
        ("slots_share = 1", "streaming.slots_share is 1: of 8 slots"),
        ("head_s = 0", "streaming.head_s is 0, not from 0.1"),
        ("idle_s = nan", "streaming.idle_s is nan, not from"),
        ("silent_s = '5'", "streaming.silent_s is no number"),
        ("tries = true", "streaming.tries is no number"),
        ("tries = 1.5", "streaming.tries is no whole number"),
        ("least_bytes_per_s = -1", "streaming.least_bytes_per_s is -1"),
    ):
        assert expected in load_error(VALID_TABLE + line, tmp_path)
    assert "streaming.memory_bytes is missing" in load_error('[streaming]\nlisten = "127.0.0.1:1"', tmp_path)
    assert "streaming.listen is missing" in load_error("[streaming]", tmp_path)
    assert "streaming.listen is not an address" in load_error('[streaming]\nlisten = "here"', tmp_path)
    assert "streaming.listen is the address of listen" in load_error(VALID_TABLE.replace("3100", "3000"), tmp_path)
    assert "health.passive is missing" in load_error("[health]", tmp_path)
    assert "health.passive is no table" in load_error("[health]\npassive = 1", tmp_path)
    assert "health.passive.most_ejected is 2" in load_error("[health.passive]\nmost_ejected = 2", tmp_path)
    assert "health.passive.eject_top_s is 1, not from 5" in load_error("[health.passive]\neject_top_s = 1", tmp_path)
    assert "health.passive.colour is unknown" in load_error("[health.passive]\ncolour = 1", tmp_path)
    assert "health.active is unknown" in load_error("[health.passive]\n[health.active]", tmp_path)
    assert "journal.durability is missing" in load_error("[journal]", tmp_path)
    assert "journal.durability is 'some', not one of none" in load_error('[journal]\ndurability = "some"', tmp_path)
    assert "journal.interval_s is 0, not" in load_error('[journal]\ndurability = "data"\ninterval_s = 0', tmp_path)
    assert "warp is unknown" in load_error("[warp]", tmp_path)
    assert "streaming is no table" in load_error("streaming = 1", tmp_path)
    assert "cannot read" in load_error("[streaming", tmp_path)


def test_settings_beyond_the_resource_limits_are_rejected(tmp_path: Path) -> None:
    low_memory = replace(CONFIG, memory_mb=32)
    assert "streaming.memory_bytes is 1000000: of 32 MB" in load_error(VALID_TABLE, tmp_path, low_memory)
    few_sockets = replace(CONFIG, max_sockets=50)
    assert "streaming.listen cannot be served: 50 descriptors" in load_error(VALID_TABLE, tmp_path, few_sockets)
    two_slots = replace(CONFIG, settings=settings(slots=2))
    assert "streaming.slots_share is 0.5: of 2 slots" in load_error(VALID_TABLE, tmp_path, two_slots)


def test_the_number_of_concurrent_streams_follows_from_memory_and_descriptors(tmp_path: Path) -> None:
    def connections(text: str, config: Config) -> int:
        (tmp_path / "parts.toml").write_text(text)
        factory = load_extensions(tmp_path / "parts.toml", config)[0]
        assert isinstance(factory, StreamingExtensionFactory)
        return factory.settings.max_connections

    assert connections(VALID_TABLE, CONFIG) == 1_000_000 // (2 * (16_384 + 65_536 + 64)) == 6
    assert connections(VALID_TABLE + "buffer_bytes = 4096", CONFIG) == (256 // 6 - 8) // 2 == 17
    assert connections(VALID_TABLE + "buffer_bytes = 4096", replace(CONFIG, max_sockets=1024)) == 24


GOSSIP_ALLOWED = replace(CONFIG, document={"settings": {"allowed": {"may_tell": True}}})


def test_the_example_file_is_valid(tmp_path: Path) -> None:
    (tmp_path / "members.key").write_text("00" * 32)
    example = (ROOT / "deploy/parts.toml").read_text().replace("members.key", str(tmp_path / "members.key"))
    (tmp_path / "parts.toml").write_text(example)
    assert len(load_extensions(tmp_path / "parts.toml", GOSSIP_ALLOWED)) == len(MODULES)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("colour = 1", "members.colour is unknown"),
        ("period_s = 0", "members.period_s is 0, not from 0.02"),
        ("probe_s = 9", "members.probe_s is 9, not from 0.005 to 0.5"),
        ("helpers = 1.5", "members.helpers is no whole"),
        ("seeds = 3", "members.seeds is no list and no file"),
        ('seeds = ["here"]', "members.seeds has what is not an address"),
        ('seeds = "nowhere"', "members.seeds: "),
        ('advertise = "x"', "members.advertise is not an address"),
        ('key_file = "nowhere"', "members.key_file: "),
        ('key_file = "short.key"', "has not one or two keys"),
        ('key_file = "odd.key"', "members.key_file: "),
        ('cluster = ""', "members.cluster is no name"),
        ("news = true", "members.news needs divide"),
        ("ask_s = 0", "members.ask_s is 0, not from 0.5"),
        ("divide = 1", "members.divide is neither true nor false"),
        ("settle_s = 1", "members.settle_s is 1, not from"),
        ("listen = 3", "members.listen is not an address"),
    ],
)
def test_an_error_in_the_members_table_names_its_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, line: str, expected: str
) -> None:
    monkeypatch.chdir(tmp_path)
    for name, text in (("k", "00" * 32), ("short.key", "00"), ("odd.key", "no hex")):
        (tmp_path / name).write_text(text)
    valid = {"listen": '"127.0.0.1:3200"', "cluster": '"c"', "key_file": '"k"', "period_s": "0.5"}
    key, _, value = line.partition(" = ")
    text = "[members]\n" + "\n".join(f"{k} = {v}" for k, v in (valid | {key: value}).items())
    assert expected in load_error(text, tmp_path, GOSSIP_ALLOWED)
    assert "may not talk to each other" in load_error(text, tmp_path)


def run(scene: Callable[[Platform], Awaitable[None]]) -> None:
    async def run_scene() -> None:
        platform = Platform()
        await platform.start()
        await scene(platform)

    asyncio.run(run_scene())


def test_a_malformed_file_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def scene(platform: Platform) -> None:
        node = Node(tmp_path, platform)
        (tmp_path / "parts.toml").write_text(VALID_TABLE + "colour = 1")
        node.arguments = ["--parts", str(tmp_path / "parts.toml")]
        await node.start(ready=False)
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 2
        await node.log_reader
        assert node.log == ["forwarder: parts: streaming.colour is unknown\n"]

    run(scene)


def imported_modules(node: Node) -> set[str]:
    """Returns the modules that the process has imported, from Python's log of import times."""
    lines = (line.rpartition("|") for line in node.log if line.startswith("import time:"))
    return {name.strip() for _, _, name in lines}


OTHER_MODULES = (
    "forwarder.health.extension",
    "forwarder.decisions.fleet_quota",
    "forwarder.membership",
    "forwarder.membership.extension",
    "forwarder.membership.gossip",
    "forwarder.storage.durability",
    "forwarder.storage.state_check",
    "msgspec",
)
EXTENSION_MODULES = (
    "forwarder.config.extensions_file",
    "forwarder.runtime.extension_loader",
    "forwarder.decisions.stream_routing",
    "forwarder.streaming",
    "forwarder.decisions.outlier_detection",
    "argparse",
    "tomllib",
)


def test_without_the_flag_no_module_of_an_extension_is_loaded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")

    async def scene(platform: Platform) -> None:
        peer = await Peer(always(OK)).start()
        platform.add_endpoint("s1", peer.port)
        node = await Node(tmp_path, platform).start()
        assert (await node.submit("a"))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.call(b"LEAVE\n")).startswith("ok")
        assert await node.end(signal.SIGTERM) == 0
        assert "forwarder.runtime.engine" in imported_modules(node)
        assert not [name for name in imported_modules(node) if name.startswith((*EXTENSION_MODULES, *OTHER_MODULES))]
        node, _ = await start_streaming_node(tmp_path, platform, {}, "[health.passive]\n")
        await node.end()
        for module in EXTENSION_MODULES:
            assert [name for name in imported_modules(node) if name.startswith(module)]

    run(scene)


def test_without_the_flag_the_bytes_on_the_wire_are_unchanged(tmp_path: Path) -> None:
    """Compares the bytes that a client and an endpoint receive with literals."""

    async def scene(platform: Platform) -> None:
        endpoint_received = asyncio.get_running_loop().create_future()

        async def endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            endpoint_received.set_result(await reader.readuntil(b"hello"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(endpoint, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        platform.add_endpoint("s1", port)
        node = await Node(tmp_path, platform).start()
        client = await node.client()
        client.writer.write(message("a1"))
        answer = await client.reader.readuntil(b"\r\n\r\n")
        assert answer == b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        async with asyncio.timeout(PATIENCE):
            request = await endpoint_received
        assert re.fullmatch(
            rb"POST /hook HTTP/1\.1\r\nHost: 127\.0\.0\.1:%d\r\nX-Correlation-Id: a1\r\n"
            rb"X-Time-Left: [0-9.]+\r\nX-Session-Key: key-a1\r\nContent-Length: 5\r\n\r\nhello" % port,
            request,
        )
        client.writer.write(b"GET /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n")
        assert await client.reader.readuntil(b"message\n") == (
            b"HTTP/1.1 404 Not Found\r\nContent-Length: 25\r\nContent-Type: text/plain; charset=utf-8\r\n\r\n"
            b"no such class of message\n"
        )
        client.writer.close()
        server.close()
        await node.end()

    run(scene)
