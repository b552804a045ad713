"""Determines the results of a call's attempts from the endpoint's answer or its absence, as PROTOCOL defines."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable

from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, CallResult, EndpointCall
from forwarder.protocol.http1 import ResponseReader, parse_retry_after_us

BATCH_OUTCOMES = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
"""The outcome for each message state in the answer to a batch call."""
FINAL_BATCH_STATE = "expired"
log = logging.getLogger("forwarder.client")


def result_of_answer(reader: ResponseReader, endpoint: int) -> CallResult:
    """Returns the result of all messages of a call from the status of its complete answer."""
    status = reader.status
    if status == 200:
        return CallResult(Outcome.DELIVERED)
    if status == 429:
        return _result_of_rejection(reader)
    if status == 503:
        return CallResult(Outcome.NOT_SENT if "x-over-slots" in reader.headers else Outcome.REJECTED)
    if status in (410, 504):
        return CallResult(Outcome.NOT_SENT, is_final=status == 410)
    if status != 500:
        log.warning("unexpected status: endpoint=%d status=%d", endpoint, status)
    return CallResult(Outcome.FAILED)


def results_of_batch(
    reader: ResponseReader, items: Iterable[CallItem], endpoint: int
) -> list[tuple[CallItem, CallResult]]:
    """Returns the result of each message from the body of a complete answer to a batch call.

    A message that the answer does not mention counts as failed, since it may have run.
    """
    retry_after_us = parse_retry_after_us(reader.headers) or 0
    states = _batch_states(reader.body, endpoint)
    results = []
    for item in items:
        state = states.get(item.id)
        outcome = BATCH_OUTCOMES.get(state, Outcome.FAILED) if isinstance(state, str) else Outcome.FAILED
        results.append((item, CallResult(outcome, state == FINAL_BATCH_STATE, retry_after_us)))
    return results


def outcome_of_broken_answer(call: EndpointCall, reader: ResponseReader) -> Outcome:
    """Returns the outcome of a call whose answer is truncated, malformed or missing.

    A status line with status 200 counts as a delivery even if the rest is truncated, except for a batch call, which
    needs the complete answer. No other truncated or malformed answer is trusted, not even a rejection, because the call
    may have run.
    """
    if reader.has_ok_status() and not call.batched:
        return Outcome.DELIVERED
    if reader.begun:
        return Outcome.UNREADABLE
    return Outcome.RESET if call.written else Outcome.NO_CONNECTION


def _result_of_rejection(reader: ResponseReader) -> CallResult:
    retry_after_us = parse_retry_after_us(reader.headers)
    if retry_after_us is None:
        return CallResult(Outcome.UNREADABLE)
    return CallResult(Outcome.REJECTED, retry_after_us=retry_after_us)


def _batch_states(body: bytes, endpoint: int) -> dict[object, object]:
    try:
        return {entry["id"]: entry["state"] for entry in json.loads(body)}
    except (ValueError, TypeError, KeyError, RecursionError) as error:  # RecursionError: nested too deeply
        log.warning("malformed batch answer: endpoint=%d reason=%r", endpoint, error)
        return {}
