"""The log reports when an operation begins to fail, and when it succeeds again."""

from __future__ import annotations

import logging

import pytest

from forwarder.runtime.failure_span import FailureSpan


def test_the_start_and_end_of_a_failure_are_logged_but_not_each_repetition(caplog: pytest.LogCaptureFixture) -> None:
    span = FailureSpan(logging.getLogger("test"), "accept")
    span.worked()
    for _ in range(50):
        span.failed("no buffers")
    assert span.is_failing
    assert span.describe().startswith("fails, failures=50 for_s=")
    span.worked()
    assert span.describe() == "works"
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 2
    assert lines[0].startswith("cannot accept: reason=no buffers failures=1 ")
    assert lines[1].startswith("can accept again: failures=50 for_s=")
