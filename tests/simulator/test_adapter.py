"""Tests of forwarder.simulator.adapter, over real pipes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]
RAW_SETTINGS = {
    "allowed": {"max_attempts": 6, "max_open": 100, "retry_after": True, "max_retry_after_us": 1000},
    "balancers": 2,
    "discovery": "on_request",
    "family_info": {"slots": 4, "kind_batch": [1]},
    "host_types": ["plain"],
    "unheard_of": {"x": 1},
    "telemetry": {"fields": ["x0", "x1"]},
    "contract": {"grace_to_answer_us": 20000},
    "services": [{"name": "order", "aim_us": 2000000, "deadline_us": 9000000, "effect": "repeatable"}],
}
ENTRY = {"target": 5, "belongs_to": 57, "kind": "plain", "hall": "x", "readiness": "SERVING", "power_hint": 1}


def run(lines: list[Any], **env: str) -> subprocess.CompletedProcess[str]:
    text = "".join((x if isinstance(x, str) else json.dumps(x)) + "\n" for x in lines)
    return subprocess.run(
        [sys.executable, "-m", "forwarder.simulator"],
        input=text,
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={**os.environ, **env},
    )


def start_events(name: str, seed: int = 1) -> list[dict[str, Any]]:
    return [
        {"type": "UP", "forwarder_id": name, "entropy": seed, "facts": RAW_SETTINGS},
        {"type": "MEMBERS", "forwarder_id": name, "how": "SAVED", "epoch": 1, "buffer": 0},
    ]


def table(target: int = 5) -> dict[str, Any]:
    return {"type": "TABLE", "buffer": 0, "elements": [{**ENTRY, "target": target}]}


def ask(name: str, msg: str, due: int = 9000000) -> dict[str, Any]:
    return {"type": "ASK", "forwarder_id": name, "msg_id": msg, "dest": 57, "class": "order", "due_us": due}


def batch(now: int, *events: dict[str, Any]) -> dict[str, Any]:
    return {"clock_us": now, "inbox": list(events)}


def commands_of(result: subprocess.CompletedProcess[str]) -> list[list[dict[str, Any]]]:
    assert result.returncode == 0, result.stderr
    return [json.loads(line)["do"] for line in result.stdout.splitlines()]


def test_a_message_is_sent_and_its_outcome_is_handled() -> None:
    closed = {
        "type": "CLOSED_ATTEMPT",
        "forwarder_id": "forwarder/0",
        "msg_id": "a",
        "try": 0,
        "target": 5,
        "result": "Ok",
        "lag_us": 900,
        "closed": True,
        "telemetry": [0.5, 3.0],
        "news": 1,
    }
    first, second, third = commands_of(
        run(
            [
                batch(0),
                batch(1000, table(), *start_events("forwarder/0"), ask("forwarder/0", "a")),
                batch(2000, closed, {"type": "NEVER_HEARD", "forwarder_id": "forwarder/0"}),
            ]
        )
    )
    assert first == []
    assert [a["type"] for a in second] == ["STREAM_CHANGES", "ISSUE"]
    assert second[1]["target"] == 5
    assert second[1]["msg_id"] == "a"
    assert third == []


def test_start_stop_start_in_one_batch_and_tables_apply_in_event_order() -> None:
    (commands,) = commands_of(
        run(
            [
                batch(
                    0,
                    table(5),
                    *start_events("forwarder/0"),
                    ask("forwarder/0", "old"),
                    {"type": "DOWN", "forwarder_id": "forwarder/0"},
                    table(6),
                    *start_events("forwarder/0", 2),
                    ask("forwarder/0", "new"),
                    table(7),
                )
            ]
        )
    )
    issues = [a for a in commands if a["type"] == "ISSUE"]
    assert [(a["msg_id"], a["target"]) for a in issues] == [("new", 6)]


@pytest.mark.parametrize(
    "line",
    [
        "no json",
        "[]",
        {"clock_us": 1},
        {"inbox": []},
        batch(0, {"forwarder_id": "forwarder/0"}),
        batch(0, {"type": "UP", "forwarder_id": "forwarder/0"}),
        batch(0, table(), *start_events("forwarder/0"), {"type": "ASK", "forwarder_id": "forwarder/0", "msg_id": "a"}),
        batch(0, {"type": "TABLE", "buffer": 0, "elements": [{"target": 1}]}),
        batch(
            0, table(), *start_events("forwarder/0"), {"type": "MEMBERS", "forwarder_id": "forwarder/0", "how": "FULL"}
        ),
    ],
)
def test_malformed_input_ends_the_process_with_one_plain_line(line: Any) -> None:
    result = run([line])
    assert result.returncode != 0
    assert result.stdout == ""
    assert len(result.stderr.splitlines()) == 1
    assert "Traceback" not in result.stderr


def test_invalid_settings_are_an_internal_error() -> None:
    bad = start_events("forwarder/0")
    bad[0] = {**bad[0], "facts": {**RAW_SETTINGS, "family_info": {"slots": 0}}}
    (commands,) = commands_of(run([batch(0, table(), *bad)]))
    assert commands[0]["type"] == "INTERNAL_ERROR"
    assert "slots" in commands[0]["reason_text"]
    assert "\n" not in commands[0]["reason_text"]


def input_lines(names: list[str]) -> list[dict[str, Any]]:
    lines = [batch(0, table(), *[e for n in names for e in start_events(n, int(n[-1]))])]
    for n in range(60):
        lines.append(
            batch(
                5000 * n,
                *[ask(name, f"{name[-1]}{n}x{k}", 5000 * n + 400000 + 7000 * k) for name in names for k in range(3)],
                *[{"type": "DEADLINE_HIT", "forwarder_id": name, "token": "look"} for name in names],
            )
        )
    return lines


def test_commands_are_the_same_under_any_hash_seed_and_split() -> None:
    names = ["forwarder/0", "forwarder/1", "forwarder/2"]
    together = commands_of(run(input_lines(names), PYTHONHASHSEED="1"))
    assert together == commands_of(run(input_lines(names), PYTHONHASHSEED="77"))
    for name in names:
        alone = commands_of(run(input_lines([name])))
        assert alone == [[a for a in commands if a["forwarder_id"] == name] for commands in together]
    assert sum(len(commands) for commands in together) > 100
