"""Why a message is held back."""

from __future__ import annotations

from enum import Enum


class HoldReason(Enum):
    """What holds a message back. The values are read by operators."""

    RETRY_AFTER = "told wait"
    """Its limit scope asked for no calls until a time."""
    BACKOFF = "rest after a refusal"
    """Its limit scope rejected a call."""
    QUOTA_PACE = "pace by our share of the limit"
    """Our share of the rate limit is used up for now."""
    CONCURRENCY_WINDOW = "window"
    """As many calls are in flight as the window of its limit scope allows."""
    DEGRADED_CAP = "cap of a sick destination"
    """As many calls are in flight as a failing or slow destination gets."""
    SLOTS = "slots"
    """All slots, or its destination's share of them, are in use."""
    EJECTED = "outage"
    """Its endpoint is ejected and gets a call now and then."""
    SLOW_START = "turn to a cold target"
    """Its endpoint is recovering."""
    UNSAFE_RETRY = "no second try on a failing target"
    """No attempt is allowed, or it must run at most once and its endpoint fails."""
    KEY_ORDER = "order of its key"
    """An earlier message of its key is not over."""
    KEY_BACKOFF = "rest of its key"
    """An earlier attempt of its key may still run."""
    DISABLED = "ban or ejection"
    """Operators or an extension have taken its endpoints out of use."""
    DRAINING = "drain"
    """Its endpoints drain or have left the list."""
    UNLISTED = "no endpoint listed"
    """The list has no endpoint of its destination."""
    STARTING = "first seconds after a start"
    """The endpoint list, or what other forwarders know, is awaited."""
    LOCAL_FAILURE = "a failure of this machine"
    """This machine could not send an attempt."""
