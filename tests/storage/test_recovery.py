"""Tests of recovery when files are missing, damaged, restored from an older copy or of another format version."""

from __future__ import annotations

import asyncio
import json
import os
import zlib
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage.errors import NewerFormatError
from forwarder.storage.messages import may_resend_after_loss
from forwarder.storage.record_format import (
    HEADER_CHECK,
    HEADER_COPY,
    MAGIC,
    VERSION1_FRAME_HEAD,
    encode_record_frame,
)
from forwarder.storage.schema import JournalClosedRecord, encode_record
from forwarder.storage.state_check import main as run_state_command
from forwarder.storage.store import MessageStore
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, Peer, always, hang
from tests.storage.folders import (
    MAX_BYTES,
    ONCE,
    SAFE,
    SNAPSHOT,
    accepted_message,
    assert_recovered_state_is_valid,
    file_names,
    fill_folder,
    has_same_state,
    reopen_with,
    write_two_generations,
)


def test_the_complete_messages_of_a_truncated_only_snapshot_are_doubtful(tmp_path: Path) -> None:
    original = fill_folder(tmp_path)
    data = (tmp_path / SNAPSHOT).read_bytes()
    for size in range(len(data)):
        reopened = reopen_with(tmp_path, data[:size], SNAPSHOT)
        assert_recovered_state_is_valid(reopened, original)
        assert reopened.recovered.is_damaged
        assert reopened.messages.keys() >= {"a", "b", "c", "f"}
        assert all(reopened.messages[name].is_doubtful for name in ("g", "h") if name in reopened.messages)


def test_messages_of_which_only_later_records_remain_are_reported_as_orphans(tmp_path: Path) -> None:
    store = fill_folder(tmp_path)
    store.accept(accepted_message("z"))
    store.record_attempt(store.messages["z"], 0, 70, "s1")
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","z"')] ^= 1
    reopened = reopen_with(tmp_path, bytes(data))
    assert reopened.orphaned_ids == {"z"}
    assert all(m.is_doubtful for m in reopened.messages.values())
    assert not may_resend_after_loss(ONCE)
    assert may_resend_after_loss(SAFE)


def version1_journal(lines: list[tuple[Any, ...]]) -> bytes:
    payloads = [json.dumps(line).encode() + b"\n" for line in lines]
    return b"".join(VERSION1_FRAME_HEAD.pack(len(p), zlib.crc32(p)) + p for p in payloads)


def test_a_version_1_journal_without_a_header_is_migrated(tmp_path: Path) -> None:
    lines = [("owed", "m", "failed", 0, None), ("ban", "s1", 5), ("outage", "s2", 7, -1)]
    (tmp_path / "journal").write_bytes(version1_journal(lines) + b"torn")
    reopened = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert reopened.recovered.version == 1
    assert reopened.recovered.torn_bytes == 4
    assert not reopened.recovered.is_damaged
    for store in (reopened, MessageStore(tmp_path, MAX_BYTES)):
        assert (list(store.pending_notices), store.disabled_endpoints, store.ejections) == (
            ["m"],
            {"s1": 5},
            {"s2": (7, -1)},
        )
    assert MessageStore(tmp_path, MAX_BYTES).recovered.version == 3


def test_a_journal_of_a_newer_version_is_rejected_and_left_unchanged(tmp_path: Path) -> None:
    head = HEADER_COPY.pack(MAGIC, 4, 0, 1)
    data = 2 * (head + HEADER_CHECK.pack(zlib.crc32(head))) + b"what this may be"
    (tmp_path / "journal").write_bytes(data)
    with pytest.raises(NewerFormatError, match="version 4"):
        MessageStore(tmp_path, MAX_BYTES)
    assert (tmp_path / "journal").read_bytes() == data
    assert run_state_command(["check", str(tmp_path)]) == 2


def test_the_previous_generation_is_kept_and_replaces_a_damaged_snapshot(tmp_path: Path) -> None:
    original = write_two_generations(tmp_path)
    assert file_names(tmp_path) == {"snapshot-2", "journal-2", "snapshot-3", "journal"}
    assert has_same_state(MessageStore(tmp_path, MAX_BYTES), original)
    data = (tmp_path / "snapshot-3").read_bytes()
    for offset in range(0, len(data), 7):
        corrupted = data[:offset] + bytes([data[offset] ^ 16]) + data[offset + 1 :]
        reopened = reopen_with(tmp_path, corrupted, "snapshot-3")
        assert has_same_state(reopened, original), offset
        assert not any(m.is_doubtful for m in reopened.messages.values()), offset
        assert reopened.recovered.damaged_files == ["snapshot-3"]
        assert reopened.recovered.snapshot_generation == 2
    reopened.take_ownership()
    assert file_names(tmp_path) == {"snapshot-4", "journal", "snapshot-3.bad-1"}
    assert has_same_state(MessageStore(tmp_path, MAX_BYTES), original)


@pytest.mark.parametrize(
    ("lost_file", "expect_doubtful", "message_count"),
    [("snapshot-3", False, 5), ("journal-2", False, 5), ("snapshot-2", False, 5), ("journal", True, 5)],
)
def test_a_missing_file_is_detected_unless_the_newest_snapshot_makes_it_unnecessary(
    tmp_path: Path, lost_file: str, expect_doubtful: bool, message_count: int
) -> None:
    """Only the journals since the newest snapshot are required."""
    original = write_two_generations(tmp_path)
    (tmp_path / lost_file).unlink()
    reopened = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert len(reopened.messages) == message_count
    assert all(m.is_doubtful is expect_doubtful for m in reopened.messages.values())
    assert reopened.recovered.missing_files == expect_doubtful
    assert expect_doubtful or has_same_state(reopened, original)


def test_a_journal_restored_from_an_older_copy_is_distinguished_from_one_being_replaced(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    store.accept(accepted_message("a"))
    store.flush()
    old_journal = (tmp_path / "journal").read_bytes()
    assert store.compact()
    for new_files, missing_files in ((), 1), (("journal.new",), 0):
        for name in new_files:
            (tmp_path / name).touch()
        reopened = reopen_with(tmp_path, old_journal)
        assert (
            reopened.recovered.missing_files,
            reopened.messages["a"].is_doubtful,
            reopened.recovered.journal_generation,
        ) == (
            missing_files,
            bool(missing_files),
            2,
        )


def test_two_kills_while_the_journal_is_replaced_lose_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    original = write_two_generations(tmp_path)
    os.replace(tmp_path / "journal", tmp_path / "journal-3")
    with (tmp_path / "journal-3").open("ab") as file:
        file.write(encode_record_frame(1234, original.writer.record_number + 1, encode_record(JournalClosedRecord())))
    (tmp_path / "journal.new").touch()

    real_open = os.open

    def interrupted_open(path: Any, *args: Any, **kwargs: Any) -> int:
        if Path(path).name == "journal.new":
            raise KeyboardInterrupt
        return real_open(path, *args, **kwargs)

    monkeypatch.setattr(os, "open", interrupted_open)
    for _ in range(2):
        with pytest.raises(KeyboardInterrupt):
            MessageStore(tmp_path, MAX_BYTES).take_ownership()
    monkeypatch.undo()
    reopened = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert not reopened.recovered.is_damaged
    assert has_same_state(reopened, original)
    assert reopened.files.generation == 4
    assert not (tmp_path / "journal.new").exists()


def test_a_truncated_or_missing_closed_journal_makes_all_earlier_messages_doubtful(tmp_path: Path) -> None:
    original = write_two_generations(tmp_path)
    (tmp_path / "snapshot-3").unlink()
    data = (tmp_path / "journal-2").read_bytes()
    for size in (0, 30, 100, len(data) - 60, len(data) - 1):
        reopened = reopen_with(tmp_path, data[:size], "journal-2")
        assert reopened.recovered.is_damaged
        assert all(m.is_doubtful for m in reopened.messages.values() if m.id not in original.messages)
    (tmp_path / "journal-2").unlink()
    assert MessageStore(tmp_path, MAX_BYTES).recovered.missing_files == 1


@pytest.mark.parametrize("name", ["journal", "snapshot-3"])
@pytest.mark.parametrize("file_kind", ["link", "folder", "no rights to read"])
def test_only_readable_regular_files_are_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, file_kind: str
) -> None:
    """An unreadable snapshot is replaced by the previous one. For the journal, the start fails without any change."""
    folder = tmp_path / "s"
    folder.mkdir()
    original, path, real_open = write_two_generations(folder), folder / name, os.open
    data = path.read_bytes()
    if file_kind == "link":
        (tmp_path / "elsewhere").write_bytes(data)
        path.unlink()
        path.symlink_to(tmp_path / "elsewhere")
    elif file_kind == "folder":
        path.unlink()
        path.mkdir()
    else:  # the tests may run as root, who can read any file

        def denied_open(opened: Any, *args: Any, **kwargs: Any) -> int:
            if Path(opened) == path:
                raise PermissionError(13, "Permission denied", str(opened))
            return real_open(opened, *args, **kwargs)

        monkeypatch.setattr(os, "open", denied_open)
    if name == "journal":
        before = file_names(folder)
        reason = {"link": "symbolic link", "folder": "directory", "no rights to read": "Permission denied"}[file_kind]
        with pytest.raises(OSError, match=reason):
            MessageStore(folder, MAX_BYTES)
        assert file_names(folder) == before
    else:
        assert has_same_state(MessageStore(folder, MAX_BYTES).take_ownership(), original)
        monkeypatch.undo()
        assert has_same_state(MessageStore(folder, MAX_BYTES), original)
        assert "snapshot-3.bad-1" in file_names(folder)


def test_a_process_with_a_damaged_folder_fails_messages_that_it_must_not_send_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        platform, endpoint = await Platform().start(), await Peer(hang).start()
        platform.add_endpoint("s1", endpoint.port)
        node = await Node(tmp_path, platform).start()
        assert (await node.submit("ran", cls="pay"))[0] == 202
        await endpoint.wait_for_requests(1)
        assert (await node.submit("safe", cls="status"))[0] == 202
        await node.end()
        path = tmp_path / "state/journal"
        data = bytearray(path.read_bytes())
        data[data.find(b'"attempt","ran"')] ^= 1
        path.write_bytes(data)
        endpoint.handler = always(OK)
        await node.start()
        assert (await platform.wait_for_notice("ran"))["state"] == "failed"
        await endpoint.wait_for_requests(2)
        assert [r.headers["x-correlation-id"] for r in endpoint.requests] == ["ran", "safe"]
        answer = await node.call(b"JOURNAL\n")
        assert "1 records are missing" in answer
        assert "a restart" in answer
        await node.end()
        node.configure(name="n7")
        await node.start(ready=False)
        async with asyncio.timeout(20):
            assert await node.process.wait() == 1
            await node.log_reader
        assert "is the folder of n0, not of n7" in "".join(node.log)

    asyncio.run(scenario())
