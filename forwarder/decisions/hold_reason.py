"""Why a message is held back."""

from __future__ import annotations

from enum import Enum


class HoldReason(Enum):
    """What holds a message back; the names are what operators read. Kept in `choice.Dispatcher`."""

    WAIT = "told wait"
    REST = "rest after a refusal"
    PACE = "pace by our share of the limit"
    WINDOW = "window"
    CAP = "cap of a sick destination"
    SLOTS = "slots"
    OUTAGE = "outage"
    COLD = "turn to a cold target"
    SURE = "no second try on a failing target"
    KEY = "order of its key"
    KEY_REST = "rest of its key"
    BAN = "ban or ejection"
    DRAIN = "drain"
    UNLISTED = "no endpoint listed"
    START = "first seconds after a start"
    MACHINE = "a failure of this machine"
