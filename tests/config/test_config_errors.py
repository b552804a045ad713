"""Tests of invalid configurations."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.nodes import SETTINGS
from tests.sockets import ROOT


@pytest.mark.parametrize(
    "config",
    [
        None,
        "{",
        "{}",
        json.dumps({"settings": {**SETTINGS, "services": 3}}),
        json.dumps({"settings": SETTINGS, "listen": "here", "name": "n"}),
    ],
)
def test_bad_configuration_is_one_line(tmp_path: Path, config: str | None) -> None:
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_STATE": str(tmp_path)}
    if config is not None:
        (tmp_path / "config.json").write_text(config)
        env["LB_CONFIG"] = str(tmp_path / "config.json")
    result = subprocess.run(
        [sys.executable, "-m", "forwarder"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith("forwarder: ")
