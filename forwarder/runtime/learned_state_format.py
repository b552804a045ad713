"""The format in which learned state is handed over to a new process.

Stored names are those of the first version and never change; only this module maps them to the names in the code. The
two processes may run different versions: the reader ignores names that it does not know, and keeps its own value for a
name that the writer did not know.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from forwarder.decisions.learned_state import CallInFlight, LearnedFields, LearnedState

StoredRecord = Mapping[str, Any]
"""A JSON object with its stored keys."""

STORED_LIMIT_SCOPE_FIELDS = {
    "concurrency_window": "window",
    "expected_call_us": "mean",
    "initial_call_us": "seed",
    "learned_at_us": "mean_at",
    "retry_after_until_us": "wait_until",
    "backoff_until_us": "rest_until",
    "backoff_us": "rest",
    "window_cut_at_us": "cut_at",
    "limit_per_s": "limit",
    "limit_left": "left",
    "quota_share": "share",
    "reported_at_us": "told_at",
    "next_call_at_us": "pace_at",
}
"""Maps each field of a limit scope to its stored name."""

STORED_ENDPOINT_FIELDS = {
    "error_rate": "failing",
    "last_call_at_us": "tried_at",
    "idle_since_us": "idle_at",
    "ejected_at_us": "outage_at",
    "recovering_since_us": "back_at",
    "slow_start_jitter": "spread",
}
"""Maps each field of an endpoint to its stored name."""


def learned_state_to_stored(state: LearnedState) -> StoredRecord:
    """Returns the state as values that JSON can represent, with its stored names."""
    return {
        "places": [
            [destination, endpoint, _to_stored(fields, STORED_LIMIT_SCOPE_FIELDS)]
            for destination, endpoint, fields in state.limit_scopes
        ],
        "targets": [[endpoint, _to_stored(fields, STORED_ENDPOINT_FIELDS)] for endpoint, fields in state.endpoints],
        "rests": dict(state.key_backoffs),
        "purses": dict(state.tenant_buckets),
        "idle_us": state.trusted_idle_us,
        "calls": [
            {
                "target": call.endpoint,
                "sent_us": call.sent_us,
                "idle_us": call.connection_idle_us,
                "gap_us": call.since_previous_us,
                "judged": call.counted,
                "attempts": [list(attempt) for attempt in call.attempts],
            }
            for call in state.calls
        ],
    }


def learned_state_from_stored(stored: StoredRecord) -> LearnedState:
    """Returns the learned state from a record that another process wrote.

    Raises:
        KeyError, TypeError, ValueError: the record does not describe learned state.
    """
    return LearnedState(
        limit_scopes=tuple(
            (destination, endpoint, _from_stored(fields, STORED_LIMIT_SCOPE_FIELDS))
            for destination, endpoint, fields in stored["places"]
        ),
        endpoints=tuple(
            (endpoint, _from_stored(fields, STORED_ENDPOINT_FIELDS)) for endpoint, fields in stored["targets"]
        ),
        key_backoffs=stored["rests"],
        tenant_buckets=stored["purses"],
        trusted_idle_us=stored["idle_us"],
        calls=tuple(
            CallInFlight(
                endpoint=call["target"],
                sent_us=call["sent_us"],
                connection_idle_us=call["idle_us"],
                since_previous_us=call["gap_us"],
                counted=call["judged"],
                attempts=tuple((message_id, number) for message_id, number in call["attempts"]),
            )
            for call in stored["calls"]
        ),
    )


def _to_stored(fields: LearnedFields, names: Mapping[str, str]) -> dict[str, float]:
    return {names[name]: value for name, value in fields.items()}


def _from_stored(stored: Mapping[str, float], names: Mapping[str, str]) -> dict[str, float]:
    return {name: stored[stored_name] for name, stored_name in names.items() if stored_name in stored}
