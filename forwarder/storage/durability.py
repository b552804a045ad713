"""`[journal]` of the extensions file: whether accepted messages outlast more than the process, such as a power cut.

- `none`: plain writes, as without the table: all outlasts the process, a power cut may take the newest.
- `interval`: synced at intervals; a power cut takes at most what came in one.
- `data`: nothing leaves that a record precedes before that record is synced: no 202, no call, no notice. One sync
  serves all that has come meanwhile (group commit).

Syncs run on a thread of their own, so that the event loop does not stand still for them.

A sync that failed is never taken for one that worked, nor tried again on the same file, whose pages may be marked clean
though they were not written: the whole journal is written to a new file, and that one is synced. Until that works
nothing that waits is released.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from forwarder.admin.server import CommandTable
from forwarder.config.config import Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.runtime.extension import BaseExtension, ExtensionHost
from forwarder.storage.store import MessageStore

REWRITE_RETRY_S = 0.5
"""After a failed sync the journal is written anew this often, until that works."""
log = logging.getLogger("forwarder.durable")


class Durability(Enum):
    """The values of `durability`."""

    NONE = "none"
    INTERVAL = "interval"
    DATA = "data"


@dataclass(frozen=True, slots=True)
class DurabilityExtensionFactory:
    """The table `[journal]`."""

    durability: Durability
    interval_s: float
    """Between two syncs with `interval`."""
    descriptors: int = 0
    """How many descriptors the extension needs."""

    def __call__(self, engine: ExtensionHost) -> DurabilityExtension:
        """Makes the extension for one engine."""
        return DurabilityExtension(engine, self)


def prepare(table: ExtensionTable, config: Config) -> DurabilityExtensionFactory:
    """Reads the table.

    Raises:
        ConfigError: a value is wrong; names its key.
    """
    value = table.take("durability", None)
    values = [durability.value for durability in Durability]
    if value not in values:
        raise table.error("durability", f"is {value!r}, not one of {', '.join(values)}")
    return DurabilityExtensionFactory(Durability(value), table.number("interval_s", 1.0, 0.01, 3600.0))


class Syncer:
    """Syncs the journal, and calls what waits for that, in its order. Used by the event loop's thread alone."""

    def __init__(self, store: MessageStore, sync: Callable[[int], None] = os.fdatasync) -> None:
        """Begins with nothing that waits.

        Args:
            store: whose journal is synced.
            sync: waits until a descriptor's data outlasts a power cut; raises OSError.
        """
        self.store = store
        self.sync = sync
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[tuple[int, Callable[[], None]]] = deque()
        """What waits, each for all that was written up to its number."""
        self.last_written = 0
        self.is_syncing = False
        self.sync_failed = False
        self.is_closed = False
        self.sync_count = 0
        self.failure_count = 0
        self.longest_sync_s = 0.0
        self.max_waiting = 0

    @property
    def may_lack_records(self) -> bool:
        """Whether the files may lack what was written.

        That is after a failed sync here, or a failed write or sync of the store's, such as at the switch to a new
        journal. No later sync of the same file can tell.
        """
        return self.sync_failed or self.store.write_failed

    def call_when_synced(self, callback: Callable[[], None], wrote: bool = True) -> None:
        """Calls back once all that is written now is synced.

        Args:
            callback: what waits.
            wrote: whether something was written since the last call; if not, and nothing waits, it is called at once.
        """
        if not wrote and not self.waiting:
            callback()
            return
        self.last_written += 1
        self.waiting.append((self.last_written, callback))
        self.max_waiting = max(self.max_waiting, len(self.waiting))
        self._begin_sync()

    def _begin_sync(self) -> None:
        if self.is_syncing or self.is_closed or not self.waiting:
            return
        self.is_syncing = True
        if self.may_lack_records:
            self.loop.call_later(REWRITE_RETRY_S, self._rewrite)
            return
        try:
            fd = os.dup(self.store.fd)  # a compaction may close the store's own meanwhile
            threading.Thread(target=self._sync_on_thread, args=(fd, self.last_written), daemon=True).start()
        except (OSError, RuntimeError) as error:  # no descriptor, or no thread, is to be had just now
            self._note_failure(error)
            self.loop.call_later(REWRITE_RETRY_S, self._rewrite)

    def _sync_on_thread(self, fd: int, last_written: int) -> None:
        started_s = time.monotonic()
        failure: OSError | None = None
        try:
            self.sync(fd)
        except OSError as error:
            failure = error
        finally:
            os.close(fd)
        duration_s = time.monotonic() - started_s
        with suppress(RuntimeError):  # the loop has ended: nothing waits any more
            self.loop.call_soon_threadsafe(self._end_sync, last_written, failure, duration_s)

    def _end_sync(self, last_written: int, failure: OSError | None, duration_s: float) -> None:
        self.is_syncing = False
        self.sync_count += 1
        self.longest_sync_s = max(self.longest_sync_s, duration_s)
        if failure is not None:
            self._note_failure(failure)
        elif not self.may_lack_records:  # the store may have failed meanwhile
            self._release(last_written)
        self._begin_sync()

    def _note_failure(self, error: Exception) -> None:
        self.failure_count += 1
        if not self.sync_failed:
            log.error("journal: cannot be synced: %s; nothing is acknowledged or sent until it is", error)
        self.sync_failed = True

    def _rewrite(self) -> None:
        """Writes the journal to a new file, which is synced before it takes the old one's place."""
        self.is_syncing = False
        if self.is_closed:
            return
        last_written = self.last_written
        if self.store.compact():
            log.warning("journal: written anew and synced")
            self.sync_failed = False
            self._release(last_written)
        else:
            self.failure_count += 1
        self._begin_sync()

    def _release(self, last_written: int) -> None:
        """Calls back what waits for no more than this number."""
        while self.waiting and self.waiting[0][0] <= last_written:
            self.waiting.popleft()[1]()

    def close(self) -> None:
        """Syncs a last time.

        Nothing is written anew from here on: after a hand-over the journal is another process's.
        """
        self.is_closed = True
        try:
            self.sync(self.store.fd)
        except OSError as error:
            log.error("journal: the last sync failed: %s", error)

    def sync_now(self) -> bool:
        """Syncs on the caller's thread, and calls back all that waits; returns whether that worked."""
        last_written = self.last_written
        try:
            if self.may_lack_records:
                raise OSError("an earlier write or sync failed")
            self.sync(self.store.fd)
        except OSError as error:
            self._note_failure(error)
            if not self.store.compact():
                return False
            self.sync_failed = False
        self._release(last_written)
        return True


class DurabilityExtension(BaseExtension):
    """The durability that the table asks for."""

    name = "journal"

    def __init__(self, engine: ExtensionHost, settings: DurabilityExtensionFactory) -> None:
        """Makes the store sync what replaces other files, if anything is to be synced."""
        self.engine = engine
        self.settings = settings
        self.syncer: Syncer | None = None
        self.timer: asyncio.TimerHandle | None = None
        engine.store.durable = settings.durability is not Durability.NONE
        self.commands: CommandTable = {}

    async def open(self) -> None:
        """Syncs what the start has written, and begins."""
        if self.settings.durability is Durability.NONE:
            return
        self.syncer = Syncer(self.engine.store)
        self.syncer.sync_now()
        if self.settings.durability is Durability.DATA:
            self.engine.use_syncer(self.syncer)
        else:
            self.tick()

    def tick(self) -> None:
        """Begins one sync an interval, if the one before has ended."""
        assert self.syncer is not None
        if not self.syncer.waiting:
            self.syncer.call_when_synced(lambda: None)
        self.timer = asyncio.get_running_loop().call_later(self.settings.interval_s, self.tick)

    def abort(self) -> None:
        """Ends the intervals, and syncs a last time."""
        if self.timer is not None:
            self.timer.cancel()
        if self.syncer is not None:
            self.syncer.close()

    def describe_state(self) -> str:
        """Returns what is shown to operators."""
        level = self.settings.durability.value
        syncer = self.syncer
        if syncer is None:
            return level
        return (
            f"{level}: {syncer.sync_count} syncs, {syncer.longest_sync_s * 1000:.1f} ms the longest, "
            f"{len(syncer.waiting)} wait, {syncer.max_waiting} at most; {syncer.failure_count} failed"
            f"{', and nothing is let go' if syncer.may_lack_records else ''}"
        )
