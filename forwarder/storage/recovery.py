"""Chooses the files of a folder that make its state, and reads them.

The newest snapshot that is undamaged and all journals since it was begun make the state; the generation before is kept
as well while there is capacity for it. A snapshot is written in steps while records go on, so it may hold some of what
the journal of its generation says too, which changes nothing: a fuzzy checkpoint, as in ARIES (Mohan and others 1992,
section 5.4).

What a loss means:

- Records that are missing before others, or at the end of a closed journal: every message that was accepted before may
  have taken effect and may have ended, since a lost record may have said so. It is marked as doubtful.
- A damaged snapshot is passed over for the one before it, with all journals since; nothing is lost with it. If there is
  no other, its undamaged records are used, and all that it holds is doubtful.
- Where the record that enables an endpoint again is lost, the endpoint stays disabled.
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
"""Returns the bytes of a file by its name; raises OSError."""
HALF_GENERATION_RANGE = (GENERATION_MASK + 1) // 2


@dataclass(slots=True)
class RecoveredJournal:
    """What a folder holds, over all the files that make its state."""

    scans: dict[str, JournalScan] = field(default_factory=dict)
    """The files that make the state, by name, in the order in which they are read."""
    damaged_files: list[str] = field(default_factory=list)
    """Names of files that are damaged, and of snapshots that were passed over."""
    snapshot_generation: int = 0
    """Of the snapshot that the state begins with; 0 for none."""
    journal_generation: int = 1
    """Of the journal that is written to, or is to be begun."""
    missing_files: int = 0
    is_tail_lost: bool = False
    """Whether more records may be missing after all that was read."""

    @property
    def is_damaged(self) -> bool:
        """Whether anything that had taken effect is damaged or missing."""
        return bool(self.damaged_files or self.missing_files)

    @property
    def last_scan(self) -> JournalScan:
        """The scan of the journal that is written to."""
        return self.scans.get(JOURNAL, JournalScan())

    @property
    def version(self) -> int:
        """The oldest format version among the files."""
        return min((scan.version for scan in self.scans.values()), default=FORMAT_VERSION)

    @property
    def salt(self) -> int | None:
        """The folder's salt, if any file tells it."""
        return next((scan.salt for scan in self.scans.values() if scan.salt is not None), None)

    @property
    def torn_bytes(self) -> int:
        """The length of the journal's torn tail."""
        return self.last_scan.torn_bytes

    @property
    def damaged_ranges(self) -> list[tuple[str, int, int]]:
        """Damaged stretches, each by file, first offset and the offset behind it."""
        return [(name, *damaged) for name, scan in self.scans.items() for damaged in scan.damaged_ranges]

    @property
    def missing_records(self) -> int:
        """How many records are known to be missing."""
        return sum(scan.missing_records for scan in self.scans.values())

    def describe_damage(self, doubtful_messages: int, orphaned_ids: int) -> str:
        """Returns what is wrong with the journal, in words; empty if nothing is.

        Args:
            doubtful_messages: how many messages are doubtful.
            orphaned_ids: of how many messages only later records are left.
        """
        if not self.is_damaged:
            return ""
        damaged_bytes = sum(end - first for _, first, end in self.damaged_ranges)
        missing_files = f", {self.missing_files} files" if self.missing_files else ""
        at_end = ", and more at its end" if self.is_tail_lost else ""
        return (
            f"damaged in {len(self.damaged_ranges)} places, {damaged_bytes} bytes; "
            f"{self.missing_records} records are missing{missing_files}{at_end}; "
            f"{doubtful_messages} messages are in doubt, {orphaned_ids} known by their id alone"
        )

    def records(self) -> Iterator[ScannedRecord]:
        """Yields all undamaged records in their order, once: each file's are released when it is begun."""
        for scan in self.scans.values():
            records, scan.records = scan.records, []
            yield from records


def recover_journal(names: Iterable[str], read: ReadFile, salt: int | None = None) -> RecoveredJournal:
    """Chooses the files that make the state, and reads them.

    Args:
        names: the names of all files in the folder.
        read: returns a file's bytes.
        salt: the folder's salt as its identity tells it.

    Raises:
        NewerFormatError: a file is of a version that this program does not know.
        OSError: a file that is needed cannot be read.
    """
    present = set(names)
    recovered = RecoveredJournal()
    base_generation = _read_base_snapshot(present, read, salt, recovered)
    salt = recovered.salt if salt is None else salt
    closed = [g for g in generations(present, CLOSED_JOURNAL_PREFIX) if g >= base_generation]
    expected = _read_closed_journals(closed, base_generation or 1, read, salt, recovered)
    recovered.journal_generation = expected
    is_first_journal = not (base_generation or closed)
    if JOURNAL in present:
        scan = scan_journal(read(JOURNAL), salt)
        generation = _nearest_generation(scan.generation, expected) if scan.has_header else expected
        if generation >= expected or is_first_journal:
            recovered.journal_generation = generation
            _add_journal(recovered, JOURNAL, scan, is_gap=generation > expected)
            return recovered
    # While a journal is being replaced there is a new one, which holds nothing yet.
    if not is_first_journal and NEW_JOURNAL not in present:
        recovered.missing_files += 1
        recovered.is_tail_lost = True
    return recovered


def _read_closed_journals(
    closed: list[int], expected: int, read: ReadFile, salt: int | None, recovered: RecoveredJournal
) -> int:
    """Reads the closed journals of these generations, and returns the generation that should come next."""
    for generation in closed:
        name = closed_journal_name(generation)
        _add_journal(recovered, name, scan_journal(read(name), salt), is_gap=generation > expected)
        expected = generation + 1
    return expected


def _nearest_generation(low_bits: int, newest: int) -> int:
    """Returns the generation with these low bits that is nearest to the newest one that is known."""
    distance = (low_bits - newest + HALF_GENERATION_RANGE) & GENERATION_MASK
    return newest + distance - HALF_GENERATION_RANGE


def _read_base_snapshot(present: set[str], read: ReadFile, salt: int | None, recovered: RecoveredJournal) -> int:
    """Begins with the newest undamaged snapshot, or else with what is undamaged of the newest.

    Returns:
        Its generation; 0 if there is no snapshot.

    Raises:
        OSError: no snapshot is undamaged, and one cannot be read.
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


def _add_journal(recovered: RecoveredJournal, name: str, scan: JournalScan, is_gap: bool) -> None:
    """Adds the next journal in their order; one that is closed without its last record has lost its end.

    Args:
        recovered: what was read before.
        name: the journal's name.
        scan: what it holds.
        is_gap: whether a journal before it is missing.
    """
    is_closed = bool(scan.records) and is_journal_closed(scan.records[-1].line)
    if name != JOURNAL and not is_closed:
        scan.is_tail_lost = True
        scan.torn_bytes = 0
        scan.damaged_ranges = scan.damaged_ranges or [(scan.sound_bytes, scan.sound_bytes)]
    scan.records = [record for record in scan.records if not is_journal_closed(record.line)]
    if scan.records and (is_gap or recovered.is_tail_lost):
        scan.records[0] = scan.records[0]._replace(is_after_loss=True)
        recovered.is_tail_lost = False
    recovered.missing_files += is_gap
    recovered.is_tail_lost = recovered.is_tail_lost or scan.is_tail_lost
    if scan.is_damaged:
        recovered.damaged_files.append(name)
    recovered.scans[name] = scan
