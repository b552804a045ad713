"""Reports on a forwarder's state folder: `python -m forwarder state check|show DIR`.

The command only reads, and also works on a folder that is in use. It prints JSON, or readable lines with --human. The
names in the output are those of the operator documentation. Exit status: 0 sound, 1 damaged, 2 unreadable.
"""

from __future__ import annotations

import argparse
import json
import logging
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import TypeAlias

from forwarder.storage.errors import NewerFormatError
from forwarder.storage.file_names import DAMAGED_MARK
from forwarder.storage.identity import is_identity_corrupt, read_identity
from forwarder.storage.messages import AcceptedMessage, may_resend_after_loss
from forwarder.storage.schema import Identity, encode_identity
from forwarder.storage.store import MessageStore

READ_ATTEMPTS = 5
Report: TypeAlias = dict[str, object]
"""The fields to print, in order."""


class Verdict(IntEnum):
    """The result of a check; the values are the exit statuses."""

    SOUND = 0
    DAMAGED = 1
    UNREADABLE = 2


@dataclass(frozen=True, slots=True)
class FolderCheck:
    """The result of a check: what a start would find in the folder."""

    verdict: Verdict
    report: Report
    store: MessageStore | None = None
    """The recovered state; None if it is unreadable."""


def read_consistent_state(folder: Path, salt: int | None) -> MessageStore:
    """Returns the state of a folder, read while none of its files was replaced.

    If files were replaced, because the folder is in use, it is read again a few times.

    Args:
        folder: the state folder.
        salt: the folder's salt from its identity, if known.

    Raises:
        OSError: the folder cannot be read.
        NewerFormatError: a file has a format version that this program does not support.
    """
    for _ in range(READ_ATTEMPTS - 1):
        names_before = _file_names(folder)
        with suppress(OSError):
            store = MessageStore(folder, sys.maxsize, salt=salt)
            if _file_names(folder) == names_before:
                return store
    return MessageStore(folder, sys.maxsize, salt=salt)


def check_folder(folder: Path) -> FolderCheck:
    """Checks what a start would find in the folder.

    Raises:
        OSError: the identity cannot be read.
    """
    if not folder.is_dir():
        return _unreadable(f"{folder} is no folder")
    identity = read_identity(folder)
    try:
        store = read_consistent_state(folder, None if identity is None else identity.salt)
    except (OSError, NewerFormatError) as error:
        return _unreadable(str(error))
    is_corrupt = is_identity_corrupt(folder, identity)
    verdict = Verdict.DAMAGED if store.recovered.is_damaged or is_corrupt else Verdict.SOUND
    report: Report = {
        "verdict": verdict.name.lower(),
        "identity": "damaged" if is_corrupt else _show_identity(identity),
        **_show_files(store),
        "saved": _count_saved(store),
        "lost": _list_lost(store),
        "set_aside": sorted(path.name for path in folder.glob(f"*{DAMAGED_MARK}*")),
    }
    return FolderCheck(verdict, report, store)


def show_state(store: MessageStore) -> Report:
    """Returns the messages, notices, disabled endpoints, ejections and endpoint list of the state."""
    return {
        "messages": [_show_message(message) for message in store.messages.values()],
        "owed": {
            message_id: {"state": notice.state, "after_ms": notice.retry_after_ms, "key": notice.key}
            for message_id, notice in store.pending_notices.items()
        },
        "bans": store.disabled_endpoints,
        "outages": {name: list(ejection) for name, ejection in store.ejections.items()},
        "list": {"seq": store.endpoint_list_version, "hosts": store.endpoints},
    }


def human_lines(report: Mapping[str, object], indent: str = "") -> list[str]:
    """Returns a report as readable lines."""
    lines = []
    for key, value in report.items():
        if isinstance(value, dict):
            lines += [f"{indent}{key}:", *human_lines(value, indent + "  ")]
        else:
            lines.append(f"{indent}{key}: {value}")
    return lines


def main(arguments: Sequence[str]) -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(prog="python -m forwarder state")
    parser.add_argument("what", choices=["check", "show"])
    parser.add_argument("folder", type=Path, metavar="DIR")
    parser.add_argument("--human", action="store_true", help="lines in place of JSON")
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    check = check_folder(options.folder)
    report = check.report
    if options.what == "show" and check.store is not None:
        report = report | show_state(check.store)
    print("\n".join(human_lines(report)) if options.human else json.dumps(report, indent=1))
    return check.verdict


def _file_names(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


def _unreadable(reason: str) -> FolderCheck:
    return FolderCheck(Verdict.UNREADABLE, {"verdict": "unreadable", "why": reason})


def _show_identity(identity: Identity | None) -> Report | None:
    return None if identity is None else encode_identity(identity)


def _show_files(store: MessageStore) -> Report:
    recovered = store.recovered
    return {
        "version": recovered.version,
        "files": [*recovered.scans],
        "bad": recovered.damaged_files,
        "missing_files": recovered.missing_files,
        "records": store.replay.records_read,
        "torn_bytes": recovered.torn_bytes,
        "damaged": [list(damaged_range) for damaged_range in recovered.damaged_ranges],
        "missing_records": recovered.missing_records,
        "more_missing_at_end": recovered.is_tail_lost,
    }


def _count_saved(store: MessageStore) -> Report:
    return {
        "messages": len(store.messages),
        "owed": len(store.pending_notices),
        "ended": len(store.ended_ids),
        "bans": len(store.disabled_endpoints),
        "outages": len(store.ejections),
        "hosts": len(store.endpoints),
    }


def _list_lost(store: MessageStore) -> Report:
    doubtful = [message for message in store.messages.values() if message.is_doubtful]
    return {
        "in_doubt": sorted(message.id for message in doubtful),
        "never_sent_again": sorted(
            message.id for message in doubtful if not may_resend_after_loss(message.message_class)
        ),
        "known_by_id_alone": sorted(store.orphaned_ids),
    }


def _show_message(message: AcceptedMessage) -> Report:
    return {
        "id": message.id,
        "class": message.message_class.name,
        "destination": message.destination,
        "due_us": message.due_us,
        "key": message.key,
        "attempts": message.attempts,
        "ran_at_us": message.maybe_ran_at_us,
        "ran_on": message.maybe_ran_on,
        "bytes": len(message.body),
        "out": {str(number): list(attempt) for number, attempt in message.in_flight.items()},
        "doubtful": message.is_doubtful,
    }
