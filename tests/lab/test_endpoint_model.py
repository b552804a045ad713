"""Tests that the model of destinations and endpoints behaves as the published pages describe."""

from __future__ import annotations

import random

import pytest

from lab import plan
from lab.endpoint_model import DestinationModel, EndpointModel, TokenBucket
from lab.endpoints import WaitingCall
from lab.scenario import Scenario


@pytest.mark.parametrize("reports", [True, False])
def test_destination_reports_its_limit_only_if_the_scenario_says_so(reports: bool) -> None:
    destination = next(d for d in plan.make(Scenario("x")).destinations if d.limit_per_s)
    report = DestinationModel(destination, random.Random(1), (1.0, 1.0), reports_limit=reports).load_report()
    assert report == (f"x0=1.000,x1={destination.limit_per_s:.3f}" if reports else None)


def make_endpoint() -> EndpointModel[WaitingCall]:
    drawn_plan = plan.make(Scenario("x"))
    spec = drawn_plan.endpoints[0]
    return EndpointModel(
        spec,
        DestinationModel(drawn_plan.destinations[spec.destination - 1], random.Random(1), (1.0, 1.0)),
        drawn_plan.scenario.endpoints,
        random.Random(2),
    )


def test_rate_limit_admits_its_rate_and_burst_and_no_more() -> None:
    bucket = TokenBucket(10.0)
    assert sum(bucket.take(n / 100) for n in range(1000)) in range(100, 107)


@pytest.mark.parametrize("informed", [True, False])
def test_overloaded_warming_up_endpoint_goes_down_and_reports_the_informed_share(informed: bool) -> None:
    endpoint = make_endpoint()
    endpoint.fail()
    if informed:
        endpoint.informed_nodes.add("n1")
    endpoint.recover(10.0)
    shares = [endpoint.count_against_budget(10.0 + n * 0.01, "n1") for n in range(200)]
    informed_shares = [share for share in shares if share is not None]
    assert endpoint.is_overloaded
    assert endpoint.is_down
    assert informed_shares[0] == float(informed)
    assert (
        shares.index(informed_shares[0])
        >= endpoint.settings.fall_times * endpoint.settings.cold_from * endpoint.spec.capacity_per_s * 2 - 1
    )
    endpoint.recover(20.0)
    assert endpoint.is_down


def test_warm_endpoint_has_no_budget() -> None:
    endpoint = make_endpoint()
    endpoint.fail()
    endpoint.recover(0.0)
    assert 0.18 <= endpoint.capacity_share(0.1) < endpoint.capacity_share(6.0) < endpoint.capacity_share(13.0) == 1.0
    assert all(endpoint.count_against_budget(14.0, "n1") is None for _ in range(1000))
