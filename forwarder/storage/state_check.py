"""Looks at a forwarder's folder, also one in use: python -m forwarder state check|show DIR. Reads only.

JSON, or lines for people with --human. Exit status: 0 sound, 1 damaged, 2 unreadable.
"""

from __future__ import annotations

import argparse
import json
import logging
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from typing import Any

from forwarder.storage import identity
from forwarder.storage.journal import NewerFormatError, may_resend
from forwarder.storage.store import MessageStore

SOUND, DAMAGED, UNREADABLE = 0, 1, 2
TRIES = 5


def settled(folder: Path, salt: int | None) -> MessageStore:
    """The state of a folder whose files were not replaced while they were read: one in use is read again, a few times.
    Raises OSError and NewerFormat.
    """
    for _ in range(TRIES - 1):
        before = sorted(path.name for path in folder.iterdir())
        with suppress(OSError):
            store = MessageStore(folder, sys.maxsize, salt=salt)
            if sorted(path.name for path in folder.iterdir()) == before:
                return store
    return MessageStore(folder, sys.maxsize, salt=salt)


def check(folder: Path) -> tuple[int, dict[str, Any], MessageStore | None]:
    """What a start would find in the folder: exit status, what to tell, and the state itself."""
    if not folder.is_dir():
        return UNREADABLE, {"verdict": "unreadable", "why": f"{folder} is no folder"}, None
    known = identity.read(folder)
    try:
        store = settled(folder, None if known is None else known.salt)
    except (OSError, NewerFormatError) as error:
        return UNREADABLE, {"verdict": "unreadable", "why": str(error)}, None
    found = store.found
    broken_identity = known is None and (folder / identity.FILE).exists()
    status = DAMAGED if found.damaged or broken_identity else SOUND
    told = {
        "verdict": "damaged" if status else "sound",
        "identity": "damaged" if broken_identity else None if known is None else asdict(known),
        "version": found.version,
        "files": [*found.scans],
        "bad": found.bad,
        "missing_files": found.gaps,
        "records": store.records,
        "torn_bytes": found.torn,
        "damaged": [list(region) for region in found.regions],
        "missing_records": found.missing,
        "more_missing_at_end": found.tail_lost,
        "saved": {
            "messages": len(store.messages),
            "owed": len(store.owed),
            "ended": len(store.ended),
            "bans": len(store.bans),
            "outages": len(store.outages),
            "hosts": len(store.hosts),
        },
        "lost": {
            "in_doubt": sorted(m.id for m in store.messages.values() if m.doubtful),
            "never_sent_again": sorted(m.id for m in store.messages.values() if m.doubtful and not may_resend(m.cls)),
            "known_by_id_alone": sorted(store.touched),
        },
        "set_aside": sorted(path.name for path in folder.glob("*.bad-*")),
    }
    return status, told, store


def show(store: MessageStore) -> dict[str, Any]:
    """The state itself."""
    return {
        "messages": [
            {
                "id": m.id,
                "class": m.cls.name,
                "destination": m.destination,
                "due_us": m.due_us,
                "key": m.key,
                "attempts": m.attempts,
                "ran_at_us": m.ran_at_us,
                "ran_on": m.ran_on,
                "bytes": len(m.body),
                "out": {str(n): list(sent) for n, sent in m.out.items()},
                "doubtful": m.doubtful,
            }
            for m in store.messages.values()
        ],
        "owed": {name: owed._asdict() for name, owed in store.owed.items()},
        "bans": store.bans,
        "outages": {h: list(o) for h, o in store.outages.items()},
        "list": {"seq": store.seq, "hosts": store.hosts},
    }


def human(told: dict[str, Any], indent: str = "") -> list[str]:
    """The same, a line each."""
    lines = []
    for key, value in told.items():
        if isinstance(value, dict):
            lines += [f"{indent}{key}:", *human(value, indent + "  ")]
        else:
            lines.append(f"{indent}{key}: {value}")
    return lines


def main(arguments: Sequence[str]) -> int:
    """Returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m forwarder state")
    parser.add_argument("what", choices=["check", "show"])
    parser.add_argument("folder", type=Path, metavar="DIR")
    parser.add_argument("--human", action="store_true", help="lines in place of JSON")
    asked = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    status, told, store = check(asked.folder)
    if asked.what == "show" and store is not None:
        told |= show(store)
    print("\n".join(human(told)) if asked.human else json.dumps(told, indent=1))
    return status
