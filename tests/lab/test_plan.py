"""The same seed always gives the same plan."""

from __future__ import annotations

from lab import plan, scenario
from lab.scenario import Fault, Scenario
from tests.sockets import ROOT

HERD_SCENARIO = ROOT / "lab/scenarios/herd.toml"


def test_the_same_seed_gives_the_same_arrivals_and_schedule() -> None:
    first, same, other = (plan.make(scenario.load(HERD_SCENARIO, 20, seed)) for seed in (4, 4, 5))
    assert first == same
    assert first.arrivals != other.arrivals
    assert first.schedule[0].targets != other.schedule[0].targets
    assert len(first.schedule[0].targets) == 14
    assert len(set(first.schedule[0].targets)) == 14


def test_waves_with_a_share_of_one_target_each_forwarder_once() -> None:
    fault = Fault(at_s=1.0, kind="term", share=1.0, waves=10, every_s=2.0, back_s=0.5)
    steps = plan.make(Scenario("x", faults=(fault,))).schedule
    assert sorted(n for step in steps for n in step.targets) == sorted(f"n{n}" for n in range(12))
    assert [step.at_s for step in steps] == [1.0 + 2.0 * n for n in range(len(steps))]
