"""Queues of messages with the same ordering key, of which one is in flight at a time, in the order of acceptance."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from forwarder.decisions.actions import KeyBackoffStarted
from forwarder.decisions.context import RoundContext
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.records import Message
from forwarder.decisions.timer_queue import TimerQueue
from forwarder.units import SECOND_US

DISCARD_INTERVAL_US = SECOND_US
"""Time between two searches for unused queues."""


@dataclass(slots=True)
class KeyQueue:
    """The messages of one key, in the order of acceptance, and what else blocks the key."""

    messages: deque[Message] = field(default_factory=deque)
    in_flight: int = 0
    """Attempts in flight."""
    backoff_until_us: int = 0
    """No message may have its first attempt before this time: an earlier attempt may still run."""
    unacknowledged_ends: dict[str, int] = field(default_factory=dict)
    """Sequence numbers of ended messages whose notice is not acknowledged yet, by message id."""

    def is_in_use(self) -> bool:
        """Returns whether the queue has messages, attempts in flight or pending notices, regardless of a backoff."""
        return bool(self.messages or self.in_flight or self.unacknowledged_ends)


class KeyQueues:
    """The queues of all keys that are in use."""

    def __init__(self, context: RoundContext, timers: TimerQueue) -> None:
        self.context = context
        self.timers = timers
        self.by_key: dict[str, KeyQueue] = {}
        self.discarded_at_us = context.now_us

    def queue(self, key: str) -> KeyQueue:
        """Returns the queue of a key; creates it if there is none."""
        return self.by_key.setdefault(key, KeyQueue())

    def remove(self, message: Message) -> None:
        """Removes a message that has ended, and schedules the next message of its key."""
        if message.key is not None:
            queue = self.by_key[message.key]
            queue.messages.remove(message)
            self.schedule_next(queue)

    def hold_reason(self, message: Message) -> HoldReason | None:
        """Returns why a message has to wait for its key; None if it does not have to."""
        if message.key is None:
            return None
        queue = self.by_key[message.key]
        if (
            queue.messages[0] is not message
            or queue.in_flight
            or any(number < message.sequence_number for number in queue.unacknowledged_ends.values())
        ):
            return HoldReason.KEY_ORDER
        is_backing_off = self.context.now_us < queue.backoff_until_us and not message.attempts
        return HoldReason.KEY_BACKOFF if is_backing_off else None

    def schedule_next(self, queue: KeyQueue) -> None:
        """Makes the destination of a queue's first message due in this round and after the backoff."""
        if queue.messages and not queue.in_flight:
            destination = queue.messages[0].destination
            self.context.due_destinations.add(destination)
            self.timers.add(max(self.context.now_us, queue.backoff_until_us), destination)

    def start_attempt(self, message: Message) -> None:
        """Records that an attempt is in flight; until it ends, no other message of its key may be sent."""
        if message.key is not None:
            self.by_key[message.key].in_flight += 1

    def end_attempt(self, key: str, *, may_still_run: bool) -> None:
        """Records that an attempt of a key has ended."""
        queue = self.by_key[key]
        queue.in_flight -= 1
        if may_still_run:
            self.back_off(key)
        self.schedule_next(queue)

    def back_off(self, key: str) -> None:
        """Starts the backoff of a key after an attempt that may still run; it is stored for use after a restart."""
        queue = self.by_key[key]
        until_us = self.context.now_us + self.context.settings.key_backoff_us
        if until_us > max(self.context.now_us, queue.backoff_until_us):
            queue.backoff_until_us = until_us
            self.context.actions.append(KeyBackoffStarted(key, until_us))

    def restore_backoff(self, key: str, until_us: int) -> None:
        """Restores a backoff that was started before a restart or a hand-over."""
        queue = self.queue(key)
        queue.backoff_until_us = max(queue.backoff_until_us, until_us)

    def await_notice(self, message: Message) -> None:
        """Blocks the key of an ended message until its notice is acknowledged."""
        if message.key is not None:
            self.by_key[message.key].unacknowledged_ends[message.id] = message.sequence_number

    def restore_pending_notice(self, key: str, message_id: str) -> None:
        """Blocks a key until a notice that was pending before a restart is acknowledged."""
        self.queue(key).unacknowledged_ends[message_id] = 0

    def acknowledge_notice(self, key: str, message_id: str) -> None:
        """Stops blocking a key for a notice that was acknowledged."""
        queue = self.by_key.get(key)
        if queue is not None:
            queue.unacknowledged_ends.pop(message_id, None)
            self.schedule_next(queue)

    def discard_unused(self) -> None:
        """Discards the queues that are not in use and have no backoff, once per DISCARD_INTERVAL_US at most."""
        now_us = self.context.now_us
        if now_us - self.discarded_at_us >= DISCARD_INTERVAL_US:
            self.discarded_at_us = now_us
            self.by_key = {
                key: queue for key, queue in self.by_key.items() if queue.is_in_use() or queue.backoff_until_us > now_us
            }
