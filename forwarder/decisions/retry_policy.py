"""Whether, until when and where a message may be attempted, by what a second run of it would do."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.records import Endpoint, Message
from forwarder.decisions.settings import Effect, Scope
from forwarder.units import NEVER_US


class RetryPolicy:
    """Rules for attempts of messages that may have run already."""

    def __init__(self, context: RoundContext, endpoint_table: EndpointTable) -> None:
        self.context = context
        self.endpoint_table = endpoint_table

    def may_attempt(self, message: Message) -> bool:
        """Returns whether one more attempt is allowed at all."""
        attempts = message.attempts - message.local_failures
        return attempts < self.context.settings.max_attempts and self.context.now_us < self.send_before_us(message)

    def send_before_us(self, message: Message) -> int:
        """Returns by when an attempt has to be sent.

        Of a message that may have run: within its retry window if it has an idempotency key, else never.
        """
        effect = message.message_class.effect
        if message.maybe_ran_at_us < 0 or effect is Effect.REPEATABLE:
            return NEVER_US
        return message.maybe_ran_at_us + message.message_class.retry_window_us if effect is Effect.KEYED else 0

    def eligible_endpoints(self, message: Message) -> list[Endpoint]:
        """Returns the endpoints that may get the message.

        These are the ones of its destination and, if it may have run, only those that know its idempotency key.
        """
        endpoints = self.endpoint_table.by_destination.get(message.destination, [])
        if message.maybe_ran_at_us < 0:
            return endpoints
        key_scope = message.message_class.key_scope
        if message.message_class.effect is not Effect.KEYED or key_scope is Scope.ALL:
            return endpoints
        first = self.endpoint_table.endpoints.get(message.maybe_ran_on)  # None if it left the list long ago
        return [
            endpoint
            for endpoint in endpoints
            if endpoint is first or (first and key_scope is Scope.ZONE and endpoint.zone == first.zone)
        ]

    def is_safe_to_resubmit(self, message: Message) -> bool:
        """Returns whether a client may submit the message again without a second effect."""
        effect = message.message_class.effect
        return (
            effect is Effect.REPEATABLE
            or (message.maybe_ran_at_us < 0 and not message.in_flight)
            or (effect is Effect.KEYED and message.message_class.key_scope is Scope.ALL)
        )
