"""The first phases of a forwarder's life, from its start until it serves as any other. Pure: times and events in.

Each phase is bounded in time, whatever stays down. Messages are taken on in all of them but the first: what `/up` says
yes to can be done from then on.

| phase | what it allows | what ends it |
| --- | --- | --- |
| starting | nothing: the journal is read, the address is not listened on | the engine is ready |
| recovering | all; calls by the kept list wait 2 s first | discovery has told the list, or 10 s have passed |
| catching up | all; old messages compete with new ones in the design's order | they are over, or 30 s passed |
| serving | all | the end of the process |
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from enum import Enum

SECOND = 1_000_000
RECOVERING_US = 10 * SECOND
"""`ask_within_us` of the settings: by then a forwarder counts as told of all that was listed."""
CATCHING_UP_US = 30 * SECOND
"""Longer than the longest time that a message has: what is left then is not of before the start."""


class StartupPhase(Enum):
    STARTING = "starting"
    RECOVERING = "recovering"
    CATCHING_UP = "catching up"
    SERVING = "serving"


class StartupProgress:
    """Follows one start. `backlog` names the messages that were taken up from the journal."""

    def __init__(self, now: int, backlog: Iterable[str]) -> None:
        self.phase, self.began, self.backlog = StartupPhase.STARTING, now, set(backlog)
        self.listed = False
        self.took: dict[StartupPhase, int] = {}
        """How long each phase took, in microseconds."""

    def step(self, now: int, held: Container[str]) -> bool:
        """Look whether the phase is over; `held` are the messages that are not over. Whether it has changed."""
        self.backlog = {name for name in self.backlog if name in held}
        passed, old = now - self.began, self.phase
        if self.phase is StartupPhase.RECOVERING and (self.listed or passed >= RECOVERING_US):
            self._enter(StartupPhase.CATCHING_UP, now)
        if self.phase is StartupPhase.CATCHING_UP and (not self.backlog or now - self.began >= CATCHING_UP_US):
            self._enter(StartupPhase.SERVING, now)
        return self.phase is not old

    def ready(self, now: int) -> None:
        """Clients may come."""
        self._enter(StartupPhase.RECOVERING, now)

    def list_received(self) -> None:
        """Discovery has told the list, or that it has not changed."""
        self.listed = True

    def _enter(self, phase: StartupPhase, now: int) -> None:
        self.took[self.phase] = now - self.began
        self.phase, self.began = phase, now

    def describe(self, now: int) -> str:
        """For operators: the phase, since when, and what it waits for."""
        left = {
            StartupPhase.RECOVERING: "waits for the list",
            StartupPhase.CATCHING_UP: f"{len(self.backlog)} messages of before the start",
        }.get(self.phase, "")
        before = ", ".join(f"{phase.value} {us / SECOND:.2f} s" for phase, us in self.took.items())
        return "; ".join(
            text for text in (f"{self.phase.value} for {(now - self.began) / SECOND:.1f} s", left, before) if text
        )
