"""The configuration of the harness's forwarder, with the field names of the configuration file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from forwarder.config.config import Config, load_config
from forwarder.units import SECOND_US

KEY_BACKOFF_US = 700_000
ENDPOINTS = 4
DESTINATIONS = 2
ENDPOINT_KINDS = ("plain", "lots")
CLASSES = {"safe": "repeatable", "once": "once", "keyed": "by_key"}
"""The message classes and their effects. All classes deliver the messages of a key in order."""
FIRST_PORT = 9000


def destination_of(endpoint: int) -> int:
    """Return the number of the destination that an endpoint belongs to."""
    return 1 + endpoint % DESTINATIONS


def endpoint_entry(number: int, health: str = "up") -> dict[str, Any]:
    """Return an endpoint's entry in discovery's endpoint list."""
    return {
        "host": f"s{number}",
        "dial": f"127.0.0.1:{FIRST_PORT + number}",
        "site": "x",
        "class": ENDPOINT_KINDS[number % len(ENDPOINT_KINDS)],
        "block": destination_of(number),
        "health": health,
        "share": 100.0,
        "born_ms": 0,
    }


def write_config(folder: Path) -> Config:
    """Write the configuration to a folder, and load it as the program does."""
    config = {
        "name": "n0",
        "seed": "5",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:8",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"seq": 1, "whole": True, "hosts": [endpoint_entry(number) for number in range(ENDPOINTS)]},
        "settings": _settings(),
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    return load_config({"LB_CONFIG": str(path), "LB_STATE": str(folder / "state")})


def _settings() -> dict[str, Any]:
    return {
        "allowed": {"max_attempts": 6, "max_open": 50, "max_retry_after_us": 3 * SECOND_US, "retry_after": True},
        "balancers": 1,
        "host_types": list(ENDPOINT_KINDS),
        "contract": {"drain_grace_us": SECOND_US // 2, "key_rest_us": KEY_BACKOFF_US},
        "family_info": {"slots": 8, "kind_batch": [1, 5], "routes_apart": [False, False]},
        "services": [_message_class(name, effect) for name, effect in CLASSES.items()],
        "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    }


def _message_class(name: str, effect: str) -> dict[str, Any]:
    return {
        "name": name,
        "aim_us": SECOND_US,
        "deadline_us": 6 * SECOND_US,
        "effect": effect,
        "key_scope": "all",
        "window_us": 3 * SECOND_US,
        "by_arrival": True,
    }
