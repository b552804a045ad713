"""Why a stream could not be carried to its end."""

from __future__ import annotations

from http import HTTPStatus

from forwarder.decisions.outcomes import Outcome


class EndpointFailedError(Exception):
    """The endpoint did not do its part; with the status that the client gets, if it can still get one."""

    def __init__(self, outcome: Outcome, text: str, status: HTTPStatus = HTTPStatus.BAD_GATEWAY) -> None:
        super().__init__(text)
        self.outcome = outcome
        self.text = text
        self.status = status


class ClientFailedError(Exception):
    """The client did not do its part; with the status that it gets, or none where it has gone."""

    def __init__(self, text: str, status: HTTPStatus | None = None) -> None:
        super().__init__(text)
        self.text = text
        self.status = status
