"""Runs one case: sets the stand-ins up in a temporary folder, plays it, and ends everything that it started."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.forwarder import end_all
from standins.platform import Platform
from standins.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class CouldNotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


Play = Callable[[Record, Platform, Path, bool], Awaitable[list[str]]]
"""Called with the record, the platform, a temporary folder and whether the disruption is wanted.

Returns the breaches of the rule.
"""


def run_case(file: str, play: Play) -> None:
    """Plays the case in the folder of `file` and ends this process with its status."""
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if trouble else "without the disruption")

    async def _play() -> list[str]:
        platform = Platform(record)
        await platform.start()
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await play(record, platform, Path(folder), trouble)
            finally:
                await end_all()

    loop = asyncio.new_event_loop()
    playing = loop.create_task(_play())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, playing.cancel)
    try:
        breaches = loop.run_until_complete(playing)
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
        traceback.print_exc()
        sys.stderr.flush()
        os._exit(COULD_NOT_RUN)
    for breach in breaches:
        record.note(f"BROKEN: {breach}")
        print(f"BROKEN: {breach}", flush=True)
    record.note("the rule was broken" if breaches else "the rule held")
    os._exit(BROKEN if breaches else HELD)
