"""The phases of a startup, until the process serves normally. Pure: times and events are passed in.

Each phase is bounded in time, whatever stays unavailable. Messages are accepted in all phases but the first, so a
positive answer of `/up` holds from then on.

| phase | what it allows | what ends it |
| --- | --- | --- |
| starting | nothing: the journal is read, the address is not listened on | the engine is ready |
| recovering | all; calls by the saved list wait 2 s first | discovery has sent the list, or 10 s have passed |
| catching up | all; old messages compete with new ones by deadline | the old ones are over, or 30 s have passed |
| serving | all | the end of the process |
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from enum import Enum

from forwarder.units import SECOND_US

MAX_RECOVERING_US = 10 * SECOND_US
"""`ask_within_us` of the settings: after this time a forwarder counts as informed of all listed endpoints."""
MAX_CATCHING_UP_US = 30 * SECOND_US
"""Longer than the longest time a message has, so no message from before the start is left afterwards."""


class StartupPhase(Enum):
    """The phase of a startup. The values are shown to operators and logged."""

    STARTING = "starting"
    RECOVERING = "recovering"
    CATCHING_UP = "catching up"
    SERVING = "serving"


class StartupProgress:
    """Follows one startup through its phases."""

    def __init__(self, now_us: int, recovered_ids: Iterable[str]) -> None:
        """Starts with the messages that were recovered from the journal."""
        self.phase = StartupPhase.STARTING
        self.durations_us: dict[StartupPhase, int] = {}
        """Duration of each phase that is over."""
        self._phase_started_us = now_us
        self._backlog = set(recovered_ids)
        self._has_list = False

    def mark_ready(self, now_us: int) -> None:
        """Records that the engine is ready for clients."""
        self._enter(StartupPhase.RECOVERING, now_us)

    def mark_list_received(self) -> None:
        """Records that discovery has sent the endpoint list, or has reported it unchanged."""
        self._has_list = True

    def update(self, now_us: int, held_ids: Container[str]) -> bool:
        """Enters the next phase if the current one is over. Returns whether the phase has changed.

        Args:
            now_us: the current time.
            held_ids: the ids of the messages that are still held.
        """
        self._backlog = {message_id for message_id in self._backlog if message_id in held_ids}
        elapsed_us = now_us - self._phase_started_us
        previous_phase = self.phase
        if self.phase is StartupPhase.RECOVERING and (self._has_list or elapsed_us >= MAX_RECOVERING_US):
            self._enter(StartupPhase.CATCHING_UP, now_us)
        if self.phase is StartupPhase.CATCHING_UP:
            elapsed_us = now_us - self._phase_started_us
            if not self._backlog or elapsed_us >= MAX_CATCHING_UP_US:
                self._enter(StartupPhase.SERVING, now_us)
        return self.phase is not previous_phase

    def _enter(self, phase: StartupPhase, now_us: int) -> None:
        self.durations_us[self.phase] = now_us - self._phase_started_us
        self.phase = phase
        self._phase_started_us = now_us

    def describe(self, now_us: int) -> str:
        """Returns, for operators, the phase, its age, what it waits for, and the durations of the earlier phases."""
        waits_for = {
            StartupPhase.RECOVERING: "waits for the list",
            StartupPhase.CATCHING_UP: f"{len(self._backlog)} messages of before the start",
        }.get(self.phase, "")
        elapsed_s = (now_us - self._phase_started_us) / SECOND_US
        earlier = ", ".join(f"{phase.value} {us / SECOND_US:.2f} s" for phase, us in self.durations_us.items())
        facts = (f"{self.phase.value} for {elapsed_s:.1f} s", waits_for, earlier)
        return "; ".join(fact for fact in facts if fact)
