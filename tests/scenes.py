"""Scenes for tests that run the whole program: a platform, endpoints and nodes that end with the scene."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lab.shim import Failure
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import Peer

Scene = Callable[[Platform, Path], Awaitable[None]]


_scene_nodes: list[list[Node]] = []
"""The nodes of each scene that is being played, the innermost last."""


def play(scene: Scene, folder: Path) -> None:
    """Plays a scene with a platform, and ends the nodes that it has started."""

    async def run() -> None:
        platform = Platform()
        await platform.start()
        nodes: list[Node] = []
        _scene_nodes.append(nodes)
        try:
            await scene(platform, folder)
        finally:
            for node in nodes:
                await node.end()
            _scene_nodes.pop()

    asyncio.run(run())


def end_with_scene(node: Node) -> None:
    """Ends a node with the scene that is being played."""
    _scene_nodes[-1].append(node)


async def start_node(folder: Path, platform: Platform, **more: Any) -> Node:
    """Starts a node, which ends with the scene."""
    node = Node(folder, platform, **more)
    await node.start()
    end_with_scene(node)
    return node


async def start_shimmed(folder: Path, platform: Platform, *failures: Failure, **more: Any) -> Node:
    """Starts a node whose system calls may fail, these from its start on; it ends with the scene."""
    node = Node(folder, platform, **more)
    end_with_scene(node)
    await node.fail(*failures)
    return await node.start()


async def start_endpoint(platform: Platform, handler: Any, name: str = "s1", **more: Any) -> Peer:
    """Starts an endpoint, and adds it to the platform's list."""
    peer = await Peer(handler).start()
    platform.add_endpoint(name, peer.port, **more)
    return peer


def received_ids(peer: Peer) -> list[str]:
    """Returns the message ids of the requests that an endpoint has received, in their order."""
    return [request.headers["x-correlation-id"] for request in peer.requests]
