"""A steady load of clients on a node: some keep their connections, others open one for each message."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tests.nodes import Client, Node

CLASSES = ("order", "status", "turn", "pay")
KEPT_CLIENTS = 6
NEW_CLIENT_INTERVAL_S = 0.04
KEPT_CLIENT_INTERVAL_S = 0.24
KEPT = "kept"
NEW = "new"


@dataclass
class Submitted:
    """One submission and its answer. Times are those of the event loop, in seconds."""

    name: str
    begun_s: float
    status: int | None = None
    """The status of the answer; None while there is none, and if the connection ends without one."""
    answered_s: float = 0.0


@dataclass
class SteadyLoad:
    """Clients that submit messages of all classes until they are stopped.

    Attributes:
        left_s: the time left that each submission states, in seconds.
        submitted: all submissions by message id.
        closed_kept: the number of kept connections that ended without an answer.
        running: the tasks of the clients.
        is_stopped: whether the clients submit nothing more.
    """

    node: Node
    left_s: float = 50.0
    submitted: dict[str, Submitted] = field(default_factory=dict)
    closed_kept: int = 0
    running: set[asyncio.Task[None]] = field(default_factory=set)
    is_stopped: bool = False

    async def start(self) -> None:
        """Opens the kept connections and starts to submit."""
        for number in range(KEPT_CLIENTS):
            self._run(self._keep_submitting(number, await self.node.client()))
        self._run(self._keep_connecting())

    async def finish(self) -> None:
        """Stops submitting, and waits until all submissions have ended."""
        self.is_stopped = True
        while self.running:
            await asyncio.gather(*self.running)

    def accepted(self) -> list[str]:
        """Returns the ids of the messages that were answered with 202."""
        return [request.name for request in self.submitted.values() if request.status == 202]

    def unanswered(self) -> list[str]:
        """Returns the ids of the messages without an answer."""
        return [request.name for request in self.submitted.values() if request.status is None]

    def _run(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _keep_submitting(self, number: int, client: Client) -> None:
        await asyncio.sleep(number * KEPT_CLIENT_INTERVAL_S / KEPT_CLIENTS)
        while not self.is_stopped:
            if not await self._submit(KEPT, client):
                self.closed_kept += 1
                return
            await asyncio.sleep(KEPT_CLIENT_INTERVAL_S)
        client.writer.close()

    async def _keep_connecting(self) -> None:
        while not self.is_stopped:
            self._run(self._submit_on_new_connection())
            await asyncio.sleep(NEW_CLIENT_INTERVAL_S)

    async def _submit_on_new_connection(self) -> None:
        client = await self.node.client()
        await self._submit(NEW, client)
        client.writer.close()

    async def _submit(self, kind: str, client: Client) -> bool:
        """Submits one message, and returns whether it was answered."""
        loop = asyncio.get_running_loop()
        message_class = CLASSES[len(self.submitted) % len(CLASSES)]
        request = Submitted(f"{kind}-{message_class}-{len(self.submitted)}", loop.time())
        self.submitted[request.name] = request
        try:
            request.status, _ = await client.submit(request.name, message_class, left=f"{self.left_s:.3f}")
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        request.answered_s = loop.time()
        return True
