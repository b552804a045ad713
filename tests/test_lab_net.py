"""Every fault between parties does what it says, over sockets, counted; and a plan is its seed's."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from forwarder.clients.listener import reset_on_close
from forwarder.simulator.adapter import parse_settings
from lab import plan, scenario
from lab.datagrams import DatagramExchange
from lab.endpoint_model import DestinationModel, EndpointModel, TokenBucket
from lab.errors import ScenarioError
from lab.forwarder_config import make_settings
from lab.launcher import Launcher, Process
from lab.listener import Listener
from lab.network import Link, LinkConnection, LinkFault, Network
from lab.reports import format_sweep
from lab.result import Result
from lab.rules import Finding, Rule
from lab.scenario import Fault, Scenario
from tests.sockets import PATIENCE, free_port, own_host

LINK = ("n0", "s-0")


class Echo(LinkConnection):
    def receive(self, data: bytes) -> None:
        self.send(data)


class Sink(LinkConnection):
    def __init__(self, net: Network, link: Link, came: list[bytes]) -> None:
        super().__init__(net, link)
        self.came_through = came

    def receive(self, data: bytes) -> None:
        self.came_through.append(data)


async def linked(net: Network, link: Link = LINK) -> Listener:
    host = own_host()
    listener = Listener(net, link, (host, free_port(host)), lambda: Echo(net, link))
    listener.open()
    return listener


async def said(reader: asyncio.StreamReader, wanted: bytes) -> None:
    async with asyncio.timeout(PATIENCE):
        assert await reader.readexactly(len(wanted)) == wanted


def played(scene: Callable[[Network], Any]) -> Network:
    net = Network(1)
    asyncio.run(scene(net))
    return net


@pytest.mark.parametrize("effect", [LinkFault(silent_out=True), LinkFault(silent_in=True), LinkFault(True, True)])
def test_silence_holds_bytes_back_until_it_heals(effect: LinkFault) -> None:
    async def scene(net: Network) -> None:
        listener = await linked(net)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"before")
        await said(reader, b"before")
        net.set_fault(LINK, effect)
        writer.write(b"after")
        async with asyncio.timeout(PATIENCE):
            while not net.counts.get("held"):
                await asyncio.sleep(0.01)
        assert not reader._buffer  # type: ignore[attr-defined]  # nothing has come
        net.heal(LINK)
        await said(reader, b"after")
        writer.close()
        listener.close()

    played(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_what_silence_held_back_comes_behind_a_close_and_not_behind_a_reset(reset: bool) -> None:
    async def scene(net: Network) -> None:
        listener = await linked(net)
        came: list[bytes] = []
        listener.make_connection = lambda: Sink(net, LINK, came)
        _, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"before")
        async with asyncio.timeout(PATIENCE):
            while not came:
                await asyncio.sleep(0.01)
        net.set_fault(LINK, LinkFault(silent_out=True))
        writer.write(b"late")
        if reset:
            reset_on_close(writer.get_extra_info("socket"), True)
        writer.write_eof()
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        net.heal(LINK)
        assert came == ([b"before"] if reset else [b"before", b"late"])
        listener.close()

    assert played(scene).counts.get("dropped by a reset", 0) == reset


def test_a_new_connection_never_comes_up_in_silence_and_does_when_it_heals() -> None:
    async def scene(net: Network) -> None:
        listener = await linked(net)
        net.set_fault(LINK, LinkFault(True, True))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection(*listener.address)
        net.heal(LINK)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"x")
        await said(reader, b"x")
        writer.close()
        listener.close()

    played(scene)


def test_refusal_and_reset_end_connections_and_refusal_new_ones_too() -> None:
    async def scene(net: Network) -> None:
        listener = await linked(net)
        for end in (lambda: net.reset_connections(LINK), lambda: net.set_fault(LINK, LinkFault(refuse=True))):
            reader, writer = await asyncio.open_connection(*listener.address)
            writer.write(b"x")
            await said(reader, b"x")
            end()
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(PATIENCE):
                    if not await reader.read():
                        raise ConnectionResetError
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*listener.address)
        listener.close()

    assert played(scene).counts["reset"] == 1


def test_delay_keeps_the_order_of_a_stream() -> None:
    async def scene(net: Network) -> None:
        listener = await linked(net)
        net.set_fault(LINK, LinkFault(delay_s=0.02, jitter_s=0.05))
        reader, writer = await asyncio.open_connection(*listener.address)
        for n in range(30):
            writer.write(bytes([n]))
            await writer.drain()
            await asyncio.sleep(0.001)
        await said(reader, bytes(range(30)))
        writer.close()
        listener.close()

    assert played(scene).counts["delayed"] >= 2


def test_a_cut_between_two_leaves_others_alone() -> None:
    async def scene(net: Network) -> None:
        one, other = await linked(net), await linked(net, ("n1", "s-0"))
        net.set_fault(LINK, LinkFault(refuse=True))
        reader, writer = await asyncio.open_connection(*other.address)
        writer.write(b"x")
        await said(reader, b"x")
        writer.close()
        one.close()
        other.close()

    played(scene)


def member(host: str) -> socket.socket:
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, 0))
    return sock


@pytest.mark.parametrize(
    ("effect", "counted", "came"),
    [
        (LinkFault(), "", lambda n: n == 40),
        (LinkFault(silent_out=True), "datagrams lost", lambda n: n == 0),
        (LinkFault(loss=0.5), "datagrams lost", lambda n: 5 < n < 35),
        (LinkFault(doubled=0.5), "datagrams doubled", lambda n: 45 < n < 75),
        (LinkFault(swapped=0.5), "datagrams swapped", lambda n: 38 < n < 41),
        (LinkFault(delay_s=0.01, jitter_s=0.05), "datagrams delayed", lambda n: n == 40),
    ],
    ids=["sound", "cut", "loss", "doubled", "swapped", "delayed"],
)
def test_datagrams_between_two_forwarders(effect: LinkFault, counted: str, came: Callable[[int], bool]) -> None:
    """What comes bears the sender's advertised address; the way back is another link and is not touched."""

    async def scene(net: Network) -> None:
        hosts = [own_host(), own_host()]
        socks = [member(host) for host in hosts]
        posts = [(own_host(), free_port()) for _ in hosts]
        exchange = DatagramExchange(
            net,
            {f"n{n}": sock.getsockname() for n, sock in enumerate(socks)},
            {f"n{n}": where for n, where in enumerate(posts)},
        )
        await exchange.open()
        net.set_fault(("n0", "n1"), effect)
        got: list[tuple[bytes, Any]] = []
        for n in range(40):
            socks[0].sendto(bytes([n]), posts[1])
            socks[1].sendto(bytes([n]), posts[0])
            await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE / 4):
            for _ in range(40):
                await loop.sock_recvfrom(socks[0], 100)
            await asyncio.sleep(0.2)  # what was delayed is under way for 0.06 s
            while True:
                try:
                    got.append(socks[1].recvfrom(100))
                except BlockingIOError:
                    break
        assert came(len(got))
        assert {where for _, where in got} <= {posts[0]}
        if effect.jitter_s or effect.swapped:
            assert [data for data, _ in got] != sorted(data for data, _ in got)
        if counted:
            assert net.counts[counted] > 0
        exchange.close()
        for sock in socks:
            sock.close()

    played(scene)


# The plan


HERD = Path(__file__).resolve().parent.parent / "lab/scenarios/herd.toml"


def test_the_same_seed_gives_the_same_arrivals_and_schedule() -> None:
    one, same, other = (plan.make(scenario.load(HERD, 20, seed)) for seed in (4, 4, 5))
    assert one == same
    assert one.arrivals != other.arrivals
    assert one.schedule[0].targets != other.schedule[0].targets
    assert len(one.schedule[0].targets) == 14
    assert len(set(one.schedule[0].targets)) == 14


@pytest.mark.parametrize(("name", "told"), [("herd", True), ("untold", False)])
def test_the_settings_are_those_that_the_program_reads(name: str, told: bool) -> None:
    made = plan.make(scenario.load(HERD.with_name(f"{name}.toml"), 20, 1))
    known = parse_settings(msgspec.to_builtins(make_settings(made)))
    assert (known.forwarders, known.max_attempts, known.overload_window_us) == (20, 8, 2_000_000)
    assert [c.name for c in known.classes] == ["statusvarsel", "refusjon"]
    assert known.classes[1].in_order
    assert known.weights_reported == made.scenario.endpoints.tells_limits == told


@pytest.mark.parametrize("told", [True, False])
def test_a_destination_reports_its_limit_only_where_it_tells(told: bool) -> None:
    one = next(d for d in plan.make(Scenario("x")).destinations if d.limit_per_s)
    report = DestinationModel(one, plan.random.Random(1), (1.0, 1.0), reports_limit=told).load_report()
    assert report == (f"x0=1.000,x1={one.limit_per_s:.3f}" if told else None)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('name = "x"\nsize = 3', "size"),
        ('name = "x"\n[fleet]\nnodes = 0', "fleet.nodes"),
        ('name = "x"\n[fleet]\nnodse = 3', "nodse"),
        ('name = "x"\n[[faults]]\nat_s = 1\nkind = "melt"', "faults[0].kind"),
        ('name = "x"\n[[faults]]\nat_s = 1\nkind = "stop"', "faults[0].for_s"),
        ('name = "x"\n[[faults]]\nat_s = 99\nkind = "kill"', "faults[0].at_s"),
        ('name = "x"\n[[faults]]\nat_s = 9\nkind = "stop"\nfor_s = 1\nfolder = "lost"', "faults[0].folder"),
        ('name = "x"\n[load]\nper_node_s = 1e9', "load"),
        ('name = "x"\n[front]\nnotice_s = [2.0, 1.0]', "front.notice_s"),
        ('name = "x"\n[time]\nwarm_s = 50', "time.warm_s"),
        ('name = "x', "x"),
    ],
)
def test_a_bad_scenario_is_refused_and_the_key_named(tmp_path: Path, text: str, named: str) -> None:
    (tmp_path / "x.toml").write_text(text)
    with pytest.raises(ScenarioError, match=named.replace("[", r"\[").replace("]", r"\]")):
        scenario.load(tmp_path / "x.toml")


def test_waves_and_shares_strike_everybody_once() -> None:
    fault = Fault(at_s=1.0, kind="term", share=1.0, waves=10, every_s=2.0, back_s=0.5)
    acts = plan.make(Scenario("x", faults=(fault,))).schedule
    assert sorted(n for act in acts for n in act.targets) == sorted(f"n{n}" for n in range(12))
    assert [act.at_s for act in acts] == [1.0 + 2.0 * n for n in range(len(acts))]


# The endpoints' model


def station() -> EndpointModel:
    made = plan.make(Scenario("x"))
    e = made.endpoints[0]
    return EndpointModel(
        e,
        DestinationModel(made.destinations[e.destination - 1], plan.random.Random(1), (1.0, 1.0)),
        made.scenario.endpoints,
        plan.random.Random(2),
    )


def test_a_limit_lets_its_rate_through_and_no_more() -> None:
    limit = TokenBucket(10.0)
    assert sum(limit.take(n / 100) for n in range(1000)) in range(100, 107)


@pytest.mark.parametrize("informed", [True, False])
def test_a_cold_endpoint_falls_over_above_its_budget_and_says_by_whom(informed: bool) -> None:
    s = station()
    s.fail()
    if informed:
        s.informed_nodes.add("n1")
    s.recover(10.0)
    shares = [s.count_against_budget(10.0 + n * 0.01, "n1") for n in range(200)]
    fell = [share for share in shares if share is not None]
    assert s.is_overloaded
    assert s.is_down
    assert fell[0] == float(informed)
    assert shares.index(fell[0]) >= s.settings.fall_times * s.settings.cold_from * s.spec.capacity_per_s * 2 - 1
    s.recover(20.0)
    assert s.is_down


def test_a_warm_endpoint_heeds_no_budget() -> None:
    s = station()
    s.fail()
    s.recover(0.0)
    assert 0.18 <= s.capacity_share(0.1) < s.capacity_share(6.0) < s.capacity_share(13.0) == 1.0
    assert all(s.count_against_budget(14.0, "n1") is None for _ in range(1000))


def test_what_the_launcher_started_ends_with_it_and_is_told_of(tmp_path: Path) -> None:
    codes: list[int] = []

    async def scene() -> tuple[Process, Process, Process]:
        launcher = Launcher()
        await launcher.open()

        async def start(text: str) -> Process:
            return await launcher.start([sys.executable, "-c", text], tmp_path, {}, tmp_path / "log", codes.append)

        short, struck, left = await start("raise SystemExit(3)"), await start(LONG), await start(LONG)
        async with asyncio.timeout(PATIENCE):
            while codes != [3]:
                await asyncio.sleep(0.01)
            struck.send(9)
            while codes != [3, -9]:
                await asyncio.sleep(0.01)
        struck.send(9)  # to one that has ended it is no harm
        with pytest.raises(OSError, match="No such file"):
            await launcher.start(["/no/such/program"], tmp_path, {}, tmp_path / "log", codes.append)
        await launcher.close()
        return short, struck, left

    for process in asyncio.run(scene()):
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)


LONG = "import time; time.sleep(60)"


def test_many_seeds_are_added_up_and_a_late_one_is_told() -> None:
    found = Finding(Rule.RETRY_AFTER, 1.0, "m1", "n0", "")
    results = [
        Result(
            "x",
            seed,
            6,
            [found] * (seed == 2),
            0,
            {"served": 0.9 + seed / 100, "names": "no number"},
            {},
            {"crashes": 0},
            {},
            [],
            seed != 3,
        )
        for seed in (1, 2, 3)
    ]
    lines = format_sweep(results)
    assert lines[0].startswith("x, 6 forwarders, 3 seeds: 1 with broken rules, 1 wait; 1 do not count")
    assert lines[1:] == ["  served             0.920 (0.910 to 0.930)"]
