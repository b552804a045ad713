"""The faults found for the incident of lost requests and broken key order, played on the real program.

See docs/incidents/2026-12-02-lost-and-order.md.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from lab.shim import Failure
from tests.sockets import OK, PATIENCE, SETTINGS, Answer, Node, Platform, Request, always
from tests.test_faults import LARGE, answers, shimmed
from tests.test_node import folder_nodes, ids, play, target

KEY_REST_S = 3.0


def test_what_was_refused_is_not_forwarded_by_the_next_process(tmp_path: Path) -> None:
    """`lost`: refused, since a snapshot could not be begun, but on record: a restart sent it."""
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        node = await shimmed(folder, platform)
        told = await answers(node, [f"m{n}" for n in range(20)], body=LARGE)
        assert set(told.values()) == {202}
        await node.fail(Failure("open", "ENOSPC"))
        clients = [node.hand_in(f"n{n}", "status", body=LARGE) for n in range(20)]
        told |= {f"n{n}": status for n, (status, _) in enumerate(await asyncio.gather(*clients))}
        async with asyncio.timeout(PATIENCE):
            while 503 not in told.values():
                told |= await answers(node, [f"o{len(told)}"])
        refused = {name for name, status in told.items() if status == 503}
        await node.end()
        await node.fail()
        await node.start()
        await peer.until(lambda: told.keys() - refused <= set(ids(peer)))
        await asyncio.sleep(0.5)
        assert not refused & set(ids(peer))
    play(scene, tmp_path)


def test_a_key_rests_after_a_call_that_may_still_run_over_a_restart_too(tmp_path: Path) -> None:
    """`order`: the next message of a key left within the rest that a lost call had begun before the restart."""
    async def scene(platform: Platform, folder: Path) -> None:
        came_s: dict[str, float] = {}

        async def breaks_off(request: Request) -> Answer | None:
            name = request.headers["x-correlation-id"]
            came_s[name] = asyncio.get_running_loop().time()
            return None if name == "first" else OK
        await target(platform, breaks_off)
        node = Node(folder, platform)
        folder_nodes[-1].append(node)
        settings = json.loads((folder / "config.json").read_text())["settings"]
        node.configure(settings=settings | {"contract": SETTINGS["contract"] | {"key_rest_us": int(KEY_REST_S * 1e6)}})
        await node.start()
        for name in ("first", "second"):
            assert (await node.hand_in(name, "turn", X_Session_Key="k"))[0] == 202
        await platform.notice("first")
        await node.restart()
        async with asyncio.timeout(10):
            while "second" not in came_s:
                await asyncio.sleep(0.02)
        assert came_s["second"] - came_s["first"] >= KEY_REST_S
    play(scene, tmp_path)
