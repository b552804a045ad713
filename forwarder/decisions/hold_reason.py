"""Why a message is held back."""

from __future__ import annotations

from enum import Enum


class HoldReason(Enum):
    """What holds a message back; the names are what operators read. Kept in `choice.Dispatcher`."""

    RETRY_AFTER = "told wait"
    BACKOFF = "rest after a refusal"
    QUOTA_PACE = "pace by our share of the limit"
    CONCURRENCY_WINDOW = "window"
    DEGRADED_CAP = "cap of a sick destination"
    SLOTS = "slots"
    EJECTED = "outage"
    SLOW_START = "turn to a cold target"
    UNSAFE_RETRY = "no second try on a failing target"
    KEY_ORDER = "order of its key"
    KEY_BACKOFF = "rest of its key"
    DISABLED = "ban or ejection"
    DRAINING = "drain"
    UNLISTED = "no endpoint listed"
    STARTING = "first seconds after a start"
    LOCAL_FAILURE = "a failure of this machine"
