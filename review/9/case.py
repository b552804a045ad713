"""Some endpoints hang while clients send clumps of messages: does the state folder stay inside `disk_mb`?"""

import asyncio
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from kit import TROUBLE, Discovery, Endpoint, Forwarder, Scene, play

DISK_BYTES = 3 * 1024 * 1024
"""`disk_mb` of 3, taken as MiB: the page does not say which it is."""
HANG_S = 17.0
HELD_MESSAGES = 60
HELD_BYTES = 12_000
STEADY_BYTES = 8_000
CLUMP_MESSAGES = 20
CLUMP_BYTES = 30_000
CLUMP_AT_BYTES = 2_000_000
"""A clump comes when the folder holds so much, or after as many steady messages as bring it there."""
STEADY_MESSAGES = 250


class FolderWatch(threading.Thread):
    """Adds up the files of the folder all the time, each in whole 512 bytes, as the limit counts them."""

    def __init__(self, folder: Path) -> None:
        super().__init__(daemon=True)
        self.folder = folder
        self.is_over = False
        self.now_bytes = 0
        self.most_bytes = 0
        self.most_files = ""
        self.samples = 0

    def _files(self) -> dict[str, int]:
        """Returns the plain files that are there now, with their inode numbers."""
        with os.scandir(self.folder) as entries:
            return {entry.name: entry.inode() for entry in entries if entry.is_file(follow_symlinks=False)}

    def run(self) -> None:
        while not self.is_over:
            sizes = {}
            try:
                before = self._files()
                for name in before:
                    sizes[name] = os.lstat(self.folder / name).st_size
                if self._files() != before:
                    continue  # a file came, went or was replaced meanwhile: this sample does not count
            except FileNotFoundError:
                continue
            self.samples += 1
            self.now_bytes = sum(-(-size // 512) * 512 for size in sizes.values())
            if self.now_bytes > self.most_bytes:
                self.most_bytes = self.now_bytes
                self.most_files = ", ".join(f"{name} {size}" for name, size in sorted(sizes.items()))
            time.sleep(0.0002)


async def case(scene: Scene) -> list[str]:
    record = scene.record
    discovery = Discovery(record)
    await discovery.start()
    hanging, sound = Endpoint(record, "s-1", 7), Endpoint(record, "s-2", 8)
    await hanging.start()
    await sound.start()
    discovery.put(hanging.entry(), sound.entry())
    forwarder = Forwarder(scene)
    forwarder.discovery = discovery.address
    forwarder.known = discovery.whole()
    process = await forwarder.start()
    await forwarder.wait_ready()
    await asyncio.sleep(1.0)
    watch = FolderWatch(forwarder.state)
    watch.start()
    count = 0

    async def submit(dest: int, size: int, class_name: str, time_left_s: float) -> int:
        nonlocal count
        count += 1
        return await forwarder.submit(f"{count:016x}", dest, time_left_s, class_name, body=os.urandom(size))

    hang_began_s = record.now_s()
    hanging.hangs = TROUBLE
    for _ in range(HELD_MESSAGES):
        await submit(7, HELD_BYTES, "refusjon", 27.0)
        await asyncio.sleep(0.03)
    record.note("the folder holds", watch.now_bytes)
    while record.now_s() - hang_began_s < HANG_S:
        for _ in range(STEADY_MESSAGES):
            await submit(8, STEADY_BYTES, "statusvarsel", 4.0)
            await asyncio.sleep(0.015)
            if watch.now_bytes >= CLUMP_AT_BYTES or record.now_s() - hang_began_s >= HANG_S:
                break
        record.note("the folder holds", watch.now_bytes, "before a clump")
        clump = [submit(8, CLUMP_BYTES, "statusvarsel", 4.0) for _ in range(CLUMP_MESSAGES)]
        await asyncio.gather(*clump)
        record.note("the folder held at most", watch.most_bytes, "so far")
        await asyncio.sleep(1.0)
    hanging.hangs = False
    await asyncio.sleep(1.0)
    watch.is_over = True
    watch.join()
    record.note(watch.samples, "samples; at most", watch.most_bytes, "bytes:", watch.most_files)
    if process.returncode is not None:
        return [f"the process has ended with {process.returncode}"]
    if watch.most_bytes <= DISK_BYTES:
        return []
    return [f"the state folder held {watch.most_bytes} bytes, {DISK_BYTES} are allowed: {watch.most_files}"]


sys.exit(play(__file__, case))
