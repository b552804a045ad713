"""The forwarders can read the settings that the lab gives them."""

from __future__ import annotations

import msgspec
import pytest

from forwarder.protocol.settings_format import parse_settings
from lab import plan, scenario
from lab.forwarder_config import make_settings
from tests.sockets import ROOT

HERD = ROOT / "lab/scenarios/herd.toml"


@pytest.mark.parametrize(("name", "reported"), [("herd", True), ("untold", False)])
def test_the_forwarder_reads_the_settings(name: str, reported: bool) -> None:
    drawn = plan.make(scenario.load(HERD.with_name(f"{name}.toml"), 20, 1))
    known = parse_settings(msgspec.to_builtins(make_settings(drawn)))
    assert (known.forwarders, known.max_attempts, known.overload_window_us) == (20, 8, 2_000_000)
    assert [c.name for c in known.classes] == ["statusvarsel", "refusjon"]
    assert known.classes[1].in_order
    assert known.weights_reported == drawn.scenario.endpoints.tells_limits == reported
