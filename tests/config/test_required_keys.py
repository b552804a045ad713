"""Tests which keys a reloaded configuration file must have."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from forwarder.config.config import Config, ConfigError, load_config

HOST = {
    "host": "s-1",
    "dial": "127.0.0.1:9",
    "site": "a",
    "class": "plain",
    "block": 7,
    "health": "up",
    "share": 1.0,
    "born_ms": 0,
}
PLAIN = {"name": "plain", "aim_us": 1, "deadline_us": 2, "effect": "once", "gain": 1.0}
EVERY_KEY = {**PLAIN, "name": "all", "by_arrival": True, "aim_stretch": 1.0, "key_scope": "all", "window_us": 3}
CLASSES = {
    "plain": PLAIN,
    "all": EVERY_KEY,
    "in order": {**PLAIN, "by_arrival": True},
    "with a window": {**PLAIN, "effect": "by_key", "key_scope": "zone", "window_us": 3},
    "with an unknown key": {**PLAIN, "colour": "red"},
}
SETTINGS: dict[str, Any] = {
    "allowed": {"max_attempts": 8},
    "contract": {"fall_us": 1},
    "family_info": {"slots": 4, "kind_batch": [1]},
    "orgs": [],
    "prices": {"handshake": 0.1},
    "services": [PLAIN],
}


def document(**settings: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "limits": {"memory_mb": 80},
        "known": {"seq": 1, "whole": True, "hosts": [HOST]},
        "settings": {**SETTINGS, **settings},
    }


def load(folder: Path, *documents: dict[str, Any]) -> Config:
    """Loads the first document as at a start, and then each of the others as at a reload."""
    config: Config | None = None
    for each in documents:
        (folder / "config.json").write_text(json.dumps(each))
        environ = {"LB_CONFIG": str(folder / "config.json"), "LB_STATE": str(folder)}
        config = load_config(environ, config)
    assert config is not None
    return config


@pytest.mark.parametrize("left", CLASSES)
@pytest.mark.parametrize("returning", CLASSES)
def test_a_class_may_go_and_come_back(tmp_path: Path, left: str, returning: str) -> None:
    """Guards against a refused file: what all remaining classes had was required of each class from then on."""
    both = document(services=[{**CLASSES[left], "name": "left"}, {**CLASSES[returning], "name": "returning"}])
    config = load(tmp_path, both, document(services=both["settings"]["services"][:1]), both)
    assert [each.name for each in config.settings.classes] == ["left", "returning"]


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("contract", "key_rest_us", 5),
        ("contract", "ask_within_us", 5),
        ("prices", "fleet", 0.5),
        ("family_info", "report_x1", "a text"),
        ("allowed", "an_unknown_key", 1),
        ("family_info", "an_unknown_key", {"nested": 1}),
    ],
)
def test_a_key_that_is_optional_or_unknown_may_come_and_go(
    tmp_path: Path, section: str, key: str, value: object
) -> None:
    with_key = document(**{section: {**SETTINGS[section], key: value}})
    load(tmp_path, document(), with_key, document(), with_key)
    load(tmp_path, with_key, document(), with_key)


def test_a_list_may_become_empty_and_fill_again(tmp_path: Path) -> None:
    tenants = [{"name": "acme", "allowance_per_s": 5.0, "fraction": 0.5}, {"name": "other"}]
    filled = document(orgs=tenants)
    emptied = document(orgs=[])
    emptied["known"] = {"seq": 2, "whole": True, "hosts": []}
    config = load(tmp_path, filled, emptied, document(orgs=tenants[:1]), filled)
    assert [tenant.name for tenant in config.settings.tenants] == ["acme", "other"]


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("gain", {"services": [{key: value for key, value in PLAIN.items() if key != "gain"}]}),
        ("max_attempts", {"allowed": {}}),
        ("fall_us", {"contract": {}}),
        ("kind_batch", {"family_info": {"slots": 4}}),
        ("handshake", {"prices": {}}),
    ],
)
def test_a_file_that_has_lost_a_required_key_is_refused(tmp_path: Path, key: str, changes: dict[str, Any]) -> None:
    before = document(services=[EVERY_KEY, PLAIN])
    with pytest.raises(ConfigError, match=f"has no '{key}'"):
        load(tmp_path, before, document(), document(**changes))


def test_a_host_that_has_lost_a_required_key_is_refused(tmp_path: Path) -> None:
    broken = document()
    broken["known"]["hosts"] = [HOST, {key: value for key, value in HOST.items() if key != "born_ms"}]
    with pytest.raises(ConfigError, match=r"known\.hosts\[1\] has no 'born_ms'"):
        load(tmp_path, document(), broken)


def test_a_value_of_another_type_is_refused(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"settings\.allowed\.max_attempts is '8', where it was 8"):
        load(tmp_path, document(), document(allowed={"max_attempts": "8"}))
