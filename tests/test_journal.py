"""Stored state that is lost, damaged or old: noticed, never believed too long, and nothing that may not be repeated
is sent twice for it.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import time
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.decisions.settings import Effect, MessageClass
from forwarder.storage import identity, journal_writer
from forwarder.storage.errors import ForeignStateError, NewerFormatError
from forwarder.storage.file_io import disk_bytes
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.messages import AcceptedMessage, may_resend_after_loss
from forwarder.storage.record_format import (
    HEADER_BYTES,
    HEADER_CHECK,
    HEADER_COPY,
    MAGIC,
    VERSION1_FRAME_HEAD,
    encode_record_frame,
)
from forwarder.storage.scan import scan_journal
from forwarder.storage.schema import Identity, JournalClosedRecord, encode_record
from forwarder.storage.state_check import main as state
from forwarder.storage.store import MessageStore
from tests.sockets import OK, Node, Peer, Platform, always, hang

SAFE = MessageClass("safe", 10**6, 10**7)
ONCE = MessageClass("once", 10**6, 10**7, Effect.ONCE, in_order=True)
MB = 3_000_000


@pytest.fixture(autouse=True)
def heard() -> Iterator[None]:
    """`state` is silent but for what it prints, as long as its process lives; here others follow."""
    yield
    logging.disable(logging.NOTSET)


def taken(name: str, cls: MessageClass = ONCE, body: bytes = b"body\n\0") -> AcceptedMessage:
    return AcceptedMessage(name, cls, 7, 10**15, f"k-{name}" if cls is ONCE else None, None, body * 3)


def filled(folder: Path) -> MessageStore:
    """A journal with every kind of record, `ended` and `names` among them."""
    store = MessageStore(folder, MB, salt=1234).take_ownership()
    store.accept(taken("old"))
    store.end_message("old")
    store.accept(taken("g", SAFE))
    store.accept(taken("h"))
    store.flush()
    assert store.compact()
    store.record_endpoint_list(41, {"s1": {"host": "s1", "health": "up"}, "s2": {"host": "s2", "health": "up"}}, 10)
    for name, cls in (("a", ONCE), ("b", SAFE), ("c", ONCE), ("d", ONCE), ("e", SAFE)):
        store.accept(taken(name, cls))
    store.record_attempt(store.messages["a"], 0, 50, "s1")
    store.record_attempt(store.messages["b"], 0, 50, "s1")
    store.record_outcome(store.messages["b"], 0, True)
    store.record_attempt(store.messages["c"], 0, 60, "s2")
    store.record_outcome(store.messages["c"], 0, False)
    store.record_attempt(store.messages["d"], 0, 60, "s2")
    store.end_message("d")
    store.add_pending_notice("e", "returned", 500)
    store.record_ejection("s1", 5, -1)
    store.disable_endpoint("s2", 77)
    store.record_known_endpoints(["s3"])
    store.accept(taken("f"))
    store.flush()
    return store


TRUTH = {"a": "out", "b": "safe", "c": "held", "f": "held", "g": "safe", "h": "held"}
"""What may be done with each message that is not over."""


SNAPSHOT = "snapshot-2"


def reread(folder: Path, data: bytes, name: str = "journal") -> MessageStore:
    (folder / name).write_bytes(data)
    return MessageStore(folder, MB, salt=1234)


def check(back: MessageStore, whole: MessageStore) -> None:
    """Nothing wrong is believed: every message is a true one, and none that ran may run again without a doubt."""
    for name, m in back.messages.items():
        assert name in TRUTH or m.is_doubtful, f"{name} is over"
        if name in whole.messages:
            assert (m.body, m.message_class, m.due_us, m.key) == (
                whole.messages[name].body,
                whole.messages[name].message_class,
                whole.messages[name].due_us,
                whole.messages[name].key,
            )
    a = back.messages.get("a")
    assert a is None or a.in_flight or a.maybe_ran_at_us >= 0 or a.is_doubtful, "an attempt was forgotten"
    assert set(back.pending_notices) <= {"e"}
    assert set(back.disabled_endpoints) <= {"s2"}


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("journal", {"list", "names", "taken", "attempt", "outcome", "over", "owed", "outage", "ban"}),
        (SNAPSHOT, {"list", "ended", "taken", "sealed"}),
    ],
)
def test_every_byte_changed_costs_no_more_than_the_record_it_is_in(tmp_path: Path, name: str, kinds: set[str]) -> None:
    whole = filled(tmp_path)
    data = (tmp_path / name).read_bytes()
    assert {r.line[0] for r in scan_journal(data).records} == kinds
    chance = random.Random(1)
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 1 << chance.randrange(8)
        back = reread(tmp_path, bytes(spoilt), name)
        check(back, whole)
        lost = back.recovered.missing_records + back.recovered.scans[name].is_tail_lost
        assert lost <= 1 and back.recovered.is_damaged and len(back.messages) >= len(whole.messages) - 1, at
        assert lost or at < HEADER_BYTES or name == SNAPSHOT


def test_every_cut_of_a_snapshot_without_another_leaves_what_is_whole_and_in_doubt(tmp_path: Path) -> None:
    whole = filled(tmp_path)
    data = (tmp_path / SNAPSHOT).read_bytes()
    for size in range(len(data)):
        back = reread(tmp_path, data[:size], SNAPSHOT)
        check(back, whole)
        assert back.recovered.is_damaged
        assert back.messages.keys() >= {"a", "b", "c", "f"}
        assert all(back.messages[name].is_doubtful for name in ("g", "h") if name in back.messages)


def test_every_cut_costs_no_more_than_what_was_cut(tmp_path: Path) -> None:
    whole = filled(tmp_path)
    data = (tmp_path / "journal").read_bytes()
    numbers = [r.number for r in scan_journal(data).records]
    for size in range(len(data)):
        found = scan_journal(data[:size], 1234)
        assert not found.is_damaged or size < HEADER_BYTES, size
        assert [r.number for r in found.records] == numbers[: len(found.records)]
        back = reread(tmp_path, data[:size]).take_ownership()
        assert back.recovered.torn_bytes <= size and not [*back.recovered.records()], "bodies kept for nothing"
        assert MessageStore(tmp_path, MB, salt=1234).messages.keys() == back.messages.keys()
        os.close(back.fd)
    assert whole.messages


BLOCKS = {
    "zeroed": lambda data, at, size, other: data[:at] + bytes(size) + data[at + size :],
    "missing": lambda data, at, size, other: data[:at] + data[at + size :],
    "doubled": lambda data, at, size, other: data[: at + size] + data[at : at + size] + data[at + size :],
    "swapped": lambda data, at, size, other: (
        data[:at] + data[other : other + size] + data[at + size : other] + data[at : at + size] + data[other + size :]
        if other >= at + size
        else data
    ),
    "lost and written over": lambda data, at, size, other: (
        data[:at] + os.urandom(0) + b"\xe7\x4a" * (size // 2) + data[at + size :]
    ),
}


@pytest.mark.parametrize("how", BLOCKS)
@pytest.mark.parametrize("size", [16, 512])
def test_blocks_that_are_changed_are_noticed_and_reading_goes_on(tmp_path: Path, how: str, size: int) -> None:
    whole = filled(tmp_path)
    data, snapshot = (tmp_path / "journal").read_bytes(), (tmp_path / SNAPSHOT).read_bytes()
    for at in range(0, len(data) - size, 37):
        spoilt = BLOCKS[how](data, at, size, len(data) - size)
        if spoilt == data:
            continue
        for path in tmp_path.iterdir():
            path.unlink()
        (tmp_path / SNAPSHOT).write_bytes(snapshot)
        back = reread(tmp_path, spoilt)
        check(back, whole)
        assert back.recovered.is_damaged or back.recovered.torn_bytes
        for _ in range(2):  # what is written anew is sound, and says the same
            back = MessageStore(tmp_path, MB, salt=1234).take_ownership()
            os.close(back.fd)
        assert not back.recovered.is_damaged


def test_a_damaged_file_is_set_aside_and_their_number_is_bounded(tmp_path: Path) -> None:
    for n in range(5):
        if n == 0:
            filled(tmp_path).close()
        data = bytearray((tmp_path / "journal").read_bytes())
        data[len(data) // 2] ^= 1
        (tmp_path / "journal").write_bytes(data)
        store = MessageStore(tmp_path, MB).take_ownership()
        assert store.recovered.is_damaged
        assert store.set_aside_bytes >= 512
        kept = [path.read_bytes() for path in tmp_path.glob("*.bad-*")]
        assert bytes(data) in kept
        assert len(kept) <= 2
        store.accept(taken(f"n{n}", SAFE))
        store.close()
    assert not MessageStore(tmp_path, MB).recovered.is_damaged


def test_a_thousand_messages_and_one_changed_bit(tmp_path: Path) -> None:
    """Nine hundred of them went with it."""
    store = MessageStore(tmp_path, MB).take_ownership()
    for n in range(1000):
        store.accept(taken(f"m{n}", SAFE, b"x" * 50))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[len(data) // 10] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert len(MessageStore(tmp_path, MB).messages) >= 999


def test_a_body_that_looks_like_a_record_is_none(tmp_path: Path) -> None:
    forged = [
        encode_record_frame(salt, number, ("ban", "s9", 1)) for salt in (0, 1, 1234) for number in (1, 2, 3, 4, 99)
    ]
    store = MessageStore(tmp_path, MB, salt=4321).take_ownership()
    store.accept(taken("a", SAFE, b"".join(forged)))
    store.accept(taken("b", SAFE))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","a"')] ^= 1
    back = reread(tmp_path, bytes(data))
    assert not back.disabled_endpoints
    assert list(back.messages) == ["b"]
    assert back.recovered.missing_records == 1


def test_messages_known_by_later_records_alone_end_by_a_notice(tmp_path: Path) -> None:
    store = filled(tmp_path)
    store.accept(taken("z"))
    store.record_attempt(store.messages["z"], 0, 70, "s1")
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","z"')] ^= 1
    back = reread(tmp_path, bytes(data))
    assert back.orphaned_ids == {"z"}
    assert all(m.is_doubtful for m in back.messages.values())
    assert not may_resend_after_loss(ONCE)
    assert may_resend_after_loss(SAFE)


def old_format(lines: list[tuple[Any, ...]]) -> bytes:
    payloads = [json.dumps(line).encode() + b"\n" for line in lines]
    return b"".join(VERSION1_FRAME_HEAD.pack(len(p), zlib.crc32(p)) + p for p in payloads)


def test_a_journal_of_before_the_header_is_carried_over(tmp_path: Path) -> None:
    lines = [("owed", "m", "failed", 0, None), ("ban", "s1", 5), ("outage", "s2", 7, -1)]
    (tmp_path / "journal").write_bytes(old_format(lines) + b"torn")
    back = MessageStore(tmp_path, MB).take_ownership()
    assert back.recovered.version == 1
    assert back.recovered.torn_bytes == 4
    assert not back.recovered.is_damaged
    for store in (back, MessageStore(tmp_path, MB)):
        assert (list(store.pending_notices), store.disabled_endpoints, store.ejections) == (
            ["m"],
            {"s1": 5},
            {"s2": (7, -1)},
        )
    assert MessageStore(tmp_path, MB).recovered.version == 3


def test_a_newer_journal_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    head = HEADER_COPY.pack(MAGIC, 4, 0, 1)
    data = 2 * (head + HEADER_CHECK.pack(zlib.crc32(head))) + b"what this may be"
    (tmp_path / "journal").write_bytes(data)
    with pytest.raises(NewerFormatError, match="version 4"):
        MessageStore(tmp_path, MB)
    assert (tmp_path / "journal").read_bytes() == data
    assert state(["check", str(tmp_path)]) == 2


# Generations


def generations(folder: Path) -> MessageStore:
    """Two snapshots that count, with journals before, between and after them."""
    store = MessageStore(folder, MB, salt=1234).take_ownership()
    for n in range(40):
        store.accept(taken(f"m{n}", ONCE if n % 2 else SAFE))
        store.record_attempt(store.messages[f"m{n}"], 0, 50, "s1")
        if n >= 5:
            store.end_message(f"m{n - 5}")
        if n in (10, 25):
            store.begin_snapshot()
        store.flush()
    while store.files.snapshot_writer is not None:
        store.write_snapshot_step()
    return store


def files(folder: Path) -> set[str]:
    return {path.name for path in folder.iterdir()}


def same(back: MessageStore, whole: MessageStore) -> bool:
    return (back.messages, back.ended_ids.keys(), back.pending_notices, back.disabled_endpoints) == (
        whole.messages,
        whole.ended_ids.keys(),
        whole.pending_notices,
        whole.disabled_endpoints,
    ) and back.message_bytes == whole.message_bytes


def test_the_generation_before_is_kept_and_stands_in_for_a_bad_snapshot(tmp_path: Path) -> None:
    whole = generations(tmp_path)
    assert files(tmp_path) == {"snapshot-2", "journal-2", "snapshot-3", "journal"}
    assert same(MessageStore(tmp_path, MB), whole)
    data = (tmp_path / "snapshot-3").read_bytes()
    for at in range(0, len(data), 7):
        spoilt = data[:at] + bytes([data[at] ^ 16]) + data[at + 1 :]
        back = reread(tmp_path, spoilt, "snapshot-3")
        assert same(back, whole) and not any(m.is_doubtful for m in back.messages.values()), at
        assert back.recovered.damaged_files == ["snapshot-3"]
        assert back.recovered.snapshot_generation == 2
    back.take_ownership()
    assert files(tmp_path) == {"snapshot-4", "journal", "snapshot-3.bad-1"}
    assert same(MessageStore(tmp_path, MB), whole)


@pytest.mark.parametrize(
    ("lost", "doubt", "held"),
    [("snapshot-3", False, 5), ("journal-2", False, 5), ("snapshot-2", False, 5), ("journal", True, 5)],
)
def test_each_file_that_is_gone(tmp_path: Path, lost: str, doubt: bool, held: int) -> None:
    """What the newest snapshot makes needless is not missed; a journal since is noticed."""
    whole = generations(tmp_path)
    (tmp_path / lost).unlink()
    back = MessageStore(tmp_path, MB).take_ownership()
    assert len(back.messages) == held
    assert all(m.is_doubtful is doubt for m in back.messages.values())
    assert back.recovered.missing_files == doubt
    assert doubt or same(back, whole)


def test_a_journal_that_was_set_back_is_told_from_one_that_is_being_replaced(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, MB).take_ownership()
    store.accept(taken("a"))
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


def test_who_dies_while_the_journal_is_replaced_and_dies_again_at_the_next_start_misses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole = generations(tmp_path)
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
            MessageStore(tmp_path, MB).take_ownership()
    monkeypatch.undo()
    back = MessageStore(tmp_path, MB).take_ownership()
    assert not back.recovered.is_damaged
    assert same(back, whole)
    assert back.files.generation == 4
    assert not (tmp_path / "journal.new").exists()


def test_a_closed_journal_that_is_cut_or_gone_makes_all_doubtful_that_was_held(tmp_path: Path) -> None:
    whole = generations(tmp_path)
    (tmp_path / "snapshot-3").unlink()
    data = (tmp_path / "journal-2").read_bytes()
    for size in (0, 30, 100, len(data) - 60, len(data) - 1):
        back = reread(tmp_path, data[:size], "journal-2")
        assert back.recovered.is_damaged
        assert all(m.is_doubtful for m in back.messages.values() if m.id not in whole.messages)
    (tmp_path / "journal-2").unlink()
    assert MessageStore(tmp_path, MB).recovered.missing_files == 1


def test_a_snapshot_is_written_in_steps_while_records_go_on(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 60 * MB).take_ownership()
    for n in range(1500):
        store.accept(taken(f"m{n}", SAFE, b"x" * 3000))
    store.flush()
    store.begin_snapshot()
    steps = 0
    while store.files.snapshot_writer is not None:
        before = store.files.snapshot_writer.size_bytes
        store.accept(taken(f"n{steps}", SAFE))
        store.end_message(f"m{7 * steps}")
        store.flush()
        steps += 1
        if store.files.snapshot_writer is not None:
            assert store.files.snapshot_writer.size_bytes - before <= 2 * journal_writer.SNAPSHOT_STEP_BYTES
        elif steps < 1500 // 7:
            assert same(MessageStore(tmp_path, 60 * MB), store)
    assert steps > 100
    assert store.compactions == 1


def test_within_the_limit_the_generation_before_goes_first_then_all_is_written_anew(tmp_path: Path) -> None:
    limit, seen = 900_000, set[str]()
    store = MessageStore(tmp_path, limit).take_ownership()
    for n in range(4000):
        if store.has_capacity_for(600):
            store.accept(taken(f"m{n}", SAFE, b"x" * 200))
        if len(store.messages) > (20 if n < 1500 else 400):
            store.end_message(next(iter(store.messages)))
        store.flush()
        seen |= files(tmp_path)
        assert sum(disk_bytes(path) for path in tmp_path.iterdir()) <= limit, n
    assert not store.write_failed
    assert store.compactions > 3
    assert len(store.messages) > 200
    assert same(MessageStore(tmp_path, limit), store)
    assert any(name.startswith("journal-") for name in seen)


@pytest.mark.parametrize("call", ["open", "write", "replace", "unlink"])
def test_a_failed_call_while_files_change_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """The disk full, or an error, at each call of a snapshot, a switch and a compaction, one after the other."""
    for at in range(1, 12):
        folder = tmp_path / str(at)
        store, left = MessageStore(folder, MB, salt=9).take_ownership(), [at]
        real = getattr(os, call)

        def fails(*args: Any, real: Any = real, left: list[int] = left, **named: Any) -> Any:
            left[0] -= 1
            if left[0] == 0:
                raise OSError(28, "no space left on device")
            return real(*args, **named)

        store.accept(taken("a"))
        store.flush()
        monkeypatch.setattr(os, call, fails)
        for n in range(6):
            store.accept(taken(f"b{n}"))
            if n in (1, 3):
                store.begin_snapshot()
            if n == 5:
                store.compact()
            store.flush()
        monkeypatch.setattr(os, call, real)
        store.accept(taken("c"))
        store.flush()
        back = MessageStore(folder, MB)
        assert back.messages.keys() == store.messages.keys() and not store.write_failed, at
        assert not any(m.is_doubtful for m in back.messages.values())
        store.close()


def test_a_folder_that_becomes_read_only_ends_nothing_and_is_written_anew_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = MessageStore(tmp_path, MB).take_ownership()
    for n in range(200):
        store.accept(taken(f"m{n}", SAFE, b"x" * 500))
    store.flush()
    store.begin_snapshot()

    def refused(*args: Any, **named: Any) -> None:
        raise OSError(30, "Read-only file system")

    for call in ("write", "ftruncate", "unlink", "replace", "open"):
        monkeypatch.setattr(os, call, refused)
    for name in ("a", "b"):
        store.accept(taken(name, SAFE))
        store.flush()
    assert store.write_failed
    assert not store.has_capacity_for(10)
    assert store.files.snapshot_writer is None
    monkeypatch.undo()
    patience = time.monotonic() + 20
    while not store.retry() and time.monotonic() < patience:  # with no new work, and no sooner than its pause is over
        time.sleep(0.01)
    store.end_message("m0")
    assert store.flush()
    assert not store.write_failed
    assert same(MessageStore(tmp_path, MB), store)
    assert {"a", "b"} <= store.messages.keys()


@pytest.mark.parametrize("name", ["journal", "snapshot-3"])
@pytest.mark.parametrize("how", ["link", "folder", "no rights to read"])
def test_what_is_no_plain_file_is_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, how: str
) -> None:
    """A snapshot has another to stand in for it; a journal has not, and the folder is left as it is."""
    folder = tmp_path / "s"
    folder.mkdir()
    whole, path, real = generations(folder), folder / name, os.open
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
        before = files(folder)
        with pytest.raises(OSError):
            MessageStore(folder, MB)
        assert files(folder) == before
    else:
        assert same(MessageStore(folder, MB).take_ownership(), whole)
        monkeypatch.undo()
        assert same(MessageStore(folder, MB), whole)
        assert "snapshot-3.bad-1" in files(folder)


NAMES = st.sampled_from(["m1", "m2", "m3", "m4"])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "take",
                "attempt",
                "outcome",
                "over",
                "owe",
                "told",
                "ban",
                "crash",
                "compact",
                "torn",
                "snapshot",
                "snapshot",
            ]
        ),
        NAMES,
    ),
    max_size=60,
)


@profile(derandomize=True, max_examples=120, deadline=None)
@given(STEPS, st.integers(0, 2**32 - 1))
def test_the_store_is_a_plain_dictionary_that_survives_crashes(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, str]], noise: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 1)  # one record of a snapshot a round
        survives(tmp_path_factory, steps, noise)


def survives(tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, str]], noise: int) -> None:
    folder = tmp_path_factory.mktemp("s")
    store = MessageStore(folder, MB).take_ownership()
    model: dict[str, tuple[int, int]] = {}  # attempts, out
    owed: set[str] = set()
    bans: set[str] = set()
    over: set[str] = set()
    for what, name in steps:
        held = name in model
        if what == "take" and not held and name not in over:
            store.accept(taken(name))
            model[name] = (0, 0)
        elif what == "attempt" and held and not model[name][1]:
            store.record_attempt(store.messages[name], model[name][0], 5, "s1")
            model[name] = (model[name][0] + 1, 1)
        elif what == "outcome" and held and model[name][1]:
            store.record_outcome(store.messages[name], model[name][0] - 1, True)
            model[name] = (model[name][0], 0)
        elif what in ("over", "owe") and held:
            store.end_message(name) if what == "over" else store.add_pending_notice(name, "failed", 0)
            owed |= {name} if what == "owe" else set()
            over.add(name)
            del model[name]
        elif what == "told" and name in owed:
            store.acknowledge_notice(name)
            owed.discard(name)
        elif what == "ban":
            store.disable_endpoint(name, -1 if name in bans else 9)
            bans ^= {name}
        elif what in ("crash", "torn"):
            store.close()
            if what == "torn":
                with (folder / "journal").open("ab") as file:
                    file.write(
                        encode_record_frame(store.salt, store.writer.record_number + 1, ("over", name))[
                            : 1 + noise % 20
                        ]
                    )
            store = MessageStore(folder, MB).take_ownership()
        elif what == "compact":
            store.flush()
            assert store.compact()
        elif what == "snapshot" and store.files.snapshot_writer is None:
            store.begin_snapshot()
        store.flush()
        assert {n: (m.attempts, len(m.in_flight)) for n, m in store.messages.items()} == model
        assert set(store.pending_notices) == owed
        assert set(store.disabled_endpoints) == bans
        assert over <= set(store.ended_ids)
        assert not store.recovered.is_damaged
        assert not any(m.is_doubtful for m in store.messages.values())
    store.close()


# Identity


def test_a_folder_knows_whose_it_is_and_how_often_it_was_started(tmp_path: Path) -> None:
    found, start = identity.claim_folder(tmp_path, "n1")
    assert found is None
    assert start is identity.StartKind.FIRST
    first = identity.record_start(found, tmp_path, "n1", 99)
    again, start = identity.claim_folder(tmp_path, "n1")
    assert again == first
    assert start is identity.StartKind.AGAIN
    assert identity.record_start(again, tmp_path, "n1", 99).start_count == 2
    with pytest.raises(ForeignStateError, match="folder of n1, not of n2"):
        identity.claim_folder(tmp_path, "n2")
    data = bytearray((tmp_path / "identity").read_bytes())
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 4
        (tmp_path / "identity").write_bytes(spoilt)
        found = identity.read_identity(tmp_path)
        assert found is None or found == Identity("n1", first.folder_id, 2, 99)
    (tmp_path / "identity").write_bytes(b"")
    assert identity.claim_folder(tmp_path, "n1") == (None, identity.StartKind.UNKNOWN)


@pytest.mark.parametrize(
    ("spoil", "status", "verdict"),
    [
        (lambda folder: None, 0, "sound"),
        (lambda folder: (folder / "journal").write_bytes((folder / "journal").read_bytes()[:-5]), 0, "sound"),
        (lambda folder: (folder / "journal").write_bytes((folder / "journal").read_bytes()[5:]), 1, "damaged"),
        (lambda folder: (folder / "identity").write_bytes(b"?"), 1, "damaged"),
        (lambda folder: ((folder / "journal").unlink(), (folder / "journal").mkdir()), 2, "unreadable"),
    ],
    ids=["sound", "torn", "damaged", "identity", "no file"],
)
def test_a_folder_is_checked_without_touching_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], spoil: Any, status: int, verdict: str
) -> None:
    filled(tmp_path)
    identity.record_start(None, tmp_path, "n1", 1234)
    spoil(tmp_path)
    before = {p.name: p.read_bytes() for p in tmp_path.iterdir() if p.is_file()}
    assert state(["check", str(tmp_path)]) == status
    assert json.loads(capsys.readouterr().out)["verdict"] == verdict
    assert state(["show", str(tmp_path), "--human"]) == status
    assert f"verdict: {verdict}" in capsys.readouterr().out
    assert before == {p.name: p.read_bytes() for p in tmp_path.iterdir() if p.is_file()}


def test_a_folder_whose_files_are_replaced_meanwhile_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    whole, real, left = generations(tmp_path), JournalFiles.read, [2]

    def read(self: JournalFiles, name: str) -> bytes:
        if left[0] and name == "journal":  # a snapshot begins, and ends, just before it is read
            left[0] -= 1
            whole.begin_snapshot()
            while whole.files.snapshot_writer is not None:
                whole.write_snapshot_step()
        return real(self, name)

    monkeypatch.setattr(JournalFiles, "read", read)
    assert state(["show", str(tmp_path)]) == 0
    assert not left[0]
    told = json.loads(capsys.readouterr().out)
    assert {m["id"] for m in told["messages"]} == whole.messages.keys()
    assert told["verdict"] == "sound"


def test_a_process_on_a_damaged_folder_ends_what_it_must_not_send_again(tmp_path: Path) -> None:
    async def scene() -> None:
        platform, peer = await Platform().start(), await Peer(hang).start()
        platform.host("s1", peer.port)
        node = await Node(tmp_path, platform).start()
        assert (await node.hand_in("ran", cls="pay"))[0] == 202
        await peer.got(1)
        assert (await node.hand_in("safe", cls="status"))[0] == 202
        await node.end()
        path = tmp_path / "state/journal"
        data = bytearray(path.read_bytes())
        data[data.find(b'"attempt","ran"')] ^= 1
        path.write_bytes(data)
        peer.handler = always(OK)
        await node.start()
        assert (await platform.notice("ran"))["state"] == "failed"
        await peer.got(2)
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
