"""Describes a client's connection for another process, which continues it (`ClientServer.adopt`)."""

from __future__ import annotations

from forwarder.clients.client_connection import ClientConnection
from forwarder.runtime.handover_format import ClientRecord


def describe(connection: ClientConnection) -> ClientRecord | None:
    """Returns the record with which another process can continue a connection; None if it cannot be handed over."""
    reader, transport = connection.reader, connection.transport
    assert transport is not None
    if (
        connection.current_request is not None
        or not reader.can_be_handed_over()
        or connection.peer_ended
        or transport.is_closing()
        or transport.get_write_buffer_size()
    ):
        return None
    return ClientRecord(
        connected_at_us=connection.opened_us,
        last_used_us=connection.last_used_us,
        has_sent_request=connection.has_sent_request,
        handed_over_at_us=connection.server.clock(),
        request_arrived_us=reader.arrived_us(),
        received=reader.wire_bytes(),
    )
