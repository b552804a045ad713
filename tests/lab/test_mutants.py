"""The rules detect the fault of a program in which some lines are removed or replaced."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

import pytest

from lab.rules import Rule
from lab.scenario import Endpoints, Fault, Load
from tests.lab.scenario_runs import make_scenario, run_scenario
from tests.sockets import ROOT


@dataclass(frozen=True)
class Edit:
    """A replacement of a piece of the program's source."""

    file: str
    line: str
    replacement: str = ""


@dataclass(frozen=True)
class Mutant:
    """A broken program, the rule that it breaks, and the faults that reveal it."""

    edits: tuple[Edit, ...]
    rule: Rule
    faults: tuple[Fault, ...] = ()


MUTANTS = {
    "the attempt's record before the call": Mutant(
        (
            Edit(
                "runtime/effects.py",
                "        self.store.record_attempt(message, number, now, target.name)\n",
                "        message.in_flight[number] = (now, target.name); message.attempts = number + 1\n",
            ),
        ),
        Rule.DUPLICATE,
    ),
    "the queue of a key": Mutant(
        (
            Edit(
                "decisions/key_queues.py",
                "            queue.messages[0] is not message\n            or queue.in_flight\n",
                "            queue.in_flight\n",
            ),
        ),
        Rule.ORDER,
    ),
    "Retry-After": Mutant(
        (  # checked by the decision, and again when a call is sent
            Edit(
                "decisions/backoff.py",
                "        scope.retry_after_until_us = max(scope.retry_after_until_us, ends_at_us)\n",
            ),
            Edit(
                "runtime/invariants.py",
                "    if now_us < route.retry_after_until_us:\n        return Denial.RETRY_AFTER\n",
            ),
        ),
        Rule.RETRY_AFTER,
        (Fault(at_s=1.5, kind="limit", share=1.0, times=0.25),),
    ),
    "the message's record before its 202": Mutant(
        (
            Edit(
                "storage/store.py",
                "        self._change(MessageAcceptedRecord(message))\n",
                "        self.state.apply(MessageAcceptedRecord(message))\n",
            ),
        ),
        Rule.LOST,
    ),
}
LONG_WAITS = Endpoints(service_s=(0.2, 0.3), told_share=1.0, wait_s=(3.0, 4.0), unlimited_share=0.0)
"""The Retry-After times are much longer than the event loop lag of the lab, which the rules allow for."""
KEYED_LOAD = Load(per_node_s=8.0, of_limits=1.3, keys=3, once_share=0.7, skew=0.2)
"""The load exceeds the rate limits, so that they refuse many messages."""


def write_mutant(folder: Path, edits: tuple[Edit, ...]) -> None:
    """Write a copy of the program with the edits applied to a folder."""
    shutil.copytree(ROOT / "forwarder", folder / "forwarder", ignore=shutil.ignore_patterns("__pycache__"))
    for edit in edits:
        path = folder / "forwarder" / edit.file
        source = path.read_text()
        assert source.count(edit.line) == 1
        path.write_text(source.replace(edit.line, edit.replacement))


@pytest.mark.parametrize("mutant", MUTANTS.values(), ids=MUTANTS)
def test_the_rules_detect_a_mutant(tmp_path: Path, mutant: Mutant) -> None:
    write_mutant(tmp_path, mutant.edits)
    scenario = make_scenario(
        Fault(at_s=4.0, kind="kill", share=1.0, back_s=0.3),
        Fault(at_s=2.5, kind="outage", share=0.3, for_s=1.0),
        *mutant.faults,
        load=KEYED_LOAD,
        endpoints=LONG_WAITS,
    )
    result, _ = run_scenario(scenario, tmp_path / "out", tmp_path)
    assert mutant.rule in {finding.rule for finding in result.findings}
