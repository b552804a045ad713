"""Small fleets of real processes with injected faults break no rule. Assertions bound counts, never durations."""

from __future__ import annotations

import itertools
import re
from collections import Counter
from pathlib import Path
from typing import Literal

import pytest
from click.testing import CliRunner

from lab import hold_reasons
from lab.__main__ import cli
from lab.event_log import EventKind
from lab.metrics import ServiceLevel
from lab.rules import Rule
from lab.scenario import Endpoints, Fault, Fleet, Front, Load, Time
from tests.lab.scenario_runs import events_of, make_scenario, run_scenario


def test_a_fleet_that_is_killed_cut_off_and_restarted_keeps_every_rule(tmp_path: Path) -> None:
    scenario = make_scenario(
        Fault(at_s=2.5, kind="kill", share=0.7, back_s=0.3),
        Fault(at_s=3.2, kind="kill", names=("n0", "n1"), back_s=0.3),
        Fault(at_s=4.0, kind="cut", between="endpoints", of=0.5, for_s=1.5),
        Fault(at_s=5.0, kind="term", names=("n2",), back_s=0.2),
        Fault(at_s=6.0, kind="stop", names=("n3",), for_s=1.0),
        Fault(at_s=6.5, kind="call", names=("n4",), line="OFFLINE s-1"),
        Fault(at_s=6.6, kind="discovery", for_s=1.0),
        Fault(at_s=6.0, kind="replace", names=("s-3",)),
        Fault(at_s=5.0, kind="outage", names=("s-2",), for_s=1.0),
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert result.findings == []
    assert len(events_of(lab_run, EventKind.FAULT_INJECTED)) == 9
    assert len(events_of(lab_run, EventKind.ENDPOINT_DISABLED)) == 1
    assert len(events_of(lab_run, EventKind.PROCESS_KILLED)) >= 6
    assert len(events_of(lab_run, EventKind.PROCESS_STARTED)) >= 12
    assert result.link_events["held"] > 0
    kinds = {event.kind for event in lab_run.testbed.event_log.events}
    assert {EventKind.PROCESS_PAUSED, EventKind.PROCESS_RESUMED, EventKind.HEALTH_SENT} <= kinds
    assert result.metrics["delivered"] > 0.5 * result.metrics["asked"] > 50


RESTARTS = {
    "all at once, with discovery down and an endpoint replaced": (
        Fault(at_s=2.5, kind="kill", share=1.0, back_s=0.5),
        Fault(at_s=2.6, kind="discovery", for_s=4.0),
        Fault(at_s=2.8, kind="replace", names=("s-4",)),
    ),
    "twice, with an endpoint that warms up after an outage": (
        Fault(at_s=2.5, kind="kill", share=0.7, back_s=0.3),
        Fault(at_s=2.6, kind="outage", names=("s-0",), for_s=2.0),
        Fault(at_s=5.0, kind="kill", share=0.7, back_s=0.3),
    ),
    "a crash loop": tuple(Fault(at_s=2.0 + 1.2 * n, kind="kill", names=("n0", "n1"), back_s=0.2) for n in range(5)),
    "with wall clocks an hour off, and two forwarders short of processor time": (
        Fault(at_s=2.5, kind="kill", names=("n0", "n1", "n2"), back_s=0.3, clock_s=-3600.0),
        Fault(at_s=2.6, kind="kill", names=("n3", "n4", "n5"), back_s=0.3, clock_s=3600.0),
        Fault(at_s=3.6, kind="slow", names=("n0", "n3"), times=0.4, for_s=3.0),
    ),
    "with an endpoint drained, one disabled, a drain and a SIGTERM during recovery": (
        Fault(at_s=2.5, kind="kill", share=1.0, back_s=0.2),
        Fault(at_s=3.4, kind="drain", names=("s-5",)),
        Fault(at_s=3.6, kind="call", names=("n1",), line="OFFLINE s-1"),
        Fault(at_s=3.6, kind="call", names=("n2",), line="LEAVE"),
        Fault(at_s=3.7, kind="term", names=("n3",), back_s=0.2),
    ),
}


@pytest.mark.parametrize("faults", RESTARTS.values(), ids=RESTARTS)
def test_a_restart_keeps_every_rule_and_bounds_list_requests(tmp_path: Path, faults: tuple[Fault, ...]) -> None:
    """The number of starts bounds the load on discovery and on endpoints that are warming up."""
    result, lab_run = run_scenario(make_scenario(*faults, seed=3), tmp_path)
    assert result.findings == []
    starts = len(events_of(lab_run, EventKind.PROCESS_STARTED))
    faults_injected = len(events_of(lab_run, EventKind.FAULT_INJECTED))
    lists = [event for event in events_of(lab_run, EventKind.LIST_REQUESTED) if event.status == 200]
    assert starts > len(lab_run.testbed.forwarders)
    assert len(lists) <= 2 * starts + len(lab_run.testbed.forwarders) * faults_injected * 3
    assert result.metrics["cold_ratio"] <= 1.0
    assert result.metrics["delivered"] > 0.6 * result.metrics["asked"]


def test_full_and_unequal_journals_are_recovered_within_the_rules(tmp_path: Path) -> None:
    """All forwarders are killed while most endpoints are down; held messages keep the same bounds as new ones.

    One forwarder has a third of all accepted messages.
    """
    scenario = make_scenario(
        Fault(at_s=1.0, kind="outage", share=0.7, for_s=3.0),
        Fault(at_s=3.5, kind="kill", share=1.0, back_s=0.3),
        fleet=Fleet(nodes=6, endpoints=8, destinations=4, max_open=20),
        front=Front(first_share=0.34),
        load=Load(per_node_s=8.0, once_share=0.7),
        time=Time(warm_s=1.0, load_s=7.0, drain_s=10.0),
        seed=4,
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert result.findings == []
    assert result.metrics["cold_ratio"] <= 1.0
    logs = "".join(node.read_log() for node in lab_run.testbed.forwarders.values())
    recovered = [int(count) for count in re.findall(r"recovered: held=(\d+)", logs)]
    assert len(recovered) >= 4
    assert max(recovered) >= 8, "a large part of the 20 messages that each may hold"
    assert max(recovered) > min(recovered), "the forwarders recover different numbers of messages"
    submitted = Counter(event.node for event in events_of(lab_run, EventKind.SUBMITTED) if event.at_s < 3.5)
    assert submitted["n0"] > 0.2 * submitted.total()


def test_service_recovers_after_a_cut_from_half_of_the_endpoints_and_hold_reasons_are_reported(tmp_path: Path) -> None:
    scenario = make_scenario(
        Fault(at_s=4.0, kind="cut", between="endpoints", of=0.5, for_s=2.0),
        Fault(at_s=6.0, kind="limit", share=0.3, times=0.2, for_s=1.5),
        seed=2,
        time=Time(warm_s=1.0, load_s=16.0, drain_s=8.0),
        endpoints=Endpoints(warm_s=3.0),
    )
    result, lab_run = run_scenario(scenario, tmp_path, asks_hold_reasons=True)
    assert result.findings == []
    service = ServiceLevel(lab_run.testbed.event_log.events)
    before, after = service.share(1.0, 4.0), service.share(11.0, 15.5)
    assert before
    assert after
    assert after >= 0.6 * before, "five seconds after the cut was healed"
    rows = hold_reasons.hold_rows(hold_reasons.load(tmp_path))
    reasons = {row.key.reason for row in rows}
    assert reasons & {"outage", "window", "pace by our share of the limit"}
    assert {row.key.message_class for row in rows} == {"statusvarsel", "refusjon"}
    assert sum(row.held_s for row in rows) > 1.0
    assert all(0 <= row.needless_s <= row.held_s for row in rows)
    completed = CliRunner().invoke(cli, ["gates", str(tmp_path), "--step", "2"])
    assert completed.exit_code == 0
    assert "of them needless" in completed.output
    assert "*" in completed.output.splitlines()[0]
    assert (tmp_path / "gates.png").stat().st_size > 10_000


def test_unreported_limits_break_no_rule_and_service_continues(tmp_path: Path) -> None:
    """Rate limits are halved under the load of sixteen forwarders, and a third of the forwarders is killed.

    All refusals have a Retry-After.
    """
    scenario = make_scenario(
        Fault(at_s=3.0, kind="limit", share=1.0, times=0.5, for_s=60.0),
        Fault(at_s=6.0, kind="kill", share=0.33, back_s=0.3),
        seed=3,
        fleet=Fleet(nodes=16, endpoints=8, destinations=4),
        load=Load(per_node_s=2.0, of_limits=0.8),
        time=Time(warm_s=2.0, load_s=14.0, drain_s=8.0),
        endpoints=Endpoints(tells_limits=False, told_share=1.0, wait_s=(0.5, 1.0), unlimited_share=0.0),
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert result.findings == []
    calls = Counter(event.status for event in events_of(lab_run, EventKind.CALL_ANSWERED))
    assert calls[200] > 100
    assert calls[429] > 20, "the rate limits take effect"
    assert result.metrics["delivered"] > 0.3 * result.metrics["asked"]


TRIGGERS: list[tuple[Literal["handed", "call", "answered", "notice"], float]] = [
    ("handed", 4.0),
    ("call", 0.0),
    ("notice", 0.0),
    ("notice", 0.0),
    ("answered", 0.0),
    ("handed", 1.0),
]


def test_kills_at_critical_moments_break_no_rule(tmp_path: Path) -> None:
    """Kills between a journal write and its 202, the end of a call and its answer, a notice and its 204, twice each."""
    kills = [
        Fault(at_s=2.0 + 2.5 * series, kind="kill", names=(f"n{n}",), back_s=0.2, on=on, within_ms=within_ms)
        for series in (0, 1)
        for n, (on, within_ms) in enumerate(TRIGGERS)
    ]
    scenario = make_scenario(
        *kills,
        Fault(at_s=1.0, kind="outage", share=0.8, for_s=5.0),
        load=Load(per_node_s=8.0, of_limits=1.2, keys=20, once_share=0.7),
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert result.findings == []
    events = lab_run.testbed.event_log.events
    before_kills = {
        (previous.kind, previous.node)
        for previous, event in itertools.pairwise(events)
        if event.kind is EventKind.PROCESS_KILLED
    }
    immediate = {(on, f"n{n}") for n, (on, within_ms) in enumerate(TRIGGERS) if not within_ms}
    assert {on for on, node in immediate & before_kills} == {"call", "notice", "answered"}
    assert lab_run.testbed.forwarders["n0"].starts == lab_run.testbed.forwarders["n5"].starts == 3


def test_kills_between_a_record_and_its_202_break_no_rule(tmp_path: Path) -> None:
    """Guards against `order` and `duplicate` findings for a recorded message whose client received no answer.

    An injected error prevents the forwarder from sending the 202 for some time, and the kill happens in that time.
    """
    nodes = tuple(f"n{n}" for n in range(6))
    kill_times_s = (2.0, 4.0, 6.0)
    scenario = make_scenario(
        Fault(at_s=1.0, kind="outage", share=0.8, for_s=5.0),
        *(
            Fault(at_s=at_s - 0.1, kind="errors", names=nodes, call="client-send", errno="ENOBUFS", for_s=0.7)
            for at_s in kill_times_s
        ),
        *(
            Fault(at_s=at_s, kind="kill", names=(node,), back_s=0.2, on="handed", within_ms=60.0)
            for at_s in kill_times_s
            for node in nodes
        ),
        load=Load(per_node_s=8.0, of_limits=1.2, keys=6, once_share=0.7),
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert result.findings == []
    unanswered = {event.id for event in events_of(lab_run, EventKind.SUBMIT_UNANSWERED)}
    sent = {event.id for event in events_of(lab_run, EventKind.CALL_RECEIVED)}
    assert len(unanswered & sent) > 5, "recorded messages whose clients received no answer"


def test_lost_and_damaged_folders_break_only_the_rule_on_duplicates(tmp_path: Path) -> None:
    scenario = make_scenario(
        *(
            Fault(at_s=2.5 + 0.4 * n, kind="kill", names=(f"n{n}",), back_s=0.2, folder=folder, old_s=1.0)
            for n, folder in enumerate(("lost", "old", "short", "byte", "block"))
        )
    )
    result, lab_run = run_scenario(scenario, tmp_path)
    assert [finding for finding in result.findings if finding.rule is not Rule.DUPLICATE] == []
    assert {event.state for event in events_of(lab_run, EventKind.STATE_FOLDER_CHANGED)} == {
        "lost",
        "old",
        "short",
        "byte",
        "block",
    }
    assert all(lab_run.testbed.forwarders[f"n{n}"].starts == 2 for n in range(5))
