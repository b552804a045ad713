"""The settings of streaming: the table `[streaming]` of the parts file, checked against the configuration."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.config.config import Address, Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.stream_routing import max_streams
from forwarder.streaming.wire import CHUNK_ROOM, MOST_HEAD

PROGRAM_BYTES = 44_000_000  # what the forwarder takes without streams, with its messages at their most
SOCKETS_PART = 6  # this part of the descriptors is for streams, out of the half that clients may hold
SPARE_SOCKETS = 8  # of those, half for connections just taken, half for some that are told there is no room
LEAST_BUFFER = 4096


@dataclass(frozen=True, slots=True)
class StreamSettings:
    listen: Address
    memory_bytes: int
    """For what all streams together have read and not yet written."""
    buffer_bytes: int
    """The high-water mark of each direction of a stream: so much is read at once, and the next only when all
    of it is written (the low mark is 0)."""
    slots_share: float
    head_s: float
    """A request's head must be whole in this time."""
    idle_s: float
    """The longest that a client may keep us waiting, or an endpoint that takes no bytes."""
    silent_s: float
    """The longest that an endpoint may say nothing, before and within its answer."""
    least_bytes_per_s: int
    """A peer that we wait for must be faster than this."""
    tries: int
    """Endpoints that one request may be taken to."""
    connections: int
    """Clients at once, and as many endpoints."""

    @property
    def stream_bytes(self) -> int:
        """The most that one stream holds."""
        return stream_bytes(self.buffer_bytes)

    @property
    def descriptors(self) -> int:
        return 2 * self.connections + SPARE_SOCKETS


def stream_bytes(buffer_bytes: int) -> int:
    """Each way a head, and a read that is framed anew."""
    return 2 * (MOST_HEAD + buffer_bytes + CHUNK_ROOM)


def read(table: ExtensionTable, config: Config) -> StreamSettings:
    """Read the table. A configuration that cannot hold is refused here, by the key to be changed."""
    listen = table.address("listen")
    taken = {"listen": config.listen, "discovery": config.discovery, "control": config.admin}
    for name, where in taken.items():
        if where == listen:
            raise table.error("listen", f"is the address of {name}")
    spare = config.memory_mb * 1_000_000 - PROGRAM_BYTES
    memory = table.integer("memory_bytes")
    if memory > spare:
        raise table.error("memory_bytes", f"is {memory}: of {config.memory_mb} MB the program leaves {spare}")
    buffer = table.integer("buffer_bytes", 65_536, LEAST_BUFFER)
    by_memory = memory // stream_bytes(buffer)
    if by_memory < 1:
        raise table.error("memory_bytes", f"is {memory}: one stream may hold {stream_bytes(buffer)}")
    by_sockets = (config.max_sockets // SOCKETS_PART - SPARE_SOCKETS) // 2
    if by_sockets < 1:
        raise table.error("listen", f"cannot be served: {config.max_sockets} descriptors leave none for streams")
    share = table.number("slots_share", 0.5, 0.0, 1.0)
    slots = config.settings.slots
    if not 0 < max_streams(slots, share) < slots:
        raise table.error("slots_share", f"is {share:g}: of {slots} slots, streams and messages need some each")
    return StreamSettings(
        listen,
        memory,
        buffer,
        share,
        head_s=table.number("head_s", 2.5, 0.1, 60.0),
        idle_s=table.number("idle_s", 30.0, 0.1, 3600.0),
        silent_s=table.number("silent_s", 300.0, 0.1, 86400.0),
        least_bytes_per_s=table.integer("least_bytes_per_s", 256),
        tries=table.integer("tries", 2, 1, 10),
        connections=min(by_memory, by_sockets),
    )
