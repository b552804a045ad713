"""State folders with sample content, and helpers to inspect them, shared by the storage tests."""

from __future__ import annotations

from pathlib import Path

from forwarder.decisions.settings import Effect, MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

SAFE = MessageClass("safe", 10**6, 10**7)
ONCE = MessageClass("once", 10**6, 10**7, Effect.ONCE, in_order=True)
MAX_BYTES = 3_000_000

LIVE_MESSAGE_IDS = {"a", "b", "c", "f", "g", "h"}
"""Ids of the messages of `fill_folder` that have not ended."""

SNAPSHOT = "snapshot-2"


def accepted_message(message_id: str, message_class: MessageClass = ONCE, body: bytes = b"body\n\0") -> AcceptedMessage:
    """Returns a newly accepted message; one of an ordered class has its own key."""
    key = f"k-{message_id}" if message_class is ONCE else None
    return AcceptedMessage(message_id, message_class, 7, 10**15, key, None, body * 3)


def fill_folder(folder: Path) -> MessageStore:
    """Writes a snapshot and a journal with nearly every kind of record."""
    store = MessageStore(folder, MAX_BYTES, salt=1234).take_ownership()
    store.accept(accepted_message("old"))
    store.end_message("old")
    store.accept(accepted_message("g", SAFE))
    store.accept(accepted_message("h"))
    store.flush()
    assert store.compact()
    store.record_endpoint_list(41, {"s1": {"host": "s1", "health": "up"}, "s2": {"host": "s2", "health": "up"}}, 10)
    for message_id, message_class in (("a", ONCE), ("b", SAFE), ("c", ONCE), ("d", ONCE), ("e", SAFE)):
        store.accept(accepted_message(message_id, message_class))
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
    store.accept(accepted_message("f"))
    store.flush()
    return store


def reopen_with(folder: Path, data: bytes, name: str = "journal") -> MessageStore:
    """Replaces the content of a file and returns the store that a start would recover."""
    (folder / name).write_bytes(data)
    return MessageStore(folder, MAX_BYTES, salt=1234)


def assert_recovered_state_is_valid(reopened: MessageStore, original: MessageStore) -> None:
    """Checks that messages are unchanged, and that one that may have run is known as such or doubtful."""
    for message_id, message in reopened.messages.items():
        assert message_id in LIVE_MESSAGE_IDS or message.is_doubtful, f"{message_id} has ended"
        if message_id in original.messages:
            expected = original.messages[message_id]
            assert (message.body, message.message_class, message.due_us, message.key) == (
                expected.body,
                expected.message_class,
                expected.due_us,
                expected.key,
            )
    attempted = reopened.messages.get("a")
    if attempted is not None and not attempted.is_doubtful:
        assert attempted.in_flight or attempted.maybe_ran_at_us >= 0, "an attempt was forgotten"
    assert set(reopened.pending_notices) <= {"e"}
    assert set(reopened.disabled_endpoints) <= {"s2"}


def write_two_generations(folder: Path) -> MessageStore:
    """Writes two valid snapshots, with journals before, between and after them."""
    store = MessageStore(folder, MAX_BYTES, salt=1234).take_ownership()
    for n in range(40):
        store.accept(accepted_message(f"m{n}", ONCE if n % 2 else SAFE))
        store.record_attempt(store.messages[f"m{n}"], 0, 50, "s1")
        if n >= 5:
            store.end_message(f"m{n - 5}")
        if n in (10, 25):
            store.begin_snapshot()
        store.flush()
    while store.files.snapshot_writer is not None:
        store.write_snapshot_step()
    return store


def file_names(folder: Path) -> set[str]:
    """Returns the names of all files in a folder."""
    return {path.name for path in folder.iterdir()}


def has_same_state(reopened: MessageStore, original: MessageStore) -> bool:
    """Returns whether messages, their size, ended ids, pending notices and disabled endpoints are equal."""
    return (
        reopened.messages,
        reopened.ended_ids.keys(),
        reopened.pending_notices,
        reopened.disabled_endpoints,
    ) == (
        original.messages,
        original.ended_ids.keys(),
        original.pending_notices,
        original.disabled_endpoints,
    ) and reopened.message_bytes == original.message_bytes
