"""The state of a round, shared by all collaborators of one dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from forwarder.decisions.actions import Action
from forwarder.decisions.settings import Settings

MAX_SMALL_FLEET = 8
"""Maximum size of a small fleet. In a larger one, the reactions of all forwarders to one event add up."""


@dataclass(slots=True)
class RoundContext:
    """The time, the settings and the results of a dispatcher's current round.

    Only the dispatcher changes it, except for `actions` and `due_destinations`, to which every collaborator adds.
    """

    settings: Settings
    random: Random
    now_us: int
    fleet_size: float = 1.0
    """Number of forwarders among which limits and budgets are divided."""
    is_large_fleet: bool = False
    actions: list[Action] = field(default_factory=list)
    """The actions of the current round, in the order in which they are carried out."""
    errors: list[Exception] = field(default_factory=list)
    """The errors raised by steps of the current round."""
    due_destinations: set[int] = field(default_factory=set)
    """Destinations whose held messages are reconsidered in this round."""

    def apply_settings(self, settings: Settings) -> None:
        """Applies new settings. The fleet size is the configured one until it is set again."""
        self.settings = settings
        self.fleet_size = float(settings.forwarders)
        self.is_large_fleet = settings.forwarders > MAX_SMALL_FLEET

    def run_step(self, step: Callable[[], None]) -> None:
        """Runs one step of a round; an error in it is recorded and does not stop the other steps."""
        try:
            step()
        except Exception as error:
            self.errors.append(error)
