"""The format in which a process describes its state to the new process that takes over.

The description is JSON. Its keys are those of the first version and never change, because the new process may run
another version. Only this module and `learned_state_format` map them to the names in the code.

Sockets are sent next to the description as file descriptors. A record refers to its descriptor by index.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from forwarder.config.accepted_config import AcceptedConfig
from forwarder.decisions.learned_state import LearnedState
from forwarder.runtime.learned_state_format import StoredRecord, learned_state_from_stored, learned_state_to_stored

NO_CONNECTION = -1
"""Used in place of an index if the call was never written to a connection."""


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt of a call that is in progress."""

    message_id: str
    number: int
    timeout_at_us: int


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call that is in progress."""

    connection: int
    """Index among the endpoint connections, or `NO_CONNECTION`."""
    endpoint: int
    limit_scope: tuple[int, int]
    """Destination and endpoint number to which a Retry-After applies; `ALL_ENDPOINTS` for the whole destination."""
    sent_us: int
    batched: bool
    attempts: tuple[AttemptRecord, ...]
    received: bytes
    """The bytes of the response that have been read."""


@dataclass(frozen=True, slots=True)
class IdleConnectionRecord:
    """A connection to an endpoint with no call on it."""

    connection: int
    """Index among the endpoint connections."""
    endpoint: int
    idle_since_us: int


@dataclass(frozen=True, slots=True)
class PoolRecord:
    """The pool of connections to endpoints."""

    calls: tuple[CallRecord, ...] = ()
    idle: tuple[IdleConnectionRecord, ...] = ()
    retry_after_until_us: tuple[tuple[tuple[int, int], int], ...] = ()
    """For each limit scope, the time until which no calls are made to it."""


@dataclass(frozen=True, slots=True)
class ClientRecord:
    """A client connection from which something has been read."""

    connected_at_us: int
    last_used_us: int
    has_sent_request: bool
    handed_over_at_us: int | None
    """None if the previous process did not send it."""
    request_arrived_us: int
    """Earliest time at which the first byte of `received` may have arrived; 0 between requests."""
    received: bytes
    """The bytes that have been read and belong to no answered request: of one in part, or of several."""


@dataclass(frozen=True, slots=True)
class HandedClient:
    """A client connection that is handed over."""

    descriptor: int
    state: ClientRecord | None
    """None for a connection that was accepted, but not read from."""


@dataclass(frozen=True, slots=True)
class HandedAdminConnection:
    """An admin connection that has no answer yet."""

    descriptor: int
    line: bytes
    """The bytes of its command that have been read."""


@dataclass(frozen=True, slots=True)
class HandoverDescription:
    """The state of a process that is not in its journal."""

    clock_base_ns: int | None = None
    """The clock's offset from the monotonic time; None if the previous process did not send it."""
    endpoint_numbers: Mapping[str, int] | None = None
    destinations: Sequence[int] = ()
    learned_state: LearnedState | None = None
    is_draining: bool = False
    client_listener: int = 0
    endpoint_connections: Sequence[int] = ()
    """The descriptor of each connection that the pool's records refer to."""
    pool: PoolRecord = PoolRecord()
    admin_listeners: Sequence[int] = ()
    admin_connections: Sequence[HandedAdminConnection] = ()
    clients: Sequence[HandedClient] = ()
    notice_connection: int | None = None
    """The descriptor of the connection for notices; None if the previous process handed over none."""
    accepted_config: AcceptedConfig | None = None
    """What the previous process accepted of files that it read again; None if it goes by the one of its start."""


def encode_description(description: HandoverDescription) -> bytes:
    """Returns the description as JSON with its stored keys."""
    learned_state = description.learned_state
    stored = {
        "clock": description.clock_base_ns,
        "numbers": description.endpoint_numbers,
        "destinations": [*description.destinations],
        "memory": None if learned_state is None else learned_state_to_stored(learned_state),
        "leaving": description.is_draining,
        "clients": description.client_listener,
        "connections": [*description.endpoint_connections],
        "pool": _pool_to_stored(description.pool),
        "controls": [*description.admin_listeners],
        "callers": [
            {"fd": connection.descriptor, "line": _to_base64(connection.line)}
            for connection in description.admin_connections
        ],
        "doors": [_client_to_stored(client) for client in description.clients],
    }
    if description.notice_connection is not None:  # an earlier version ignores this unknown key
        stored["notices"] = description.notice_connection
    if description.accepted_config is not None:
        stored["config"] = _config_to_stored(description.accepted_config)
    return json.dumps(stored, separators=(",", ":")).encode()


def decode_description(data: bytes) -> HandoverDescription:
    """Returns the description that another process encoded.

    Raises:
        ValueError: the data is not JSON.
        KeyError, TypeError: the JSON is not a description.
    """
    stored = json.loads(data)
    learned_state = stored.get("memory")
    return HandoverDescription(
        clock_base_ns=stored.get("clock"),
        endpoint_numbers=stored.get("numbers"),
        destinations=stored.get("destinations", ()),
        learned_state=None if learned_state is None else learned_state_from_stored(learned_state),
        is_draining=stored["leaving"],
        client_listener=stored["clients"],
        endpoint_connections=stored["connections"],
        pool=_pool_from_stored(stored["pool"]),
        admin_listeners=stored["controls"],
        admin_connections=[
            HandedAdminConnection(connection["fd"], base64.b64decode(connection["line"]))
            for connection in stored["callers"]
        ],
        clients=[_client_from_stored(client) for client in stored["doors"]],
        notice_connection=stored.get("notices"),
        accepted_config=_config_from_stored(stored.get("config")),
    )


def _pool_to_stored(pool: PoolRecord) -> StoredRecord:
    return {
        "calls": [
            {
                "connection": call.connection,
                "target": call.endpoint,
                "place": call.limit_scope,
                "sent_us": call.sent_us,
                "batched": call.batched,
                "items": [[attempt.message_id, attempt.number, attempt.timeout_at_us] for attempt in call.attempts],
                "seen": _to_base64(call.received),
            }
            for call in pool.calls
        ],
        "idle": [
            {"connection": idle.connection, "target": idle.endpoint, "idle_us": idle.idle_since_us}
            for idle in pool.idle
        ],
        "waits": [[*limit_scope, until_us] for limit_scope, until_us in pool.retry_after_until_us],
    }


def _pool_from_stored(stored: StoredRecord) -> PoolRecord:
    return PoolRecord(
        calls=tuple(_call_from_stored(call) for call in stored["calls"]),
        idle=tuple(
            IdleConnectionRecord(idle["connection"], idle["target"], idle["idle_us"]) for idle in stored["idle"]
        ),
        retry_after_until_us=tuple(
            ((destination, route), until_us) for destination, route, until_us in stored["waits"]
        ),
    )


def _call_from_stored(stored: StoredRecord) -> CallRecord:
    destination, route = stored["place"]
    return CallRecord(
        connection=stored["connection"],
        endpoint=stored["target"],
        limit_scope=(destination, route),
        sent_us=stored["sent_us"],
        batched=stored["batched"],
        attempts=tuple(AttemptRecord(*attempt) for attempt in stored["items"]),
        received=base64.b64decode(stored["seen"]),
    )


def _client_to_stored(client: HandedClient) -> StoredRecord:
    state = client.state
    if state is None:
        return {"fd": client.descriptor}
    return {
        "made_us": state.connected_at_us,
        "used_us": state.last_used_us,
        "asked": state.has_sent_request,
        "handed_us": state.handed_over_at_us,
        "came_us": state.request_arrived_us,
        "raw": _to_base64(state.received),
        "fd": client.descriptor,
    }


def _client_from_stored(stored: StoredRecord) -> HandedClient:
    if "made_us" not in stored:
        return HandedClient(stored["fd"], None)
    state = ClientRecord(
        connected_at_us=stored["made_us"],
        last_used_us=stored["used_us"],
        has_sent_request=stored["asked"],
        handed_over_at_us=stored.get("handed_us"),
        request_arrived_us=stored["came_us"],
        received=base64.b64decode(stored["raw"]),
    )
    return HandedClient(stored["fd"], state)


def _config_to_stored(accepted: AcceptedConfig) -> StoredRecord:
    return {"discovery": accepted.discovery, "settings": accepted.settings, "common": accepted.common_document}


def _config_from_stored(stored: StoredRecord | None) -> AcceptedConfig | None:
    if stored is None:
        return None
    return AcceptedConfig(stored["discovery"], stored["settings"], stored["common"])


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()
