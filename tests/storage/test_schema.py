"""Tests that records written by commit e0ee873 are decoded, and encoded again to the same bytes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from forwarder.storage.errors import CorruptFileError
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.record_format import FORMAT_VERSION, decode_record_frame, encode_file_header, encode_record_frame
from forwarder.storage.scan import scan_journal
from forwarder.storage.schema import (
    KINDS,
    ClockAnchor,
    EndpointListRecord,
    Identity,
    JournalClosedRecord,
    MessageAcceptedRecord,
    NoticePendingRecord,
    SnapshotSealedRecord,
    body_of,
    decode_clock_anchor,
    decode_identity,
    decode_record,
    encode_clock_anchor,
    encode_identity,
    encode_record,
)
from tests.storage.folders import ONCE

DATA = Path(__file__).resolve().parent.parent / "data" / "e0ee873"
JOURNALS = ("records/journal", "records/snapshot-2", "killed/journal")


@pytest.mark.parametrize("name", JOURNALS)
def test_every_stored_record_is_encoded_to_the_bytes_it_was_decoded_from(name: str) -> None:
    data = (DATA / name).read_bytes()
    scan = scan_journal(data)
    assert scan.salt is not None
    encoded = encode_file_header(scan.salt, scan.generation)
    for scanned in scan.records:
        if scanned.line[0] == KINDS[SnapshotSealedRecord]:
            line = encode_record(SnapshotSealedRecord(*scanned.line[1:]))
        else:
            record = decode_record(scanned.line, scanned.body, {})
            assert body_of(record) == scanned.body
            line = encode_record(record)
        encoded += encode_record_frame(scan.salt, scanned.number, line, scanned.body)
    assert encoded == data


def test_the_fixtures_contain_every_kind_of_record() -> None:
    kinds = {scanned.line[0] for name in JOURNALS for scanned in scan_journal((DATA / name).read_bytes()).records}
    assert kinds == set(KINDS.values()) - {KINDS[JournalClosedRecord]}


@pytest.mark.parametrize("version", [1, 2])
def test_records_of_older_formats_are_decoded_and_keep_their_kind(version: int) -> None:
    scan = scan_journal((DATA / f"version{version}/journal").read_bytes())
    assert scan.version == version
    assert scan.version < FORMAT_VERSION
    for scanned in scan.records:
        assert encode_record(decode_record(scanned.line, scanned.body, {"order": ONCE}))[0] == scanned.line[0]


def test_a_record_is_stored_as_its_line_and_its_body() -> None:
    message = AcceptedMessage("m", ONCE, 7, 10**15, "k", None, b"body\n\0")
    frame = decode_record_frame(
        encode_record_frame(9, 4, encode_record(MessageAcceptedRecord(message)), b"body\n\0"), 0, 9
    )
    assert frame is not None
    line, _, body = frame.payload.partition(b"\n")
    assert decode_record(json.loads(line), body, {}) == MessageAcceptedRecord(message)


@pytest.mark.parametrize("line", [["unknown", 1], ["attempt", "m", 0], ["taken", "m"], []])
def test_a_line_of_an_unknown_form_is_rejected(line: list[object]) -> None:
    with pytest.raises((KeyError, ValueError, TypeError)):
        decode_record(line, b"", {})


def test_extra_items_of_a_list_record_are_ignored() -> None:
    line = ["list", 4, [{"dial": "x"}], 5, 6]
    assert decode_record(line, b"", {}) == EndpointListRecord(4, [{"dial": "x"}])


def test_a_pending_notice_is_stored_under_the_names_of_the_first_release() -> None:
    assert encode_record(NoticePendingRecord("m", "returned", 500, "k")) == ("owed", "m", "returned", 500, "k")


def test_identity_and_clock_anchor_are_stored_under_the_names_of_the_first_release() -> None:
    identity, anchor = Identity("n1", "ab", 3, 99), ClockAnchor("boot", 5, 7)
    assert [*encode_identity(identity).items()] == [("name", "n1"), ("id", "ab"), ("starts", 3), ("salt", 99)]
    assert [*encode_clock_anchor(anchor).items()] == [("boot", "boot"), ("monotonic_ns", 5), ("clock_ns", 7)]
    assert decode_identity(encode_identity(identity)) == identity
    assert decode_clock_anchor(encode_clock_anchor(anchor)) == anchor


@pytest.mark.parametrize("stored", [{}, [], {"name": "n1", "id": "ab", "starts": "3", "salt": 9}, {"boot": "b"}])
def test_fields_of_an_unknown_form_are_corrupt(stored: object) -> None:
    with pytest.raises(CorruptFileError, match="invalid fields of an identity"):
        decode_identity(stored)
    with pytest.raises(CorruptFileError, match="invalid fields of a clock anchor"):
        decode_clock_anchor(stored)


def test_a_corrupt_file_is_a_value_error_too() -> None:
    assert issubclass(CorruptFileError, ValueError)
