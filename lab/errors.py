"""The errors that the lab raises."""

from __future__ import annotations


class LabError(Exception):
    """Base class of the lab's errors: a run that ends with one has no result."""


class ScenarioError(LabError):
    """A scenario is invalid. The text names the key."""


class SetupError(LabError):
    """The parties of a run could not be set up, or a forwarder did not start."""
