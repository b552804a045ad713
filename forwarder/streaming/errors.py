"""Errors that end a stream early."""

from __future__ import annotations

from http import HTTPStatus

from forwarder.decisions.outcomes import Outcome


class EndpointFailedError(Exception):
    """The endpoint failed. Carries the status for the client, which is used if no response has been started."""

    def __init__(self, outcome: Outcome, text: str, status: HTTPStatus = HTTPStatus.BAD_GATEWAY) -> None:
        super().__init__(text)
        self.outcome = outcome
        self.text = text
        self.status = status


class ClientFailedError(Exception):
    """The client failed. Carries the status for the client, or None if the client has disconnected."""

    def __init__(self, text: str, status: HTTPStatus | None = None) -> None:
        super().__init__(text)
        self.text = text
        self.status = status
