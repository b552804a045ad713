"""Tenant quotas: a token bucket for each tenant, filled at this forwarder's share of the tenant's rate."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.settings import Settings, Tenant
from forwarder.decisions.token_bucket import take_token
from forwarder.units import NEVER_US, SECOND_US

TENANT_BURST_US = 2 * SECOND_US
"""Time over which the unused quota of a tenant accumulates."""

MIN_TENANT_BURST_MESSAGES = 4.0
"""Minimum size of a bucket: this forwarder's share of a rate may be far below one message per second."""


class TenantQuotas:
    """Decides whether a message is within its tenant's quota."""

    def __init__(self, context: RoundContext) -> None:
        self.context = context
        self.tenants: dict[str, Tenant] = {}
        self.buckets: dict[str, int] = {}
        """By tenant, the time by which its quota covers all messages counted so far, in microseconds."""

    def apply_settings(self, settings: Settings) -> None:
        """Uses the tenants of new settings."""
        self.tenants = {tenant.name: tenant for tenant in settings.tenants}

    def is_over_quota(self, tenant_name: str | None) -> bool:
        """Takes a token for a message, and returns whether its tenant had none left.

        Only tenants with a quota have a bucket, and only if messages over the quota have a lower weight.
        """
        context = self.context
        tenant = self.tenants.get(tenant_name or "")
        if tenant is None or not tenant.quota_per_s or context.settings.over_quota_weight >= 1:
            return False
        interval_us = SECOND_US * context.fleet_size / tenant.quota_per_s
        spent_until_us = self.buckets.get(tenant.name, -NEVER_US)
        if spent_until_us > context.now_us:
            return True
        burst_us = max(TENANT_BURST_US, MIN_TENANT_BURST_MESSAGES * interval_us)
        self.buckets[tenant.name] = take_token(context.now_us, spent_until_us, interval_us, burst_us)
        return False
