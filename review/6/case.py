"""A new configuration and its SIGHUP reach the serving process while a new process is taking over from it."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from kit import TROUBLE, CannotRun, Discovery, Endpoint, Forwarder, Scene, free_port, play

TIME_LEFT_S = 6.0
LATE_S = 0.5
"""Up to half a second after its time a final answer only earns nothing; later, or never, it is lost (STANDING)."""
READY_AGAIN_S = 1.5
MAX_UPGRADES = 6


async def wait_listening(port: int) -> None:
    """Waits until the new process listens on its own second address; operators ask it for HEALTH from then on."""
    for _ in range(20000):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.001)
            continue
        writer.close()
        return
    raise CannotRun("the new process does not listen for operators")


async def case(scene: Scene) -> list[str]:
    record = scene.record
    old, new = Discovery(record, "old-address"), Discovery(record, "new-address")
    await old.start()
    await new.start()
    endpoint = Endpoint(record, "s-1", 7)
    endpoint.is_full = True
    await endpoint.start()
    for discovery in (old, new):
        discovery.put(endpoint.entry())
    forwarder = Forwarder(scene)
    forwarder.discovery = old.address
    forwarder.known = old.whole()
    serving = await forwarder.start()
    await forwarder.wait_ready()
    await asyncio.sleep(1.5)  # no SIGHUP comes in the program's first second
    accepted: list[str] = []
    for attempt in range(MAX_UPGRADES):
        accepted = [f"{attempt}{n:015x}" for n in range(5)]
        accepted = [each for each in accepted if await forwarder.submit(each, 7, TIME_LEFT_S) == 202]
        submitted_s = record.now_s()
        forwarder.control_port = free_port()
        starting = await forwarder.start()
        await wait_listening(forwarder.control_port)
        is_signalled = serving.returncode is None
        if TROUBLE and is_signalled:
            forwarder.discovery = new.address
            forwarder.write_config()
            scene.signal(serving, signal.SIGHUP)
            moved_s = record.now_s()
            retiring = asyncio.create_task(old.retire())
        while not (await forwarder.call("HEALTH")).startswith("ok"):
            await asyncio.sleep(0.05)
        scene.signal(serving, signal.SIGTERM)
        await asyncio.wait_for(serving.wait(), 5.0)
        record.note("the former process has ended:", serving.returncode)
        serving = starting
        if is_signalled:
            break
        record.note("the former process had ended before its configuration was replaced: once more")
        await asyncio.sleep(1.5)
    else:
        raise CannotRun("no SIGHUP reached a serving process")
    await asyncio.sleep(max(0.0, submitted_s + TIME_LEFT_S + LATE_S + READY_AGAIN_S - record.now_s()))
    if starting.returncode is not None:
        return [f"the new process has ended with {starting.returncode}"]
    ended = old.ended_ids() | new.ended_ids() | endpoint.delivered
    if TROUBLE:
        await retiring
        record.note(f"requests at the new address in {record.now_s() - moved_s:.1f} s after the signal: {new.requests}")
    return [f"{each} was answered 202 and has neither been delivered nor ended" for each in accepted if each not in ended]


sys.exit(play(__file__, case))
