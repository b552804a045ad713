"""Logs when an operation begins to fail and when it succeeds again, with the number of failures in between."""

from __future__ import annotations

import logging
import time

LOG_INTERVAL_S = 1.0
"""While the operation keeps failing, at most one line is logged per interval."""


class FailureSpan:
    """Tracks the repeated failures of one operation, and reports them in the log and to operators.

    Args:
        log: the logger that receives the lines.
        operation: the operation as a verb phrase, such as "accept".
    """

    def __init__(self, log: logging.Logger, operation: str) -> None:
        self.log = log
        self.operation = operation
        self.failures = 0
        """Number of failures since the last success."""
        self._failing_since_s = 0.0
        self._last_logged_s = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the last attempt failed."""
        return self.failures > 0

    def failed(self, reason: object) -> None:
        """Records a failure. Logs it if it is the first, or if the last logged one is at least `LOG_INTERVAL_S` ago."""
        now_s = time.monotonic()
        if not self.failures:
            self._failing_since_s = now_s
        self.failures += 1
        if self.failures == 1 or now_s - self._last_logged_s >= LOG_INTERVAL_S:
            self._last_logged_s = now_s
            self.log.warning("cannot %s: reason=%s %s", self.operation, reason, self._count_and_duration())

    def worked(self) -> None:
        """Records a success, and logs it if the operation was failing."""
        if self.failures:
            self.log.warning("can %s again: %s", self.operation, self._count_and_duration())
            self.failures = 0

    def describe(self) -> str:
        """Returns the current state as text for operators."""
        return f"fails, {self._count_and_duration()}" if self.failures else "works"

    def _count_and_duration(self) -> str:
        return f"failures={self.failures} for_s={time.monotonic() - self._failing_since_s:.3f}"
