"""The command that looks at a folder."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage import identity
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.state_check import main as state
from tests.storage.folders import (
    fill_folder,
    two_generations,
)


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    """`state` is silent but for what it prints, as long as its process lives; here others follow."""
    yield
    logging.disable(logging.NOTSET)


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
    fill_folder(tmp_path)
    identity.record_start(identity.count_start(None, "n1", 1234), tmp_path)
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
    whole, real, left = two_generations(tmp_path), JournalFiles.read, [2]

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
