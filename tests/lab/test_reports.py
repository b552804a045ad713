"""The report of several runs of one scenario."""

from __future__ import annotations

from lab.reports import format_sweep
from lab.result import Result
from lab.rules import Finding, Rule


def test_a_sweep_summarizes_its_seeds_and_counts_those_that_are_invalid() -> None:
    finding = Finding(Rule.RETRY_AFTER, 1.0, "m1", "n0", "")
    results = [
        Result(
            scenario="x",
            seed=seed,
            forwarders=6,
            findings=[finding] * (seed == 2),
            forgotten_messages=0,
            metrics={"served": 0.9 + seed / 100, "names": "no number"},
            lateness_ms={},
            costs={"crashes": 0},
            link_events={},
            broken_limits=[],
            is_valid=seed != 3,
        )
        for seed in (1, 2, 3)
    ]
    lines = format_sweep(results)
    assert lines[0].startswith("x, 6 forwarders, 3 seeds: 1 with broken rules, 1 wait; 1 do not count")
    assert lines[1:] == ["  served             0.920 (0.910 to 0.930)"]
