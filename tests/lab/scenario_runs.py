"""Runs of scenarios with small fleets of real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from lab import plan, run
from lab.event_log import Event, EventKind
from lab.result import Result
from lab.scenario import Fault, Fleet, Limits, Scenario, Time
from tests.sockets import ROOT

SMALL_FLEET = Fleet(nodes=6, endpoints=8, destinations=4)
SHORT_TIME = Time(warm_s=2.0, load_s=9.0, drain_s=8.0)


def make_scenario(*faults: Fault, seed: int = 1, **tables: Any) -> Scenario:
    """Return a scenario of a small fleet; `tables` replace its defaults."""
    return Scenario(
        "test",
        seed=seed,
        fleet=tables.pop("fleet", SMALL_FLEET),
        time=tables.pop("time", SHORT_TIME),
        faults=faults,
        limits=Limits(late_ms=2000.0),
        **tables,
    )


def run_scenario(
    scenario: Scenario, out: Path, program: Path = ROOT, asks_hold_reasons: bool = False
) -> tuple[Result, run.Run]:
    """Run a scenario with the forwarders of a checkout."""
    return asyncio.run(run.run(plan.make(scenario), out, program, asks_hold_reasons=asks_hold_reasons))


def events_of(lab_run: run.Run, kind: EventKind) -> list[Event]:
    """Return the events of one kind."""
    return [event for event in lab_run.testbed.event_log.events if event.kind is kind]
