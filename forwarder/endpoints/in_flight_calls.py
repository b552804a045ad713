"""Tracks the calls in flight, their time-outs and the end of each message's attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from forwarder.decisions.events import AttemptEnded, LoadReport
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import AttemptKey, CallItem, CallResult, EndpointCall, LimitScopeKey
from forwarder.endpoints.call_outcome import outcome_of_broken_answer, result_of_answer, results_of_batch
from forwarder.endpoints.retry_after import RetryAfterTable
from forwarder.protocol.http1 import ResponseReader, parse_load_report
from forwarder.units import SECOND_US

ANSWER_STALL_S = 0.25  # a partial answer counts as broken after this time without progress
DELIVERY_MARGIN_US = 40_000  # a delivery reported within this time before the deadline may not count
TIMER_MARGIN_S = 0.001  # the event loop's timers may fire slightly early

AttemptSink = Callable[[AttemptEnded], None]


class InFlightCalls:
    """All calls that have not ended, indexed by the attempts that they carry.

    Each attempt ends exactly once, by an `AttemptEnded` event.

    Args:
        clock: the forwarder's clock, in microseconds.
        sink: receives the end of each attempt.
        retry_after: records the Retry-After of answers.
    """

    def __init__(self, clock: Callable[[], int], sink: AttemptSink, retry_after: RetryAfterTable) -> None:
        self.clock = clock
        self.sink = sink
        self.retry_after = retry_after
        self.report_fields: tuple[str, ...] = ()
        self.count = 0
        self.by_attempt: dict[AttemptKey, EndpointCall] = {}

    def add(self, call: EndpointCall) -> None:
        """Adds a call with all of its messages."""
        self.count += 1
        for item in call.items:
            call.open_items[item.id] = item
            self.by_attempt[item.attempt_key] = call

    def calls(self) -> Iterable[EndpointCall]:
        """Returns each call once."""
        return {id(call): call for call in self.by_attempt.values()}.values()

    def has_unread_answer(self, limit_scope: LimitScopeKey) -> bool:
        """Returns whether this machine cannot currently read an answer that has arrived from a limit scope."""
        return any(
            call.connection is not None and call.connection.sock.is_unreadable and call.limit_scope == limit_scope
            for call in self.by_attempt.values()
        )

    def start_timeout(self, call: EndpointCall) -> None:
        """Restarts the time-out of a call for its open messages.

        A call is given up by closing its connection, which affects all its messages. While the call still carries a
        message that has ended in the forwarder, neither that message nor the next one of its key may be sent. The call
        therefore times out with the last of its messages, but not after the deadline of any.
        """
        if call.timeout_timer is not None:
            call.timeout_timer.cancel()
            call.timeout_timer = None
        if call.open_items:
            items = call.open_items.values()
            last_timeout_us = max(item.timeout_at_us for item in items)
            call.timeout_at_us = min(last_timeout_us, *(item.due_us for item in items))
            delay_s = max(0, call.timeout_at_us - self.clock()) / SECOND_US
            loop = asyncio.get_running_loop()
            call.timeout_timer = loop.call_later(delay_s + TIMER_MARGIN_S, self.timed_out, call)

    def timed_out(self, call: EndpointCall) -> None:
        """Gives up a call that has timed out."""
        self._give_up(call, list(call.open_items.values()), Outcome.TIMED_OUT)

    def cancel(self, message_id: str, attempt: int) -> None:
        """Gives up an attempt, if it has not ended."""
        call = self.by_attempt.get(AttemptKey(message_id, attempt))
        if call is not None and message_id in call.open_items:
            self._give_up(call, [call.open_items[message_id]], Outcome.CANCELED)

    def answer_progressed(self, call: EndpointCall) -> None:
        """Restarts the stall timer after a part of an answer has arrived."""
        if call.stall_timer is not None:
            call.stall_timer.cancel()
        call.stall_timer = asyncio.get_running_loop().call_later(ANSWER_STALL_S, self.answer_stalled, call)

    def answer_stalled(self, call: EndpointCall) -> None:
        """Treats a stalled answer as broken, so that its slot becomes free for other calls."""
        if call.connection is not None:
            call.connection.close("answer stands still")

    def answer_ended(self, call: EndpointCall, reader: ResponseReader, broken: bool = False) -> None:
        """Ends the call of an answer that is complete, or incomplete for good if `broken`."""
        call.cancel_timers()
        report = parse_load_report(reader.headers, self.report_fields)
        if broken:
            self.finish(call, CallResult(outcome_of_broken_answer(call, reader)), report)
        elif reader.status == 200 and call.batched:
            for item, result in results_of_batch(reader, list(call.open_items.values()), call.endpoint):
                self.end_item(call, item, result, report)
        else:
            self.finish(call, result_of_answer(reader, call.endpoint), report)

    def connection_broke(self, call: EndpointCall, reader: ResponseReader, given_up: Outcome | None) -> None:
        """Ends a call whose connection ended before the answer was complete, also if the call was given up.

        A call that has timed out counts as a delivery if its incomplete answer reports one.
        """
        is_delivery = given_up is Outcome.TIMED_OUT and reader.has_ok_status() and not call.batched
        if given_up is None or is_delivery:
            self.answer_ended(call, reader, broken=True)
        elif call.written or given_up is Outcome.LOCAL_FAILURE:
            self.finish(call, CallResult(given_up))
        else:
            self.finish(call, CallResult(Outcome.NO_CONNECTION))

    def finish(self, call: EndpointCall, result: CallResult, report: LoadReport | None = None) -> None:
        """Ends a call with the same result for all its open messages."""
        for item in list(call.open_items.values()):
            self.end_item(call, item, result, report)
        self._detach(call)

    def end_item(
        self, call: EndpointCall, item: CallItem, result: CallResult, report: LoadReport | None = None
    ) -> None:
        """Ends the attempt of one message."""
        del call.open_items[item.id]
        self.by_attempt.pop(item.attempt_key, None)
        if result.retry_after_us:
            self.retry_after.note(call.limit_scope, result.retry_after_us)
        if not call.open_items:
            self.count -= 1
        self.sink(
            AttemptEnded(
                item.id,
                item.attempt,
                call.endpoint,
                result.outcome,
                self.clock() - call.sent_us,
                self._is_final(item, result),
                result.retry_after_us,
                report,
            )
        )

    def _is_final(self, item: CallItem, result: CallResult) -> bool:
        """Returns whether a message has ended for certain.

        Its time begins when the client sends it, shortly before the forwarder reads it. A delivery reported close to
        the deadline may therefore be too late to count, and the message still needs an end.
        """
        if result.outcome is Outcome.DELIVERED:
            return self.clock() < item.due_us - DELIVERY_MARGIN_US
        return result.is_final

    def _give_up(self, call: EndpointCall, items: list[CallItem], outcome: Outcome) -> None:
        """Stops waiting for some messages of a call.

        If no message is left, closes the connection, so that a late answer is not taken for that of the next call. If
        the connection is already ending, the call gets its outcome from that in the next iteration of the event loop.
        """
        if call.connection is not None and call.connection.is_ending():
            return
        if call.connection is not None and len(items) == len(call.open_items):
            call.connection.give_up(outcome)
            return
        for item in items:
            self.end_item(call, item, CallResult(outcome if call.written else Outcome.NO_CONNECTION))
        if call.open_items:
            self.start_timeout(call)
        else:
            self._detach(call)

    @staticmethod
    def _detach(call: EndpointCall) -> None:
        """Cancels the timers of a call that has ended and closes its connection."""
        call.cancel_timers()
        if call.connection is not None:
            connection = call.connection
            call.connection = None
            connection.current_call = None
            connection.close("call dropped")
