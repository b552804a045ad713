"""How the benchmarks print their figures."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: int) -> float:
    """Return a percentile of at least one value."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def format_range(values: Sequence[float], digits: int = 1) -> str:
    """Return median, least and most; `-` where there are no values."""
    if not values:
        return "-"
    median = statistics.median(values)
    return f"{median:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def print_values(name: str, values: Sequence[float], unit: str, digits: int = 1, name_width: int = 60) -> None:
    """Print a line with median, least, most and number of values."""
    print(
        f"{name:{name_width}} median {statistics.median(values):.{digits}f} {unit}, "
        f"{min(values):.{digits}f} to {max(values):.{digits}f} ({len(values)})",
        flush=True,
    )
