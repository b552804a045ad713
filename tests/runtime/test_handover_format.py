"""The hand-over's description: what another version wrote is read, and encoded again without a change."""

from __future__ import annotations

import json

import pytest

from forwarder.runtime.handover_format import HandoverDescription, decode_description, encode_description
from tests.sockets import ROOT

STORED = json.loads((ROOT / "tests/data/e0ee873/handover.json").read_text())["told"]


def test_a_description_of_an_older_version_is_encoded_again_unchanged() -> None:
    description = decode_description(json.dumps(STORED).encode())

    assert json.loads(encode_description(description)) == STORED


def test_a_description_of_an_older_version_is_decoded_into_the_current_names() -> None:
    description = decode_description(json.dumps(STORED).encode())

    assert description.clock_base_ns == STORED["clock"]
    assert description.is_draining == STORED["leaving"]
    assert [client.descriptor for client in description.clients] == [door["fd"] for door in STORED["doors"]]
    assert [call.endpoint for call in description.pool.calls] == [call["target"] for call in STORED["pool"]["calls"]]
    assert [idle.idle_since_us for idle in description.pool.idle] == [
        idle["idle_us"] for idle in STORED["pool"]["idle"]
    ]


def test_fields_that_an_older_version_did_not_send_have_their_defaults() -> None:
    stored = {key: value for key, value in STORED.items() if key not in ("clock", "numbers", "destinations", "memory")}
    description = decode_description(json.dumps(stored).encode())

    defaults = HandoverDescription()
    assert description.clock_base_ns == defaults.clock_base_ns
    assert description.endpoint_numbers == defaults.endpoint_numbers
    assert description.destinations == defaults.destinations
    assert description.learned_state is None


@pytest.mark.parametrize("data", [b"", b"{", b"\xff"])
def test_data_that_is_not_json_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_description(data)
