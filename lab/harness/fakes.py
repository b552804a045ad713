"""Fakes of the engine's dependencies: client connection, connection pool, endpoint list watch, notifier and clock."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import AttemptKey, CallItem, CallResult, EndpointCall
from forwarder.endpoints.retry_after import RetryAfterTable
from forwarder.runtime.engine import Engine
from forwarder.runtime.invariants import AttemptFacts, RouteFacts
from lab.harness.oracle import Oracle


class HeldOwnership:
    """The lock of a state folder that no other process uses."""

    has_lock = True

    def acquire(self) -> None:
        """Do nothing: the lock is always held."""


class OpenTransport:
    """The transport of a client that stays connected."""

    def __init__(self) -> None:
        self.sock, self.client = socket.socketpair()

    def get_extra_info(self, name: str) -> socket.socket | None:
        """Return the socket, as asyncio transports do."""
        return self.sock if name == "socket" else None

    def close(self) -> None:
        """Close both sockets."""
        self.sock.close()
        self.client.close()


@dataclass(slots=True, eq=False)
class FakeClientConnection:
    """The client connection of one message; like a real one, it equals only itself."""

    on_answer: Callable[[int], None]
    transport: OpenTransport
    on_withdrawn: Callable[[], None] | None = None

    def is_closed(self) -> bool:
        """Whether the client has closed the connection: never."""
        return False

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Report the status of the answer."""
        self.on_answer(int(status))


@dataclass(slots=True)
class FakePool:
    """A connection pool whose calls are in flight until the test ends them."""

    engine: Engine
    oracle: Oracle
    calls_in_flight: int = 0
    calls: dict[AttemptKey, EndpointCall] = field(default_factory=dict)
    addresses: Mapping[int, object] = field(default_factory=dict)
    connections: set[object] = field(default_factory=set)
    retry_after: RetryAfterTable = field(init=False)

    def __post_init__(self) -> None:
        self.retry_after = RetryAfterTable(self.engine.clock)

    def update_addresses(self, addresses: Mapping[int, object]) -> None:
        """Set the endpoints that may be called."""
        self.addresses = addresses

    def start(self, call: EndpointCall) -> None:
        """Start a call with those of its messages that the invariants allow to be sent."""
        self.calls_in_flight += 1
        messages_in_flight = {message_id for message_id, _ in self.calls}
        for item in call.items:
            call.open_items[item.id] = item
            self.calls[item.attempt_key] = call
        for item in call.items:
            attempt = AttemptFacts(item.id, item.attempt, item.send_before_us, item.due_us)
            route = RouteFacts(call.endpoint in self.addresses, self.retry_after.until_us(call.limit_scope))
            if self.engine.invariants.may_send(attempt, route, self.engine.clock(), messages_in_flight) is None:
                self.oracle.note_sent(item.id)
            else:
                self._end_item(call, item, Outcome.NOT_SENT)

    def finish(self, call: EndpointCall, result: CallResult) -> None:
        """End all attempts of a call."""
        for item in list(call.open_items.values()):
            self._end_item(call, item, result.outcome)

    def end(self, message_id: str, outcome: Outcome) -> None:
        """End the attempt of a message with an outcome: the endpoint's answer, or the failure to get one."""
        call = next(call for (open_id, _), call in self.calls.items() if open_id == message_id)
        self.oracle.note_outcome(message_id, outcome)
        self._end_item(call, call.open_items[message_id], outcome)

    def _end_item(self, call: EndpointCall, item: CallItem, outcome: Outcome) -> None:
        del call.open_items[item.id]
        del self.calls[item.attempt_key]
        self.calls_in_flight -= not call.open_items
        duration_us = self.engine.clock() - call.sent_us
        is_closed = outcome is Outcome.DELIVERED
        self.engine.post(AttemptEnded(item.id, item.attempt, call.endpoint, outcome, duration_us, is_closed))

    def timed_out_messages(self) -> list[str]:
        """Return the ids of messages whose call has timed out at the forwarder."""
        now_us = self.engine.clock()
        items = [call.open_items[message_id] for (message_id, _), call in self.calls.items()]
        return [item.id for item in items if now_us >= min(item.timeout_at_us, item.due_us)]

    def close_idle(self, endpoint: int, reason: str = "") -> None:
        """Do nothing: there are no idle connections."""

    def cancel(self, message_id: str, attempt: int) -> None:
        """Do nothing: the test ends the calls."""

    def settle(self) -> None:
        """Do nothing: no call waits for the event loop."""


class FakeWatch:
    """The endpoint list watch and the notifier: the test changes the list and sends the notices itself."""

    def has_unread_list(self) -> bool:
        """Whether a received list has not been read yet: never."""
        return False

    def is_reachable(self) -> bool:
        """Whether the platform can be reached: always."""
        return True

    def wake(self) -> None:
        """Do nothing: there is no event loop."""

    def subscribe(self) -> None:
        """Do nothing: the test changes the list."""


@dataclass(slots=True)
class ManualClock:
    """The engine's clock, set by the test."""

    now_us: int
    is_anchored: bool = True

    def __call__(self) -> int:
        """Return the time in microseconds."""
        return self.now_us

    def store_anchor(self) -> None:
        """Do nothing: the clock outlives the forwarder's processes."""
