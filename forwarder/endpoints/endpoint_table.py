"""The endpoints that discovery has listed: by name as the wire has them, by number as the decisions do."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from forwarder.config.config import Address, EndpointList, ListedEndpoint
from forwarder.decisions.events import EndpointEntry
from forwarder.decisions.settings import DestinationKind

MAX_ENDPOINTS = 2000  # remembered at most, those that are gone among them


class EndpointTable:
    """What may be called, and where."""

    def __init__(
        self, kinds: Iterable[DestinationKind], numbers: Mapping[str, int], destinations: Iterable[int]
    ) -> None:
        """`numbers` and `destinations` are those of the process which this one takes over from."""
        self.tune(kinds)
        self.hosts: dict[str, ListedEndpoint] = {}
        """Those that are listed now, by name."""
        self.numbers = dict(numbers)
        self.names = {number: name for name, number in self.numbers.items()}
        self._gone = dict.fromkeys(self.numbers)
        """Those of them that are not listed, the one that is gone longest first."""
        self.destinations = set(destinations)
        """All that were ever listed."""
        self._newest_number = max(self.names, default=0)

    def tune(self, kinds: Iterable[DestinationKind]) -> None:
        """Take on the kinds of new settings."""
        self.kinds = {kind.name: kind for kind in kinds}

    def take(self, told: EndpointList) -> None:
        """Follow the list, whole or in part."""
        if told.is_complete:
            self._gone.update(dict.fromkeys(name for name in self.hosts if name in self.numbers))
            self.hosts = {}
        for host in told.endpoints:
            self.destinations.add(host.destination)
            self._gone.pop(host.name, None)
            if host.health != "removed":
                self.hosts[host.name] = host
                continue
            self.hosts.pop(host.name, None)
            if host.name in self.numbers:
                self._gone[host.name] = None

    def number(self, name: str, keep: Container[str] = ()) -> int:
        """The number of an endpoint. Those long gone are forgotten, the oldest first, but none of `keep`."""
        if name not in self.numbers:
            if len(self.numbers) >= MAX_ENDPOINTS:
                self._forget_one(keep)
            self._newest_number += 1
            self.numbers[name] = self._newest_number
            self.names[self._newest_number] = name
            if name not in self.hosts:
                self._gone[name] = None
        return self.numbers[name]

    def _forget_one(self, keep: Container[str]) -> None:
        old = next((name for name in self._gone if name not in keep), None)
        if old is not None:
            del self._gone[old]
            del self.names[self.numbers.pop(old)]

    def entries(self, hosts: Iterable[ListedEndpoint], keep: Container[str] = ()) -> tuple[EndpointEntry, ...]:
        """A list, as the decisions read it."""
        return tuple(host.entry(self.number(host.name, keep)) for host in hosts)

    def serving(self, banned: Container[str]) -> dict[int, Address]:
        """Where those are that may get new calls."""
        return {
            self.number(host.name, banned): host.address
            for host in self.hosts.values()
            if host.health == "up" and host.name not in banned
        }

    def host(self, number: int) -> ListedEndpoint | None:
        """The endpoint of that number, if it is listed."""
        return self.hosts.get(self.names.get(number, ""))

    def kind(self, host: ListedEndpoint) -> DestinationKind:
        return self.kinds.get(str(host.raw.get("class")), DestinationKind(""))

    def place(self, host: ListedEndpoint) -> tuple[int, int]:
        """What shares a told wait with an endpoint: all of its destination, or itself alone."""
        return host.destination, self.number(host.name) if self.kind(host).separate_routes else -1
