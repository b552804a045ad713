"""Clients that submit messages in an open loop, and retry after a refusal or the death of a forwarder."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from lab.client_connection import ClientConnection
from lab.discovery import Notice
from lab.event_log import EventKind, EventLog
from lab.front import ForwarderStatus, Front
from lab.hostile_clients import ID_PREFIX
from lab.plan import DEADLINE_S, LATENCY_OBJECTIVE_S, REFUND_CLASS, Arrival, Plan

ANSWER_TIMEOUT_S = 0.4
"""How long a client waits for an answer (PROTOCOL)."""
MIN_TIME_LEFT_S = 0.2
"""A message with less time left until its deadline is not submitted."""
END_GRACE_S = 1.0
"""How long after its deadline a message may still end."""
REPEAT_RETRIES = 2
"""Extra retries of a message that a forwarder did not answer."""
ACCEPTED = (HTTPStatus.OK, HTTPStatus.ACCEPTED)
REFUSED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@dataclass(slots=True, eq=False)
class Submission:
    """One submission of a message, under its own id."""

    id: str
    arrival: Arrival
    attempt: int
    deadline_s: float
    is_repeat: bool
    """Whether the previous forwarder died or did not answer."""
    forwarder: ForwarderStatus | None = None
    has_run: bool = False
    """Whether an endpoint accepted a call with the message."""
    is_over: bool = False

    @property
    def may_not_run_again(self) -> bool:
        """Whether the message has run and may take effect only once."""
        return self.has_run and self.arrival.message_class == REFUND_CLASS


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request. The status is None without an answer."""

    status: int | None = None
    retry_after_s: float = 0.0


class SentMarker:
    """Records whether the request's last byte was written."""

    def __init__(self) -> None:
        self.is_set = False


class Clients:
    """Submits messages, retries them, and tracks the outcome of each."""

    def __init__(self, plan: Plan, front: Front, event_log: EventLog, on_submitted: Callable[[str, int], None]) -> None:
        """Create the clients of a run.

        Args:
            plan: The run's plan.
            front: Provides forwarders and connections.
            event_log: Receives the events that the clients see.
            on_submitted: Called with the forwarder's name and the destination of each submission.
        """
        self.plan = plan
        self.front = front
        self.event_log = event_log
        self.on_submitted = on_submitted
        self.rng = random.Random(f"{plan.scenario.seed}/clients")
        self.submissions: dict[str, Submission] = {}
        self.accepted: dict[str, dict[str, Submission]] = {name: {} for name in plan.nodes}
        """By forwarder and id, the accepted submissions that have not ended yet."""
        self.key_queues: dict[str, deque[Submission]] = {}
        self.delivered_arrivals: set[int] = set()
        self.running: set[asyncio.Task[None]] = set()
        self.retries_waiting = 0
        self.count = 0

    async def submit_arrivals(self) -> None:
        """Submit every arrival at its planned time, regardless of how long others take."""
        for arrival in self.plan.arrivals:
            wait_s = arrival.at_s - self.event_log.clock()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            deadline_s = arrival.at_s + DEADLINE_S[arrival.message_class]
            self.event_log.note(
                EventKind.MESSAGE_ARRIVED,
                number=arrival.number,
                state=arrival.message_class,
                destination=arrival.destination,
                key=arrival.key,
                due_s=deadline_s,
                share=LATENCY_OBJECTIVE_S[arrival.message_class],
            )
            self._start_submission(arrival, 0, deadline_s)

    def are_busy(self) -> bool:
        """Whether any message may still be submitted, answered or ended."""
        if self.running or self.retries_waiting:
            return True
        now_s = self.event_log.clock()
        return any(not each.is_over and each.deadline_s + END_GRACE_S > now_s for each in self.submissions.values())

    def is_submitted(self, message_id: str, node: str, destination: int) -> bool:
        """Whether a message was submitted to this forwarder for this destination, or by hostile clients."""
        if message_id.startswith(ID_PREFIX):
            return True
        submission = self.submissions.get(message_id)
        if submission is None or submission.forwarder is None:
            return False
        return submission.forwarder.name == node and submission.arrival.destination == destination

    # Submitting

    def _start_submission(self, arrival: Arrival, attempt: int, deadline_s: float, is_repeat: bool = False) -> None:
        self.count += 1
        message_id = f"{arrival.number:06x}-{self.count:x}"
        submission = Submission(message_id, arrival, attempt, deadline_s, is_repeat)
        self.submissions[message_id] = submission
        if arrival.key is None:
            self._start_task(self._submit(submission))
            return
        queue = self.key_queues.setdefault(arrival.key, deque())
        queue.append(submission)
        if len(queue) == 1:
            self._start_task(self._submit_key_queue(arrival.key, queue))

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _submit_key_queue(self, key: str, queue: deque[Submission]) -> None:
        """Submit the messages of one key in order, each after the answer to the previous one."""
        while queue:
            await self._submit(queue[0])
            queue.popleft()
        del self.key_queues[key]

    async def _submit(self, submission: Submission) -> None:
        time_left_s = submission.deadline_s - self.event_log.clock()
        if time_left_s < MIN_TIME_LEFT_S or submission.arrival.number in self.delivered_arrivals:
            submission.is_over = True
            return
        forwarder = self.front.choose(submission.arrival.key)
        if forwarder is None:
            self._retry_refused(submission, 0.0)
            return
        submission.forwarder = forwarder
        answer = await self._exchange(forwarder, submission, encode_request(submission, time_left_s))
        if answer.status in ACCEPTED:
            if not submission.is_over:
                self.accepted[forwarder.name][submission.id] = submission
        elif answer.status in REFUSED:
            self._retry_refused(submission, answer.retry_after_s)
        elif answer.status is None:
            self._retry_unanswered(submission)
        else:
            submission.is_over = True

    async def _exchange(self, forwarder: ForwarderStatus, submission: Submission, request: bytes) -> Answer:
        """Send a request, and resend it on a new connection if the close of an idle connection crossed it."""
        for fresh in (False, True):
            sent = SentMarker()
            connection = None
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    connection = await self.front.connect(forwarder, fresh)
                    status = await connection.request(request, partial(self._on_sent, submission, forwarder, sent))
            except TimeoutError:
                self._note(EventKind.SUBMIT_TIMED_OUT, submission, forwarder)
                if connection is not None:
                    connection.abort()
                return Answer()
            except OSError:
                if sent.is_set and not fresh and _close_crossed_request(connection):
                    continue
                self._note(_kind_of_failure(sent.is_set, connection), submission, forwarder)
                return Answer()
            self._note(EventKind.SUBMIT_ANSWERED, submission, forwarder, status, connection.retry_after_s)
            self.front.release(forwarder, connection)
            return Answer(status, connection.retry_after_s)
        return Answer()

    def _note(
        self,
        kind: EventKind,
        submission: Submission,
        forwarder: ForwarderStatus,
        status: int = 0,
        retry_after_s: float = 0.0,
    ) -> None:
        self.event_log.note(
            kind,
            id=submission.id,
            node=forwarder.name,
            status=status,
            wait_s=retry_after_s,
            number=submission.arrival.number,
        )

    def _on_sent(self, submission: Submission, forwarder: ForwarderStatus, sent: SentMarker) -> None:
        sent.is_set = True
        arrival = submission.arrival
        self.event_log.note(
            EventKind.SUBMITTED,
            id=submission.id,
            node=forwarder.name,
            number=arrival.number,
            key=arrival.key,
            destination=arrival.destination,
            due_s=submission.deadline_s,
            state=arrival.message_class,
        )
        self.on_submitted(forwarder.name, arrival.destination)

    # Retries

    def _retry_refused(self, submission: Submission, retry_after_s: float) -> None:
        """Retry a refused message after the Retry-After, if its client honours it, or after an exponential backoff."""
        submission.is_over = True
        load = self.plan.scenario.load
        if submission.attempt >= load.retries:
            return
        wait_s = self.rng.uniform(*load.backoff_s) * 2**submission.attempt
        if retry_after_s and submission.arrival.honours_retry_after:
            wait_s = retry_after_s
        self._retry_later(wait_s, submission, submission.attempt + 1)

    def _retry_unanswered(self, submission: Submission) -> None:
        """Retry a message that a forwarder may or may not have, unless it has run and may not run twice."""
        submission.is_over = True
        if not submission.may_not_run_again:
            wait_s = self.rng.uniform(*self.plan.scenario.load.backoff_s)
            self._retry_later(wait_s, submission, submission.attempt + 1, is_repeat=True)

    def _retry_later(self, wait_s: float, submission: Submission, attempt: int, is_repeat: bool = False) -> None:
        self.retries_waiting += 1
        asyncio.get_running_loop().call_later(wait_s, self._retry, submission, attempt, is_repeat)

    def _retry(self, submission: Submission, attempt: int, is_repeat: bool) -> None:
        self.retries_waiting -= 1
        if submission.arrival.number in self.delivered_arrivals or (is_repeat and submission.may_not_run_again):
            return
        if attempt <= self.plan.scenario.load.retries + REPEAT_RETRIES:
            self._start_submission(submission.arrival, attempt, submission.deadline_s, is_repeat)

    # Outcomes of messages

    def note_started(self, message_id: str) -> None:
        """Record that an endpoint accepted a call with the message."""
        if message_id in self.submissions:
            self.submissions[message_id].has_run = True

    def note_delivered(self, message_id: str) -> None:
        """Record that a message was delivered."""
        submission = self.submissions.get(message_id)
        if submission is not None:
            self.delivered_arrivals.add(submission.arrival.number)
            self._end(submission)

    def note_notice(self, notice: Notice) -> None:
        """Record the end of a message by its notice, and resubmit a returned one."""
        submission = self.submissions.get(notice.message_id)
        if submission is None or submission.is_over:
            return
        self._end(submission)
        if notice.state == "returned":
            self._retry_refused(submission, notice.retry_after_s)

    def note_folder_lost(self, node: str) -> None:
        """Resubmit the messages that a forwarder held, except those that have run and may not run twice."""
        held = list(self.accepted[node].values())
        self.accepted[node] = {}
        for submission in held:
            submission.is_over = True
            wait_s = self.rng.uniform(*self.plan.scenario.front.again_s)
            self._retry_later(wait_s, submission, submission.attempt, is_repeat=True)

    def _end(self, submission: Submission) -> None:
        submission.is_over = True
        if submission.forwarder is not None:
            self.accepted[submission.forwarder.name].pop(submission.id, None)


def _kind_of_failure(was_sent: bool, connection: ClientConnection | None) -> EventKind:
    """Return the kind of event for a connection that failed before the answer."""
    if not was_sent:
        return EventKind.FORWARDER_UNREACHABLE
    is_cut = connection is not None and connection.ended_by_link
    return EventKind.SUBMIT_CUT_OFF if is_cut else EventKind.SUBMIT_UNANSWERED


def _close_crossed_request(connection: ClientConnection | None) -> bool:
    """Whether the forwarder closed an idle connection before it read the request."""
    return connection is not None and connection.request_count > 1 and connection.was_reset


def encode_request(submission: Submission, time_left_s: float) -> bytes:
    """Encode the request that submits a message, as the protocol page defines it ("Clients to forwarders")."""
    arrival = submission.arrival
    body = f"refund {arrival.number}".encode() * 8
    lines = [
        f"POST /{arrival.message_class} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {submission.id}",
        f"X-Time-Left: {time_left_s:.3f}",
        f"Content-Length: {len(body)}",
        f"X-Addressing: dest={arrival.destination}",
    ]
    if arrival.key is not None:
        lines.append(f"X-Session-Key: {arrival.key}")
    if submission.is_repeat:
        lines.append("X-Repeat: again")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
