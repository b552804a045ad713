"""Tests that the forwarder reads the settings that the lab writes."""

from __future__ import annotations

import msgspec
import pytest

from forwarder.protocol.settings_format import parse_settings
from lab import plan, scenario
from lab.forwarder_config import make_settings
from tests.sockets import ROOT

SCENARIO = ROOT / "lab/scenarios/herd.toml"


@pytest.mark.parametrize(("name", "reports_weights"), [("herd", True), ("untold", False)])
def test_the_forwarder_reads_the_settings(name: str, reports_weights: bool) -> None:
    run_plan = plan.make(scenario.load(SCENARIO.with_name(f"{name}.toml"), 20, 1))
    settings = parse_settings(msgspec.to_builtins(make_settings(run_plan)))
    assert (settings.forwarders, settings.max_attempts, settings.overload_window_us) == (20, 8, 2_000_000)
    assert [message_class.name for message_class in settings.classes] == ["statusvarsel", "refusjon"]
    assert settings.classes[1].in_order
    assert settings.weights_reported == run_plan.scenario.endpoints.tells_limits == reports_weights
