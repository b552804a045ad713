"""Tests of forwarder.decisions.tenant_quotas, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import fleet
from tests.scripts import MS, S, ask, end, sends


@pytest.mark.parametrize("number", [1, 3, 60, 300])
def test_tenant_within_its_quota_goes_first_in_a_fleet_of_any_size(number: int) -> None:
    """At 300 forwarders a share of 20 a second is one message in 15 s: all counted as beyond it."""
    dispatcher = fleet(number)[0]
    first = sends(dispatcher.handle(0, [ask("first", tenant="small")]))[0]
    dispatcher.handle(MS, [ask(f"flood{n}", tenant="small", due=3 * S) for n in range(12)])
    dispatcher.handle(2 * MS, [ask(f"fair{n}", tenant="big", due=6 * S) for n in range(3)])
    late = [first]
    order: list[str] = []
    now = 100 * MS
    while len(order) < 15 and now < 2 * S:
        late = sends(dispatcher.handle(now, [end(s, Outcome.DELIVERED) for s in late]))
        order += [s.message_id for s in late]
        now += 20 * MS
    assert max(order.index(f"fair{n}") for n in range(3)) <= 8
