"""The endpoints that discovery has listed: by name as on the wire, by number as in the decisions."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from forwarder.config.config import Address, EndpointHealth, EndpointList, ListedEndpoint
from forwarder.decisions.events import EndpointEntry
from forwarder.decisions.settings import DestinationKind
from forwarder.endpoints.call import ALL_ENDPOINTS, LimitScopeKey

MAX_ENDPOINTS = 2000  # numbers remembered at most, those of endpoints that are not listed any more among them


class EndpointTable:
    """The listed endpoints, and the numbers by which the decisions know them.

    Args:
        kinds: the kinds of endpoints, by the settings.
        numbers: the numbers of endpoints, by name, of the process which this one takes over from.
        destinations: the destinations that that process has ever seen listed.
    """

    def __init__(
        self, kinds: Iterable[DestinationKind], numbers: Mapping[str, int], destinations: Iterable[int]
    ) -> None:
        self.apply_settings(kinds)
        self.endpoints: dict[str, ListedEndpoint] = {}
        """Those that are listed now, by name."""
        self.numbers = dict(numbers)
        self.names = {number: name for name, number in self.numbers.items()}
        self.destinations = set(destinations)
        """All that were ever listed."""
        self._unlisted = dict.fromkeys(self.numbers)
        """The names with a number that are not listed, the one that left the list first at the front."""
        self._newest_number = max(self.names, default=0)

    def apply_settings(self, kinds: Iterable[DestinationKind]) -> None:
        """Uses the kinds of new settings from now on."""
        self.kinds = {kind.name: kind for kind in kinds}

    def apply(self, endpoint_list: EndpointList) -> None:
        """Follows a list: all of it, or the changes since the version before."""
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
        """Returns the number of an endpoint; a new name gets a new number.

        Where too many are known, the one that left the list first is forgotten, but none of `keep`.
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
        """Returns the addresses of those that may get new calls, without those that operators have disabled."""
        return {
            self.number(endpoint.name, disabled): endpoint.address
            for endpoint in self.endpoints.values()
            if endpoint.health is EndpointHealth.UP and endpoint.name not in disabled
        }

    def endpoint(self, number: int) -> ListedEndpoint | None:
        """Returns the endpoint of that number, if it is listed."""
        return self.endpoints.get(self.names.get(number, ""))

    def kind(self, endpoint: ListedEndpoint) -> DestinationKind:
        """Returns the settings for an endpoint's kind; the defaults where they do not name it."""
        return self.kinds.get(str(endpoint.raw.get("class")), DestinationKind(""))

    def limit_scope(self, endpoint: ListedEndpoint) -> LimitScopeKey:
        """Returns what shares a Retry-After with an endpoint: all of its destination, or itself alone."""
        has_own_scope = self.kind(endpoint).separate_routes
        return LimitScopeKey(endpoint.destination, self.number(endpoint.name) if has_own_scope else ALL_ENDPOINTS)

    def _forget_one(self, keep: Container[str]) -> None:
        oldest = next((name for name in self._unlisted if name not in keep), None)
        if oldest is not None:
            del self._unlisted[oldest]
            del self.names[self.numbers.pop(oldest)]
