"""The table `[streaming]` of the parts file, checked against the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.config.config import Address, Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.stream_routing import max_streams
from forwarder.streaming.http_body import CHUNK_OVERHEAD_BYTES
from forwarder.streaming.http_head import MAX_HEAD_BYTES

BASE_MEMORY_BYTES = 44_000_000
"""Memory of the forwarder without streams, with its messages at their most."""
SOCKET_FRACTION = 6
"""One of so many descriptors is for streams, out of the half that clients may hold."""
SPARE_SOCKETS = 8
"""Of those, half for connections that were just accepted, half for some that are told there is no capacity."""
MIN_BUFFER_BYTES = 4096
DEFAULT_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """What the table says, checked."""

    listen: Address
    memory_bytes: int
    """For what all streams together have read and not yet written."""
    buffer_bytes: int
    """High-water mark of each direction of a stream: so much is read at once, and the next only when all of it is
    written."""
    slots_share: float
    """Part of the slots that streams may hold."""
    head_s: float
    """A request's head must be complete in this time."""
    idle_s: float
    """The longest that a client may keep this forwarder waiting, or an endpoint that takes no bytes."""
    response_idle_s: float
    """The longest that an endpoint may say nothing, before and within its response."""
    min_bytes_per_s: int
    """A peer that this forwarder waits for must be faster."""
    max_attempts: int
    """Endpoints that one request may be taken to."""
    max_connections: int
    """Clients at once, and as many endpoints."""

    @property
    def max_stream_bytes(self) -> int:
        """The most that one stream holds."""
        return max_stream_bytes(self.buffer_bytes)

    @property
    def descriptors(self) -> int:
        """File descriptors that streams take at most."""
        return 2 * self.max_connections + SPARE_SOCKETS


def max_stream_bytes(buffer_bytes: int) -> int:
    """Returns the most that one stream holds: each way a head, and a read that is framed anew."""
    return 2 * (MAX_HEAD_BYTES + buffer_bytes + CHUNK_OVERHEAD_BYTES)


def parse_settings(table: ExtensionTable, config: Config) -> StreamSettings:
    """Reads the table.

    Raises:
        ConfigError: a key is missing, unknown, or cannot hold with this configuration; the text names it.
    """
    listen = table.address("listen")
    in_use = {"listen": config.listen, "discovery": config.discovery, "control": config.admin}
    for name, address in in_use.items():
        if address == listen:
            raise table.error("listen", f"is the address of {name}")
    memory_bytes = _parse_memory(table, config)
    buffer_bytes = table.integer("buffer_bytes", DEFAULT_BUFFER_BYTES, MIN_BUFFER_BYTES)
    per_stream = max_stream_bytes(buffer_bytes)
    if memory_bytes < per_stream:
        raise table.error("memory_bytes", f"is {memory_bytes}: one stream may hold {per_stream}")
    by_sockets = (config.max_sockets // SOCKET_FRACTION - SPARE_SOCKETS) // 2
    if by_sockets < 1:
        raise table.error("listen", f"cannot be served: {config.max_sockets} descriptors leave none for streams")
    return StreamSettings(
        listen,
        memory_bytes,
        buffer_bytes,
        slots_share=_parse_slots_share(table, config.settings.slots),
        head_s=table.number("head_s", 2.5, 0.1, 60.0),
        idle_s=table.number("idle_s", 30.0, 0.1, 3600.0),
        response_idle_s=table.number("silent_s", 300.0, 0.1, 86400.0),
        min_bytes_per_s=table.integer("least_bytes_per_s", 256),
        max_attempts=table.integer("tries", 2, 1, 10),
        max_connections=min(memory_bytes // per_stream, by_sockets),
    )


def _parse_memory(table: ExtensionTable, config: Config) -> int:
    spare_bytes = config.memory_mb * 1_000_000 - BASE_MEMORY_BYTES
    memory_bytes = table.integer("memory_bytes")
    if memory_bytes > spare_bytes:
        text = f"is {memory_bytes}: of {config.memory_mb} MB the program leaves {spare_bytes}"
        raise table.error("memory_bytes", text)
    return memory_bytes


def _parse_slots_share(table: ExtensionTable, slots: int) -> float:
    share = table.number("slots_share", 0.5, 0.0, 1.0)
    if not 0 < max_streams(slots, share) < slots:
        raise table.error("slots_share", f"is {share:g}: of {slots} slots, streams and messages need some each")
    return share
