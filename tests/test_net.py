"""Parts of the real forwarder that the whole program cannot be brought to show at will."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

import pytest

from forwarder.admin.server import AdminServer
from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address, EndpointList, load_config, parse_endpoint_list
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import AttemptEnded, EndpointEntry, EndpointListKind, EndpointListReceived
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.connection import EndpointConnection
from forwarder.endpoints.endpoint_table import MAX_ENDPOINTS, EndpointTable
from forwarder.endpoints.pool import ConnectionPool
from forwarder.protocol.settings_format import parse_settings
from forwarder.runtime.engine import Engine
from forwarder.runtime.ownership import Ownership
from forwarder.storage.clock import Clock
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.state import MAX_ENDED_IDS
from forwarder.storage.store import MessageStore
from tests.sockets import OK, PATIENCE, SETTINGS, Answer, Peer, Request, Skewed, always, hang, message

ORDER = parse_settings(SETTINGS).classes[0]


def taken(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(name, ORDER, 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2))


def test_store_gives_back_what_it_was_told_also_after_compacting(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    for name in "abcd":
        store.accept(taken(name))
    a, b = store.messages["a"], store.messages["b"]
    store.record_attempt(a, 0, 50, "s1")
    store.record_outcome(a, 0, True)
    store.record_attempt(a, 1, 60, "s2")
    store.record_attempt(b, 0, 70, "s1")
    store.record_outcome(b, 0, False)
    store.end_message("c")
    store.add_pending_notice("d", "returned", 500)
    store.record_endpoint_list(41, {"s1": {"host": "s1", "health": "draining"}}, 10)
    store.record_ejection("s1", 5, -1)
    for _ in range(2):
        store.flush()
        back = MessageStore(tmp_path, 3_000_000).take_ownership()
        assert list(back.messages) == ["a", "b"]
        assert back.messages == store.messages
        assert (a.attempts, a.maybe_ran_at_us, a.maybe_ran_on, a.in_flight) == (2, 50, "s1", {1: (60, "s2")})
        assert (back.messages["b"].attempts, back.messages["b"].maybe_ran_at_us) == (1, -1)
        assert back.pending_notices == {"d": ("returned", 500, "k-d")}
        assert back.ejections == {"s1": (5, -1)}
        assert list(back.ended_ids) == ["c", "d"]
        assert back.knows("c")
        assert not back.knows("e")
        assert (back.endpoint_list_version, back.endpoints) == (41, store.endpoints)
        assert back.message_bytes == store.message_bytes
        assert store.compact()


def test_store_bounds_its_files_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(4000):
        store.accept(taken(f"m{n}", 2000))
        store.flush()
        store.end_message(f"m{n}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).take_ownership().messages == {}


def test_store_forgets_the_oldest_ids_and_keeps_to_its_size(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(MAX_ENDED_IDS + 1000):
        store.accept(taken(f"{n:016x}"))
        store.end_message(f"{n:016x}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    back = MessageStore(tmp_path, 1_000_000).take_ownership()
    assert len(back.ended_ids) == MAX_ENDED_IDS
    assert back.knows(f"{MAX_ENDED_IDS + 999:016x}")
    assert not back.knows(f"{999:016x}")
    assert back.has_capacity_for(60_000)


def pool(ends: list[AttemptEnded], idle_us: int = 5_000_000) -> ConnectionPool:
    return ConnectionPool(Clock(), ends.append, ("x0", "x1"), idle_us, 1_000_000, 10)


def call(clock: Clock, name: str, left_us: int = 5_000_000) -> EndpointCall:
    return EndpointCall(
        1, LimitScopeKey(7, -1), clock(), [CallItem(name, 0, None, b"x", clock() + left_us, clock() + left_us)]
    )


def test_send_that_waits_for_its_connection_never_reaches_a_target_drained_meanwhile() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m"))
        p.update_addresses({})
        await peer.until(lambda: peer.closed == 1)
        assert not peer.requests
        assert [e.outcome for e in ends] == [Outcome.NOT_SENT]
        assert p.calls_in_flight == 0

    asyncio.run(scene())


def test_send_that_waits_for_its_connection_heeds_a_wait_told_meanwhile() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"}), OK)).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "a"))
        while not ends:
            await asyncio.sleep(0.005)
        assert ends[0].retry_after_us == 60_000_000
        p.close_idle(1)
        p.start(call(Clock(), "b"))
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert ends[1].outcome is Outcome.NOT_SENT
        assert len(peer.requests) == 1
        p.close()

    asyncio.run(scene())


def test_a_wait_told_with_the_ends_of_a_batch_binds_whatever_they_are() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def accept(request: Request) -> Answer:
            states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
            return Answer(200, {"X-RateLimit-Wait-Ms": "700"}, json.dumps(states).encode())

        peer = await Peer(accept).start()
        p, now = pool(ends), Clock()()
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(
            EndpointCall(
                1, LimitScopeKey(7, -1), now, [CallItem(n, 0, None, b"x", now + 10**7, now + 10**7) for n in "ab"]
            )
        )
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert [(e.outcome, e.retry_after_us) for e in ends] == [(Outcome.DELIVERED, 700_000)] * 2
        p.close()

    asyncio.run(scene())


def test_targets_replaced_for_months_do_not_pile_up() -> None:
    d = Dispatcher(parse_settings(SETTINGS), 1, 0)
    for n in range(3000):
        d.handle(n, [EndpointListReceived(EndpointListKind.WHOLE, (EndpointEntry(n, 7, kind="plain"),))])
    assert len(d.endpoints) <= 2001
    assert 2999 in d.endpoints


class CountedNames(dict[str, int]):
    """Numbers by name, and how often somebody goes through all of them."""

    scans = 0

    def __iter__(self) -> Iterator[str]:
        self.scans += 1
        return super().__iter__()


def listed(seq: int, names: list[str], whole: bool = False, health: str = "up") -> EndpointList:
    hosts = [{"host": name, "dial": "127.0.0.1:9", "block": 7, "health": health} for name in names]
    return parse_endpoint_list({"seq": seq, "whole": whole, "hosts": hosts})


def test_a_change_of_one_endpoint_goes_through_no_others() -> None:
    table = EndpointTable((), {}, ())
    table.numbers = counted = CountedNames()
    names = [f"s{n}" for n in range(3200)]
    table.apply(listed(1, names, whole=True))
    assert len(table.serving(())) == len(names)
    for n in range(20):
        table.apply(listed(2 + n, [names[n]], health="draining"))
        table.entries(table.endpoints.values())
    assert len(table.serving(())) == len(names) - 20
    assert counted.scans == 0


def test_endpoints_replaced_for_months_are_forgotten_and_none_that_is_listed_or_kept() -> None:
    table = EndpointTable((), {}, ())
    kept = table.number("banned")
    for n in range(3000):
        table.apply(listed(2 * n, [f"s{n}"]))
        table.entries(table.endpoints.values(), {"banned"})
        table.apply(listed(2 * n + 1, [f"s{n}"], health="removed"))
    table.apply(listed(6001, ["s2999"]))
    assert len(table.numbers) <= MAX_ENDPOINTS
    assert len(table.names) == len(table.numbers)
    assert table.number("banned", {"banned"}) == kept
    assert table.names[table.number("s2999")] == "s2999"
    assert table.number("s2998") != table.number("s0")


def test_idle_connection_is_closed_before_its_target_would() -> None:
    """The module closes some by itself; the pool must close what it leaves."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends, 1_000_000)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m"))
        await peer.until(lambda: peer.closed == 1)
        assert [e.outcome for e in ends] == [Outcome.DELIVERED]
        assert not p.idle.by_endpoint
        assert not p.idle.sweeping

    asyncio.run(scene())


class HalfWritten(asyncio.Transport):
    """A transport whose peer takes no more."""

    def write(self, data: object) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 1

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        pass


class Dead(HalfWritten):
    """A transport whose peer reset it while it was idle: the write finds that out."""

    dead = False

    def write(self, data: object) -> None:
        self.dead = True

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.dead


def test_a_call_that_finds_its_connection_dead_takes_another() -> None:
    """It counted as written, so that what must not run twice was lost though not a byte had left."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        for _ in range(2):
            connection = EndpointConnection(p)
            connection.connection_made(Dead())
            p.keep_idle(connection, 1)
        p.start(call(Clock(), "m"))
        async with asyncio.timeout(20):
            while not ends:
                await asyncio.sleep(0.005)
        assert [e.outcome for e in ends] == [Outcome.DELIVERED]
        assert len(peer.requests) == 1
        p.close()

    asyncio.run(scene())


def test_connection_that_breaks_before_the_last_byte_is_written_never_ran() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", 9)})
        for drained in (False, True):
            connection = EndpointConnection(p)
            connection.connection_made(HalfWritten())
            p.keep_idle(connection, 1)
            p.start(call(Clock(), "m"))
            if drained:
                connection.resume_writing()
            connection.connection_lost(None)
        assert [e.outcome for e in ends] == [Outcome.NO_CONNECTION, Outcome.RESET]
        p.idle.by_endpoint.clear()

    asyncio.run(scene())


def test_time_out_closes_its_connection_and_frees_its_call() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(hang).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m", 150_000))
        await peer.got(1)
        assert p.calls_in_flight == 1
        assert not ends
        while not ends:
            await asyncio.sleep(0.01)
        assert ends[0].outcome is Outcome.TIMED_OUT
        assert not ends[0].is_final
        while p.connections:
            await asyncio.sleep(0.01)
        assert p.calls_in_flight == 0
        assert not p.in_flight.by_attempt
        assert not p.idle.by_endpoint
        p.start(call(Clock(), "n"))
        await peer.got(2)
        p.cancel("n", 0)
        while len(ends) < 2:  # told as its connection is gone
            await asyncio.sleep(0.01)
        assert ends[1].outcome is Outcome.CANCELED
        assert p.calls_in_flight == 0
        assert not p.connections
        p.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("begun", "outcome"),
    [
        (b"HTTP/1.1 200 OK\r\n", Outcome.DELIVERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", Outcome.DELIVERED),
        (b"HTTP/1.1 200 O", Outcome.UNREADABLE),
        (b"HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nab", Outcome.UNREADABLE),
    ],
)
def test_an_answer_that_falls_quiet_holds_no_slot(begun: bytes, outcome: Outcome) -> None:
    """The connection stays open, and the call has a minute."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def quiet(request: Request) -> None:
            request.writer.write(begun)
            await asyncio.sleep(3600)

        peer = await Peer(quiet).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m", 60_000_000))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.01)
        assert [(e.outcome, e.is_final) for e in ends] == [(outcome, outcome is Outcome.DELIVERED)]
        assert p.calls_in_flight == 0
        assert not p.in_flight.by_attempt
        p.close()

    asyncio.run(scene())


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    """AcceptedMessage for broken, a batch that was delivered in whole was taken for one that may have run."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def answer(request: Request) -> None:
            if request.path == "/hook":
                request.writer.write(b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\n\r\nno")
            else:
                states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
                request.writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + json.dumps(states).encode())

        peer = await Peer(answer).start()
        p, now = pool(ends), Clock()()
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(
            EndpointCall(
                1, LimitScopeKey(7, -1), now, [CallItem(name, 0, None, b"x", now + 10**7, now + 10**7) for name in "ab"]
            )
        )
        async with asyncio.timeout(PATIENCE):
            while len(ends) < 2:
                await asyncio.sleep(0.01)
            p.start(call(Clock(), "c"))
            while len(ends) < 3:
                await asyncio.sleep(0.01)
        assert [(e.message_id, e.outcome) for e in ends] == [
            ("a", Outcome.DELIVERED),
            ("b", Outcome.DELIVERED),
            ("c", Outcome.REJECTED),
        ]
        assert ends[2].retry_after_us == 700_000
        assert not p.idle.by_endpoint.get(1)
        p.close()

    asyncio.run(scene())


def test_an_answer_in_pieces_is_waited_for() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def pieces(request: Request) -> None:
            for byte in b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 2\r\n\r\nab":
                request.writer.write(bytes([byte]))
                await asyncio.sleep(0.01)
            await asyncio.sleep(3600)

        peer = await Peer(pieces).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m", 60_000_000))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.01)
        assert (ends[0].outcome, ends[0].retry_after_us) == (Outcome.REJECTED, 700_000)
        assert len(p.idle.by_endpoint[1]) == 1
        p.close()

    asyncio.run(scene())


def test_no_message_of_a_call_times_out_while_the_call_still_carries_it() -> None:
    """Told that it had, the module sent it a second time beside the first."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        free = asyncio.Event()

        async def slow(request: Request) -> Answer:
            await free.wait()
            states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
            return Answer(200, body=json.dumps(states).encode())

        peer = await Peer(slow).start()
        p, now = pool(ends), Clock()()
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(
            EndpointCall(
                1,
                LimitScopeKey(7, -1),
                now,
                [
                    CallItem("short", 0, None, b"x", now + 100_000, now + 60 * 10**6),
                    CallItem("long", 0, None, b"x", now + 60 * 10**6, now + 60 * 10**6),
                ],
            )
        )
        await peer.got(1)
        await asyncio.sleep(0.2)
        assert not ends
        free.set()
        while p.calls_in_flight:
            await asyncio.sleep(0.01)
        assert [(e.message_id, e.outcome) for e in ends] == [("short", Outcome.DELIVERED), ("long", Outcome.DELIVERED)]
        p.close()

    asyncio.run(scene())


def test_no_call_carries_a_message_past_its_time() -> None:
    """Its end was told while the call was still out, and the next of its key went beside it."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(hang).start()
        p, now = pool(ends), Clock()()
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        p.start(
            EndpointCall(
                1,
                LimitScopeKey(7, -1),
                now,
                [
                    CallItem("due", 0, None, b"x", now + 100_000, now + 200_000),
                    CallItem("long", 0, None, b"x", now + 60 * 10**6, now + 60 * 10**6),
                ],
            )
        )
        while not ends:
            await asyncio.sleep(0.01)
        assert {(e.message_id, e.outcome) for e in ends} == {("due", Outcome.TIMED_OUT), ("long", Outcome.TIMED_OUT)}
        while p.connections:
            await asyncio.sleep(0.01)
        p.close()

    asyncio.run(scene())


def test_connections_are_used_again_and_closed_on_demand() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.update_addresses({1: Address("127.0.0.1", peer.port)})
        for n in range(3):
            p.start(call(Clock(), f"m{n}"))
            while len(ends) <= n:
                await asyncio.sleep(0.005)
        assert len({r.writer for r in peer.requests}) == 1
        p.close_idle(1)
        await peer.until(lambda: peer.closed == 1)
        p.close()

    asyncio.run(scene())


def test_client_gone_before_its_answer_withdraws_the_message() -> None:
    async def scene() -> None:
        came: asyncio.Queue[Submission] = asyncio.Queue()
        gone = asyncio.Event()

        def hand_in(handed: Submission, door: ClientConnection) -> None:
            door.on_withdrawn = gone.set
            came.put_nowait(handed)

        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, hand_in)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message("m"))
        assert (await came.get()).id == "m"
        assert not gone.is_set()
        writer.close()
        async with asyncio.timeout(20):
            await gone.wait()
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "gone", ["", "closed here", "its end is unread", "its end behind more is unread", "its reset is unread"]
)
def test_a_message_whose_client_has_gone_is_not_taken_on(tmp_path: Path, gone: str) -> None:
    """It cannot hear of it, and hands the message in elsewhere. Its end may lie in the kernel: a process that was
    stopped for longer than clients wait finds each request and its client's end there at once.
    """

    async def scene() -> None:
        host = {"host": "s1", "dial": "127.0.0.1:9", "site": "x", "class": "a", "block": 7, "health": "up"}
        (tmp_path / "config.json").write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:9",
                    "discovery": "127.0.0.1:9",
                    "settings": SETTINGS,
                    "known": {"seq": 1, "whole": True, "hosts": [host]},
                }
            )
        )
        config = load_config({"LB_CONFIG": str(tmp_path / "config.json"), "LB_STATE": str(tmp_path)})
        engine = Engine(config, Ownership(tmp_path), AdminServer(), await bind(Address("127.0.0.1", 0)))
        engine.clock.store_anchor()
        engine.store.take_ownership()
        door = ClientConnection(engine.server)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            accepted = listener.accept()[0]
        accepted.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: door, accepted)
        due = engine.clock() + 10**7
        engine.intake.submit(Submission("m", ORDER, 7, due, "k", "acme", False, b"x"), door)
        if gone == "closed here":
            door.close()
        elif "more" in gone:
            client.send(message("next"))
        if "reset" in gone:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if "unread" in gone:
            client.close()
        engine.loop.run_round()
        assert list(engine.store.messages) == ([] if gone else ["m"])
        engine.pool.close()
        engine.client_socket.close()
        client.close()

    asyncio.run(scene())


@pytest.mark.parametrize("sent", [b"", b"POST /order HTTP/1.1\r\nHost: x\r\n", message("m", body=b"abc")[:-1]])
def test_a_peer_that_sends_no_whole_request_is_let_go_and_a_client_stays(sent: bytes) -> None:
    """They filled the table of connections, and clients' own were closed for them."""

    async def scene() -> None:
        clock = Skewed()
        server = ClientServer(parse_settings(SETTINGS), clock, 10, lambda handed, door: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        client = await asyncio.open_connection("127.0.0.1", port)
        client[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        await client[0].readuntil(b"up\n")
        peer = await asyncio.open_connection("127.0.0.1", port)
        peer[1].write(sent)
        while len(server.connections) < 2 or (sent and all(d.parser.partial is None for d in server.connections)):
            await asyncio.sleep(0.01)
        clock.skew = 2_100_000
        async with asyncio.timeout(20):
            answer = await peer[0].read()
        assert answer.startswith(b"HTTP/1.1 408") if sent else answer == b""
        client[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        await client[0].readuntil(b"up\n")
        server.close()

    asyncio.run(scene())


def test_too_many_clients_cost_the_one_idle_longest() -> None:
    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 2, lambda handed, door: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        first, *others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        async with asyncio.timeout(20):
            assert await first[0].read() == b""
        others[1][1].write(b"GET /up HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(20):
            assert (await others[1][0].readline()).startswith(b"HTTP/1.1 200")
        server.close()

    asyncio.run(scene())
