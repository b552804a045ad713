"""The description of a process: what another version has written is read, and written again as it was."""

from __future__ import annotations

import json

import pytest

from forwarder.runtime.handover_format import HandoverDescription, decode_description, encode_description
from tests.sockets import ROOT

STORED = json.loads((ROOT / "tests/data/e0ee873/handover.json").read_text())["told"]


def test_a_description_of_an_older_version_is_written_again_as_it_was() -> None:
    description = decode_description(json.dumps(STORED).encode())

    assert json.loads(encode_description(description)) == STORED


def test_a_description_of_an_older_version_is_read_under_the_names_of_the_code() -> None:
    description = decode_description(json.dumps(STORED).encode())

    assert description.clock_base_ns == STORED["clock"]
    assert description.is_draining == STORED["leaving"]
    assert [client.descriptor for client in description.clients] == [door["fd"] for door in STORED["doors"]]
    assert [call.endpoint for call in description.pool.calls] == [call["target"] for call in STORED["pool"]["calls"]]
    assert [idle.idle_since_us for idle in description.pool.idle] == [
        idle["idle_us"] for idle in STORED["pool"]["idle"]
    ]


def test_what_an_older_version_did_not_say_has_its_default() -> None:
    stored = {key: value for key, value in STORED.items() if key not in ("clock", "numbers", "destinations", "memory")}
    description = decode_description(json.dumps(stored).encode())

    defaults = HandoverDescription()
    assert description.clock_base_ns == defaults.clock_base_ns
    assert description.endpoint_numbers == defaults.endpoint_numbers
    assert description.destinations == defaults.destinations
    assert description.learned_state is None


@pytest.mark.parametrize("data", [b"", b"{", b"\xff"])
def test_what_is_no_json_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_description(data)
