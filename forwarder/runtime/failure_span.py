"""Tells in the log since when something fails, and when it works again: both ends, and how often it failed between."""

from __future__ import annotations

import logging
import time

REPEAT_S = 1.0
"""While it goes on failing, a line is logged this often."""


class FailureSpan:
    """What fails again and again until it works, as the log and operators see it.

    Args:
        log: where its lines go.
        what: what fails, as a verb: "accept".
    """

    def __init__(self, log: logging.Logger, what: str) -> None:
        self.log = log
        self.what = what
        self.failures = 0
        """Since it worked last."""
        self._since_s = 0.0
        self._logged_s = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether it has not worked since it failed."""
        return self.failures > 0

    def failed(self, reason: object) -> None:
        """Notes a failure, and logs it if it is the first or none was logged for a while."""
        now_s = time.monotonic()
        if not self.failures:
            self._since_s = now_s
        self.failures += 1
        if self.failures == 1 or now_s - self._logged_s >= REPEAT_S:
            self._logged_s = now_s
            self.log.warning("cannot %s: reason=%s %s", self.what, reason, self._extent())

    def worked(self) -> None:
        """Notes that it works, and logs that if it had failed."""
        if self.failures:
            self.log.warning("can %s again: %s", self.what, self._extent())
            self.failures = 0

    def describe(self) -> str:
        """Returns how it stands, in words for operators."""
        return f"fails, {self._extent()}" if self.failures else "works"

    def _extent(self) -> str:
        return f"failures={self.failures} for_s={time.monotonic() - self._since_s:.3f}"
