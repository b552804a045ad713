"""The state that the rule checks read: what the fake parties know at one moment of a run. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS

SOCKET_GRACE_S = 0.05
"""Tolerance added to every time limit on sockets (PROTOCOL, "The rules on sockets")."""
ACCEPTED = (HTTPStatus.OK, HTTPStatus.ACCEPTED)
REFUSED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
MAY_HAVE_RUN = (HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR)
"""Answers to a call after which it may have run."""


@dataclass(slots=True)
class MessageState:
    """What is known about one submission."""

    submitted: Event
    sequence: int = 0
    """Its place in the order of all submissions."""
    answer: int = 0
    """The status that its client got; 0 without an answer."""
    refused_at_s: float | None = None
    noticed_at_s: float | None = None
    ended_at_s: float | None = None
    """When it was delivered or ended by a notice."""
    may_have_run: bool = False
    """Whether a call with it started, or ended without ruling out that the message ran."""
    was_given_up: bool = False
    """Whether its client stopped waiting for the answer: its outcome is ignored then (PROTOCOL)."""
    was_unanswered: bool = False
    """Whether its connection ended without an answer: its client may have resubmitted it under another id."""
    open_calls: set[int] = field(default_factory=set)

    @property
    def is_accepted(self) -> bool:
        """Whether its client was told that it was accepted."""
        return self.answer in ACCEPTED

    @property
    def runs_once(self) -> bool:
        """Whether it may take effect only once."""
        return self.submitted.state == REFUND_CLASS


@dataclass(frozen=True, slots=True)
class KeyBackoff:
    """The backoff of a key whose last call may still run: the key's next message waits."""

    until_s: float
    message_id: str
    """The message of that call, which may itself be sent again during the backoff."""


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """A Retry-After that a destination sent to a forwarder."""

    begun_at_s: float
    until_s: float


@dataclass(slots=True)
class Downtime:
    """A period in which a forwarder could not end messages: from a kill until it is ready again, or a SIGSTOP pause."""

    begin_s: float
    end_s: float | None = None


@dataclass(frozen=True, slots=True)
class OverlappingCall:
    """A call that came while other calls with its message were open."""

    call: Event
    still_open: set[int]
    """The numbers of those calls, except any seen to end within the grace period after this call."""


class ObservedState:
    """Replays events. The rule checks read the state before `apply` adds the event that they check."""

    def __init__(self, lateness_s: float = 0.0, key_backoff_s: float = 0.0) -> None:
        """Create the state before the first event.

        Args:
            lateness_s: Lag of the lab's event loop.
            key_backoff_s: How long a key waits after a call that may still run.
        """
        self.grace_s = SOCKET_GRACE_S + lateness_s
        self.key_backoff_s = key_backoff_s
        self.messages: dict[str, MessageState] = {}
        self.run_submissions: dict[int, str] = {}
        """By arrival, the submission that took effect first, for messages that may take effect only once."""
        self.key_order: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
        """By forwarder and key, the accepted messages in the order of their answers."""
        self.key_backoffs: dict[tuple[str, str], KeyBackoff] = {}
        self.retry_after: dict[tuple[str, int], RetryAfter] = {}
        """By forwarder and destination."""
        self.unlisted_since_s: dict[tuple[str, str], float] = {}
        """By forwarder and endpoint, when discovery first reported the endpoint as draining or removed."""
        self.disabled_since_s: dict[tuple[str, str], float] = {}
        """By forwarder and endpoint, when operators disabled the endpoint."""
        self.downtimes: defaultdict[str, list[Downtime]] = defaultdict(list)
        self.overlapping_calls: list[OverlappingCall] = []
        self.forgotten: list[str] = []
        """Messages lost with a state folder that a fault removed or damaged: the rules do not apply to them."""

    def apply(self, event: Event) -> None:
        """Update the state with an event."""
        handler = HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event)

    def is_forgotten(self, message_id: str) -> bool:
        """Whether a message was lost with a removed or damaged state folder."""
        return message_id in self.forgotten

    # Clients

    def on_submitted(self, event: Event) -> None:
        """Add a submission."""
        self.messages[event.id] = MessageState(event, sequence=len(self.messages))

    def on_submit_answered(self, event: Event) -> None:
        """Record the answer that a client got."""
        message = self.messages.get(event.id)
        if message is None:
            return
        message.answer = event.status
        if event.status in REFUSED:
            message.refused_at_s = event.at_s
        key = message.submitted.key
        if event.status in ACCEPTED and key is not None:
            self.key_order[(event.node, key)].append(event.id)

    def on_submit_unanswered(self, event: Event) -> None:
        """Record that a client's connection ended without an answer."""
        if event.id in self.messages:
            self.messages[event.id].was_unanswered = True

    def on_submit_timed_out(self, event: Event) -> None:
        """Record that a client has given up or was cut off, and no longer waits for the answer."""
        if event.id in self.messages:
            self.messages[event.id].was_given_up = True

    # Calls

    def on_call_received(self, event: Event) -> None:
        """Record a call, and whether other calls with its message were open."""
        message = self.messages.get(event.id)
        if message is None:
            return  # an unknown message has its own event
        if message.open_calls:
            self.overlapping_calls.append(OverlappingCall(event, set(message.open_calls)))
        message.open_calls.add(event.call)

    def on_call_started(self, event: Event) -> None:
        """Record that a call may take effect."""
        message = self.messages.get(event.id)
        if message is None:
            return
        message.may_have_run = True
        if message.runs_once:
            self.run_submissions.setdefault(message.submitted.number, event.id)

    def on_call_answered(self, event: Event) -> None:
        """Record a call's answer and its Retry-After."""
        self._end_call(event, may_have_run=event.status in MAY_HAVE_RUN)
        message = self.messages.get(event.id)
        if event.status == HTTPStatus.OK and message is not None and message.ended_at_s is None:
            message.ended_at_s = event.at_s
        if event.wait_s:
            wait = self.retry_after.get((event.node, event.destination), RetryAfter(0.0, 0.0))
            until_s = max(wait.until_s, event.at_s + event.wait_s)
            self.retry_after[(event.node, event.destination)] = RetryAfter(event.at_s, until_s)

    def on_call_aborted(self, event: Event) -> None:
        """Record that the connection of a call ended before the answer; the call may have run."""
        self._end_call(event, may_have_run=True)
        if event.id in self.messages:
            self._begin_key_backoff(event, self.messages[event.id])
        for overlapping in self.overlapping_calls:
            if overlapping.call.id == event.id and event.at_s - overlapping.call.at_s <= self.grace_s:
                # Two sockets were ready at the same time, and the order in which the lab reads them is arbitrary.
                overlapping.still_open.discard(event.call)

    def _end_call(self, event: Event, may_have_run: bool) -> None:
        message = self.messages.get(event.id)
        if message is not None:
            message.open_calls.discard(event.call)
            message.may_have_run |= may_have_run

    def _begin_key_backoff(self, event: Event, message: MessageState) -> None:
        """Start the backoff of a key, since a call with this message may still run."""
        key = message.submitted.key
        if key is not None and self.key_backoff_s:
            until_s = event.at_s + self.key_backoff_s
            self.key_backoffs[(event.node, key)] = KeyBackoff(until_s, message.submitted.id)

    # Notices, discovery and operators

    def on_notice(self, event: Event) -> None:
        """Record a message's end by a notice."""
        message = self.messages.get(event.id)
        if message is None:
            return
        if message.ended_at_s is None:
            message.ended_at_s = event.at_s
        if message.noticed_at_s is None:
            message.noticed_at_s = event.at_s

    def on_health_sent(self, event: Event) -> None:
        """Record an endpoint's health as discovery sent it."""
        if event.state == "up":
            self.unlisted_since_s.pop((event.node, event.party), None)
        else:
            self.unlisted_since_s.setdefault((event.node, event.party), event.at_s)

    def on_endpoint_disabled(self, event: Event) -> None:
        """Record that operators disabled an endpoint."""
        self.disabled_since_s.setdefault((event.node, event.party), event.at_s)

    def on_endpoint_enabled(self, event: Event) -> None:
        """Record that operators enabled an endpoint again."""
        self.disabled_since_s.pop((event.node, event.party), None)

    # Processes

    def on_process_killed(self, event: Event) -> None:
        """Start a downtime after SIGKILL or SIGTERM."""
        self._begin_downtime(event)
        self._end_retry_after(event)

    def on_process_ended(self, event: Event) -> None:
        """Record that a process has ended; a crash starts a downtime."""
        if event.state == "crashed":
            self._begin_downtime(event)
        self._end_retry_after(event)

    def _begin_downtime(self, event: Event) -> None:
        downtimes = self.downtimes[event.node]
        if not downtimes or downtimes[-1].end_s is not None:
            downtimes.append(Downtime(event.at_s))

    def _end_retry_after(self, event: Event) -> None:
        """Remove the Retry-Afters sent to a forwarder, since a restart ends them (PROTOCOL)."""
        self.retry_after = {route: wait for route, wait in self.retry_after.items() if route[0] != event.node}

    def on_process_paused(self, event: Event) -> None:
        """Start a downtime: a paused process cannot end messages, and gets the same grace period as a restarted one."""
        self.downtimes[event.node].append(Downtime(event.at_s))

    def on_process_resumed(self, event: Event) -> None:
        """End the downtime of a paused process."""
        self.downtimes[event.node][-1].end_s = event.at_s

    def on_forwarder_ready(self, event: Event) -> None:
        """End a downtime."""
        downtimes = self.downtimes[event.node]
        if downtimes and downtimes[-1].end_s is None:
            downtimes[-1].end_s = event.at_s

    def on_state_folder_changed(self, event: Event) -> None:
        """Mark the messages of a removed or damaged folder as forgotten: their loss is not the forwarder's fault."""
        for message in self.messages.values():
            if message.submitted.node == event.node and message.ended_at_s is None and message.is_accepted:
                self.forgotten.append(message.submitted.id)


HANDLERS: dict[EventKind, Callable[[ObservedState, Event], None]] = {
    EventKind.SUBMITTED: ObservedState.on_submitted,
    EventKind.SUBMIT_ANSWERED: ObservedState.on_submit_answered,
    EventKind.SUBMIT_UNANSWERED: ObservedState.on_submit_unanswered,
    EventKind.SUBMIT_TIMED_OUT: ObservedState.on_submit_timed_out,
    EventKind.SUBMIT_CUT_OFF: ObservedState.on_submit_timed_out,
    EventKind.CALL_RECEIVED: ObservedState.on_call_received,
    EventKind.CALL_STARTED: ObservedState.on_call_started,
    EventKind.CALL_ANSWERED: ObservedState.on_call_answered,
    EventKind.CALL_ABORTED: ObservedState.on_call_aborted,
    EventKind.NOTICE: ObservedState.on_notice,
    EventKind.HEALTH_SENT: ObservedState.on_health_sent,
    EventKind.ENDPOINT_DISABLED: ObservedState.on_endpoint_disabled,
    EventKind.ENDPOINT_ENABLED: ObservedState.on_endpoint_enabled,
    EventKind.PROCESS_KILLED: ObservedState.on_process_killed,
    EventKind.PROCESS_TERMINATED: ObservedState.on_process_killed,
    EventKind.PROCESS_PAUSED: ObservedState.on_process_paused,
    EventKind.PROCESS_RESUMED: ObservedState.on_process_resumed,
    EventKind.PROCESS_ENDED: ObservedState.on_process_ended,
    EventKind.FORWARDER_READY: ObservedState.on_forwarder_ready,
    EventKind.STATE_FOLDER_CHANGED: ObservedState.on_state_folder_changed,
}
"""The state update for each kind of event. The other kinds change nothing."""
