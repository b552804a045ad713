"""The endpoints listed by discovery, known by name on the wire and by number in the decisions."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from forwarder.config.config import Address, EndpointHealth, EndpointList, ListedEndpoint
from forwarder.decisions.events import EndpointEntry
from forwarder.decisions.settings import DestinationKind
from forwarder.endpoints.call import ALL_ENDPOINTS, LimitScopeKey

MAX_ENDPOINTS = 2000  # maximum of remembered numbers, including those of endpoints that are no longer listed


class EndpointTable:
    """The listed endpoints and their numbers in the decisions.

    Args:
        kinds: the kinds of endpoints in the settings.
        numbers: the numbers of endpoints by name, as handed over by the previous process.
        destinations: all destinations that the previous process has seen listed.
    """

    def __init__(
        self, kinds: Iterable[DestinationKind], numbers: Mapping[str, int], destinations: Iterable[int]
    ) -> None:
        self.apply_settings(kinds)
        self.endpoints: dict[str, ListedEndpoint] = {}
        """The endpoints that are listed now, by name."""
        self.numbers = dict(numbers)
        self.names = {number: name for name, number in self.numbers.items()}
        self.destinations = set(destinations)
        """All destinations that were ever listed."""
        self._unlisted = dict.fromkeys(self.numbers)
        """The numbered names that are not listed, in the order in which they left the list."""
        self._newest_number = max(self.names, default=0)

    def apply_settings(self, kinds: Iterable[DestinationKind]) -> None:
        """Applies the kinds of new settings."""
        self.kinds = {kind.name: kind for kind in kinds}

    def apply(self, endpoint_list: EndpointList) -> None:
        """Applies an endpoint list, which is complete or holds the changes since the previous version."""
        if endpoint_list.is_complete:
            self._unlisted.update(dict.fromkeys(name for name in self.endpoints if name in self.numbers))
            self.endpoints = {}
        for endpoint in endpoint_list.endpoints:
            self.destinations.add(endpoint.destination)
            self._unlisted.pop(endpoint.name, None)
            if endpoint.health is not EndpointHealth.REMOVED:
                self.endpoints[endpoint.name] = endpoint
                continue
            self.endpoints.pop(endpoint.name, None)
            if endpoint.name in self.numbers:
                self._unlisted[endpoint.name] = None

    def number(self, name: str, keep: Container[str] = ()) -> int:
        """Returns the number of an endpoint and assigns one to a new name.

        If too many names are known, the name that left the list first is forgotten; names in `keep` are retained.
        """
        if name not in self.numbers:
            if len(self.numbers) >= MAX_ENDPOINTS:
                self._forget_one(keep)
            self._newest_number += 1
            self.numbers[name] = self._newest_number
            self.names[self._newest_number] = name
            if name not in self.endpoints:
                self._unlisted[name] = None
        return self.numbers[name]

    def entries(self, endpoints: Iterable[ListedEndpoint], keep: Container[str] = ()) -> tuple[EndpointEntry, ...]:
        """Returns endpoints in the form that the decisions read; `keep` as for `number`."""
        return tuple(endpoint.entry(self.number(endpoint.name, keep)) for endpoint in endpoints)

    def serving(self, disabled: Container[str]) -> dict[int, Address]:
        """Returns the addresses of endpoints that may get new calls, without those disabled by operators."""
        return {
            self.number(endpoint.name, disabled): endpoint.address
            for endpoint in self.endpoints.values()
            if endpoint.health is EndpointHealth.UP and endpoint.name not in disabled
        }

    def endpoint(self, number: int) -> ListedEndpoint | None:
        """Returns the endpoint with a number; None if it is not listed."""
        return self.endpoints.get(self.names.get(number, ""))

    def kind(self, endpoint: ListedEndpoint) -> DestinationKind:
        """Returns the settings of an endpoint's kind; the defaults if the settings do not name the kind."""
        return self.kinds.get(str(endpoint.raw.get("class")), DestinationKind(""))

    def limit_scope(self, endpoint: ListedEndpoint) -> LimitScopeKey:
        """Returns the scope of an endpoint's Retry-After: its whole destination or the endpoint alone."""
        has_own_scope = self.kind(endpoint).separate_routes
        return LimitScopeKey(endpoint.destination, self.number(endpoint.name) if has_own_scope else ALL_ENDPOINTS)

    def _forget_one(self, keep: Container[str]) -> None:
        oldest = next((name for name in self._unlisted if name not in keep), None)
        if oldest is not None:
            del self._unlisted[oldest]
            del self.names[self.numbers.pop(oldest)]
