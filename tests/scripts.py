"""Settings, endpoints and short functions for events, for tests that drive a dispatcher."""

from __future__ import annotations

from typing import Any

from forwarder.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    MessageArrived,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import DestinationKind, Effect, MessageClass, Scope, Settings, Tenant

MS = 1_000
S = 1_000_000


def settings(**changes: Any) -> Settings:
    """Returns settings with a message class of each effect and a destination kind of each sort, changed as given."""
    base: dict[str, Any] = {
        "slots": 8,
        "classes": (
            MessageClass("safe", 2 * S, 6 * S),
            MessageClass("keyed", 2 * S, 10 * S, Effect.KEYED, Scope.ALL, 3 * S),
            MessageClass("zoned", 2 * S, 10 * S, Effect.KEYED, Scope.ZONE, 3 * S),
            MessageClass("once", 2 * S, 8 * S, Effect.ONCE),
            MessageClass("turns", 2 * S, 9 * S, Effect.KEYED, Scope.ALL, 4 * S, in_order=True),
        ),
        "kinds": (
            DestinationKind("plain"),
            DestinationKind("lots", max_batch=4),
            DestinationKind("ways", separate_routes=True),
        ),
        "tenants": (Tenant("big", 20.0), Tenant("small", 2.0)),
        "over_quota_weight": 0.1,
        "forwarders": 2,
        "max_attempts": 6,
        "retry_after_allowed": True,
        "max_retry_after_us": 3 * S,
        "answer_grace_us": 20 * MS,
        "drain_grace_us": 500 * MS,
        "overload_factor": 2.0,
        "overload_window_us": 1_500 * MS,
        "slow_start_from": 0.2,
        "slow_start_us": 10 * S,
        "key_backoff_us": 300 * MS,
    }
    return Settings(**(base | changes))


ENTRIES = (
    EndpointEntry(1, 10, "north", "plain"),
    EndpointEntry(2, 10, "south", "plain"),
    EndpointEntry(3, 11, "north", "lots"),
    EndpointEntry(4, 12, "north", "ways"),
    EndpointEntry(5, 12, "south", "ways"),
)


def started(entries: tuple[EndpointEntry, ...] = ENTRIES, **changes: Any) -> Dispatcher:
    """Returns a dispatcher that has received its endpoint list; `changes` are changes of the settings."""
    dispatcher = Dispatcher(settings(**changes), 7, 0)
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
    return dispatcher


def sends(actions: list[Action]) -> list[SendAttempt]:
    """Returns the attempts among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def finals(actions: list[Action]) -> list[RejectMessage | FailMessage]:
    """Returns the actions that reject a message or end it as failed."""
    return [action for action in actions if isinstance(action, RejectMessage | FailMessage)]


def ask(name: str, dest: int = 10, cls: str = "safe", due: int = 6 * S, **more: Any) -> MessageArrived:
    """Returns the event of a message that arrives."""
    return MessageArrived(name, dest, cls, due, **more)


def end(send: SendAttempt, outcome: Outcome, attempt: int = 0, took: int = 100 * MS, **more: Any) -> AttemptEnded:
    """Returns the event of an attempt that ends; only a delivery is final unless `closed` is given."""
    closed = more.pop("closed", outcome is Outcome.DELIVERED)
    return AttemptEnded(send.message_id, attempt, send.endpoint, outcome, took, is_final=closed, **more)
