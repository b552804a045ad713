"""Builds the records that the tests of single collaborators start from."""

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
    """A round with the settings of the scripts, changed as given."""
    known = settings(**changes)
    context = RoundContext(known, Random(7), now_us)
    context.apply_settings(known)
    return context


def make_endpoint(endpoint_id: int = 1, scope: LimitScope | None = None) -> Endpoint:
    """A serving endpoint with a capacity of 10 calls a second."""
    return Endpoint(endpoint_id, DESTINATION, "north", 10.0, scope or LimitScope(DESTINATION, 1.0))


def make_message(
    message_id: str = "m", class_name: str = "safe", number: int = 1, key: str | None = None, due_us: int = 6 * S
) -> Message:
    """A message of one of the scripts' classes."""
    [message_class] = [known for known in settings().classes if known.name == class_name]
    return Message(message_id, DESTINATION, message_class, due_us, 0, number, key, over_quota=False)


def make_endpoint_table(context: RoundContext, *entries: EndpointEntry) -> EndpointTable:
    """A table with a complete list of the entries, one plain endpoint if there are none."""
    table = EndpointTable(context, HeldMessages())
    table.apply_settings(context.settings)
    listed = entries or (EndpointEntry(1, DESTINATION, "north", "plain", weight=10.0),)
    table.apply_list(EndpointListReceived(EndpointListKind.WHOLE, listed))
    return table
