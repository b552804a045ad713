"""Event log: what the fake parties of a run saw, in order. It is the only input of the rule checks and the metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from pathlib import Path
from typing import TypedDict, Unpack

import msgspec
import structlog


class EventKind(StrEnum):
    """The kinds of events. The values appear in the event log's file and in a scenario's `on` field."""

    # Clients
    MESSAGE_ARRIVED = "asked"
    """A client wants a message delivered (`due_s`: deadline; `share`: latency objective in seconds)."""
    SUBMITTED = "handed"
    """A client wrote the last byte of a submission to a forwarder."""
    SUBMIT_ANSWERED = "answer"
    """The client got the answer to a submission (status)."""
    SUBMIT_UNANSWERED = "unanswered"
    """The connection of a submission ended without an answer."""
    SUBMIT_TIMED_OUT = "given_up"
    """A submission reached the client's answer timeout."""
    SUBMIT_CUT_OFF = "cut_off"
    """An injected fault ended the connection of a submission or cut its link: the client tries another forwarder."""
    FORWARDER_UNREACHABLE = "unreached"
    """A client could not connect to the forwarder."""

    # Endpoints
    CONNECTION_OPENED = "dialled"
    """A forwarder opened a connection to an endpoint."""
    CALL_RECEIVED = "call"
    """An endpoint received the last byte of a call (call, first_s)."""
    UNKNOWN_MESSAGE = "stranger"
    """A call carried a message that no client has submitted to that forwarder for that destination."""
    CALL_STARTED = "ran"
    """An endpoint accepted a call and started to process it."""
    CALL_ANSWERED = "answered"
    """An endpoint wrote the answer of a call (call, status, wait_s)."""
    CALL_ABORTED = "cut"
    """The connection of a call ended before the answer was written (call)."""
    OUTAGE_STARTED = "outage"
    OUTAGE_ENDED = "back"
    ENDPOINT_OVERLOADED = "fell"
    """An endpoint got too many calls while it was warming up, and stays down for the rest of the run (share, state)."""

    # The platform and discovery
    NOTICE = "notice"
    """The platform received a notice about a message (state)."""
    LIST_REQUESTED = "listed"
    """A forwarder requested the endpoint list from discovery (status; 0 while discovery is down)."""
    HEALTH_SENT = "told"
    """Discovery sent an endpoint's health to a forwarder (state)."""

    # The forwarders' processes
    PROCESS_STARTED = "started"
    PROCESS_UPGRADED = "upgraded"
    """A new process takes over from the running one."""
    PROCESS_KILLED = "killed"
    PROCESS_TERMINATED = "termed"
    PROCESS_ENDED = "ended"
    PROCESS_PAUSED = "paused"
    PROCESS_RESUMED = "resumed"
    PROCESS_RELOADED = "reloaded"
    STATE_FOLDER_CHANGED = "folder"
    """The forwarder's state folder was lost or damaged (state)."""
    FORWARDER_READY = "up"
    """The front's status poll got a 200 from the forwarder."""
    DEATH_NOTICED = "noticed"
    """The front detected that the forwarder no longer answers."""

    # Injected faults
    FAULT_INJECTED = "fault"
    FAULT_HEALED = "healed"
    ADMIN_CALLED = "called"
    """An operator sent an admin command and got its answer (state)."""
    ENDPOINT_DISABLED = "banned"
    ENDPOINT_ENABLED = "unbanned"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Something that a fake party saw or an injected fault did. Times are in seconds since the start of the load."""

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
    """The resulting state, as the protocol names it; for a client's message, the message class."""
    call: int = 0
    """The call's number at its endpoint."""
    first_s: float = 0.0
    """When the endpoint received the call's first byte."""
    wait_s: float = 0.0
    """The Retry-After of an answer, in seconds."""
    number: int = -1
    """The number of the arrival that a submission belongs to: each submission of an arrival has its own id."""
    key: str | None = None
    """The message's ordering key."""
    destination: int = 0
    due_s: float = 0.0
    """The message's deadline."""
    share: float = 0.0
    names: tuple[str, ...] = ()
    """The targets of a fault."""


class EventFields(TypedDict, total=False):
    """The optional fields of an event."""

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
    """Collects events in memory. The file is written after the run, so that writing it delays nothing."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.closed = False
        """Set while the lab shuts its parties down: events of the shutdown are not part of the run."""
        self.triggers: dict[tuple[EventKind, str], Callable[[], None]] = {}
        """One-shot callbacks by event kind and forwarder, called within `note`, before the noting party continues."""

    def note(self, kind: EventKind, **fields: Unpack[EventFields]) -> None:
        """Add an event with the current time, and call its trigger, if it has one."""
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
        OSError: The file cannot be read.
        ValueError: A line is not a valid event.
    """
    events = []
    for line in path.read_bytes().splitlines():
        fields = msgspec.json.decode(line)
        fields["kind"] = fields.pop("event")
        events.append(msgspec.convert(fields, Event))
    return events


def message_history(events: Iterable[Event], message_id: str) -> list[Event]:
    """Return all events of the arrival that a message id belongs to, including those of its calls."""
    events = list(events)
    submissions = [event for event in events if event.kind == EventKind.SUBMITTED]
    arrival = next((event.number for event in submissions if event.id == message_id), -1)
    ids = {event.id for event in submissions if arrival >= 0 and event.number == arrival} | {message_id}
    return [event for event in events if event.id in ids or (event.number >= 0 and event.number == arrival)]
