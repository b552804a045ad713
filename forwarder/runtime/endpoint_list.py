"""Endpoint lists from discovery: records them, passes them to the decisions, and updates the callable endpoints."""

from __future__ import annotations

import logging
import time

from forwarder.config.config import EndpointList
from forwarder.decisions.events import EndpointListKind, EndpointListReceived
from forwarder.runtime.context import Runtime

log = logging.getLogger("forwarder.engine")


class EndpointListUpdates:
    """Applies endpoint lists to one forwarder."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self._started_s = time.monotonic()
        self._has_first_list = False

    def receive(self, endpoint_list: EndpointList | None) -> None:
        """Applies a list at once, as drained endpoints must get no more calls. None means that the watch has failed."""
        runtime = self.runtime
        if endpoint_list is None:
            runtime.post(EndpointListReceived(EndpointListKind.FAILED))
            return
        runtime.startup_progress.mark_list_received()
        if not self._has_first_list:
            self._has_first_list = True
            self._log_first_list(endpoint_list)
        if endpoint_list.endpoints or endpoint_list.is_complete:
            entries = runtime.endpoint_table.entries(endpoint_list.endpoints, runtime.store.disabled_endpoints)
            self.apply(endpoint_list)
            listed = {endpoint.name: endpoint.raw for endpoint in runtime.endpoint_table.endpoints.values()}
            runtime.store.record_endpoint_list(endpoint_list.version, listed, runtime.clock())
        else:
            entries = ()
        kind = EndpointListKind.WHOLE if endpoint_list.is_complete else EndpointListKind.CHANGES
        runtime.loop.events.append(EndpointListReceived(kind, entries))
        if not runtime.run_state.is_frozen:
            runtime.loop.run_round()

    def _log_first_list(self, endpoint_list: EndpointList) -> None:
        log.info(
            "list: version %d is the first from discovery, %.3f s after the start; %d calls were made before",
            endpoint_list.version,
            time.monotonic() - self._started_s,
            self.runtime.effects.calls_made,
        )

    def apply(self, endpoint_list: EndpointList) -> None:
        """Applies a list, complete or partial, without passing it to the decisions."""
        self.runtime.endpoint_table.apply(endpoint_list)
        self.publish_serving()

    def publish_serving(self) -> None:
        """Tells the pool and the extensions which endpoints may be called: the last check before a call is written."""
        runtime = self.runtime
        runtime.pool.update_addresses(runtime.endpoint_table.serving(runtime.store.disabled_endpoints))
        for extension in runtime.extensions:
            extension.update_endpoints(runtime.pool.addresses)
