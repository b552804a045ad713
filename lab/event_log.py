"""What the fake parties of a run saw, in order. The rule checks and the metrics work from this alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from pathlib import Path
from typing import TypedDict, Unpack

import msgspec
import structlog


class EventKind(StrEnum):
    """What happened. The values are the words of the event log's file and of a scenario's `on`."""

    # Clients
    MESSAGE_ARRIVED = "asked"
    """A client wants a message delivered (deadline and latency objective in `due_s` and `share`)."""
    SUBMITTED = "handed"
    """A request's last byte was written to a forwarder."""
    SUBMIT_ANSWERED = "answer"
    """Its answer came (status)."""
    SUBMIT_UNANSWERED = "unanswered"
    """Its connection ended without an answer."""
    SUBMIT_TIMED_OUT = "given_up"
    """Its client has waited long enough."""
    SUBMIT_CUT_OFF = "cut_off"
    """The schedule ended its connection, or cut it: its client goes elsewhere."""
    FORWARDER_UNREACHABLE = "unreached"
    """No connection to the forwarder came up."""

    # Endpoints
    CONNECTION_OPENED = "dialled"
    """A forwarder opened a connection to an endpoint."""
    CALL_RECEIVED = "call"
    """A call's last byte came to an endpoint (call, first_s)."""
    UNKNOWN_MESSAGE = "stranger"
    """A call had a message that no client has submitted to that forwarder for that destination."""
    CALL_STARTED = "ran"
    """A call was accepted, and runs."""
    CALL_ANSWERED = "answered"
    """Its answer was written (call, status, wait_s)."""
    CALL_ABORTED = "cut"
    """Its connection ended before its answer was written (call)."""
    OUTAGE_STARTED = "outage"
    OUTAGE_ENDED = "back"
    ENDPOINT_OVERLOADED = "fell"
    """Too many calls while it was warming up: it is down for good (share, state)."""

    # The platform and discovery
    NOTICE = "notice"
    """The platform took a message's end (state)."""
    LIST_REQUESTED = "listed"
    """A forwarder asked discovery (status; 0 while it is down)."""
    HEALTH_SENT = "told"
    """Discovery wrote an endpoint's health to a forwarder (state)."""

    # The forwarders' processes
    PROCESS_STARTED = "started"
    PROCESS_UPGRADED = "upgraded"
    """Another process takes over."""
    PROCESS_KILLED = "killed"
    PROCESS_TERMINATED = "termed"
    PROCESS_ENDED = "ended"
    PROCESS_PAUSED = "paused"
    PROCESS_RESUMED = "resumed"
    PROCESS_RELOADED = "reloaded"
    STATE_FOLDER_CHANGED = "folder"
    """Its state folder was lost or damaged (state)."""
    FORWARDER_READY = "up"
    """The front got a 200 from it."""
    DEATH_NOTICED = "noticed"
    """The front noticed that it does not answer any more."""

    # The schedule
    FAULT_INJECTED = "fault"
    FAULT_HEALED = "healed"
    ADMIN_CALLED = "called"
    """An operator's call, and its answer (state)."""
    ENDPOINT_DISABLED = "banned"
    ENDPOINT_ENABLED = "unbanned"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that a fake party saw or that the schedule did. Times are seconds since the load began."""

    at_s: float
    kind: EventKind
    id: str = ""
    """The message's id."""
    node: str = ""
    """The forwarder's name."""
    party: str = ""
    """The endpoint's name."""
    status: int = 0
    """An HTTP status, or a process's exit status."""
    state: str = ""
    """What became of it, in the words of the protocol; for a client's message its class."""
    call: int = 0
    """The call's number at its endpoint."""
    first_s: float = 0.0
    """When the call's first byte came."""
    wait_s: float = 0.0
    """The Retry-After that came with an answer."""
    number: int = -1
    """The arrival that a message belongs to: every submission of it has an id of its own."""
    key: str | None = None
    """The message's ordering key."""
    destination: int = 0
    due_s: float = 0.0
    """The message's deadline."""
    share: float = 0.0
    names: tuple[str, ...] = ()
    """Whom a fault strikes."""


class EventFields(TypedDict, total=False):
    """The fields of an event that not every kind has."""

    id: str
    node: str
    party: str
    status: int
    state: str
    call: int
    first_s: float
    wait_s: float
    number: int
    key: str | None
    destination: int
    due_s: float
    share: float
    names: tuple[str, ...]


class EventLog:
    """Gathers events. The file is written when the run is over, so that writing it delays nothing."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.closed = False
        """The lab takes its parties down: what they see of that is no part of the run."""
        self.triggers: dict[tuple[EventKind, str], Callable[[], None]] = {}
        """By kind and forwarder, what happens at the next such event, before whoever saw it goes on. Once."""

    def note(self, kind: EventKind, **fields: Unpack[EventFields]) -> None:
        """Add an event that happens now, and pull its trigger, if it has one."""
        if self.closed:
            return
        event = Event(self.clock(), kind, **fields)
        self.events.append(event)
        trigger = self.triggers.pop((kind, event.node), None)
        if trigger is not None:
            trigger()


def write(events: Iterable[Event], path: Path) -> None:
    """Write the event log as JSON lines."""
    with path.open("w") as file:
        log = structlog.wrap_logger(structlog.WriteLogger(file), processors=[structlog.processors.JSONRenderer()])
        for event in events:
            fields = msgspec.to_builtins(event)
            log.info(fields.pop("kind"), **fields)


def read(path: Path) -> list[Event]:
    """Read an event log.

    Raises:
        OSError: There is none.
        ValueError: A line is no event.
    """
    events = []
    for line in path.read_bytes().splitlines():
        fields = msgspec.json.decode(line)
        fields["kind"] = fields.pop("event")
        events.append(msgspec.convert(fields, Event))
    return events


def message_history(events: Iterable[Event], message_id: str) -> list[Event]:
    """Return all events of the arrival that a message's id belongs to, and of its calls."""
    events = list(events)
    submissions = [event for event in events if event.kind == EventKind.SUBMITTED]
    arrival = next((event.number for event in submissions if event.id == message_id), -1)
    ids = {event.id for event in submissions if arrival >= 0 and event.number == arrival} | {message_id}
    return [event for event in events if event.id in ids or (event.number >= 0 and event.number == arrival)]
