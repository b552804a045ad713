"""`[journal]`: how far what was taken on outlasts more than the process. Syncs on a thread of its own; decides nothing.

- `none`: plain writes, as without the table: all outlasts the process, a power cut may take the newest.
- `interval`: synced every so often; a power cut takes at most so much.
- `data`: nothing leaves that a record precedes before that record is synced: no 202, no call, no notice. One sync
  serves all that has come meanwhile (group commit).

A sync that failed is never taken for one that worked, nor tried again on the same file, whose pages may be marked clean
though they were not written: the whole journal is written to a new file, and that one is synced. Until that works
nothing that waits is let go.

Option not chosen: sync within the round. It would be simpler, and the loop would stand still for each.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from forwarder.admin.server import CommandTable
from forwarder.config.config import Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.runtime.extension import BaseExtension, ExtensionHost
from forwarder.storage.store import MessageStore

LEVELS = ("none", "interval", "data")
AGAIN_S = 0.5
"""After a failed sync the journal is written anew this often, until that works."""
log = logging.getLogger("forwarder.durable")


@dataclass(frozen=True, slots=True)
class DurabilityExtensionFactory:
    """The table `[journal]`."""

    durability: str
    interval_s: float
    descriptors: int = 0

    def __call__(self, engine: ExtensionHost) -> DurabilityExtension:
        return DurabilityExtension(engine, self)


def prepare(table: ExtensionTable, config: Config) -> DurabilityExtensionFactory:
    """Raises ConfigError, naming the key."""
    level = table.take("durability", None)
    if level not in LEVELS:
        raise table.error("durability", f"is {level!r}, not one of {', '.join(LEVELS)}")
    return DurabilityExtensionFactory(level, table.number("interval_s", 1.0, 0.01, 3600.0))


class Syncer:
    """Lets go what waits for a sync, in its order. `after` and `barrier` are called by the loop's thread alone."""

    def __init__(self, store: MessageStore, sync: Callable[[int], None] = os.fdatasync) -> None:
        self.store, self.sync = store, sync
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[tuple[int, Callable[[], None]]] = deque()
        """What waits, each for all that was written up to its number."""
        self.written = 0
        self.busy = False
        self.broken = False
        self.syncs, self.failures, self.longest_s, self.most_waiting = 0, 0, 0.0, 0
        self.closed = False

    @property
    def unsure(self) -> bool:
        """Whether the files may lack what was written: by a failed sync here, or a failed write or sync of the store's,
        such as at the switch to a new journal. No later sync of the same file can tell.
        """
        return self.broken or self.store.failed

    def after(self, done: Callable[[], None], wrote: bool = True) -> None:
        """Call it when all that is written now is synced; at once if nothing was written since and nothing waits."""
        if not wrote and not self.waiting:
            done()
            return
        self.written += 1
        self.waiting.append((self.written, done))
        self.most_waiting = max(self.most_waiting, len(self.waiting))
        self._begin()

    def _begin(self) -> None:
        if self.busy or self.closed or not self.waiting:
            return
        self.busy = True
        if self.unsure:
            self.loop.call_later(AGAIN_S, self._anew)
            return
        try:
            fd = os.dup(self.store.fd)  # a compaction may close the store's own meanwhile
            threading.Thread(target=self._run, args=(fd, self.written), daemon=True).start()
        except (OSError, RuntimeError) as error:  # no descriptor, or no thread, is to be had just now
            self._failed(error)
            self.loop.call_later(AGAIN_S, self._anew)

    def _run(self, fd: int, number: int) -> None:
        began, error = time.monotonic(), None
        try:
            self.sync(fd)
        except OSError as found:
            error = found
        finally:
            os.close(fd)
        try:
            self.loop.call_soon_threadsafe(self._ran, number, error, time.monotonic() - began)
        except RuntimeError:
            pass  # the loop has ended: nothing waits any more

    def _ran(self, number: int, error: OSError | None, took_s: float) -> None:
        self.busy = False
        self.syncs, self.longest_s = self.syncs + 1, max(self.longest_s, took_s)
        if error is not None:
            self._failed(error)
        elif not self.unsure:  # the store may have failed meanwhile
            self._let_go(number)
        self._begin()

    def _failed(self, error: Exception) -> None:
        self.failures += 1
        if not self.broken:
            log.error("journal: cannot be synced: %s; nothing is acknowledged or sent until it is", error)
        self.broken = True

    def _anew(self) -> None:
        """The journal in a new file, which is synced before it takes the old one's place."""
        self.busy = False
        if self.closed:
            return
        number = self.written
        if self.store.compact():
            log.warning("journal: written anew and synced")
            self.broken = False
            self._let_go(number)
        else:
            self.failures += 1
        self._begin()

    def _let_go(self, number: int) -> None:
        while self.waiting and self.waiting[0][0] <= number:
            self.waiting.popleft()[1]()

    def close(self) -> None:
        """The last sync. Nothing is written anew any more: after an upgrade the journal is another process's."""
        self.closed = True
        try:
            self.sync(self.store.fd)
        except OSError as error:
            log.error("journal: the last sync failed: %s", error)

    def barrier(self) -> bool:
        """Sync here and now, and let go all that waits. Whether that worked."""
        number = self.written
        try:
            if self.unsure:
                raise OSError("an earlier write or sync failed")
            self.sync(self.store.fd)
        except OSError as error:
            self._failed(error)
            if not self.store.compact():
                return False
            self.broken = False
        self._let_go(number)
        return True


class DurabilityExtension(BaseExtension):
    """The level that the table asks for."""

    name = "journal"

    def __init__(self, engine: ExtensionHost, told: DurabilityExtensionFactory) -> None:
        self.engine, self.told = engine, told
        self.syncer: Syncer | None = None
        self.timer: asyncio.TimerHandle | None = None
        engine.store.durable = told.durability != "none"
        self.commands: CommandTable = {}

    async def open(self) -> None:
        if self.told.durability == "none":
            return
        self.syncer = Syncer(self.engine.store)
        self.syncer.barrier()  # what the start has written
        if self.told.durability == "data":
            self.engine.use_syncer(self.syncer)
        else:
            self.tick()

    def tick(self) -> None:
        """One sync an interval, if the one before has ended."""
        assert self.syncer is not None
        if not self.syncer.waiting:
            self.syncer.after(lambda: None)
        self.timer = asyncio.get_running_loop().call_later(self.told.interval_s, self.tick)

    def abort(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.syncer is not None:
            self.syncer.close()

    def describe_state(self) -> str:
        s = self.syncer
        if s is None:
            return self.told.durability
        return (
            f"{self.told.durability}: {s.syncs} syncs, {s.longest_s * 1000:.1f} ms the longest, "
            f"{len(s.waiting)} wait, {s.most_waiting} at most; {s.failures} failed"
            f"{', and nothing is let go' if s.unsure else ''}"
        )
