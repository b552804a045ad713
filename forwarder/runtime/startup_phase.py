"""The first phases of a process, from its start until it serves as any other. Pure: times and events in.

Each phase is bounded in time, whatever stays down. Messages are accepted in all of them but the first: what `/up` says
yes to can be done from then on.

| phase | what it allows | what ends it |
| --- | --- | --- |
| starting | nothing: the journal is read, the address is not listened on | the engine is ready |
| recovering | all; calls by the saved list wait 2 s first | discovery has told the list, or 10 s have passed |
| catching up | all; old messages compete with new ones by their deadlines | they are over, or 30 s have passed |
| serving | all | the end of the process |
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from enum import Enum

from forwarder.units import SECOND_US

RECOVERING_US = 10 * SECOND_US
"""`ask_within_us` of the settings: by then a forwarder counts as told of all that was listed."""
CATCHING_UP_US = 30 * SECOND_US
"""Longer than the longest time that a message has: what is left then is not of before the start."""


class StartupPhase(Enum):
    """How far a start has come. The values are what operators and the log are told."""

    STARTING = "starting"
    RECOVERING = "recovering"
    CATCHING_UP = "catching up"
    SERVING = "serving"


class StartupProgress:
    """Follows one start."""

    def __init__(self, now_us: int, recovered_ids: Iterable[str]) -> None:
        """Begins with the messages that were recovered from the journal."""
        self.phase = StartupPhase.STARTING
        self.durations_us: dict[StartupPhase, int] = {}
        """How long each phase took that is over."""
        self._phase_began_us = now_us
        self._backlog = set(recovered_ids)
        self._has_list = False

    def mark_ready(self, now_us: int) -> None:
        """Clients may come."""
        self._enter(StartupPhase.RECOVERING, now_us)

    def mark_list_received(self) -> None:
        """Discovery has told the endpoint list, or that it has not changed."""
        self._has_list = True

    def update(self, now_us: int, held_ids: Container[str]) -> bool:
        """Looks whether the phase is over, by the messages that are held. Returns whether it has changed."""
        self._backlog = {message_id for message_id in self._backlog if message_id in held_ids}
        passed_us = now_us - self._phase_began_us
        before = self.phase
        if self.phase is StartupPhase.RECOVERING and (self._has_list or passed_us >= RECOVERING_US):
            self._enter(StartupPhase.CATCHING_UP, now_us)
        if self.phase is StartupPhase.CATCHING_UP:
            passed_us = now_us - self._phase_began_us
            if not self._backlog or passed_us >= CATCHING_UP_US:
                self._enter(StartupPhase.SERVING, now_us)
        return self.phase is not before

    def _enter(self, phase: StartupPhase, now_us: int) -> None:
        self.durations_us[self.phase] = now_us - self._phase_began_us
        self.phase = phase
        self._phase_began_us = now_us

    def describe(self, now_us: int) -> str:
        """Returns, for operators, the phase, since when, what it waits for, and how long the others took."""
        waits_for = {
            StartupPhase.RECOVERING: "waits for the list",
            StartupPhase.CATCHING_UP: f"{len(self._backlog)} messages of before the start",
        }.get(self.phase, "")
        passed_s = (now_us - self._phase_began_us) / SECOND_US
        earlier = ", ".join(f"{phase.value} {us / SECOND_US:.2f} s" for phase, us in self.durations_us.items())
        facts = (f"{self.phase.value} for {passed_s:.1f} s", waits_for, earlier)
        return "; ".join(fact for fact in facts if fact)
