"""Formats the results of runs as text for the command line."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence

from lab.metrics import Metric, Metrics
from lab.result import Result

SHOWN_METRICS = (
    "served",
    "in_time_before",
    "in_time_after",
    "all_up_s",
    "full_s",
    "full_after_up_s",
    "full_after_blow_s",
    "discovery_ratio",
    "discovery_worst",
    "dials_ratio",
    "dials_worst",
    "calls_ratio",
    "cold_ratio",
)
MAX_FINDINGS = 10


def format_metric(value: Metric) -> str:
    """Return a metric's value as text, or `-` if there is none."""
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def format_result(result: Result) -> list[str]:
    """Return the result of one run as lines of text."""
    metrics = result.metrics
    costs = ", ".join(f"{name} {format_metric(value)}" for name, value in result.costs.items())
    lateness = ", ".join(f"{name} {late_ms:.1f}" for name, late_ms in result.lateness_ms.items())
    full_s = metrics["full_s"]
    reached = "not reached" if full_s is None else f"{full_s:.2f} s after the first fault"
    return [
        f"{result.scenario}: {result.forwarders} forwarders, seed {result.seed}",
        f"  asked {metrics['asked']}, taken on {metrics['taken']}, turned away {metrics['turned_away']}, "
        f"delivered {metrics['delivered']}, returned {metrics['returned']}, failed {metrics['failed']}, "
        f"forgotten with folders {result.forgotten_messages}",
        *(f"  {name:<18} {format_metric(metrics[name])}" for name in SHOWN_METRICS),
        f"  time to full service: {reached}",
        f"  each forwarder: {costs}",
        f"  the lab's lateness in ms: {lateness}",
        *_format_findings(result),
        *(f"  limit broken: {text}" for text in result.broken_limits),
        *(f"  {note}" for note in result.notes),
    ]


def _format_findings(result: Result) -> list[str]:
    by_rule = dict(Counter(finding.rule.value for finding in result.findings))
    return [
        f"  broken rules: {by_rule or 'none'}",
        *(
            f"    {finding.rule}: message {finding.id or '-'} at {finding.node or '-'}, "
            f"{finding.at_s:.3f} s: {finding.text}"
            for finding in result.findings[:MAX_FINDINGS]
        ),
    ]


def format_sweep(results: Sequence[Result]) -> list[str]:
    """Return a summary of several runs of one scenario, and the range of each metric."""
    first = results[0]
    rules = Counter(str(finding.rule) for result in results for finding in result.findings)
    with_findings = sum(bool(result.findings) for result in results)
    invalid = sum(not result.is_valid for result in results)
    crashes = sum(int(result.costs["crashes"]) for result in results)
    by_rule = "".join(f", {count} {rule}" for rule, count in sorted(rules.items()))
    lines = [
        f"{first.scenario}, {first.forwarders} forwarders, {len(results)} seeds: {with_findings} with broken rules"
        f"{by_rule}; {invalid} do not count (event loop lag of the lab); {crashes} crashes"
    ]
    for name in first.metrics:
        values = [result.metrics[name] for result in results]
        if _are_numbers(values):
            lines.append(f"  {name:<18} {format_spread(values)}")
    return lines


def format_comparison(side_a: Sequence[Metrics], side_b: Sequence[Metrics]) -> list[str]:
    """Return the median and range of each metric on both sides, and the median of the ratios B/A of the pairs."""
    lines = [f"{'figure':<22} {'A median (least to most)':<32} {'B median (least to most)':<32} ratio B/A"]
    for name in side_a[0]:
        values_a = [metrics[name] for metrics in side_a]
        values_b = [metrics[name] for metrics in side_b]
        if not _are_numbers(values_a + values_b):
            continue
        pairs = zip(values_a, values_b, strict=True)
        ratios = [value_b / value_a for value_a, value_b in pairs if value_a and value_b is not None]
        ratio = f"{statistics.median(ratios):.3f}" if ratios else "-"
        lines.append(f"{name:<22} {format_spread(values_a):<32} {format_spread(values_b):<32} {ratio}")
    return lines


def _are_numbers(values: Sequence[object]) -> bool:
    return all(value is None or isinstance(value, int | float) for value in values)


def format_spread(values: Sequence[Metric]) -> str:
    """Return the median, minimum and maximum of the values that are not None, and the number of None values."""
    present = [value for value in values if value is not None]
    missing = f", {len(values) - len(present)} never" if len(present) < len(values) else ""
    if not present:
        return f"-{missing}"
    return f"{statistics.median(present):.3f} ({min(present):.3f} to {max(present):.3f}){missing}"
