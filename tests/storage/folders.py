"""Folders of stored state that the tests of the storage share."""

from __future__ import annotations

from pathlib import Path

from forwarder.decisions.settings import Effect, MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

SAFE = MessageClass("safe", 10**6, 10**7)
ONCE = MessageClass("once", 10**6, 10**7, Effect.ONCE, in_order=True)
MAX_BYTES = 3_000_000

MESSAGES = {"a", "b", "c", "f", "g", "h"}
"""The messages of `fill_folder` that have not ended."""

SNAPSHOT = "snapshot-2"


def accepted_message(name: str, message_class: MessageClass = ONCE, body: bytes = b"body\n\0") -> AcceptedMessage:
    """A message as it was accepted; one that keeps its order has a key of its own."""
    key = f"k-{name}" if message_class is ONCE else None
    return AcceptedMessage(name, message_class, 7, 10**15, key, None, body * 3)


def fill_folder(folder: Path) -> MessageStore:
    """A snapshot and a journal with nearly every kind of record."""
    store = MessageStore(folder, MAX_BYTES, salt=1234).take_ownership()
    store.accept(accepted_message("old"))
    store.end_message("old")
    store.accept(accepted_message("g", SAFE))
    store.accept(accepted_message("h"))
    store.flush()
    assert store.compact()
    store.record_endpoint_list(41, {"s1": {"host": "s1", "health": "up"}, "s2": {"host": "s2", "health": "up"}}, 10)
    for name, cls in (("a", ONCE), ("b", SAFE), ("c", ONCE), ("d", ONCE), ("e", SAFE)):
        store.accept(accepted_message(name, cls))
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


def reread(folder: Path, data: bytes, name: str = "journal") -> MessageStore:
    """The store that a start finds once a file holds this."""
    (folder / name).write_bytes(data)
    return MessageStore(folder, MAX_BYTES, salt=1234)


def assert_nothing_wrong_is_believed(back: MessageStore, whole: MessageStore) -> None:
    """Every message is as it was, and none that may have run can run again unless it is doubtful."""
    for name, message in back.messages.items():
        assert name in MESSAGES or message.is_doubtful, f"{name} has ended"
        if name in whole.messages:
            original = whole.messages[name]
            assert (message.body, message.message_class, message.due_us, message.key) == (
                original.body,
                original.message_class,
                original.due_us,
                original.key,
            )
    attempted = back.messages.get("a")
    if attempted is not None and not attempted.is_doubtful:
        assert attempted.in_flight or attempted.maybe_ran_at_us >= 0, "an attempt was forgotten"
    assert set(back.pending_notices) <= {"e"}
    assert set(back.disabled_endpoints) <= {"s2"}


def two_generations(folder: Path) -> MessageStore:
    """Two snapshots that count, with journals before, between and after them."""
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
    """The names of all files in a folder."""
    return {path.name for path in folder.iterdir()}


def has_same_state(back: MessageStore, whole: MessageStore) -> bool:
    """Whether messages, ended ids, pending notices and disabled endpoints are the same, and their sizes."""
    return (back.messages, back.ended_ids.keys(), back.pending_notices, back.disabled_endpoints) == (
        whole.messages,
        whole.ended_ids.keys(),
        whole.pending_notices,
        whole.disabled_endpoints,
    ) and back.message_bytes == whole.message_bytes
