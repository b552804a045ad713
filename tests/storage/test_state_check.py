"""Tests of the command that checks a state folder."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage import identity
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.state_check import main as run_state_command
from tests.storage.folders import (
    fill_folder,
    write_two_generations,
)


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    """Enables logging again: the command disables it for the rest of the process, which here runs other tests."""
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize(
    ("damage", "status", "verdict"),
    [
        (lambda folder: None, 0, "sound"),
        (lambda folder: (folder / "journal").write_bytes((folder / "journal").read_bytes()[:-5]), 0, "sound"),
        (lambda folder: (folder / "journal").write_bytes((folder / "journal").read_bytes()[5:]), 1, "damaged"),
        (lambda folder: (folder / "identity").write_bytes(b"?"), 1, "damaged"),
        (lambda folder: ((folder / "journal").unlink(), (folder / "journal").mkdir()), 2, "unreadable"),
    ],
    ids=["sound", "torn", "damaged", "identity", "no file"],
)
def test_a_folder_is_checked_without_being_changed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], damage: Any, status: int, verdict: str
) -> None:
    fill_folder(tmp_path)
    identity.record_start(identity.count_start(None, "n1", 1234), tmp_path)
    damage(tmp_path)
    before = {p.name: p.read_bytes() for p in tmp_path.iterdir() if p.is_file()}
    assert run_state_command(["check", str(tmp_path)]) == status
    assert json.loads(capsys.readouterr().out)["verdict"] == verdict
    assert run_state_command(["show", str(tmp_path), "--human"]) == status
    assert f"verdict: {verdict}" in capsys.readouterr().out
    assert before == {p.name: p.read_bytes() for p in tmp_path.iterdir() if p.is_file()}


def test_a_folder_whose_files_are_replaced_during_the_check_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    store, real_read, replacements_left = write_two_generations(tmp_path), JournalFiles.read, [2]

    def read(self: JournalFiles, name: str) -> bytes:
        if replacements_left[0] and name == "journal":  # a snapshot is written just before the journal is read
            replacements_left[0] -= 1
            store.begin_snapshot()
            while store.files.snapshot_writer is not None:
                store.write_snapshot_step()
        return real_read(self, name)

    monkeypatch.setattr(JournalFiles, "read", read)
    assert run_state_command(["show", str(tmp_path)]) == 0
    assert not replacements_left[0]
    report = json.loads(capsys.readouterr().out)
    assert {m["id"] for m in report["messages"]} == store.messages.keys()
    assert report["verdict"] == "sound"
