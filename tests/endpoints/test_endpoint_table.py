"""The numbers of endpoints, and those that may be called."""

from __future__ import annotations

from collections.abc import Iterator

from forwarder.config.config import EndpointList, parse_endpoint_list
from forwarder.endpoints.endpoint_table import MAX_ENDPOINTS, EndpointTable


class CountedNames(dict[str, int]):
    """Numbers by name, and how often somebody goes through all of them."""

    scans = 0

    def __iter__(self) -> Iterator[str]:
        self.scans += 1
        return super().__iter__()


def endpoint_list(seq: int, names: list[str], whole: bool = False, health: str = "up") -> EndpointList:
    hosts = [{"host": name, "dial": "127.0.0.1:9", "block": 7, "health": health} for name in names]
    return parse_endpoint_list({"seq": seq, "whole": whole, "hosts": hosts})


def test_a_change_of_one_endpoint_goes_through_no_others() -> None:
    table = EndpointTable((), {}, ())
    table.numbers = counted = CountedNames()
    names = [f"s{n}" for n in range(3200)]
    table.apply(endpoint_list(1, names, whole=True))
    assert len(table.serving(())) == len(names)
    for n in range(20):
        table.apply(endpoint_list(2 + n, [names[n]], health="draining"))
        table.entries(table.endpoints.values())
    assert len(table.serving(())) == len(names) - 20
    assert counted.scans == 0


def test_endpoints_replaced_for_months_are_forgotten_and_none_that_is_listed_or_kept() -> None:
    table = EndpointTable((), {}, ())
    kept = table.number("banned")
    for n in range(3000):
        table.apply(endpoint_list(2 * n, [f"s{n}"]))
        table.entries(table.endpoints.values(), {"banned"})
        table.apply(endpoint_list(2 * n + 1, [f"s{n}"], health="removed"))
    table.apply(endpoint_list(6001, ["s2999"]))
    assert len(table.numbers) <= MAX_ENDPOINTS
    assert len(table.names) == len(table.numbers)
    assert table.number("banned", {"banned"}) == kept
    assert table.names[table.number("s2999")] == "s2999"
    assert table.number("s2998") != table.number("s0")
