"""The form in which learned state is handed over to the process that takes over.

Stored names are those of the first version and never change; here, and only here, they are mapped to the names of the
code. A process may be followed by one of another version: a name that the reader does not know is passed over, and one
that the writer did not know leaves the reader's own value as it is.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from forwarder.decisions.learned_state import CallInFlight, LearnedFields, LearnedState

StoredRecord = Mapping[str, Any]
"""A JSON object under its stored keys."""

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
"""Fields of a limit scope, each with its stored name."""

STORED_ENDPOINT_FIELDS = {
    "error_rate": "failing",
    "last_call_at_us": "tried_at",
    "idle_since_us": "idle_at",
    "ejected_at_us": "outage_at",
    "recovering_since_us": "back_at",
    "slow_start_jitter": "spread",
}
"""Fields of an endpoint, each with its stored name."""


def learned_state_to_stored(state: LearnedState) -> StoredRecord:
    """Returns the state as JSON can carry it, under its stored names."""
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
    """Returns the state that another process has stored.

    Raises:
        KeyError, TypeError, ValueError: the record is not one of learned state.
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
