"""Tests of benchmarks.hold_reasons."""

from __future__ import annotations

from pathlib import Path

from benchmarks import hold_reasons
from forwarder.decisions.hold_reason import HoldReason


def test_logs_of_a_fleet_are_added_up(tmp_path: Path) -> None:
    """A restart resets the sums to 0; lines of other kinds are ignored."""
    line = "2026 INFO forwarder.engine: state: serving; held by: "
    (tmp_path / "n0.log").write_text(
        "\n".join(
            (
                line + "window 1.0 s; told wait 0.5 s",
                "state: 3 held",
                line + "window 4.0 s; told wait 0.5 s",
                line + "outage 2.0 s",
                "x: refused: ab for destination 7, held by: outage; 3 refused since the last such line",
            )
        )
    )
    (tmp_path / "n1").mkdir()
    (tmp_path / "n1/log").write_text(line + "pace by our share of the limit 2.5 s\n" + line + "nothing")
    sums = hold_reasons.sum_logs(tmp_path)
    rows, refused = sums.held_s, sums.refused
    assert rows[0] == {"window": 1.0, "told wait": 0.5, "pace by our share of the limit": 2.5}
    assert rows[1]["window"] == 3.0
    assert rows[2] == {"outage": 2.0}
    assert refused == {hold_reasons.Refusal(7, "outage"): 3}
    assert hold_reasons.format_table(rows)[1].startswith("window")
    assert "4" not in hold_reasons.format_table(rows)[1][:40]
    for reason in HoldReason:
        assert hold_reasons.parse_state_line(f"state: x; held by: {reason.value} 1.5 s") == {reason.value: 1.5}
