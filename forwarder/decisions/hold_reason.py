"""The reasons for which a message is held."""

from __future__ import annotations

from enum import Enum


class HoldReason(Enum):
    """Why a message is held. Operators read the values."""

    RETRY_AFTER = "told wait"
    """The limit scope's Retry-After has not ended."""
    BACKOFF = "rest after a refusal"
    """The limit scope backs off after a rejected call."""
    QUOTA_PACE = "pace by our share of the limit"
    """This forwarder's share of the rate limit is used up for now."""
    CONCURRENCY_WINDOW = "window"
    """The calls in flight fill the concurrency window of the limit scope."""
    DEGRADED_CAP = "cap of a sick destination"
    """The calls in flight reach the cap for a failing or slow destination."""
    SLOTS = "slots"
    """All slots, or the destination's share of them, are in use."""
    EJECTED = "outage"
    """The endpoint is ejected and receives only occasional calls."""
    SLOW_START = "turn to a cold target"
    """The endpoint is recovering, and its next slow-start slot has not come."""
    UNSAFE_RETRY = "no second try on a failing target"
    """No further attempt is allowed, or the message must run at most once and the endpoint is failing."""
    KEY_ORDER = "order of its key"
    """An earlier message of the same key has not ended."""
    KEY_BACKOFF = "rest of its key"
    """An earlier attempt of the same key may still run."""
    DISABLED = "ban or ejection"
    """Operators or an extension have taken the endpoints out of service."""
    DRAINING = "drain"
    """The endpoints drain or have left the list."""
    UNLISTED = "no endpoint listed"
    """The list has no endpoint of the destination."""
    STARTING = "first seconds after a start"
    """The forwarder waits for the endpoint list or for the observations of other forwarders."""
    LOCAL_FAILURE = "a failure of this machine"
    """This machine could not send a recent attempt."""
