"""Runs scenes for tests of the whole program: a platform, endpoints, and nodes that end with the scene."""

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
"""The nodes of each running scene, those of the innermost scene last."""


def play(scene: Scene, folder: Path) -> None:
    """Runs a scene with a new platform, and then ends the nodes that belong to the scene."""

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
    """Registers a node, which ends with the running scene."""
    _scene_nodes[-1].append(node)


async def start_node(folder: Path, platform: Platform, **more: Any) -> Node:
    """Starts a node that ends with the scene."""
    node = Node(folder, platform, **more)
    await node.start()
    end_with_scene(node)
    return node


async def start_shimmed(folder: Path, platform: Platform, *failures: Failure, **more: Any) -> Node:
    """Starts a node under lab/shim.py that ends with the scene; the given failures apply from its start."""
    node = Node(folder, platform, **more)
    end_with_scene(node)
    await node.set_failures(*failures)
    return await node.start()


async def start_endpoint(platform: Platform, handler: Any, name: str = "s1", **more: Any) -> Peer:
    """Starts an endpoint, and adds it to the endpoint list of the platform."""
    peer = await Peer(handler).start()
    platform.add_endpoint(name, peer.port, **more)
    return peer


def received_ids(peer: Peer) -> list[str]:
    """Returns the message ids of the requests that an endpoint has received, in the order of their arrival."""
    return [request.headers["x-correlation-id"] for request in peer.requests]
