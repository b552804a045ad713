"""A failure of the lab itself must not be reported as a result."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lab import plan, run, testbed
from lab.addresses import Role, host_for
from lab.errors import LabError
from lab.scenario import Fleet, Scenario
from tests.sockets import ROOT


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lab", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=100,
    )


def test_a_program_that_does_not_start_gives_no_result(tmp_path: Path) -> None:
    (tmp_path / "forwarder").mkdir()
    (tmp_path / "forwarder/__main__.py").write_text("raise SystemExit('no such luck')\n")
    completed = run_command(
        "run", "lab/scenarios/herd.toml", "--nodes", "2", "--program", str(tmp_path), "--out", str(tmp_path / "out")
    )
    assert completed.returncode == 2
    assert "did not start: no such luck" in completed.stderr
    assert not (tmp_path / "out/result.json").exists()


def test_an_invalid_scenario_exits_with_2_and_names_the_key(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_text('name = "x"\n[load]\nper_nod = 3\n')
    completed = run_command("run", str(tmp_path / "x.toml"))
    assert completed.returncode == 2
    assert "per_nod" in completed.stderr
    assert "herd.toml" in run_command("list").stdout


def test_an_address_in_use_gives_no_result(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    drawn = plan.make(Scenario("test", fleet=Fleet(nodes=6, endpoints=8, destinations=4)))
    with socket.socket() as blocker:
        blocker.bind((host_for(Role.ENDPOINT, 3, 2), 0))
        blocker.listen()
        monkeypatch.setattr(testbed, "free_port", lambda: blocker.getsockname()[1])
        with pytest.raises(LabError, match="address"):
            asyncio.run(run.run(drawn, tmp_path, ROOT))
