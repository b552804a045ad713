"""Tests how the memory of a process is divided."""

from __future__ import annotations

import itertools

import pytest

from forwarder.decisions.memory_plan import (
    CONNECTION_BYTES,
    LIST_COST_FACTOR,
    MIN_ENDPOINT_LIST_BYTES,
    MIN_REQUEST_BYTES,
    plan_memory,
)

MB = 1_000_000
BASE_BYTES = 17 * MB
DISK_BYTES = 3 * MB


@pytest.mark.parametrize("connections", [200, 840])
@pytest.mark.parametrize("memory_mb", [32, 48, 80, 192])
def test_what_may_be_held_fits_into_the_memory(memory_mb: int, connections: int) -> None:
    plan = plan_memory(memory_mb * MB, BASE_BYTES, DISK_BYTES, connections)

    fixed = BASE_BYTES + 2 * DISK_BYTES + connections * CONNECTION_BYTES
    assert fixed + plan.request_bytes < plan.limit_bytes
    assert plan.request_bytes >= MIN_REQUEST_BYTES
    assert plan.handover_bytes < plan.request_bytes
    if plan.endpoint_list_bytes > MIN_ENDPOINT_LIST_BYTES:
        assert fixed + plan.endpoint_list_bytes * LIST_COST_FACTOR <= plan.limit_bytes


def test_a_process_that_takes_all_of_its_memory_at_rest_still_reads_requests() -> None:
    plan = plan_memory(32 * MB, 40 * MB, DISK_BYTES, 840)

    assert plan.request_bytes == MIN_REQUEST_BYTES
    assert plan.endpoint_list_bytes == MIN_ENDPOINT_LIST_BYTES


def test_more_memory_never_allows_less() -> None:
    plans = [plan_memory(memory_mb * MB, BASE_BYTES, DISK_BYTES, 840) for memory_mb in range(32, 193, 8)]

    for smaller, larger in itertools.pairwise(plans):
        assert smaller.request_bytes <= larger.request_bytes
        assert smaller.endpoint_list_bytes <= larger.endpoint_list_bytes
        assert smaller.handover_bytes <= larger.handover_bytes
