"""Tests of the format of KNOWN-RED.txt, and of which tests its entries list."""

from __future__ import annotations

import pytest

from tests.known_failures import Frequency, KnownFailure, known_failures, parse_known_failures

ENTRY = "tests/a.py::test_b[c] | always | pytest of it, seed 3 | it fails | 7"


def make_entry(test: str) -> KnownFailure:
    return KnownFailure(test, Frequency.SOMETIMES, "pytest", "it fails", "7")


def test_an_entry_has_five_fields_and_comments_are_ignored() -> None:
    assert parse_known_failures(["# a comment", "", ENTRY]) == [
        KnownFailure("tests/a.py::test_b[c]", Frequency.ALWAYS, "pytest of it, seed 3", "it fails", "7")
    ]


MALFORMED = ["tests/a.py::test_b | it fails | 7", ENTRY.replace("always", "now and then"), f"{ENTRY}|"]


@pytest.mark.parametrize("line", MALFORMED)
def test_a_malformed_entry_is_rejected(line: str) -> None:
    with pytest.raises(ValueError, match=r"five fields|not a valid"):
        parse_known_failures([line])


@pytest.mark.parametrize(
    ("listed", "test_id", "is_listed"),
    [
        ("tests/a.py::test_b", "tests/a.py::test_b", True),
        ("tests/a.py::test_b", "tests/a.py::test_b[c]", True),
        ("tests/a.py::test_b[c]", "tests/a.py::test_b[c]", True),
        ("tests/a.py::test_b[c]", "tests/a.py::test_b[c]@lab", True),
        ("tests/a.py::test_b[c]", "tests/a.py::test_b[d]", False),
        ("tests/a.py::test_b[c]", "tests/a.py::test_b", False),
        ("tests/a.py::test_b", "tests/a.py::test_bc", False),
    ],
)
def test_an_entry_lists_a_test_or_one_case_of_it(listed: str, test_id: str, is_listed: bool) -> None:
    assert make_entry(listed).matches(test_id) == is_listed


def test_the_file_can_be_read() -> None:
    known_failures()
