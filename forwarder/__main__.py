"""Starts one forwarder on sockets: `python -m forwarder`; with `state`, looks into a state folder."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import astuple
from typing import TypeVar

from forwarder.admin.server import AdminServer
from forwarder.clients.arrival_time import event_loop
from forwarder.clients.listener import bind
from forwarder.config.config import Address, Config, ConfigError, ConfigUnreadableError, load_config
from forwarder.runtime.engine import Engine
from forwarder.runtime.extension import ExtensionFactory
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.storage.errors import ForeignStateError, NewerFormatError

START_PATIENCE_S = 20.0
"""What fails for a moment is tried again for so long: a start has to be ready within 30 s."""
START_RETRY_S = 0.2
IN_USE_TIMEOUT_S = 0.1
"""An address that another process has is waited for so long at once: meanwhile that process cannot take the lock."""
SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
"""The signals that are handled while the forwarder runs, and blocked once it ends."""
EXIT_CANNOT_SERVE = 1
EXIT_BAD_CONFIG = 2
Result = TypeVar("Result")
log = logging.getLogger("forwarder")


def retry_transient(make: Callable[[], Result], is_transient: Callable[[Exception], bool]) -> Result:
    """Makes it, again for a while where it fails by a transient error: a start that ends for one is a crash.

    Raises:
        ConfigUnreadableError, OSError: the error is not transient, or patience is over.
    """
    give_up_s = time.monotonic() + START_PATIENCE_S
    while True:
        try:
            return make()
        except (ConfigUnreadableError, OSError) as error:
            if not is_transient(error) or time.monotonic() > give_up_s:
                raise
            log.error("cannot start yet, trying again: %s", error)
        time.sleep(START_RETRY_S)


def is_transient_read_error(error: Exception) -> bool:
    """Returns whether the configuration may be readable in a moment."""
    return isinstance(error, ConfigUnreadableError) and error.is_transient


def is_system_error(error: Exception) -> bool:
    """Returns whether a call of the system has failed."""
    return isinstance(error, OSError)


async def retry_unreadable_journal(make: Callable[[], Engine]) -> Engine:
    """Makes the engine, which reads the journal; again for a while where reading fails.

    Raises:
        OSError: patience is over.
    """
    give_up_s = time.monotonic() + START_PATIENCE_S
    while True:
        try:
            return make()
        except OSError as error:
            if time.monotonic() > give_up_s:
                raise
            log.error("the journal cannot be read, trying again: %s", error)
        await asyncio.sleep(START_RETRY_S)


async def serve(config: Config, extensions: Sequence[ExtensionFactory] = ()) -> None:
    """Becomes the owner of the folder, alone or by a hand-over, and serves until a shutdown is over.

    Raises:
        OSError: the address, or the folder, cannot be had.
        NewerFormatError: the journal is of a newer program.
        ForeignStateError: the folder is another forwarder's.
    """
    loop = asyncio.get_running_loop()
    early_hangups: list[int] = []
    loop.add_signal_handler(signal.SIGHUP, early_hangups.append, signal.SIGHUP)
    admin = AdminServer()
    ownership = Ownership(config.state_folder)
    await _listen_for_operators(admin, config.admin)

    async def _make_engine(handover: HandoverState | None) -> Engine:
        if handover is None:
            # The address before the journal: where another forwarder serves, nothing may be sent.
            client_socket = await bind(config.listen, in_use_timeout_s=IN_USE_TIMEOUT_S)
            return await retry_unreadable_journal(
                lambda: Engine(config, ownership, admin, client_socket, extensions=extensions)
            )
        client_socket = handover.socket(handover.description.client_listener)
        if client_socket.getsockname()[:2] != astuple(config.listen):
            client_socket = await bind(config.listen)
        return Engine(config, ownership, admin, client_socket, handover, extensions)

    engine = await ownership.obtain(_make_engine)
    loop.add_signal_handler(signal.SIGTERM, engine.shutdown.start)
    loop.add_signal_handler(signal.SIGINT, engine.shutdown.start)
    loop.add_signal_handler(signal.SIGHUP, engine.reloader.reload)
    if early_hangups:
        loop.call_soon(engine.reloader.reload)
    gc.freeze()  # what is made at the start stays: the collector need not visit it
    try:
        await engine.run()
    finally:
        # As it closes, the loop takes its handlers back: a signal from here on would end the process by itself.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _listen_for_operators(admin: AdminServer, address: Address | None) -> None:
    """Listens on the admin address, if it is free: the process before may have it, and hand it over."""
    if address is None:
        return
    try:
        admin.listen(await bind(address, timeout_s=0))
    except OSError as error:
        log.info("control address not free yet: %s", error)


def requested_extensions(arguments: Sequence[str], config: Config) -> list[ExtensionFactory]:
    """Returns what makes the extensions that the command line asks for. The others are not even imported.

    Raises:
        ConfigError: the parts file cannot be read or cannot hold.
    """
    if not arguments:
        return []
    from forwarder.config.extensions_file import extensions_path
    from forwarder.runtime.extension_loader import load_extensions

    path = extensions_path(arguments)
    return [] if path is None else load_extensions(path, config)


def main() -> int:
    """Runs the program. Returns its exit code."""
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
