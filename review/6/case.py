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
retiring: list[asyncio.Task[None]] = []
"""The old addresses that close their connections."""


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


def is_running(pid: int) -> bool:
    """Returns whether a process has not ended; one that has, and was not waited for yet, is a zombie."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] not in "ZX"


async def upgrade(scene: Scene, forwarder: Forwarder, old: Discovery, new: Discovery) -> bool:
    """Upgrades the forwarder; in the middle of it, replaces the configuration and signals the old process.

    Returns whether that process was still running after the signal had been sent to it.
    """
    serving = scene.processes[-1]
    forwarder.control_port = free_port()
    await forwarder.start()
    await wait_listening(forwarder.control_port)
    was_running = is_running(serving.pid)
    if TROUBLE and was_running:
        forwarder.discovery = new.address
        forwarder.write_config()
        scene.signal(serving, signal.SIGHUP)
        was_running = is_running(serving.pid)
        retiring.append(asyncio.create_task(old.retire()))  # from the signal on
        scene.record.note("the old process runs after the signal:", was_running)
    while not (await forwarder.call("HEALTH")).startswith("ok"):
        await asyncio.sleep(0.05)
    scene.signal(serving, signal.SIGTERM)
    await asyncio.wait_for(serving.wait(), 5.0)
    scene.record.note("the old process has ended:", serving.returncode)
    if TROUBLE and forwarder.discovery == new.address and not was_running:
        scene.record.note("the signal came too late for the old process: the new one gets it")
        await asyncio.sleep(1.2)
        scene.signal(scene.processes[-1], signal.SIGHUP)
        await asyncio.sleep(0.5)
    return was_running


async def case(scene: Scene) -> list[str]:
    record = scene.record
    endpoint = Endpoint(record, "s-1", 7)
    endpoint.is_full = True
    await endpoint.start()
    addresses = [Discovery(record, f"address-{number}") for number in range(MAX_UPGRADES + 1)]
    for discovery in addresses:
        await discovery.start()
        discovery.put(endpoint.entry())
    forwarder = Forwarder(scene)
    forwarder.discovery = addresses[0].address
    forwarder.known = addresses[0].whole()
    await forwarder.start()
    await forwarder.wait_ready()
    await asyncio.sleep(1.5)  # no SIGHUP comes in the program's first second
    for attempt in range(MAX_UPGRADES):
        old, new = addresses[attempt : attempt + 2]
        ids = [f"{attempt}{number:015x}" for number in range(5)]
        accepted = [each for each in ids if await forwarder.submit(each, 7, TIME_LEFT_S) == 202]
        submitted_s = record.now_s()
        if await upgrade(scene, forwarder, old, new):
            break
        if forwarder.discovery == old.address:
            addresses[attempt + 1] = old
        await asyncio.sleep(1.5)
    else:
        raise CannotRun("no signal reached a running old process")
    await asyncio.sleep(max(0.0, submitted_s + TIME_LEFT_S + LATE_S + READY_AGAIN_S - record.now_s()))
    if scene.processes[-1].returncode is not None:
        return [f"the new process has ended with {scene.processes[-1].returncode}"]
    if TROUBLE:
        record.note("requests that the new address got:", new.requests)
    ended = set().union(*(each.ended_ids() for each in addresses)) | endpoint.delivered
    return [f"{each} was answered 202 and has neither been delivered nor ended" for each in accepted if each not in ended]


sys.exit(play(__file__, case))
