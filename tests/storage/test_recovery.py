"""Which files make the state where some are lost, damaged, old or of another version."""

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
from forwarder.storage.state_check import main as state
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
    assert_nothing_wrong_is_believed,
    file_names,
    fill_folder,
    has_same_state,
    reread,
    two_generations,
)


def test_a_cut_snapshot_without_another_leaves_its_complete_messages_as_doubtful(tmp_path: Path) -> None:
    whole = fill_folder(tmp_path)
    data = (tmp_path / SNAPSHOT).read_bytes()
    for size in range(len(data)):
        back = reread(tmp_path, data[:size], SNAPSHOT)
        assert_nothing_wrong_is_believed(back, whole)
        assert back.recovered.is_damaged
        assert back.messages.keys() >= {"a", "b", "c", "f"}
        assert all(back.messages[name].is_doubtful for name in ("g", "h") if name in back.messages)


def test_messages_of_which_only_later_records_are_left_are_known_as_orphans(tmp_path: Path) -> None:
    store = fill_folder(tmp_path)
    store.accept(accepted_message("z"))
    store.record_attempt(store.messages["z"], 0, 70, "s1")
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","z"')] ^= 1
    back = reread(tmp_path, bytes(data))
    assert back.orphaned_ids == {"z"}
    assert all(m.is_doubtful for m in back.messages.values())
    assert not may_resend_after_loss(ONCE)
    assert may_resend_after_loss(SAFE)


def version1_journal(lines: list[tuple[Any, ...]]) -> bytes:
    payloads = [json.dumps(line).encode() + b"\n" for line in lines]
    return b"".join(VERSION1_FRAME_HEAD.pack(len(p), zlib.crc32(p)) + p for p in payloads)


def test_a_journal_without_a_header_is_carried_over(tmp_path: Path) -> None:
    lines = [("owed", "m", "failed", 0, None), ("ban", "s1", 5), ("outage", "s2", 7, -1)]
    (tmp_path / "journal").write_bytes(version1_journal(lines) + b"torn")
    back = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert back.recovered.version == 1
    assert back.recovered.torn_bytes == 4
    assert not back.recovered.is_damaged
    for store in (back, MessageStore(tmp_path, MAX_BYTES)):
        assert (list(store.pending_notices), store.disabled_endpoints, store.ejections) == (
            ["m"],
            {"s1": 5},
            {"s2": (7, -1)},
        )
    assert MessageStore(tmp_path, MAX_BYTES).recovered.version == 3


def test_a_newer_journal_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    head = HEADER_COPY.pack(MAGIC, 4, 0, 1)
    data = 2 * (head + HEADER_CHECK.pack(zlib.crc32(head))) + b"what this may be"
    (tmp_path / "journal").write_bytes(data)
    with pytest.raises(NewerFormatError, match="version 4"):
        MessageStore(tmp_path, MAX_BYTES)
    assert (tmp_path / "journal").read_bytes() == data
    assert state(["check", str(tmp_path)]) == 2


def test_the_generation_before_is_kept_and_stands_in_for_a_bad_snapshot(tmp_path: Path) -> None:
    whole = two_generations(tmp_path)
    assert file_names(tmp_path) == {"snapshot-2", "journal-2", "snapshot-3", "journal"}
    assert has_same_state(MessageStore(tmp_path, MAX_BYTES), whole)
    data = (tmp_path / "snapshot-3").read_bytes()
    for at in range(0, len(data), 7):
        spoilt = data[:at] + bytes([data[at] ^ 16]) + data[at + 1 :]
        back = reread(tmp_path, spoilt, "snapshot-3")
        assert has_same_state(back, whole), at
        assert not any(m.is_doubtful for m in back.messages.values()), at
        assert back.recovered.damaged_files == ["snapshot-3"]
        assert back.recovered.snapshot_generation == 2
    back.take_ownership()
    assert file_names(tmp_path) == {"snapshot-4", "journal", "snapshot-3.bad-1"}
    assert has_same_state(MessageStore(tmp_path, MAX_BYTES), whole)


@pytest.mark.parametrize(
    ("lost", "doubt", "held"),
    [("snapshot-3", False, 5), ("journal-2", False, 5), ("snapshot-2", False, 5), ("journal", True, 5)],
)
def test_a_missing_file_is_noticed_unless_the_newest_snapshot_makes_it_needless(
    tmp_path: Path, lost: str, doubt: bool, held: int
) -> None:
    """What the newest snapshot makes needless is not missed; a journal since is noticed."""
    whole = two_generations(tmp_path)
    (tmp_path / lost).unlink()
    back = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert len(back.messages) == held
    assert all(m.is_doubtful is doubt for m in back.messages.values())
    assert back.recovered.missing_files == doubt
    assert doubt or has_same_state(back, whole)


def test_a_journal_that_was_set_back_is_distinguished_from_one_that_is_being_replaced(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    store.accept(accepted_message("a"))
    store.flush()
    old = (tmp_path / "journal").read_bytes()
    assert store.compact()
    for left, gaps in ((), 1), (("journal.new",), 0):
        for name in left:
            (tmp_path / name).touch()
        back = reread(tmp_path, old)
        assert (back.recovered.missing_files, back.messages["a"].is_doubtful, back.recovered.journal_generation) == (
            gaps,
            bool(gaps),
            2,
        )


def test_a_process_that_dies_twice_while_the_journal_is_replaced_misses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole = two_generations(tmp_path)
    os.replace(tmp_path / "journal", tmp_path / "journal-3")
    with (tmp_path / "journal-3").open("ab") as file:
        file.write(encode_record_frame(1234, whole.writer.record_number + 1, encode_record(JournalClosedRecord())))
    (tmp_path / "journal.new").touch()

    real = os.open

    def dies(path: Any, *args: Any, **named: Any) -> int:
        if Path(path).name == "journal.new":
            raise KeyboardInterrupt
        return real(path, *args, **named)

    monkeypatch.setattr(os, "open", dies)
    for _ in range(2):
        with pytest.raises(KeyboardInterrupt):
            MessageStore(tmp_path, MAX_BYTES).take_ownership()
    monkeypatch.undo()
    back = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    assert not back.recovered.is_damaged
    assert has_same_state(back, whole)
    assert back.files.generation == 4
    assert not (tmp_path / "journal.new").exists()


def test_a_closed_journal_that_is_cut_or_missing_makes_all_messages_before_doubtful(tmp_path: Path) -> None:
    whole = two_generations(tmp_path)
    (tmp_path / "snapshot-3").unlink()
    data = (tmp_path / "journal-2").read_bytes()
    for size in (0, 30, 100, len(data) - 60, len(data) - 1):
        back = reread(tmp_path, data[:size], "journal-2")
        assert back.recovered.is_damaged
        assert all(m.is_doubtful for m in back.messages.values() if m.id not in whole.messages)
    (tmp_path / "journal-2").unlink()
    assert MessageStore(tmp_path, MAX_BYTES).recovered.missing_files == 1


@pytest.mark.parametrize("name", ["journal", "snapshot-3"])
@pytest.mark.parametrize("how", ["link", "folder", "no rights to read"])
def test_what_is_no_plain_file_is_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, how: str
) -> None:
    """A snapshot has another to stand in for it; a journal has not, and the folder is left as it is."""
    folder = tmp_path / "s"
    folder.mkdir()
    whole, path, real = two_generations(folder), folder / name, os.open
    data = path.read_bytes()
    if how == "link":
        (tmp_path / "elsewhere").write_bytes(data)
        path.unlink()
        path.symlink_to(tmp_path / "elsewhere")
    elif how == "folder":
        path.unlink()
        path.mkdir()
    else:  # the tests may run as root, whom no rights stop

        def refused(what: Any, *args: Any, **named: Any) -> int:
            if Path(what) == path:
                raise PermissionError(13, "Permission denied", str(what))
            return real(what, *args, **named)

        monkeypatch.setattr(os, "open", refused)
    if name == "journal":
        before = file_names(folder)
        reason = {"link": "symbolic link", "folder": "directory", "no rights to read": "Permission denied"}[how]
        with pytest.raises(OSError, match=reason):
            MessageStore(folder, MAX_BYTES)
        assert file_names(folder) == before
    else:
        assert has_same_state(MessageStore(folder, MAX_BYTES).take_ownership(), whole)
        monkeypatch.undo()
        assert has_same_state(MessageStore(folder, MAX_BYTES), whole)
        assert "snapshot-3.bad-1" in file_names(folder)


def test_a_process_on_a_damaged_folder_ends_what_it_must_not_send_again(tmp_path: Path) -> None:
    async def scene() -> None:
        platform, peer = await Platform().start(), await Peer(hang).start()
        platform.add_endpoint("s1", peer.port)
        node = await Node(tmp_path, platform).start()
        assert (await node.submit("ran", cls="pay"))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.submit("safe", cls="status"))[0] == 202
        await node.end()
        path = tmp_path / "state/journal"
        data = bytearray(path.read_bytes())
        data[data.find(b'"attempt","ran"')] ^= 1
        path.write_bytes(data)
        peer.handler = always(OK)
        await node.start()
        assert (await platform.wait_for_notice("ran"))["state"] == "failed"
        await peer.wait_for_requests(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["ran", "safe"]
        told = await node.call(b"JOURNAL\n")
        assert "1 records are missing" in told
        assert "a restart" in told
        await node.end()
        node.configure(name="n7")
        await node.start(ready=False)
        async with asyncio.timeout(20):
            assert await node.process.wait() == 1
            await node.drain
        assert "is the folder of n0, not of n7" in "".join(node.log)

    asyncio.run(scene())
