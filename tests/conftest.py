"""How the tests are shared out over processes, and which are known to fail."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
LAB_TESTS = Path(__file__).resolve().parent / "lab"


@dataclass(frozen=True)
class KnownFailure:
    """One line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str


def known_failures() -> list[KnownFailure]:
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    listed = [
        KnownFailure(*(part.strip() for part in line.split("|")))
        for line in lines
        if line.strip() and not line.startswith("#")
    ]
    if len(listed) > MOST_KNOWN_RED:
        raise pytest.UsageError(f"{KNOWN_RED.name} has {len(listed)} lines, {MOST_KNOWN_RED} at most")
    return listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """The lab's tests start many processes each, at addresses that are the lab's alone.

    One of them at a time. A test that is listed as known to fail runs, and its failure does not fail the run.
    """
    causes = {known.test: f"{known.cause} (issue {known.issue})" for known in known_failures()}
    for item in items:
        if item.path.is_relative_to(LAB_TESTS):
            item.add_marker(pytest.mark.xdist_group("lab"))
        cause = causes.get(item.nodeid.partition("[")[0].partition("@")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for known in known_failures():
        terminalreporter.write_line(f"known to fail: {known.test}: {known.cause} (issue {known.issue})")
