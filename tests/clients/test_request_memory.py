"""Tests who is refused when clients hold too much memory."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.clients.request_memory import RequestMemory


@dataclass(eq=False)
class FakeConnection:
    """A connection that may have a partial request."""

    name: str
    is_partial: bool = True

    def has_partial_request(self) -> bool:
        """Returns whether it may be refused."""
        return self.is_partial


def make_memory() -> RequestMemory[FakeConnection]:
    """Returns a memory of 1,000 bytes for ten connections, so that an equal part is 100 bytes."""
    memory = RequestMemory[FakeConnection]()
    memory.set_limit(1000, 10)
    return memory


def test_the_connection_that_has_held_something_for_longest_is_refused_first() -> None:
    """Issue 61 (a): a request that arrives at once must not make room for those that have come for seconds."""
    memory = make_memory()
    slow, sound = FakeConnection("slow"), FakeConnection("sound")
    memory.note(slow, 400)
    memory.note(sound, 500)
    assert memory.next_to_refuse() is None
    memory.note(sound, 700)
    assert memory.next_to_refuse() is slow
    memory.note(slow, 0)
    assert memory.next_to_refuse() is None


def test_an_equal_part_is_never_refused() -> None:
    memory = make_memory()
    small = [FakeConnection(f"small {number}") for number in range(5)]
    for connection in small:
        memory.note(connection, 100)
    large = FakeConnection("large")
    memory.note(large, 600)

    assert memory.next_to_refuse() is large


def test_a_connection_whose_request_is_complete_is_not_refused() -> None:
    memory = make_memory()
    memory.note(FakeConnection("complete", is_partial=False), 800)
    partial = FakeConnection("partial")
    memory.note(partial, 300)

    assert memory.next_to_refuse() is partial
    assert memory.largest_partial() is partial
    memory.note(partial, 0)
    assert memory.next_to_refuse() is None
    assert memory.largest_partial() is None
    assert memory.free_bytes() == 200
