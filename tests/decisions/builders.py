"""Builders of the records that tests of single collaborators use."""

from __future__ import annotations

from random import Random

from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.records import Endpoint, LimitScope, Message
from tests.scripts import S, settings

DESTINATION = 10


def make_context(now_us: int = 0, **changes: object) -> RoundContext:
    """Returns the context of a round with the settings of the scripts and the given changes."""
    context_settings = settings(**changes)
    context = RoundContext(context_settings, Random(7), now_us)
    context.apply_settings(context_settings)
    return context


def make_endpoint(endpoint_id: int = 1, scope: LimitScope | None = None) -> Endpoint:
    """Returns a serving endpoint with a capacity of 10 calls per second."""
    return Endpoint(endpoint_id, DESTINATION, "north", 10.0, scope or LimitScope(DESTINATION, 1.0))


def make_message(
    message_id: str = "m", class_name: str = "safe", number: int = 1, key: str | None = None, due_us: int = 6 * S
) -> Message:
    """Returns a message of one of the classes in the settings of the scripts."""
    [message_class] = [candidate for candidate in settings().classes if candidate.name == class_name]
    return Message(message_id, DESTINATION, message_class, due_us, 0, number, key, over_quota=False)


def make_endpoint_table(context: RoundContext, *entries: EndpointEntry) -> EndpointTable:
    """Returns a table after a complete list of the entries, or of one plain endpoint if there are none."""
    table = EndpointTable(context, HeldMessages())
    table.apply_settings(context.settings)
    listed = entries or (EndpointEntry(1, DESTINATION, "north", "plain", weight=10.0),)
    table.apply_list(EndpointListReceived(EndpointListKind.WHOLE, listed))
    return table
