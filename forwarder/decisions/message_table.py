"""The open messages, which are accepted and have not ended."""

from __future__ import annotations

from forwarder.decisions.actions import FailMessage
from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import MessageArrived, MessageRecovered
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.hold_times import HoldTimes
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.records import Message
from forwarder.decisions.settings import MessageClass, Settings
from forwarder.decisions.tenant_quotas import TenantQuotas


class MessageTable:
    """Adds accepted messages and removes ended ones; keeps the open messages by id."""

    def __init__(
        self, context: RoundContext, held: HeldMessages, key_queues: KeyQueues, tenant_quotas: TenantQuotas
    ) -> None:
        self.context = context
        self.held = held
        self.key_queues = key_queues
        self.tenant_quotas = tenant_quotas
        self.hold_times = HoldTimes()
        self.by_id: dict[str, Message] = {}
        self.classes: dict[str, MessageClass] = {}
        self.accepted_count = 0
        """Number of messages accepted since the start, which is the sequence number of the newest one."""

    def apply_settings(self, settings: Settings) -> None:
        """Uses the classes of new settings for messages that arrive from now on."""
        self.classes = {message_class.name: message_class for message_class in settings.classes}

    def accept(self, event: MessageArrived) -> None:
        """Adds a new message; fails it if its class, and therefore its effect, is unknown."""
        message_class = self.classes.get(event.class_name)
        if message_class is None:
            self.context.actions.append(FailMessage(event.message_id))
        else:
            self._add(event, message_class)

    def recover(self, event: MessageRecovered) -> None:
        """Adds a message from before a restart, with the history of its attempts."""
        message = self._add(event, event.message_class)
        message.attempts = event.attempts
        message.local_failures = event.local_failures
        message.maybe_ran_at_us = event.maybe_ran_at_us
        message.maybe_ran_on = event.maybe_ran_on
        if message.key is not None and event.interrupted:
            self.key_queues.back_off(message.key)

    def _add(self, event: MessageArrived | MessageRecovered, message_class: MessageClass) -> Message:
        now_us = self.context.now_us
        self.accepted_count += 1
        message = Message(
            event.message_id,
            event.destination,
            message_class,
            event.due_us,
            now_us,
            self.accepted_count,
            event.key if message_class.in_order else None,
            self.tenant_quotas.is_over_quota(event.tenant),
            held_since_us=now_us,
        )
        self.by_id[message.id] = message
        self.held.add(message)
        self.context.due_destinations.add(message.destination)
        if message.key is not None:
            self.key_queues.queue(message.key).messages.append(message)
        return message

    def stop_holding(self, message: Message) -> None:
        """Records that a message is no longer held: an attempt is in flight, or the message has ended."""
        self.held.remove(message)
        self.hold_times.set_reason(message, None, self.context.now_us)

    def remove(self, message: Message) -> None:
        """Removes a message that has ended, and schedules the next message of its key."""
        del self.by_id[message.id]
        self.stop_holding(message)
        self.key_queues.remove(message)
