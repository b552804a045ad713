"""The interface of extensions, and the part of the runtime that extensions may use."""

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
    """Makes written records survive a power cut."""

    def call_when_synced(self, done: Callable[[], None], wrote: bool) -> None:
        """Calls `done` once everything written so far is synced; at once if nothing was written and nothing waits."""

    def sync_now(self) -> bool:
        """Syncs at once, and calls everything that waits. Returns whether the sync succeeded."""


class ExtensionHost(Protocol):
    """The forwarder as extensions see it."""

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
        """Passes an event to the decisions in the next round."""

    def apply_command(self, event: Event) -> None:
        """Records and applies an operator's command in a round of its own.

        Raises:
            CommandRefusedError: the command has taken effect, but a power cut would undo it.
        """

    def endpoint_number(self, name: str) -> int:
        """Returns the number by which the decisions know an endpoint."""

    def use_syncer(self, syncer: Syncer) -> None:
        """Delays, from now on, the effects of a round until its records are synced."""


class Extension(Protocol):
    """An optional component that a table of the parts file turns on."""

    name: str

    @property
    def commands(self) -> CommandTable:
        """Admin commands in addition to the forwarder's own."""

    async def open(self) -> None:
        """Starts serving.

        Raises:
            OSError: the address is already in use.
        """

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Applies those actions of a round that are meant for this extension."""

    def update_endpoints(self, addresses: dict[int, Address]) -> None:
        """Takes the addresses, by endpoint number, of the endpoints that may be called from now on."""

    def start_draining(self) -> None:
        """Begins nothing new from now on, as clients are being drained."""

    def stop_draining(self) -> None:
        """Serves normally again after a drain."""

    def is_busy(self) -> bool:
        """Returns whether work is in progress that the end of the process should wait for."""

    def abort(self) -> None:
        """Ends everything at once. No callback may run afterwards."""

    def reload(self) -> None:
        """Reads the files that the extension depends on again (SIGHUP)."""

    def describe_state(self) -> str:
        """Returns the state of the extension in a few words, for the log."""


class BaseExtension:
    """An extension whose methods do nothing; subclasses override what they need."""

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
    """Makes an extension from its table of the parts file."""

    @property
    def descriptors(self) -> int:
        """Maximum number of file descriptors of the extension, by which the limit of client connections is reduced."""

    def __call__(self, host: ExtensionHost, /) -> Extension:
        """Makes the extension. The host is complete, except that its journal is not recovered yet."""
