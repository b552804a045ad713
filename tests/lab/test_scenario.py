"""Scenarios that cannot be played are refused."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab import scenario
from lab.errors import ScenarioError


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('name = "x"\nsize = 3', "size"),
        ('name = "x"\n[fleet]\nnodes = 0', "fleet.nodes"),
        ('name = "x"\n[fleet]\nnodse = 3', "nodse"),
        ('name = "x"\n[[faults]]\nat_s = 1\nkind = "melt"', "faults[0].kind"),
        ('name = "x"\n[[faults]]\nat_s = 1\nkind = "stop"', "faults[0].for_s"),
        ('name = "x"\n[[faults]]\nat_s = 99\nkind = "kill"', "faults[0].at_s"),
        ('name = "x"\n[[faults]]\nat_s = 9\nkind = "stop"\nfor_s = 1\nfolder = "lost"', "faults[0].folder"),
        ('name = "x"\n[load]\nper_node_s = 1e9', "load"),
        ('name = "x"\n[front]\nnotice_s = [2.0, 1.0]', "front.notice_s"),
        ('name = "x"\n[time]\nwarm_s = 50', "time.warm_s"),
        ('name = "x', "x"),
    ],
)
def test_a_bad_scenario_is_refused_and_the_key_named(tmp_path: Path, text: str, named: str) -> None:
    (tmp_path / "x.toml").write_text(text)
    with pytest.raises(ScenarioError, match=named.replace("[", r"\[").replace("]", r"\]")):
        scenario.load(tmp_path / "x.toml")
