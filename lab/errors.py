"""The errors that the lab raises."""

from __future__ import annotations


class LabError(Exception):
    """Base of the lab's own errors: a run that ends with one has no result."""


class ScenarioError(LabError):
    """A scenario cannot be played. The text names the key."""


class SetupError(LabError):
    """The parties of a run could not be set up, or a forwarder did not start."""
