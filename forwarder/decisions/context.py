"""The state of a round that all collaborators of one dispatcher share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from forwarder.decisions.actions import Action
from forwarder.decisions.settings import Settings

MAX_SMALL_FLEET = 8
"""Forwarders of a small fleet at most. In a larger one the reactions of all to one event add up."""


@dataclass(slots=True)
class RoundContext:
    """The time, the settings and the results of the round that a dispatcher is in.

    The dispatcher is its only writer but for `actions` and `due_destinations`, to which every collaborator adds.
    """

    settings: Settings
    random: Random
    now_us: int
    fleet_size: float = 1.0
    """Forwarders among whom limits and budgets are divided."""
    is_large_fleet: bool = False
    actions: list[Action] = field(default_factory=list)
    """The actions of the round, in the order in which they are carried out."""
    errors: list[Exception] = field(default_factory=list)
    """The errors of the round's steps."""
    due_destinations: set[int] = field(default_factory=set)
    """Destinations whose held messages are decided on in this round."""

    def apply_settings(self, settings: Settings) -> None:
        """Uses new settings. The size of the fleet is the configured one until it is set again."""
        self.settings = settings
        self.fleet_size = float(settings.forwarders)
        self.is_large_fleet = settings.forwarders > MAX_SMALL_FLEET

    def run_step(self, step: Callable[[], None]) -> None:
        """Takes one step of a round; an error in it is kept and stops no other step."""
        try:
            step()
        except Exception as error:
            self.errors.append(error)
