"""The `[journal]` table of the extensions file: whether accepted messages also survive events such as a power cut.

- `none`: plain writes, as without the table. All records survive the end of the process; a power cut may lose the
  newest ones.
- `interval`: the journal is synced at intervals. A power cut loses at most the records of one interval.
- `data`: no 202, call or notice leaves before the records that precede it are synced. One sync covers all records that
  were written in the meantime (group commit).

Each sync runs on a separate thread, so that it does not block the event loop.

A failed sync never counts as a successful one and is not retried on the same file, because the kernel may mark pages
clean that were not written. Instead the whole journal is written to a new file and that file is synced. No waiting
callback is called until this succeeds.
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
"""Delay before each attempt to rewrite the journal after a failed sync."""
log = logging.getLogger("forwarder.durable")


class Durability(Enum):
    """The values of the key `durability`."""

    NONE = "none"
    INTERVAL = "interval"
    DATA = "data"


@dataclass(frozen=True, slots=True)
class DurabilityExtensionFactory:
    """The settings of the table `[journal]`."""

    durability: Durability
    interval_s: float
    """Time between two syncs at the level `interval`."""
    descriptors: int = 0
    """Number of descriptors that the extension needs."""

    def __call__(self, engine: ExtensionHost) -> DurabilityExtension:
        """Creates the extension for one engine."""
        return DurabilityExtension(engine, self)


def prepare(table: ExtensionTable, config: Config) -> DurabilityExtensionFactory:
    """Reads the table.

    Raises:
        ConfigError: a value is invalid; the message names its key.
    """
    value = table.value("durability", None)
    values = [durability.value for durability in Durability]
    if value not in values:
        raise table.error("durability", f"is {value!r}, not one of {', '.join(values)}")
    return DurabilityExtensionFactory(Durability(value), table.number("interval_s", 1.0, 0.01, 3600.0))


class Syncer:
    """Syncs the journal and then calls the waiting callbacks in order. Use it only on the thread of the event loop."""

    def __init__(self, store: MessageStore, sync: Callable[[int], None] = os.fdatasync) -> None:
        """Starts without waiting callbacks.

        Args:
            store: the store whose journal is synced.
            sync: waits until the data of a descriptor would survive a power cut; raises OSError.
        """
        self.store = store
        self.sync = sync
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[tuple[int, Callable[[], None]]] = deque()
        """Waiting callbacks, each with the number of the last write that must be synced before its call."""
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
        """Whether records that were written may be missing from the files.

        This is so after a sync failed here, or after a write or sync of the store failed, for example at the switch to
        a new journal. A later sync of the same file does not report such a loss.
        """
        return self.sync_failed or self.store.write_failed

    def call_when_synced(self, callback: Callable[[], None], wrote: bool = True) -> None:
        """Calls the callback once everything written so far is synced.

        Args:
            callback: the function to call.
            wrote: whether anything was written since the previous call; if not, and no callback is waiting, the
                callback is called immediately.
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
            fd = os.dup(self.store.fd)  # a compaction may close the store's descriptor during the sync
            threading.Thread(target=self._sync_on_thread, args=(fd, self.last_written), daemon=True).start()
        except (OSError, RuntimeError) as error:  # out of descriptors or threads at the moment
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
        with suppress(RuntimeError):  # the loop has ended, so no callback is waiting
            self.loop.call_soon_threadsafe(self._end_sync, last_written, failure, duration_s)

    def _end_sync(self, last_written: int, failure: OSError | None, duration_s: float) -> None:
        self.is_syncing = False
        self.sync_count += 1
        self.longest_sync_s = max(self.longest_sync_s, duration_s)
        if failure is not None:
            self._note_failure(failure)
        elif not self.may_lack_records:  # the store may have failed during the sync
            self._release(last_written)
        self._begin_sync()

    def _note_failure(self, error: Exception) -> None:
        self.failure_count += 1
        if not self.sync_failed:
            log.error("journal: sync failed: %s; nothing is acknowledged or sent until a sync succeeds", error)
        self.sync_failed = True

    def _rewrite(self) -> None:
        """Writes the journal to a new file, which is synced before it replaces the old one."""
        self.is_syncing = False
        if self.is_closed:
            return
        last_written = self.last_written
        if self.store.compact():
            log.warning("journal: rewritten and synced")
            self.sync_failed = False
            self._release(last_written)
        else:
            self.failure_count += 1
        self._begin_sync()

    def _release(self, last_written: int) -> None:
        """Calls the callbacks that wait for this write or an earlier one."""
        while self.waiting and self.waiting[0][0] <= last_written:
            self.waiting.popleft()[1]()

    def close(self) -> None:
        """Syncs for the last time.

        The journal is not rewritten after this: following a hand-over it belongs to another process.
        """
        self.is_closed = True
        try:
            self.sync(self.store.fd)
        except OSError as error:
            log.error("journal: final sync failed: %s", error)

    def sync_now(self) -> bool:
        """Syncs or rewrites on the calling thread and calls all waiting callbacks; returns whether that succeeded."""
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
    """Provides the durability that the table configures."""

    name = "journal"

    def __init__(self, engine: ExtensionHost, settings: DurabilityExtensionFactory) -> None:
        """Makes the store sync the files that replace others, unless the level is `none`."""
        self.engine = engine
        self.settings = settings
        self.syncer: Syncer | None = None
        self.timer: asyncio.TimerHandle | None = None
        engine.store.durable = settings.durability is not Durability.NONE
        self.commands: CommandTable = {}

    async def open(self) -> None:
        """Syncs the records written during the start, and starts regular syncs."""
        if self.settings.durability is Durability.NONE:
            return
        self.syncer = Syncer(self.engine.store)
        self.syncer.sync_now()
        if self.settings.durability is Durability.DATA:
            self.engine.use_syncer(self.syncer)
        else:
            self.tick()

    def tick(self) -> None:
        """Starts one sync per interval if the previous one has ended."""
        assert self.syncer is not None
        if not self.syncer.waiting:
            self.syncer.call_when_synced(lambda: None)
        self.timer = asyncio.get_running_loop().call_later(self.settings.interval_s, self.tick)

    def abort(self) -> None:
        """Stops the interval timer and syncs for the last time."""
        if self.timer is not None:
            self.timer.cancel()
        if self.syncer is not None:
            self.syncer.close()

    def describe_state(self) -> str:
        """Returns the status shown to operators."""
        level = self.settings.durability.value
        syncer = self.syncer
        if syncer is None:
            return level
        return (
            f"{level}: {syncer.sync_count} syncs, {syncer.longest_sync_s * 1000:.1f} ms the longest, "
            f"{len(syncer.waiting)} wait, {syncer.max_waiting} at most; {syncer.failure_count} failed"
            f"{', and nothing is let go' if syncer.may_lack_records else ''}"
        )
