"""Whether, until when and where a message may be attempted, given the effect of a second run."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.records import Endpoint, Message
from forwarder.decisions.settings import Effect, Scope
from forwarder.units import NEVER_US


class RetryPolicy:
    """Rules for attempts of messages that may already have run."""

    def __init__(self, context: RoundContext, endpoint_table: EndpointTable) -> None:
        self.context = context
        self.endpoint_table = endpoint_table

    def may_attempt(self, message: Message) -> bool:
        """Returns whether another attempt is allowed, at any endpoint."""
        attempts = message.attempts - message.local_failures
        return attempts < self.context.settings.max_attempts and self.context.now_us < self.send_before_us(message)

    def send_before_us(self, message: Message) -> int:
        """Returns the time before which an attempt has to be sent.

        A message that may have run has until the end of its retry window if it has an idempotency key. If it must run
        at most once, the time is 0: no further attempt is allowed. For all other messages the time is NEVER_US.
        """
        effect = message.message_class.effect
        if message.maybe_ran_at_us < 0 or effect is Effect.REPEATABLE:
            return NEVER_US
        return message.maybe_ran_at_us + message.message_class.retry_window_us if effect is Effect.KEYED else 0

    def eligible_endpoints(self, message: Message) -> list[Endpoint]:
        """Returns the endpoints that may receive the message.

        These are the endpoints of its destination. If the message may have run and has an idempotency key, only those
        that recognize the key are eligible.
        """
        endpoints = self.endpoint_table.by_destination.get(message.destination, [])
        if message.maybe_ran_at_us < 0:
            return endpoints
        key_scope = message.message_class.key_scope
        if message.message_class.effect is not Effect.KEYED or key_scope is Scope.ALL:
            return endpoints
        # None if the endpoint left the list and its record was removed.
        first = self.endpoint_table.endpoints.get(message.maybe_ran_on)
        return [
            endpoint
            for endpoint in endpoints
            if endpoint is first or (first and key_scope is Scope.ZONE and endpoint.zone == first.zone)
        ]

    def is_safe_to_resubmit(self, message: Message) -> bool:
        """Returns whether a client can submit the message again without a second effect."""
        effect = message.message_class.effect
        return (
            effect is Effect.REPEATABLE
            or (message.maybe_ran_at_us < 0 and not message.in_flight)
            or (effect is Effect.KEYED and message.message_class.key_scope is Scope.ALL)
        )
