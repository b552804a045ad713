"""Watches the endpoint list: polls discovery for changes, and polls again as soon as one has arrived."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from functools import partial

from forwarder.config.config import Address, EndpointList, parse_endpoint_list
from forwarder.discovery.client import DiscoveryClient
from forwarder.endpoints.local_errors import LOCAL_ERRORS
from forwarder.protocol.checked_fields import MalformedInputError
from forwarder.protocol.http1 import MAX_ENDPOINT_LIST_BYTES, BadResponseError, ResponseReader
from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.supervisor import Supervisor

LIST_PATH = "/discovery/hosts"
NO_VERSION = -1
FIRST_POLL_HOLD_MS = 1  # the first poll after a start is answered at once with the current state
POLL_HOLD_MS = 20_000  # how long discovery may hold a poll while there is no change
POLL_GRACE_S = 0.8  # from the hold to the time-out; a change counts as known 2 s after the hold (PROTOCOL)
ANSWER_TIMEOUT_S = 2.5  # time-out of a poll without a hold
FIRST_LIST_TIMEOUT_US = 2_000_000  # discovery answers a poll without a hold by then or never (PROTOCOL, Figures)
LOCAL_RETRY_S = 0.1  # delay before the retry after a local failure; short, as discovery receives nothing of it
MIN_POLL_INTERVAL_S = 0.1  # between polls without a change; the next must follow within 0.2 s (PROTOCOL)
log = logging.getLogger("forwarder.discovery")

ListCallback = Callable[[EndpointList | None], None]


class EndpointListWatch:
    """Watches the endpoint list from a version on. It stops at its first failure, until `subscribe` is called again.

    Args:
        address: the address of discovery.
        version: the known version; `NO_VERSION` for none, so that the complete list is polled first.
        on_list: called with each list or change, and with None when the watch has failed.
        is_current: whether that version came from discovery's last answer, rather than from saved state.
        supervisor: counts unexpected errors.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_list: ListCallback,
        is_current: bool = False,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.max_list_bytes = MAX_ENDPOINT_LIST_BYTES
        """The longest answer; it applies to connections that are opened from now on."""
        self.client = self._make_client(address)
        self.version = version
        self.on_list = on_list
        self.is_current = is_current
        self.supervisor = supervisor or Supervisor()
        self._task: asyncio.Task[None] | None = None
        self._poll_result: EndpointList | None = None
        self.connecting = FailureSpan(log, "connect to poll the endpoint list")

    def has_unread_list(self) -> bool:
        """Returns whether discovery has sent an answer that has not been passed on yet."""
        return self.client.channel.has_unread_answer()

    def subscribe(self) -> None:
        """Starts to watch the list, unless the watch is already running."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._follow())

    def change_address(self, address: Address) -> None:
        """Switches to a new address of discovery at once, and continues from the known version."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.client.close()
        self.client = self._make_client(address)
        self.subscribe()

    def limit_lists(self, max_list_bytes: int) -> None:
        """Sets the longest answer of discovery, before the first poll."""
        self.max_list_bytes = max_list_bytes
        self.client = self._make_client(self.client.address)

    def _make_client(self, address: Address) -> DiscoveryClient:
        return DiscoveryClient(address, max_answer_bytes=self.max_list_bytes)

    async def _follow(self) -> None:
        while True:
            started_s = time.monotonic()
            await self.supervisor.guarded("watch", self._poll())
            endpoint_list = self._poll_result
            if endpoint_list is None:
                self._fail()
                return
            is_change = endpoint_list.version != self.version
            self.version = endpoint_list.version
            self.is_current = True
            if (is_change or not endpoint_list.is_complete) and not self.supervisor.guard(
                "list", partial(self.on_list, endpoint_list)
            ):
                self._fail()
                return
            if not is_change and time.monotonic() - started_s < MIN_POLL_INTERVAL_S:
                await asyncio.sleep(MIN_POLL_INTERVAL_S)

    async def _poll(self) -> None:
        """Polls once and stores the answer in `_poll_result`, or None if the poll failed."""
        self._poll_result = None
        path, timeout_s = self._next_poll()
        try:
            self._poll_result = _read_list(await self._request(path, timeout_s))
        except (OSError, BadResponseError, MalformedInputError, ValueError) as error:
            log.warning("cannot poll the endpoint list: reason=%s", error or type(error).__name__)

    async def _request(self, path: str, timeout_s: float) -> ResponseReader:
        """Makes a request; retries it at a fixed interval after local failures, which put no load on discovery.

        Raises:
            OSError: discovery cannot be reached or has not answered in time.
            BadResponseError: the answer is malformed or too large.
        """
        while True:
            try:
                answer = await self.client.request("GET", path, timeout_s)
            except OSError as error:
                if error.errno not in LOCAL_ERRORS:
                    raise
                self.connecting.failed(error)
                await asyncio.sleep(LOCAL_RETRY_S)
            else:
                self.connecting.worked()
                return answer

    def _next_poll(self) -> tuple[str, float]:
        """Returns the path of the next poll and its time-out in seconds."""
        if self.version < 0:  # version 0 is valid: the list has never changed
            return LIST_PATH, ANSWER_TIMEOUT_S
        hold_ms = POLL_HOLD_MS if self.is_current else FIRST_POLL_HOLD_MS
        timeout_s = max(ANSWER_TIMEOUT_S, POLL_GRACE_S + hold_ms / 1000)
        return f"{LIST_PATH}?from={self.version}&hold_ms={hold_ms}", timeout_s

    def _fail(self) -> None:
        self._task = None
        self.on_list(None)


def _read_list(answer: ResponseReader) -> EndpointList:
    """Returns the endpoint list in an answer.

    Raises:
        BadResponseError: the status of the answer is not 200.
        MalformedInputError: its body is not an endpoint list.
        ValueError: its body is not JSON.
    """
    if answer.status != 200:
        raise BadResponseError(f"status {answer.status}")
    return parse_endpoint_list(json.loads(answer.body))
