"""Formats the figures that the benchmarks print."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile of a non-empty sequence."""
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, len(sorted_values) * percent // 100)]


def format_range(values: Sequence[float], digits: int = 1) -> str:
    """Return the median, minimum and maximum as text; `-` if there are no values."""
    if not values:
        return "-"
    median = statistics.median(values)
    return f"{median:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def print_values(name: str, values: Sequence[float], unit: str, digits: int = 1, name_width: int = 60) -> None:
    """Print a line with the median, minimum, maximum and number of values."""
    print(
        f"{name:{name_width}} median {statistics.median(values):.{digits}f} {unit}, "
        f"{min(values):.{digits}f} to {max(values):.{digits}f} ({len(values)})",
        flush=True,
    )
