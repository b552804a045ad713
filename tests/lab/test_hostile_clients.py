"""Tests the clients that misbehave, and the watch of memory that judges what they do to a process."""

from __future__ import annotations

import subprocess
import sys
import time

import pytest

from lab.hostile_clients import Behaviour, Target, command
from lab.memory_watch import MemoryWatch
from lab.soak import SHORT, draw_scenario
from tests.sockets import PATIENCE, ROOT, free_port

SECONDS = 0.3
ALLOCATED_MB = 50


@pytest.mark.parametrize("behaviour", list(Behaviour))
def test_hostile_clients_end_by_themselves_though_nobody_listens(behaviour: Behaviour) -> None:
    target = Target("127.0.0.1", free_port(), "status", 7, "acme", SECONDS, seed=1)

    ended = subprocess.run(command(target, behaviour, 20), cwd=ROOT, timeout=PATIENCE, capture_output=True, check=False)

    assert ended.returncode == 0, ended.stderr


def test_hostile_clients_connect_on_loopback_only() -> None:
    target = Target("192.0.2.1", 80, "status", 7, "acme", SECONDS, seed=1)

    ended = subprocess.run(
        command(target, Behaviour.LEAVE, 1), cwd=ROOT, timeout=PATIENCE, capture_output=True, check=False
    )

    assert ended.returncode == 2
    assert b"not on loopback" in ended.stderr


def test_the_watch_sees_a_peak_that_is_over_when_it_stops() -> None:
    code = f"import time; data = b'x' * {ALLOCATED_MB * 1_000_000}; time.sleep(0.3); del data; time.sleep(60)"
    process = subprocess.Popen([sys.executable, "-c", code])
    try:
        with MemoryWatch(process.pid) as memory:
            time.sleep(2.0)
    finally:
        process.kill()
        process.wait()
    assert ALLOCATED_MB <= memory.peak_mb() < 2 * ALLOCATED_MB


def test_schedules_draw_memory_descriptors_and_hostile_clients() -> None:
    scenarios = [draw_scenario(seed, 5, SHORT) for seed in range(200)]

    assert {scenario.fleet.memory_mb for scenario in scenarios} >= {32, 192}
    assert {scenario.fleet.sockets for scenario in scenarios} >= {256, 1024}
    drawn = {fault.behaviour for scenario in scenarios for fault in scenario.faults}
    assert drawn >= set(Behaviour)
