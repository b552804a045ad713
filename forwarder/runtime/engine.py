"""One running forwarder: builds its collaborators, and runs from the start to the end of the process.

The engine itself makes no decisions. Each job has its own module: `decision_loop` (rounds of events and actions),
`intake` (submissions), `effects` (what leaves the process), `endpoint_list`, `startup`, `reload`, `handover`,
`shutdown` and `periodic_checks`.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import socket
from collections.abc import Sequence

from forwarder.admin.commands import AdminCommands
from forwarder.admin.server import AdminServer, CommandRefusedError
from forwarder.clients.drain import ClientDrain
from forwarder.clients.listener import bind
from forwarder.clients.server import MAX_OVERSHOOT, ClientServer
from forwarder.config.config import Config, EndpointList
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import Event
from forwarder.decisions.settings import Settings
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import Notifier
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.endpoints.pool import ConnectionPool
from forwarder.runtime.decision_loop import DecisionLoop
from forwarder.runtime.effects import Effects
from forwarder.runtime.endpoint_list import EndpointListUpdates
from forwarder.runtime.extension import Extension, ExtensionFactory, Syncer
from forwarder.runtime.folder_ownership import FolderOwnership
from forwarder.runtime.handover import HandoverSender, adopt_calls, adopt_clients, adopt_notice_connection
from forwarder.runtime.handover_format import HandoverDescription
from forwarder.runtime.intake import SubmissionIntake
from forwarder.runtime.invariants import Invariants
from forwarder.runtime.memory_planning import UNPLANNED, log_memory_plan, plan_process_memory
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.runtime.pending_notices import PendingNotices
from forwarder.runtime.periodic_checks import PeriodicChecks
from forwarder.runtime.reason_counts import ReasonCounts
from forwarder.runtime.reload import ConfigReloader, socket_settings
from forwarder.runtime.run_state import RunState
from forwarder.runtime.shutdown import GracefulShutdown
from forwarder.runtime.startup import NO_LIST_VERSION, recover_state
from forwarder.runtime.startup_phase import StartupProgress
from forwarder.runtime.state_log import open_descriptors
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage import identity
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.store import MessageStore

ADMIN_RETRY_S = 1.0
"""Delay before the admin address is bound again after a failure."""
MIN_CONNECTIONS = 8
"""Lowest connection limit, for clients and for endpoints each, however few descriptors there are."""
log = logging.getLogger("forwarder.engine")


class Engine:
    """Builds one forwarder from its configuration and its folder, and runs it."""

    def __init__(
        self,
        config: Config,
        ownership: Ownership,
        admin: AdminServer,
        client_socket: socket.socket,
        handover: HandoverState | None = None,
        extensions: Sequence[ExtensionFactory] = (),
        clock: AnchoredClock | None = None,
    ) -> None:
        """Reads the journal but writes nothing: until `run` is called, another process may own the state folder.

        Raises:
            OSError: the state folder cannot be read.
            NewerFormatError: a newer version of the program wrote the journal.
            ForeignStateError: the state folder belongs to another forwarder.
        """
        self.config = config
        self.ownership = ownership
        self.admin = admin
        self.client_socket = client_socket
        self.handover = handover
        description = HandoverDescription() if handover is None else handover.description
        self.clock = clock or AnchoredClock(config.state_folder, description.clock_base_ns)
        settings = socket_settings(config.settings)
        self.run_state = RunState()
        self.reasons = ReasonCounts()
        self.supervisor = Supervisor()
        self.identity, self.start_kind = identity.claim_folder(config.state_folder, config.name)
        self.store = self._open_store(settings)
        self.invariants = Invariants(self.store, self.reasons)
        self.dispatcher = Dispatcher(settings, config.seed, self.clock())
        self.endpoint_table = EndpointTable(
            settings.kinds, description.endpoint_numbers or {}, description.destinations
        )
        self.memory_plan = UNPLANNED
        self.extensions: list[Extension] = []
        self._build_server_and_pool(settings, sum(factory.descriptors for factory in extensions))
        self._build_discovery()
        self._build_loop()
        self.endpoint_lists = EndpointListUpdates(self)
        self.commands = AdminCommands(self)
        self.reloader = ConfigReloader(self)
        self.reloader.accepted = description.accepted_config
        self.shutdown = GracefulShutdown(self)
        self.handover_sender = HandoverSender(self)
        self.folder_ownership = FolderOwnership(self, self.handover_sender.hand_over)
        self.checks = PeriodicChecks(self, self.folder_ownership)
        self.extensions += [make_extension(self) for make_extension in extensions]
        self.watch.version = recover_state(self)
        self.plan_memory()
        self.startup_progress = StartupProgress(self.clock(), self.store.messages)

    def _open_store(self, settings: Settings) -> MessageStore:
        classes = {message_class.name: message_class for message_class in settings.classes}
        salt = None if self.identity is None else self.identity.salt
        return MessageStore(self.config.state_folder, self.config.disk_bytes, classes, salt, self.ownership.acquire)

    def _build_server_and_pool(self, settings: Settings, extension_descriptors: int) -> None:
        """Builds the client server and the endpoint connection pool, each with a share of the file descriptors.

        The remaining descriptors are for files, discovery and the listener.
        """
        self.intake = SubmissionIntake(
            self.config.settings, self.clock, self.store, self.endpoint_table, self.reasons, self.run_state, self.post
        )
        descriptors = min(self.config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        client_connections = descriptors // 2 - MAX_OVERSHOOT - extension_descriptors
        self.server = ClientServer(
            settings,
            self.clock,
            max(MIN_CONNECTIONS, client_connections),
            self.intake.submit,
            self.reasons,
            self.supervisor,
        )
        self.pool = ConnectionPool(
            self.clock,
            self.post,
            self.config.report_fields,
            settings.idle_timeout_us,
            settings.connect_timeout_us,
            max(MIN_CONNECTIONS, descriptors // 3),
            self.reasons,
            self.invariants,
            self.supervisor,
        )
        self.pool.descriptor_reserve = self.server.descriptor_reserve
        self.drain = ClientDrain(self.server, self.supervisor)

    def _build_discovery(self) -> None:
        """Builds the endpoint list watch and the notifier of the platform."""
        self.pending_notices = PendingNotices(self.store, self.invariants, self.clock, self.post)
        self.notices = Notifier(self.config.discovery, self.pending_notices, self.supervisor)
        self.intake.can_report_ends = self.notices.is_reachable
        self.watch = EndpointListWatch(
            self.config.discovery,
            NO_LIST_VERSION,
            self._receive_endpoint_list,
            self.handover is not None,
            self.supervisor,
        )

    def _build_loop(self) -> None:
        """Builds the decision loop, and the effects that carry out its decisions."""
        self.effects = Effects(
            self.store,
            self.pool,
            self.endpoint_table,
            self.invariants,
            self.reasons,
            self.supervisor,
            self.post,
            self.intake.reject_submission,
            self.intake.reject_unavailable,
        )
        self.loop = DecisionLoop(
            self.clock,
            self.dispatcher,
            self.store,
            self.effects,
            self.intake,
            self.watch,
            self.notices,
            self.extensions,
            self.run_state,
            self.supervisor,
        )

    # Methods for the collaborators, the extensions and the admin interface

    def post(self, event: Event) -> None:
        """Passes an event to the decisions in the next round."""
        self.loop.post(event)

    def apply_command(self, event: Event) -> None:
        """Records and applies an operator's command before the operator is answered.

        Raises:
            CommandRefusedError: the command has taken effect, but a power cut would undo it.
        """
        self.store.flush()
        self.publish_serving_endpoints()
        self.loop.events.append(event)
        self.loop.run_round()
        if not self.loop.sync_barrier():
            raise CommandRefusedError("done, but the journal cannot be synced: a power cut would undo it")

    def endpoint_number(self, name: str) -> int:
        """Returns the number by which the decisions know an endpoint."""
        return self.endpoint_table.number(name, self.store.disabled_endpoints)

    def use_syncer(self, syncer: Syncer) -> None:
        """Delays, from now on, the effects of a round until its records are synced."""
        self.loop.syncer = syncer

    def _receive_endpoint_list(self, endpoint_list: EndpointList | None) -> None:
        self.endpoint_lists.receive(endpoint_list)

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Applies an endpoint list, complete or partial."""
        self.endpoint_lists.apply(endpoint_list)

    def publish_serving_endpoints(self) -> None:
        """Tells the pool and the extensions which endpoints may be called: the last check before a call is written."""
        self.endpoint_lists.publish_serving()

    def start_draining(self) -> None:
        """Drains the clients; accepted messages are still delivered."""
        self.drain.start()
        for extension in self.extensions:
            extension.start_draining()

    # Lifetime of the process

    async def run(self) -> None:
        """Serves until a shutdown is complete. The journal is written from here on."""
        self.identity = identity.count_start(self.identity, self.config.name, self.store.salt)
        if self.ownership.has_lock:
            self.clock.store_anchor()
        self.store.take_ownership()
        self.folder_ownership.begin_to_write()
        log.info("start %d of %s: %s", self.identity.start_count, self.identity.folder_id, self.start_kind.value)
        self._log_descriptors()
        self.plan_memory()
        log_memory_plan(self.memory_plan)
        self.watch.limit_lists(self.memory_plan.endpoint_list_bytes)
        if self.handover is not None:
            await adopt_calls(self, self.handover)
            await adopt_notice_connection(self, self.handover)
        self.supervisor.guard("reload", self.reloader.begin)
        self.ownership.call_at_previous_end(self.reloader.catch_up)
        self.loop.run_round()
        self.notices.keep_connected()
        self.notices.wake()
        self.admin.commands = self.commands.table()  # operators that were handed over called a serving process
        if self.handover is not None:
            await adopt_clients(self, self.handover)
        self.server.listen(self.client_socket, handed_over=self.handover is not None)
        for extension in self.extensions:
            await extension.open()
        admin_listening = self.supervisor.keep_running("control", self._listen_for_operators)
        self.folder_ownership.begin_to_hand_over()
        log.info("ready")
        self.startup_progress.mark_ready(self.clock())
        checking = self.checks.start()
        await self.shutdown.done.wait()
        checking.cancel()
        admin_listening.cancel()
        await self._close()

    def _log_descriptors(self) -> None:
        soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        log.info(
            "descriptors: %d configured, %d allowed (hard limit %d), %d open; at most %d clients, "
            "%d connections to endpoints",
            self.config.max_sockets,
            soft_limit,
            hard_limit,
            open_descriptors(),
            self.server.max_connections,
            self.pool.max_connections,
        )

    def plan_memory(self) -> None:
        """Divides the memory anew by what the process takes now, for example for its endpoint list."""
        connections = self.server.max_connections + self.pool.max_connections
        held_bytes = self.server.request_memory.used_bytes
        self.memory_plan = plan_process_memory(self.config, connections, held_bytes)
        self.server.request_memory.set_limit(self.memory_plan.request_bytes, self.server.max_connections)

    async def _listen_for_operators(self) -> None:
        """Listens on the admin address once it is free, without delaying service to clients."""
        address = self.config.admin
        while address is not None and address not in self.admin.listeners:
            try:
                self.admin.listen(await bind(address))
            except OSError as error:
                log.warning("operators cannot call yet: %s", error)
                await asyncio.sleep(ADMIN_RETRY_S)

    async def _close(self) -> None:
        self.run_state.is_frozen = True
        self.run_state.is_closed = True
        for extension in self.extensions:
            self.supervisor.guard(extension.name, extension.abort)
        await self.supervisor.guarded("answers at the end", self.server.flush())
        for name, close in (
            ("server", self.server.close),
            ("control", self.admin.close),
            ("ownership", self.ownership.close),
            ("pool", self.pool.close),
            ("store", self.store.close),
        ):
            self.supervisor.guard(name, close)
