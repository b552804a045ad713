"""Tests the numbers of endpoints and the selection of those that may be called."""

from __future__ import annotations

from collections.abc import Iterator

from forwarder.config.config import EndpointList, parse_endpoint_list
from forwarder.endpoints.endpoint_table import MAX_ENDPOINTS, EndpointTable


class IterationCountingDict(dict[str, int]):
    """Endpoint numbers by name that count how often all of them are iterated."""

    iterations = 0

    def __iter__(self) -> Iterator[str]:
        self.iterations += 1
        return super().__iter__()


def endpoint_list(seq: int, names: list[str], whole: bool = False, health: str = "up") -> EndpointList:
    hosts = [{"host": name, "dial": "127.0.0.1:9", "block": 7, "health": health} for name in names]
    return parse_endpoint_list({"seq": seq, "whole": whole, "hosts": hosts})


def test_a_change_of_one_endpoint_does_not_iterate_over_all() -> None:
    table = EndpointTable((), {}, ())
    table.numbers = counting_numbers = IterationCountingDict()
    names = [f"s{n}" for n in range(3200)]
    table.apply(endpoint_list(1, names, whole=True))
    assert len(table.serving(())) == len(names)
    for n in range(20):
        table.apply(endpoint_list(2 + n, [names[n]], health="draining"))
        table.entries(table.endpoints.values())
    assert len(table.serving(())) == len(names) - 20
    assert counting_numbers.iterations == 0


def test_replaced_endpoints_are_forgotten_but_none_that_is_listed_or_kept() -> None:
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
