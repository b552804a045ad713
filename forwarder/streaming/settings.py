"""Reads the table `[streaming]` of the extensions file, and checks it against the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.config.config import Address, Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.stream_routing import max_streams
from forwarder.streaming.http_body import CHUNK_OVERHEAD_BYTES
from forwarder.streaming.http_head import MAX_HEAD_BYTES

BASE_MEMORY_BYTES = 44_000_000
"""Memory of the forwarder without streams, when it holds the maximum number of messages."""
STREAM_SOCKET_DIVISOR = 6
"""Streams may use the total number of descriptors divided by this, out of the half that clients may use."""
SPARE_SOCKETS = 8
"""Descriptors of streams that are set aside: half for connections just accepted, half for those being rejected."""
MIN_BUFFER_BYTES = 4096
DEFAULT_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """The validated settings of the streaming extension."""

    listen: Address
    memory_bytes: int
    """Limit on the bytes that all streams together have read and not yet written."""
    buffer_bytes: int
    """High-water mark of each direction of a stream: the maximum size of one read. The next read waits until all of it
    is written."""
    slots_share: float
    """Fraction of the slots that streams may occupy."""
    head_timeout_s: float
    """Time within which the head of a request must be complete."""
    idle_timeout_s: float
    """Maximum wait for a client to send or accept bytes, and for an endpoint to accept bytes."""
    response_idle_timeout_s: float
    """Maximum wait for an endpoint to send bytes, before and within its response."""
    min_bytes_per_s: int
    """Minimum throughput of a peer, over the time that the forwarder waits for it."""
    max_attempts: int
    """Maximum number of attempts for one request."""
    max_connections: int
    """Maximum number of connections to clients, and to endpoints as well."""

    @property
    def max_stream_bytes(self) -> int:
        """Maximum number of bytes that one stream holds."""
        return max_stream_bytes(self.buffer_bytes)

    @property
    def descriptors(self) -> int:
        """Maximum number of file descriptors that streams use."""
        return 2 * self.max_connections + SPARE_SOCKETS


def max_stream_bytes(buffer_bytes: int) -> int:
    """Returns the maximum number of bytes that one stream holds: per direction a head, and a read with its framing."""
    return 2 * (MAX_HEAD_BYTES + buffer_bytes + CHUNK_OVERHEAD_BYTES)


def parse_settings(table: ExtensionTable, config: Config) -> StreamSettings:
    """Reads and checks the table.

    Raises:
        ConfigError: A key is missing, unknown, or invalid with this configuration; the text names the key.
    """
    listen = table.address("listen")
    addresses_in_use = {"listen": config.listen, "discovery": config.discovery, "control": config.admin}
    for name, address in addresses_in_use.items():
        if address == listen:
            raise table.error("listen", f"is the address of {name}")
    memory_bytes = _parse_memory(table, config)
    buffer_bytes = table.integer("buffer_bytes", DEFAULT_BUFFER_BYTES, MIN_BUFFER_BYTES)
    per_stream_bytes = max_stream_bytes(buffer_bytes)
    if memory_bytes < per_stream_bytes:
        raise table.error("memory_bytes", f"is {memory_bytes}: one stream may hold {per_stream_bytes}")
    max_by_sockets = (config.max_sockets // STREAM_SOCKET_DIVISOR - SPARE_SOCKETS) // 2
    if max_by_sockets < 1:
        raise table.error("listen", f"cannot be served: {config.max_sockets} descriptors leave none for streams")
    return StreamSettings(
        listen,
        memory_bytes,
        buffer_bytes,
        slots_share=_parse_slots_share(table, config.settings.slots),
        head_timeout_s=table.number("head_s", 2.5, 0.1, 60.0),
        idle_timeout_s=table.number("idle_s", 30.0, 0.1, 3600.0),
        response_idle_timeout_s=table.number("silent_s", 300.0, 0.1, 86400.0),
        min_bytes_per_s=table.integer("least_bytes_per_s", 256),
        max_attempts=table.integer("tries", 2, 1, 10),
        max_connections=min(memory_bytes // per_stream_bytes, max_by_sockets),
    )


def _parse_memory(table: ExtensionTable, config: Config) -> int:
    available_bytes = config.memory_mb * 1_000_000 - BASE_MEMORY_BYTES
    memory_bytes = table.integer("memory_bytes")
    if memory_bytes > available_bytes:
        text = f"is {memory_bytes}: of {config.memory_mb} MB the program leaves {available_bytes}"
        raise table.error("memory_bytes", text)
    return memory_bytes


def _parse_slots_share(table: ExtensionTable, slots: int) -> float:
    share = table.number("slots_share", 0.5, 0.0, 1.0)
    if not 0 < max_streams(slots, share) < slots:
        raise table.error("slots_share", f"is {share:g}: of {slots} slots, streams and messages need some each")
    return share
