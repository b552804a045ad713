"""What the runtime asks of an extension, and what an extension may use of the runtime."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from forwarder.admin.server import CommandTable
from forwarder.config.config import Address, Config
from forwarder.decisions.actions import Action
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import Event
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.endpoints.pool import ConnectionPool
from forwarder.runtime.run_state import RunState
from forwarder.runtime.startup_phase import StartupProgress
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.identity import StartKind
from forwarder.storage.schema import Identity
from forwarder.storage.store import MessageStore


class Syncer(Protocol):
    """Makes what was written outlast a power cut."""

    def call_when_synced(self, done: Callable[[], None], wrote: bool) -> None:
        """Calls `done` once all that is written now is synced; at once if nothing was written and nothing waits."""

    def sync_now(self) -> bool:
        """Syncs here and now, and lets all that waits go on. Returns whether that worked."""


class ExtensionHost(Protocol):
    """The forwarder, as extensions see it."""

    config: Config
    clock: AnchoredClock
    identity: Identity | None
    start_kind: StartKind
    store: MessageStore
    dispatcher: Dispatcher
    endpoint_table: EndpointTable
    pool: ConnectionPool
    supervisor: Supervisor
    run_state: RunState
    startup_progress: StartupProgress

    def post(self, event: Event) -> None:
        """Tells the decisions of an event, in the next round."""

    def apply_command(self, event: Event) -> None:
        """Records and applies what an operator has asked for, in a round of its own.

        Raises:
            CommandRefusedError: it is done, but a power cut would undo it.
        """

    def endpoint_number(self, name: str) -> int:
        """Returns the number by which the decisions know an endpoint."""

    def use_syncer(self, syncer: Syncer) -> None:
        """From now on, what a record precedes waits until that record is synced."""


class Extension(Protocol):
    """What a table of the parts file turns on."""

    name: str

    @property
    def commands(self) -> CommandTable:
        """Commands for operators, beside the forwarder's own."""

    async def open(self) -> None:
        """Begins to serve.

        Raises:
            OSError: its address is taken.
        """

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Applies what a round has decided for it; actions that are meant for others are passed over."""

    def update_endpoints(self, addresses: dict[int, Address]) -> None:
        """The endpoints that may be called, or their addresses, have changed."""

    def start_draining(self) -> None:
        """Clients are drained: nothing new begins."""

    def stop_draining(self) -> None:
        """The drain is over."""

    def is_busy(self) -> bool:
        """Returns whether something is in progress that the end of the process should wait for."""

    def abort(self) -> None:
        """Ends everything at once. Not one callback more may run after it."""

    def reload(self) -> None:
        """Reads files again that it goes by (SIGHUP)."""

    def describe_state(self) -> str:
        """Returns its state in a few words, for the log."""


class BaseExtension:
    """An extension that does nothing on any occasion; subclasses override what they need."""

    async def open(self) -> None:
        """Nothing to open."""

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Nothing to apply."""

    def update_endpoints(self, addresses: dict[int, Address]) -> None:
        """Nothing depends on the endpoints."""

    def start_draining(self) -> None:
        """Nothing to end."""

    def stop_draining(self) -> None:
        """Nothing to begin."""

    def is_busy(self) -> bool:
        """Nothing is in progress."""
        return False

    def abort(self) -> None:
        """Nothing to end."""

    def reload(self) -> None:
        """Nothing to read."""


class ExtensionFactory(Protocol):
    """Makes an extension, from its table of the parts file."""

    @property
    def descriptors(self) -> int:
        """The file descriptors that it takes at most; clients of messages have so many fewer."""

    def __call__(self, host: ExtensionHost, /) -> Extension:
        """Makes it. The host is complete but for its journal, which is not recovered yet."""
