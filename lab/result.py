"""The result of a run: rule violations, metrics, costs, and whether the scenario's limits held."""

from __future__ import annotations

import resource
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from lab.datagrams import DatagramExchange
from lab.forwarder_process import ForwarderProcess, ProcessSample
from lab.metrics import Metric, Metrics
from lab.rules import Finding
from lab.scenario import Limits

Costs = dict[str, float | int]
"""Resources that the forwarders and the lab used, by name."""
EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_INVALID = 2
BOUNDED_RATIOS = ("discovery_ratio", "dials_ratio", "cold_ratio")
"""Metrics that a scenario can set an upper bound for, under the same name."""


class Result(
    msgspec.Struct,
    rename={
        "forwarders": "nodes",
        "forgotten_messages": "forgotten",
        "metrics": "figures",
        "link_events": "counts",
        "is_valid": "counts_for",
    },
):
    """The result of a run."""

    scenario: str
    seed: int
    forwarders: int
    findings: list[Finding]
    forgotten_messages: int
    """Messages that were lost with a state folder that a fault removed or damaged."""
    metrics: Metrics
    lateness_ms: dict[str, float]
    """Event loop lag of the lab, in milliseconds: median, 99th percentile and maximum."""
    costs: Costs
    link_events: dict[str, int]
    """Number of events on the links, by kind."""
    broken_limits: list[str]
    is_valid: bool
    """Whether the event loop lag of the lab stayed within the scenario's bound."""
    notes: list[str] = []

    def exit_status(self) -> int:
        """Return 0, or 1 for a broken rule or limit, or 2 if the event loop lag of the lab was too high."""
        if not self.is_valid:
            return EXIT_INVALID
        return EXIT_BROKEN if self.broken_limits else EXIT_OK


def broken_limits(limits: Limits, findings: Sequence[Finding], metrics: Metrics) -> list[str]:
    """Return a readable line for each limit that did not hold."""
    broken = []
    if len(findings) > limits.broken:
        broken.append(f"{len(findings)} findings, {limits.broken} allowed")
    full_s = metrics["full_after_blow_s"]
    if limits.full_s is not None and (full_s is None or full_s > limits.full_s):
        broken.append(f"full service after {full_s} s, {limits.full_s} allowed")
    served = metrics["served"] or 0.0
    if limits.served is not None and served < limits.served:
        broken.append(f"{served:.3f} served, {limits.served} wanted")
    for name in BOUNDED_RATIOS:
        bound: float | None = getattr(limits, name)
        ratio: Metric = metrics[name]
        if bound is not None and ratio is not None and ratio > bound:
            broken.append(f"{name} {ratio:.2f}, {bound} allowed")
    return broken


def sum_costs(
    forwarders: Sequence[ForwarderProcess],
    samples: Sequence[ProcessSample],
    exchange: DatagramExchange | None,
    own_memory_mb: float,
) -> Costs:
    """Return what the forwarders and the lab used over the run, with the unit at the end of each name.

    For the forwarders: mean and maximum processor time of a forwarder; maximum memory, descriptors and disk space of a
    process; numbers of starts and crashes. `own_memory_mb` is the maximum without mapped files, at a short interval.
    """
    lab_usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_by_node = _cpu_s_by_node(samples)
    cpu_s = [cpu_by_node.get(forwarder.name, 0.0) for forwarder in forwarders]
    costs: Costs = {
        "cpu_s_mean": sum(cpu_s) / max(1, len(cpu_s)),
        "cpu_s_most": max(cpu_s, default=0.0),
        "memory_mb_most": max((sample.memory_bytes for sample in samples), default=0) / 1e6,
        "own_memory_mb_most": own_memory_mb,
        "descriptors_most": max((sample.descriptors for sample in samples), default=0),
        "disk_kb_most": max((sample.disk_bytes for sample in samples), default=0) / 1000,
        "starts": sum(forwarder.starts for forwarder in forwarders),
        "crashes": sum(forwarder.crashes for forwarder in forwarders),
        "lab_cpu_s": lab_usage.ru_utime + lab_usage.ru_stime,
        "lab_memory_mb": lab_usage.ru_maxrss / 1000,
    }
    if exchange is not None:
        costs["datagrams"] = exchange.sent_datagrams.total()
        costs["datagram_bytes"] = exchange.sent_bytes.total()
    return costs


def _cpu_s_by_node(samples: Sequence[ProcessSample]) -> dict[str, float]:
    """Sum the processor time of each forwarder's processes. A lower value than before belongs to a new process."""
    ended: defaultdict[str, float] = defaultdict(float)
    running: defaultdict[str, float] = defaultdict(float)
    for sample in samples:
        if sample.cpu_s < running[sample.node]:
            ended[sample.node] += running[sample.node]
        running[sample.node] = sample.cpu_s
    return {node: ended[node] + cpu_s for node, cpu_s in running.items()}
