"""Tests of forwarder.decisions.tenant_quotas, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.tenant_quotas import MIN_TENANT_BURST_MESSAGES, TenantQuotas
from tests.decisions.builders import make_context
from tests.decisions.fleets import fleet
from tests.scripts import MS, S, ask, end, sends


@pytest.mark.parametrize("number", [1, 3, 60, 300])
def test_a_tenant_within_its_quota_is_served_first_in_a_fleet_of_any_size(number: int) -> None:
    """In a fleet of 300, a quota of 20 messages per second is one message per 15 s for each forwarder."""
    dispatcher = fleet(number)[0]
    first = sends(dispatcher.handle(0, [ask("first", tenant="small")]))[0]
    dispatcher.handle(MS, [ask(f"flood{n}", tenant="small", due=3 * S) for n in range(12)])
    dispatcher.handle(2 * MS, [ask(f"fair{n}", tenant="big", due=6 * S) for n in range(3)])
    in_flight = [first]
    order: list[str] = []
    now_us = 100 * MS
    while len(order) < 15 and now_us < 2 * S:
        in_flight = sends(dispatcher.handle(now_us, [end(send, Outcome.DELIVERED) for send in in_flight]))
        order += [send.message_id for send in in_flight]
        now_us += 20 * MS
    assert max(order.index(f"fair{n}") for n in range(3)) <= 8


def make_tenant_quotas(now_us: int = 0, **changes: object) -> TenantQuotas:
    context = make_context(now_us, **changes)
    tenant_quotas = TenantQuotas(context)
    tenant_quotas.apply_settings(context.settings)
    return tenant_quotas


def test_a_tenant_is_over_quota_once_its_burst_is_spent() -> None:
    tenant_quotas = make_tenant_quotas(forwarders=2)

    are_over_quota = [tenant_quotas.is_over_quota("small") for _ in range(int(MIN_TENANT_BURST_MESSAGES) + 1)]

    assert are_over_quota == [False] * int(MIN_TENANT_BURST_MESSAGES) + [True]


@pytest.mark.parametrize("tenant", [None, "unknown"])
def test_without_a_quota_nothing_is_counted(tenant: str | None) -> None:
    tenant_quotas = make_tenant_quotas()

    assert not any(tenant_quotas.is_over_quota(tenant) for _ in range(100))
    assert tenant_quotas.buckets == {}


def test_nothing_is_counted_if_messages_over_quota_have_full_weight() -> None:
    tenant_quotas = make_tenant_quotas(over_quota_weight=1.0)

    assert not any(tenant_quotas.is_over_quota("small") for _ in range(100))
