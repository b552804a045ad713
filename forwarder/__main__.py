"""Starts one real forwarder: python -m forwarder."""

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
from forwarder.config.config import Config, ConfigError, ConfigUnreadableError, load_config
from forwarder.runtime.engine import Engine, ExtensionFactory
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.storage.errors import ForeignStateError, NewerFormatError

READ_PATIENCE_S = 20.0  # a start has to be ready within 30 s
READ_AGAIN_S = 0.2
SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
"""Those that are heeded while it runs, and no more once it ends."""
Made = TypeVar("Made")
log = logging.getLogger("forwarder")


def retried(make: Callable[[], Made], passing: Callable[[Exception], bool]) -> Made:
    """Make it, again for a while where it fails for a passing reason: a start that ends for one is a crash."""
    patience_s = time.monotonic() + READ_PATIENCE_S
    while True:
        try:
            return make()
        except Exception as error:
            if not passing(error) or time.monotonic() > patience_s:
                raise
            log.error("cannot start yet, trying again: %s", error)
        time.sleep(READ_AGAIN_S)


def passing_read(error: Exception) -> bool:
    """Whether the configuration may be readable in a moment."""
    return isinstance(error, ConfigUnreadableError) and error.passing


def passing_call(error: Exception) -> bool:
    """Whether a call of the system has failed."""
    return isinstance(error, OSError)


async def patiently(make: Callable[[], Engine]) -> Engine:
    """Make the engine, which reads the journal; again for a while where reading fails."""
    patience = time.monotonic() + READ_PATIENCE_S
    while True:
        try:
            return make()
        except OSError as error:
            if time.monotonic() > patience:
                raise
            log.error("the journal cannot be read, trying again: %s", error)
        await asyncio.sleep(READ_AGAIN_S)


async def serve(config: Config, parts: Sequence[ExtensionFactory] = ()) -> None:
    loop = asyncio.get_running_loop()
    hups: list[int] = []  # those that came before there was anything to tell of them
    loop.add_signal_handler(signal.SIGHUP, hups.append, signal.SIGHUP)
    control, ownership = AdminServer(), Ownership(config.state)
    if config.control is not None:
        try:
            control.listen(await bind(config.control, patience_s=0))
        except OSError as error:  # the process before may have it, and hand it over
            log.info("control address not free yet: %s", error)

    async def make(handover: HandoverState | None) -> Engine:
        if handover is None:
            # The address before the journal: where another forwarder serves, nothing may be sent.
            clients = await bind(config.listen)
            return await patiently(lambda: Engine(config, ownership, control, clients, parts=parts))
        clients = handover.socket(handover.told["clients"])
        if clients.getsockname()[:2] != astuple(config.listen):
            clients = await bind(config.listen)
        return Engine(config, ownership, control, clients, handover, parts)

    engine = await ownership.obtain(make)
    loop.add_signal_handler(signal.SIGTERM, engine.stop)
    loop.add_signal_handler(signal.SIGINT, engine.stop)
    loop.add_signal_handler(signal.SIGHUP, engine.reload)
    if hups:
        loop.call_soon(engine.reload)
    gc.freeze()  # what is made at the start stays: it need not be looked through again and again
    try:
        await engine.run()
    finally:
        # As it closes, the loop takes its handlers back: a signal from here on would end the process by itself.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def turned_on(arguments: Sequence[str], config: Config) -> list[ExtensionFactory]:
    """The parts that the command line asks for. What is not asked for is not even imported."""
    if not arguments:
        return []
    from forwarder.config.extensions_file import extensions_path, load_extensions

    path = extensions_path(arguments)
    return [] if path is None else load_extensions(path, config)


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if sys.argv[1:2] == ["state"]:
        from forwarder.storage.state_check import main as look

        return look(sys.argv[2:])
    try:
        config = retried(load_config, passing_read)
        parts = turned_on(sys.argv[1:], config)
    except ConfigError as error:
        print(f"forwarder: {error}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=lambda: retried(event_loop, passing_call)) as runner:
            runner.run(serve(config, parts))
    except (OSError, NewerFormatError, ForeignStateError) as error:
        print(f"forwarder: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
