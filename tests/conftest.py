"""Assigns the tests to xdist groups, and marks the tests that are known to fail."""

from __future__ import annotations

import gc
from collections.abc import Generator
from pathlib import Path

import pytest

from tests.known_failures import Frequency, known_failures

LAB_TESTS = Path(__file__).resolve().parent / "lab"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Puts the tests of the lab into one group, and marks the listed tests as expected to fail.

    Each test of the lab starts many processes, at addresses that only the lab uses: they must not run in parallel. A
    listed test runs, but its failure does not fail the run. A test that is listed with the frequency `always` fails
    the run when it passes.
    """
    listed = known_failures()
    for item in items:
        if item.path.is_relative_to(LAB_TESTS):
            item.add_marker(pytest.mark.xdist_group("lab"))
        for known in listed:
            if known.matches(item.nodeid):
                is_strict = known.frequency is Frequency.ALWAYS
                item.add_marker(pytest.mark.xfail(reason=known.describe(), strict=is_strict))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport() -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Formats a failure without garbage collections.

    CPython 3.11 raises SystemError if a finalizer fails while the source of the failed test is parsed: formatting the
    finalizer's traceback parses source too.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for known in known_failures():
        terminalreporter.write_line(f"known to fail: {known.describe()}")
