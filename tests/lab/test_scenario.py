"""Invalid scenarios are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab import scenario
from lab.errors import ScenarioError


@pytest.mark.parametrize(
    ("text", "key"),
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
def test_an_invalid_scenario_is_rejected_and_the_error_names_the_key(tmp_path: Path, text: str, key: str) -> None:
    (tmp_path / "x.toml").write_text(text)
    with pytest.raises(ScenarioError, match=key.replace("[", r"\[").replace("]", r"\]")):
        scenario.load(tmp_path / "x.toml")
