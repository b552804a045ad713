"""Reads KNOWN-RED.txt, the list of the tests that fail because of a fault that is not fixed yet.

CI runs these tests and ignores their failures.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class Frequency(enum.Enum):
    """How often a listed test fails. The values are the words in the file."""

    ALWAYS = "always"
    """In every run: CI fails when the test passes, so that its entry is removed."""
    SOMETIMES = "sometimes"


@dataclass(frozen=True)
class KnownFailure:
    """One entry of the file."""

    test: str
    """The id of a test, or of one case of a parametrized test."""
    frequency: Frequency
    command: str
    """The command that shows the failure, with the seed."""
    seen: str
    """The observed failure."""
    issue: str

    def matches(self, test_id: str) -> bool:
        """Returns whether the entry lists a test; an entry without a case lists all cases of its test."""
        test_id = test_id.partition("@")[0]  # xdist appends the group of the test
        return self.test in (test_id, test_id.partition("[")[0])

    def describe(self) -> str:
        """Returns the text for the report of a test run."""
        return f"{self.test}: fails {self.frequency.value}; {self.command}; {self.seen} (issue {self.issue})"


def parse_known_failures(lines: Iterable[str]) -> list[KnownFailure]:
    """Returns the entries. Each line has one entry, with five fields that are separated by bars.

    Raises:
        ValueError: an entry has too few or too many fields, or an unknown frequency.
    """
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [_parse_entry(entry) for entry in entries]


def _parse_entry(entry: str) -> KnownFailure:
    fields = [field.strip() for field in entry.split("|")]
    if len(fields) != 5 or not all(fields):
        raise ValueError(f"{KNOWN_FAILURES_FILE.name}: an entry must have five fields: {entry}")
    test, frequency, command, seen, issue = fields
    return KnownFailure(test, Frequency(frequency), command, seen, issue)


def known_failures() -> list[KnownFailure]:
    """Returns the entries of the repository's file."""
    return parse_known_failures(KNOWN_FAILURES_FILE.read_text().splitlines() if KNOWN_FAILURES_FILE.exists() else [])
