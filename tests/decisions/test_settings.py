"""Tests of forwarder.decisions.settings."""

from __future__ import annotations

import pytest

from forwarder.decisions.settings import MessageClass
from tests.scripts import settings


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"slots": 0}, "slots"),
        ({"forwarders": 0}, "balancers"),
        ({"max_open_messages": 0}, "max_open"),
        ({"slow_start_from": 2.0}, "cold_from"),
        ({"classes": (MessageClass("x", 1, 0),)}, "deadline_us"),
        ({"classes": (MessageClass("x", 1, 5, "twice"),)}, "effect"),  # type: ignore[arg-type]
    ],
)
def test_invalid_settings_name_the_setting(changes: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)
