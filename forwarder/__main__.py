"""Starts one forwarder: `python -m forwarder`; with `state`, inspects a state folder instead."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import astuple
from typing import TypeVar

from forwarder.admin.server import AdminServer
from forwarder.clients.arrival_time import event_loop
from forwarder.clients.listener import bind
from forwarder.clients.server import BACKLOG
from forwarder.config.accepted_config import with_accepted
from forwarder.config.config import Address, Config, ConfigError, ConfigUnreadableError, load_config
from forwarder.protocol.checked_fields import MalformedInputError
from forwarder.runtime.engine import Engine
from forwarder.runtime.extension import ExtensionFactory
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.storage.errors import ForeignStateError, NewerFormatError

START_RETRY_TIMEOUT_S = 20.0
"""How long transient errors are retried; a start has to be ready within 30 s."""
START_RETRY_INTERVAL_S = 0.2
IN_USE_TIMEOUT_S = 0.1
"""The longest single wait for an address that another process holds; that process cannot take the lock meanwhile."""
SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
"""The signals that are handled while the forwarder runs, and blocked once it has ended."""
EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIG = 2
Result = TypeVar("Result")
log = logging.getLogger("forwarder")


def retry_transient(operation: Callable[[], Result], is_transient: Callable[[Exception], bool]) -> Result:
    """Runs an operation and retries it after transient errors, since ending the start on one would be a crash.

    Raises:
        ConfigUnreadableError, OSError: the error is not transient, or it has persisted for START_RETRY_TIMEOUT_S.
    """
    deadline_s = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return operation()
        except (ConfigUnreadableError, OSError) as error:
            if not is_transient(error) or time.monotonic() > deadline_s:
                raise
            log.error("cannot start yet; retrying: %s", error)
        time.sleep(START_RETRY_INTERVAL_S)


def is_transient_read_error(error: Exception) -> bool:
    """Returns whether the configuration may become readable shortly."""
    return isinstance(error, ConfigUnreadableError) and error.is_transient


def is_system_error(error: Exception) -> bool:
    """Returns whether the error comes from a system call."""
    return isinstance(error, OSError)


async def retry_unreadable_journal(make_engine: Callable[[], Engine]) -> Engine:
    """Makes the engine, which reads the journal, and retries while the journal cannot be read.

    Raises:
        OSError: the journal has been unreadable for START_RETRY_TIMEOUT_S.
    """
    deadline_s = time.monotonic() + START_RETRY_TIMEOUT_S
    while True:
        try:
            return make_engine()
        except OSError as error:
            if time.monotonic() > deadline_s:
                raise
            log.error("cannot read the journal; retrying: %s", error)
        await asyncio.sleep(START_RETRY_INTERVAL_S)


async def serve(config: Config, extensions: Sequence[ExtensionFactory] = ()) -> None:
    """Takes ownership of the state folder, alone or by a hand-over, and serves until a shutdown has finished.

    Raises:
        OSError: the address or the state folder is not available.
        NewerFormatError: the journal was written by a newer version of the program.
        ForeignStateError: the state folder belongs to another forwarder.
    """
    loop = asyncio.get_running_loop()
    early_sighups: list[int] = []
    loop.add_signal_handler(signal.SIGHUP, early_sighups.append, signal.SIGHUP)
    admin = AdminServer()
    ownership = Ownership(config.state_folder)
    await _listen_for_admin(admin, config.admin)

    async def _make_engine(handover: HandoverState | None) -> Engine:
        if handover is None:
            # Bind before reading the journal: while another forwarder serves, nothing may be sent.
            client_socket = await bind(config.listen, in_use_timeout_s=IN_USE_TIMEOUT_S)
            engine = await retry_unreadable_journal(
                lambda: Engine(config, ownership, admin, client_socket, extensions=extensions)
            )
            _claim_address(client_socket)
            return engine
        client_socket = handover.socket(handover.description.client_listener)
        if client_socket.getsockname()[:2] != astuple(config.listen):
            client_socket = await bind(config.listen)
        try:
            return Engine(accepted_before(config, handover), ownership, admin, client_socket, handover, extensions)
        except OSError:
            client_socket.close()
            raise

    # A socket that is left open would hold the clients' address against this process itself.
    engine = await ownership.obtain(_make_engine, discard=lambda engine: engine.client_socket.close())
    engine.reloader.hold()
    loop.add_signal_handler(signal.SIGTERM, engine.shutdown.start)
    loop.add_signal_handler(signal.SIGINT, engine.shutdown.start)
    loop.add_signal_handler(signal.SIGHUP, engine.reloader.request)
    if early_sighups:
        engine.reloader.request()
    gc.freeze()  # objects made during the start live on; the garbage collector need not scan them
    try:
        await engine.run()
    finally:
        # The event loop removes its signal handlers when it closes; a signal after that would kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def accepted_before(config: Config, handover: HandoverState) -> Config:
    """Returns the configuration by which the previous process served, with what only the start of this one decides.

    That process may have accepted a file that was there after this one had read its own, or refused the newest.
    """
    accepted = handover.description.accepted_config
    if accepted is None:
        return config
    try:
        return with_accepted(config, accepted)
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        log.error("the configuration of the previous process cannot be read: %s", error)
        return config


def _claim_address(client_socket: socket.socket) -> None:
    """Listens on the clients' address: two processes can bind it at the same time, but only one can listen.

    Raises:
        OSError: another process listens there, since it bound the address while this one read the journal.
    """
    try:
        client_socket.listen(BACKLOG)
    except OSError:
        client_socket.close()
        raise


async def _listen_for_admin(admin: AdminServer, address: Address | None) -> None:
    """Listens on the admin address if it is free; the previous process may still hold it, and hands it over then."""
    if address is None:
        return
    try:
        admin.listen(await bind(address, timeout_s=0))
    except OSError as error:
        log.info("admin address is not free yet: %s", error)


def requested_extensions(arguments: Sequence[str], config: Config) -> list[ExtensionFactory]:
    """Returns the factories of the extensions that the command line enables; other extensions are not imported.

    Raises:
        ConfigError: the parts file cannot be read or is invalid.
    """
    if not arguments:
        return []
    from forwarder.config.extensions_file import extensions_path
    from forwarder.runtime.extension_loader import load_extensions

    path = extensions_path(arguments)
    return [] if path is None else load_extensions(path, config)


def main() -> int:
    """Runs the program and returns its exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if sys.argv[1:2] == ["state"]:
        from forwarder.storage.state_check import main as check_state

        return check_state(sys.argv[2:])
    try:
        config = retry_transient(load_config, is_transient_read_error)
        extensions = requested_extensions(sys.argv[1:], config)
    except ConfigError as error:
        print(f"forwarder: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    try:
        with asyncio.Runner(loop_factory=lambda: retry_transient(event_loop, is_system_error)) as runner:
            runner.run(serve(config, extensions))
    except (OSError, NewerFormatError, ForeignStateError) as error:
        print(f"forwarder: cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return 0


if __name__ == "__main__":
    sys.exit(main())
