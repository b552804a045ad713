"""One forwarder without sockets: the real engine, decisions and journal between stand-ins that a test drives by hand.

Time is the caller's, calls and notices are ended by the caller, and the folder is real. Whatever the forwarder lets
leave is checked against the rules at once, by what clients and the platform were told; `Oracle.broken` has what is
broken.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

from forwarder.admin.server import AdminServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Config, load_config, parse_endpoint_list
from forwarder.decisions.events import AttemptEnded, EndpointListKind, EndpointListReceived
from forwarder.decisions.outcomes import MAY_STILL_RUN, NEVER_RAN, Outcome
from forwarder.endpoints.call import AttemptKey, CallItem, CallResult, EndpointCall
from forwarder.endpoints.retry_after import RetryAfterTable
from forwarder.runtime.engine import Engine
from forwarder.runtime.handover_format import (
    NO_CONNECTION,
    AttemptRecord,
    CallRecord,
    HandoverDescription,
    PoolRecord,
    decode_description,
    encode_description,
)
from forwarder.runtime.invariants import AttemptFacts, RouteFacts
from forwarder.runtime.ownership import HandoverState

KEY_REST_US = 700_000
SECOND = 1_000_000
EPOCH_US = 1_000 * SECOND
HOSTS = 4
LATE_US = SECOND // 2
"""So long after its time a message has its end, or one that only the platform has not heard of yet."""
CLASSES = {"safe": "repeatable", "once": "once", "keyed": "by_key"}


def settings() -> dict[str, Any]:
    """All classes keep the order of their keys."""
    return {
        "allowed": {"max_attempts": 6, "max_open": 50, "max_retry_after_us": 3 * SECOND, "retry_after": True},
        "balancers": 1,
        "host_types": ["plain", "lots"],
        "contract": {"drain_grace_us": SECOND // 2, "key_rest_us": KEY_REST_US},
        "family_info": {"slots": 8, "kind_batch": [1, 5], "routes_apart": [False, False]},
        "services": [
            {
                "name": name,
                "aim_us": SECOND,
                "deadline_us": 6 * SECOND,
                "effect": effect,
                "key_scope": "all",
                "window_us": 3 * SECOND,
                "by_arrival": True,
            }
            for name, effect in CLASSES.items()
        ],
        "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    }


def host(number: int, health: str = "up") -> dict[str, Any]:
    return {
        "host": f"s{number}",
        "dial": f"127.0.0.1:{9000 + number}",
        "site": "x",
        "class": ("plain", "lots")[number % 2],
        "block": 1 + number % 2,
        "health": health,
        "share": 100.0,
        "born_ms": 0,
    }


def configuration(folder: Path) -> Config:
    """Written to the folder, and read as the program reads it."""
    told = {
        "name": "n0",
        "seed": "5",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:8",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"seq": 1, "whole": True, "hosts": [host(number) for number in range(HOSTS)]},
        "settings": settings(),
    }
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    return load_config({"LB_CONFIG": str(path), "LB_STATE": str(folder / "state")})


@dataclass(slots=True)
class Fate:
    """What is known outside of one message."""

    key: str
    cls: str
    due_us: int
    accepted: bool = False
    answered: bool = False
    out: bool = False
    may_have_run: bool = False
    delivered: bool = False
    noticed: bool = False
    """The platform has been told its end, whether or not the forwarder has heard the answer."""

    @property
    def over(self) -> bool:
        return self.delivered or self.noticed or (self.answered and not self.accepted)


class Oracle:
    """Clients, endpoints and the platform, as far as the rules need them."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.fates: dict[str, Fate] = {}
        self.accepted: dict[str, list[str]] = {}
        """Of each key, in their order."""
        self.rests: dict[str, tuple[int, str]] = {}
        self.broken: list[str] = []
        """What the forwarder has broken, in words."""

    def answered(self, name: str, status: int) -> None:
        fate = self.fates[name]
        fate.answered, fate.accepted = True, status in (200, 202)
        if fate.accepted:
            self.accepted.setdefault(fate.key, []).append(name)

    def sent(self, name: str) -> None:
        """The first byte of a call with it leaves."""
        fate = self.fates[name]
        if fate.over and not (fate.delivered and fate.cls != "once"):  # what may be repeated is delivered once more
            self.broken.append(f"lost: {name} is forwarded after its end")
        if fate.out:
            self.broken.append(f"duplicate: {name} is out already")
        if fate.cls == "once" and fate.may_have_run:
            self.broken.append(f"duplicate: {name} may have run")
        self._in_order(name, fate)
        fate.out = True

    def _in_order(self, name: str, fate: Fate) -> None:
        for earlier in self.accepted.get(fate.key, []):
            if earlier == name:
                break
            if not self.fates[earlier].over:
                self.broken.append(f"order: {name} before {earlier}")
        for other, their in self.fates.items():
            if other != name and their.key == fate.key and their.out:
                self.broken.append(f"order: {name} while {other} is out")
        until_us, whose = self.rests.get(fate.key, (0, name))
        if whose != name and self.now() < until_us:
            self.broken.append(f"order: {name} within the rest after {whose}")

    def ended(self, name: str, outcome: Outcome) -> None:
        fate = self.fates[name]
        fate.out = False
        fate.may_have_run |= outcome not in NEVER_RAN
        fate.delivered |= outcome is Outcome.DELIVERED
        if outcome in MAY_STILL_RUN:
            self.rests[fate.key] = (self.now() + KEY_REST_US, name)

    def notified(self, name: str, state: str) -> None:
        fate = self.fates[name]
        if state == "returned" and fate.cls == "once" and fate.may_have_run and not fate.delivered:
            self.broken.append(f"duplicate: {name} is returned, and may have run")
        fate.noticed = True

    def withdrawn(self, name: str) -> None:
        """Its client has given it up: what becomes of it counts for nothing, and it is no part of its key's order."""
        fate = self.fates[name]
        fate.answered, fate.accepted = True, False

    def unended(self) -> list[str]:
        """What was taken on and has no end."""
        return [name for name, fate in self.fates.items() if fate.accepted and not fate.over]


class OpenTransport:
    """Of a client that stays."""

    def __init__(self) -> None:
        self.sock, self.client = socket.socketpair()

    def get_extra_info(self, name: str) -> socket.socket | None:
        return self.sock if name == "socket" else None

    def close(self) -> None:
        self.sock.close()
        self.client.close()


@dataclass(slots=True)
class Door:
    """A client's connection, for one message."""

    answered: Callable[[int], None]
    transport: OpenTransport
    on_withdrawn: Callable[[], None] | None = None

    def is_closed(self) -> bool:
        return False

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.answered(int(status))


@dataclass(slots=True)
class Calls:
    """Stands in for the pool of connections: calls are out until the test ends them."""

    engine: Engine
    oracle: Oracle
    calls_in_flight: int = 0
    calls: dict[AttemptKey, EndpointCall] = field(default_factory=dict)
    addresses: dict[int, Any] = field(default_factory=dict)
    connections: set[Any] = field(default_factory=set)
    retry_after: RetryAfterTable = field(init=False)

    def __post_init__(self) -> None:
        self.retry_after = RetryAfterTable(self.engine.clock)

    def update_addresses(self, addresses: dict[int, Any]) -> None:
        self.addresses = addresses

    def start(self, call: EndpointCall) -> None:
        self.calls_in_flight += 1
        others = {name for name, _ in self.calls}
        for item in call.items:
            call.open_items[item.id] = item
            self.calls[item.attempt_key] = call
        for item in call.items:
            attempt = AttemptFacts(item.id, item.attempt, item.send_before_us, item.due_us)
            route = RouteFacts(call.endpoint in self.addresses, self.retry_after.until_us(call.limit_scope))
            if self.engine.invariants.may_send(attempt, route, self.engine.clock(), others) is None:
                self.oracle.sent(item.id)
            else:
                self.tell(call, item, Outcome.NOT_SENT)

    def finish(self, call: EndpointCall, result: CallResult) -> None:
        for item in list(call.open_items.values()):
            self.tell(call, item, result.outcome)

    def tell(self, call: EndpointCall, item: CallItem, outcome: Outcome) -> None:
        del call.open_items[item.id]
        del self.calls[item.attempt_key]
        self.calls_in_flight -= not call.open_items
        took_us = self.engine.clock() - call.sent_us
        closed = outcome is Outcome.DELIVERED
        self.engine.post(AttemptEnded(item.id, item.attempt, call.endpoint, outcome, took_us, closed))

    def end(self, name: str, outcome: Outcome) -> None:
        """The endpoint's answer, or what stands for it."""
        call = next(call for (message, _), call in self.calls.items() if message == name)
        self.oracle.ended(name, outcome)
        self.tell(call, call.open_items[name], outcome)

    def overdue(self) -> list[str]:
        now = self.engine.clock()
        items = [call.open_items[name] for (name, _), call in self.calls.items()]
        return [item.id for item in items if now >= min(item.timeout_at_us, item.due_us)]

    def close_idle(self, target: int, reason: str = "") -> None: ...

    def cancel(self, message: str, attempt: int) -> None: ...

    def settle(self) -> None: ...


class Quiet:
    """Stands in for the watch and the notices, which the test works itself."""

    def has_unread_list(self) -> bool:
        return False

    def wake(self) -> None: ...

    def subscribe(self) -> None: ...


class Single:
    """One forwarder over all its lives."""

    def __init__(self, folder: Path) -> None:
        self.now_us, self.transport = EPOCH_US, OpenTransport()
        (folder / "state").mkdir()
        self.config = configuration(folder)
        self.oracle = Oracle(lambda: self.now_us)
        self.busy: set[str] = set()
        """Keys whose last message has no answer yet: the next is handed in once it has."""
        self.doors: dict[str, Door] = {}
        """Of messages that have no answer yet."""
        self.list_version = 1
        self.start()

    def start(self) -> None:
        """A process begins, on what the folder holds."""
        self._begin(self._make())

    def hand_over(self) -> bool:
        """Another process takes over; False where this one has to go on. The calls that are out go with it."""
        old, calls = self.engine, self.calls
        old.handover_sender.settle()
        old.store.retry()
        if old.invariants.may_hand_over() is not None:
            return False
        attempts = tuple(AttemptRecord(name, number, 0) for name, number in calls.calls)
        description = HandoverDescription(
            endpoint_numbers=old.endpoint_table.numbers,
            destinations=[*old.endpoint_table.destinations],
            learned_state=old.dispatcher.learned_state(),
            pool=PoolRecord(calls=(CallRecord(NO_CONNECTION, 0, (0, -1), 0, False, attempts, b""),)),
        )
        self.let_go()
        received = decode_description(encode_description(description))
        new = self._make(HandoverState(Any, received, []))  # type: ignore[arg-type]
        self.calls.calls_in_flight = calls.calls_in_flight
        self.calls.calls = calls.calls
        self.calls.retry_after = calls.retry_after
        self._begin(new)
        return True

    def _begin(self, engine: Engine) -> None:
        self.engine = engine
        engine.store.take_ownership()
        engine.loop.run_round()
        engine.loop.events.append(EndpointListReceived(EndpointListKind.CHANGES))

    def _make(self, handed: HandoverState | None = None) -> Engine:
        engine = Engine(self.config, Any, AdminServer(), Any, handed, clock=self)  # type: ignore[arg-type]
        engine.store.writer.monotonic_s = lambda: self.now_us / SECOND
        engine.loop.schedule = lambda: None  # type: ignore[method-assign]
        engine.loop.set_timer = lambda at_us, token: None  # type: ignore[method-assign]
        self.calls = Calls(engine, self.oracle)
        engine.pool = engine.effects.pool = self.calls  # type: ignore[assignment]
        engine.watch = engine.loop.watch = engine.notices = engine.loop.notices = Quiet()  # type: ignore[assignment]
        engine.publish_serving_endpoints()
        return engine

    kept = True

    def __call__(self) -> int:
        """The engine's clock."""
        return self.now_us

    def keep(self) -> None: ...

    def hand_in(self, name: str, cls: str, key: str, left_us: int) -> None:
        self.oracle.fates[name] = Fate(key, cls, self.now_us + left_us)
        self.busy.add(key)

        def answered(status: int) -> None:
            self.busy.discard(key)
            self.doors.pop(name, None)
            self.oracle.answered(name, status)

        known = next(c for c in self.config.settings.classes if c.name == cls)
        destination = 1 + len(name + key) % 2
        handed = Submission(name, known, destination, self.now_us + left_us, key, None, False, name.encode())
        self.doors[name] = Door(answered, self.transport)
        self.engine.intake.submit(handed, self.doors[name])  # type: ignore[arg-type]

    def give_up(self, name: str) -> None:
        """A client that has no answer yet closes its connection."""
        door = self.doors.pop(name)
        self.busy.discard(self.oracle.fates[name].key)
        self.oracle.withdrawn(name)
        if door.on_withdrawn is not None:
            door.on_withdrawn()

    def stop(self) -> None:
        """SIGTERM, and the process ends by itself: nothing is sent from the freeze on, and calls may end till then."""
        self.engine.loop.run_round()
        self.engine.run_state.is_frozen = True
        for name, _ in list(self.calls.calls)[:1]:
            self.calls.end(name, Outcome.DELIVERED)
        self.engine.run_state.is_closed = True
        self.engine.store.close()
        self.kill()

    def pass_time(self, us: int) -> None:
        """Time passes, calls that are given up by then end, and the engine looks."""
        self.now_us += us
        for name in self.calls.overdue():
            self.calls.end(name, Outcome.TIMED_OUT)
        self.engine.store.retry()
        self.engine.store.write_snapshot_step()
        self.engine.loop.run_round()
        self.engine.checks.end_overdue_messages()

    def change_list(self, number: int, health: str) -> None:
        """Discovery tells that an endpoint is up, draining or removed."""
        self.list_version += 1
        told = {"seq": self.list_version, "whole": False, "hosts": [host(number, health)]}
        self.engine.endpoint_lists.receive(parse_endpoint_list(told))

    def left_without_end(self) -> list[str]:
        """Messages that were taken on, are past their time, and have no end that is told or waits to be."""
        old_us = self.now_us - LATE_US
        owed = self.engine.store.pending_notices
        return [name for name in self.oracle.unended() if self.oracle.fates[name].due_us < old_us and name not in owed]

    def notify(self, heard: bool) -> None:
        """The platform is told what is owed; whether its answer comes back is the caller's to say."""
        owed = self.engine.pending_notices.pending_notices()
        for name, notice in owed.items():
            self.oracle.notified(name, notice.state)
        if heard:
            self.engine.pending_notices.acknowledge_notices([*owed])

    def close(self) -> None:
        self.transport.close()
        self.let_go()

    def let_go(self) -> None:
        """The journal's descriptor goes with the process."""
        self.engine.store.files.journal.close()

    def kill(self) -> None:
        """SIGKILL: calls that are out may run on, and clients without an answer have none to come."""
        for name, fate in self.oracle.fates.items():
            if fate.out:
                self.oracle.ended(name, Outcome.RESET)
            if not fate.answered:
                fate.answered = True
        self.busy.clear()
        self.doors.clear()
        self.let_go()
