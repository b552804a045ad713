"""KNOWN-RED.txt: the tests that fail for a fault which is not mended yet.

CI runs them and passes over their failures.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class Frequency(enum.Enum):
    """How often a listed test fails. The values are what the file says."""

    ALWAYS = "always"
    """In every run: CI fails when it passes, so that its entry is taken out."""
    SOMETIMES = "sometimes"


@dataclass(frozen=True)
class KnownFailure:
    """One entry."""

    test: str
    """A test's id; with or without one case of its parameters."""
    frequency: Frequency
    command: str
    """What plays it, with the seed."""
    seen: str
    issue: str

    def names(self, test_id: str) -> bool:
        """Returns whether a test is meant: just that case, or all cases where none is named."""
        test_id = test_id.partition("@")[0]  # xdist adds the group that a test runs in
        return self.test in (test_id, test_id.partition("[")[0])

    def describe(self) -> str:
        """Returns what is said of it in a run's report."""
        return f"{self.test}: fails {self.frequency.value}; {self.command}; {self.seen} (issue {self.issue})"


def parse_known_failures(lines: Iterable[str]) -> list[KnownFailure]:
    """Returns the entries, one a line, with their fields between bars.

    Raises:
        ValueError: an entry lacks a field, or says something else than how often it fails.
    """
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [_parse_entry(entry) for entry in entries]


def _parse_entry(entry: str) -> KnownFailure:
    fields = [field.strip() for field in entry.split("|")]
    if len(fields) != 5 or not all(fields):
        raise ValueError(f"{KNOWN_RED.name}: five fields wanted: {entry}")
    test, frequency, command, seen, issue = fields
    return KnownFailure(test, Frequency(frequency), command, seen, issue)


def known_failures() -> list[KnownFailure]:
    """Returns the entries of the repository's file."""
    return parse_known_failures(KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else [])
