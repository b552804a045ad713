"""Selects the files of a folder that make up its state, and reads them.

The state consists of the newest undamaged snapshot and all journals since that snapshot was started. The previous
generation is kept too while there is enough disk space. A snapshot is written in steps while records are appended to
the journal, so it may contain changes that the journal of its generation repeats, which is harmless: it is a fuzzy
checkpoint, as in ARIES (Mohan et al. 1992, section 5.4).

Consequences of a loss:

- If records are missing between others or at the end of a closed journal, every message accepted before may have taken
  effect or ended, because a lost record may have said so. Such messages are marked as doubtful.
- If a snapshot is damaged, the previous one is used with all journals since, and nothing is lost. If there is no
  previous one, the undamaged records of the damaged snapshot are used, and all its messages are doubtful.
- If the record that enables an endpoint again is lost, the endpoint stays disabled.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from forwarder.storage.file_names import (
    CLOSED_JOURNAL_PREFIX,
    JOURNAL,
    NEW_JOURNAL,
    SNAPSHOT_PREFIX,
    closed_journal_name,
    generations,
    snapshot_name,
)
from forwarder.storage.record_format import FORMAT_VERSION, GENERATION_MASK
from forwarder.storage.scan import JournalScan, ScannedRecord, scan_journal, scan_snapshot
from forwarder.storage.schema import is_journal_closed

ReadFile = Callable[[str], bytes]
"""Returns the content of the file with this name; raises OSError."""
HALF_GENERATION_RANGE = (GENERATION_MASK + 1) // 2


@dataclass(slots=True)
class RecoveredJournal:
    """The content of all the files of a folder that make up its state."""

    scans: dict[str, JournalScan] = field(default_factory=dict)
    """The files that make up the state, by name, in the order in which they are read."""
    damaged_files: list[str] = field(default_factory=list)
    """Names of damaged files and of snapshots that were skipped."""
    snapshot_generation: int = 0
    """The generation of the snapshot that the state starts from; 0 if there is none."""
    journal_generation: int = 1
    """The generation of the active journal, or of the one to start."""
    missing_files: int = 0
    is_tail_lost: bool = False
    """Whether records may be missing after the last one that was read."""

    @property
    def is_damaged(self) -> bool:
        """Whether any committed data is damaged or missing."""
        return bool(self.damaged_files or self.missing_files)

    @property
    def last_scan(self) -> JournalScan:
        """The scan of the active journal."""
        return self.scans.get(JOURNAL, JournalScan())

    @property
    def version(self) -> int:
        """The oldest format version among the files."""
        return min((scan.version for scan in self.scans.values()), default=FORMAT_VERSION)

    @property
    def salt(self) -> int | None:
        """The folder's salt, if any file contains it."""
        return next((scan.salt for scan in self.scans.values() if scan.salt is not None), None)

    @property
    def torn_bytes(self) -> int:
        """The length of the active journal's torn tail."""
        return self.last_scan.torn_bytes

    @property
    def damaged_ranges(self) -> list[tuple[str, int, int]]:
        """Damaged ranges, each with its file name, start offset and end offset (exclusive)."""
        return [(name, *offsets) for name, scan in self.scans.items() for offsets in scan.damaged_ranges]

    @property
    def missing_records(self) -> int:
        """The number of records that are known to be missing."""
        return sum(scan.missing_records for scan in self.scans.values())

    def describe_damage(self, doubtful_messages: int, orphaned_ids: int) -> str:
        """Returns a description of the damage to the journal; empty if there is none.

        Args:
            doubtful_messages: the number of doubtful messages.
            orphaned_ids: the number of messages of which only later records remain.
        """
        if not self.is_damaged:
            return ""
        damaged_bytes = sum(end - start for _, start, end in self.damaged_ranges)
        missing_files = f", {self.missing_files} files" if self.missing_files else ""
        at_end = ", and more at its end" if self.is_tail_lost else ""
        return (
            f"damaged in {len(self.damaged_ranges)} places, {damaged_bytes} bytes; "
            f"{self.missing_records} records are missing{missing_files}{at_end}; "
            f"{doubtful_messages} messages are in doubt, {orphaned_ids} known by their id alone"
        )

    def records(self) -> Iterator[ScannedRecord]:
        """Yields all undamaged records in order, once: the records of each file are released when it is reached."""
        for scan in self.scans.values():
            records, scan.records = scan.records, []
            yield from records


def recover_journal(names: Iterable[str], read: ReadFile, salt: int | None = None) -> RecoveredJournal:
    """Selects the files that make up the state, and reads them.

    Args:
        names: the names of all files in the folder.
        read: returns the content of a file.
        salt: the folder's salt from its identity, if known.

    Raises:
        NewerFormatError: a file has a format version that this program does not support.
        OSError: a required file cannot be read.
    """
    present = set(names)
    recovered = RecoveredJournal()
    base_generation = _read_base_snapshot(present, read, salt, recovered)
    salt = recovered.salt if salt is None else salt
    closed_generations = [g for g in generations(present, CLOSED_JOURNAL_PREFIX) if g >= base_generation]
    expected = _read_closed_journals(closed_generations, base_generation or 1, read, salt, recovered)
    recovered.journal_generation = expected
    is_first_journal = not (base_generation or closed_generations)
    if JOURNAL in present:
        scan = scan_journal(read(JOURNAL), salt)
        generation = _nearest_generation(scan.generation, expected) if scan.has_header else expected
        if generation >= expected or is_first_journal:
            recovered.journal_generation = generation
            _add_journal(recovered, JOURNAL, scan, follows_gap=generation > expected)
            return recovered
    # While a journal is being replaced, a `journal.new` without records exists.
    if not is_first_journal and NEW_JOURNAL not in present:
        recovered.missing_files += 1
        recovered.is_tail_lost = True
    return recovered


def _read_closed_journals(
    closed_generations: list[int], expected: int, read: ReadFile, salt: int | None, recovered: RecoveredJournal
) -> int:
    """Reads the closed journals of these generations and returns the generation expected next."""
    for generation in closed_generations:
        name = closed_journal_name(generation)
        _add_journal(recovered, name, scan_journal(read(name), salt), follows_gap=generation > expected)
        expected = generation + 1
    return expected


def _nearest_generation(low_bits: int, newest: int) -> int:
    """Returns the generation with these low 16 bits that is nearest to the newest known generation."""
    distance = (low_bits - newest + HALF_GENERATION_RANGE) & GENERATION_MASK
    return newest + distance - HALF_GENERATION_RANGE


def _read_base_snapshot(present: set[str], read: ReadFile, salt: int | None, recovered: RecoveredJournal) -> int:
    """Reads the newest undamaged snapshot, or else the undamaged records of the newest snapshot.

    Returns:
        The generation of the snapshot; 0 if there is none.

    Raises:
        OSError: there is no undamaged snapshot, and at least one cannot be read.
    """
    damaged: dict[int, JournalScan] = {}
    unreadable: OSError | None = None
    for generation in reversed(generations(present, SNAPSHOT_PREFIX)):
        name = snapshot_name(generation)
        try:
            scan = scan_snapshot(read(name), salt)
        except OSError as error:
            unreadable = error
            recovered.damaged_files.append(name)
            continue
        if not scan.is_damaged and not scan.torn_bytes:
            recovered.scans[name] = scan
            recovered.snapshot_generation = generation
            return generation
        recovered.damaged_files.append(name)
        damaged[generation] = scan
    if unreadable is not None:
        raise unreadable
    if damaged:
        recovered.snapshot_generation = max(damaged)
        recovered.scans[snapshot_name(recovered.snapshot_generation)] = damaged[recovered.snapshot_generation]
        recovered.is_tail_lost = True
    return recovered.snapshot_generation


def _add_journal(recovered: RecoveredJournal, name: str, scan: JournalScan, follows_gap: bool) -> None:
    """Adds the next journal; a closed journal without its closing record has lost its end.

    Args:
        recovered: the files read so far, which the journal is added to.
        name: the journal's name.
        scan: the journal's content.
        follows_gap: whether a journal before this one is missing.
    """
    is_closed = bool(scan.records) and is_journal_closed(scan.records[-1].line)
    if name != JOURNAL and not is_closed:
        scan.is_tail_lost = True
        scan.torn_bytes = 0
        scan.damaged_ranges = scan.damaged_ranges or [(scan.valid_bytes, scan.valid_bytes)]
    scan.records = [record for record in scan.records if not is_journal_closed(record.line)]
    if scan.records and (follows_gap or recovered.is_tail_lost):
        scan.records[0] = scan.records[0]._replace(is_after_loss=True)
        recovered.is_tail_lost = False
    recovered.missing_files += follows_gap
    recovered.is_tail_lost = recovered.is_tail_lost or scan.is_tail_lost
    if scan.is_damaged:
        recovered.damaged_files.append(name)
    recovered.scans[name] = scan
