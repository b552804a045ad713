"""What one process hands to the one that takes over from it, and how that one goes on with it.

Messages, ends and the list are in the journal, which passes as it is. What is not is described here: calls that are out
and their connections, clients and operators with what was read of their requests, and what the decisions have learned.
Sockets go as descriptors; the description names each by its place among them.
"""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any

from forwarder.clients.listener import fileno
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.pool import CallItem, CallResult, EndpointCall
from forwarder.runtime.learned_state_format import learned_state_to_stored
from forwarder.runtime.ownership import HandoverState

if TYPE_CHECKING:
    from forwarder.runtime.engine import Engine

SPARE_SOCKETS = 40  # descriptors of two processes that are no connections
OLD_CONTROL_S = 10.0  # calls of operators are answered at the old control address for so long


class Descriptors:
    """Those that go along, each known by its place."""

    def __init__(self) -> None:
        self.all: list[int] = []

    def put(self, descriptor: int) -> int:
        self.all.append(descriptor)
        return len(self.all) - 1


def describe(engine: Engine) -> tuple[dict[str, Any], list[int]]:
    """All that a process has beside its journal, and the descriptors to go with it."""
    descriptors = Descriptors()
    pool, connections = engine.pool.hand_over()
    listener = engine.server.listener
    assert listener is not None
    told = {
        "clock": engine.clock.offset_ns,
        "numbers": engine.targets.numbers,
        "destinations": [*engine.targets.destinations],
        "memory": learned_state_to_stored(engine.dispatcher.learned_state()),
        "leaving": engine.drain.on,
        "clients": descriptors.put(listener.sock.fileno()),
        "connections": [descriptors.put(fileno(connection.transport)) for connection in connections],
        "pool": pool,
        **_operators(engine, descriptors),
        "doors": _clients(engine, descriptors),
    }
    return told, descriptors.all


def _operators(engine: Engine, descriptors: Descriptors) -> dict[str, Any]:
    """Their listening address, and those that have called and have no answer."""
    listeners = [found for where, found in engine.control.listeners.items() if where == engine.config.control]
    callers = engine.control.callers
    known = {fileno(caller.transport) for caller in callers}
    new = [conn.fileno() for found in listeners for conn in found.coming if conn.fileno() not in known]
    asking = [
        {"fd": descriptors.put(fileno(caller.transport)), "line": base64.b64encode(caller.line).decode()}
        for caller in callers
        if not caller.answered
    ]
    return {
        "controls": [descriptors.put(found.sock.fileno()) for found in listeners],
        "callers": asking + [{"fd": descriptors.put(number), "line": ""} for number in new],
    }


def _clients(engine: Engine, descriptors: Descriptors) -> list[dict[str, Any]]:
    """Their connections, those in the middle of a request first. While both processes have them they count twice: what
    is idle and too many ends with this one.
    """
    server = engine.server
    assert server.listener is not None
    doors = [(door, told) for door in server.doors if (told := door.hand_over()) is not None]
    doors.sort(key=lambda each: (not each[0].idle(), each[0].used_us), reverse=True)
    room = max(0, engine.config.sockets - len(server.doors) - len(engine.pool.all) - SPARE_SOCKETS)
    known = {fileno(door.transport) for door in server.doors}
    new = [conn.fileno() for conn in server.listener.coming if conn.fileno() not in known]
    going = [told | {"fd": descriptors.put(fileno(door.transport))} for door, told in doors[:room]]
    return going + [{"fd": descriptors.put(number)} for number in new]


async def adopt_calls(engine: Engine, handed: HandoverState) -> None:
    """Go on with the calls and connections to targets of the process before."""
    pool, numbers = handed.told["pool"], handed.told["connections"]
    engine.pool.waits = {(destination, which): end for destination, which, end in pool["waits"]}
    for told in pool["calls"]:
        await _adopt_call(engine, handed, told, numbers)
    for told in pool["idle"]:
        sock = handed.socket(numbers[told["connection"]])
        adopting = engine.pool.adopt_idle(told["target"], sock, told["idle_us"])
        await engine.supervisor.guarded("hand-over of a connection", adopting)


async def _adopt_call(engine: Engine, handed: HandoverState, told: dict[str, Any], numbers: list[int]) -> None:
    items = [
        CallItem(name, number, m.key, m.body, until_us, m.due_us)
        for name, number, until_us in told["items"]
        if (m := engine.store.messages.get(name)) is not None
    ]
    if not items:
        return  # its connection is closed with all that is not taken out
    sock = handed.socket(numbers[told["connection"]]) if told["connection"] >= 0 else None
    destination, which = told["place"]
    call = EndpointCall(told["target"], (destination, which), told["sent_us"], items, batched=told["batched"])
    try:
        await engine.pool.adopt(call, sock, base64.b64decode(told["seen"]))
    except OSError as error:  # it was written: its outcome is not known any more
        engine.supervisor.failed("hand-over of a call", error)
        engine.pool.finish(call, CallResult(Outcome.RESET))


async def adopt_clients(engine: Engine, handed: HandoverState) -> None:
    """Go on with the clients and operators of the process before."""
    told = handed.told
    if told["leaving"]:
        engine.send_away()
    for door in told["doors"]:
        sock = handed.socket(door.pop("fd"))
        await engine.supervisor.guarded("hand-over of a client", engine.server.adopt(sock, door))
    for number in told["controls"]:
        listener = engine.control.listen(handed.socket(number))
        if listener.where() != engine.config.control:
            asyncio.get_running_loop().call_later(OLD_CONTROL_S, listener.close)
    for caller in told["callers"]:
        sock = handed.socket(caller["fd"])
        adopting = engine.control.adopt(sock, base64.b64decode(caller["line"]))
        await engine.supervisor.guarded("hand-over of an operator", adopting)
    handed.close()
