"""How the tests are shared out over processes."""

from __future__ import annotations

import pytest


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """The lab's tests start many processes each, at addresses that are the lab's alone: one of them at a time."""
    for item in items:
        if item.path.name.startswith("test_lab_"):
            item.add_marker(pytest.mark.xdist_group("lab"))
