"""Tests of forwarder.decisions.attempt_outcomes, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.outcomes import NEVER_RAN, Outcome
from tests.decisions.fleets import ONE_ENDPOINT
from tests.scripts import MS, ask, end, sends, started


class RecordingExtension:
    """Records the outcomes that it receives."""

    def __init__(self) -> None:
        self.outcomes: list[tuple[int, Outcome]] = []

    def apply_event(self, event: ExtensionEvent) -> None: ...

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        self.outcomes.append((endpoint_id, outcome))

    def before_release(self) -> None: ...

    def after_release(self) -> None: ...


@pytest.mark.parametrize("outcome", [outcome for outcome in Outcome if outcome is not Outcome.DELIVERED])
def test_a_message_may_have_run_unless_the_outcome_proves_otherwise(outcome: Outcome) -> None:
    dispatcher = started(ONE_ENDPOINT)
    [send] = sends(dispatcher.handle(0, [ask("m")]))
    message = dispatcher.messages["m"]

    dispatcher.handle(10 * MS, [end(send, outcome, took=10 * MS)])

    assert (message.maybe_ran_at_us, message.maybe_ran_on) == ((-1, -1) if outcome in NEVER_RAN else (0, 1))
    assert message.avoid_endpoint == 1


@pytest.mark.parametrize(
    ("outcome", "is_passed_on"), [(Outcome.FAILED, True), (Outcome.NOT_SENT, True), (Outcome.LOCAL_FAILURE, False)]
)
def test_extensions_receive_all_outcomes_except_local_failures(outcome: Outcome, is_passed_on: bool) -> None:
    dispatcher = started(ONE_ENDPOINT)
    extension = RecordingExtension()
    dispatcher.extensions.append(extension)
    [send] = sends(dispatcher.handle(0, [ask("m")]))

    dispatcher.handle(10 * MS, [end(send, outcome)])

    assert extension.outcomes == ([(1, outcome)] if is_passed_on else [])


def test_only_the_first_outcome_of_a_call_is_learned_from() -> None:
    dispatcher = started()
    first, second = sends(dispatcher.handle(0, [ask("a", 11), ask("b", 11)]))
    assert first.endpoint == second.endpoint

    dispatcher.handle(10 * MS, [end(first, Outcome.FAILED, closed=True)])
    error_rate = dispatcher.endpoints[3].error_rate
    dispatcher.handle(20 * MS, [end(second, Outcome.FAILED, closed=True)])

    assert dispatcher.endpoints[3].error_rate == error_rate > 0


def test_the_outcome_of_an_unknown_attempt_changes_nothing() -> None:
    dispatcher = started(ONE_ENDPOINT)
    [send] = sends(dispatcher.handle(0, [ask("m")]))

    dispatcher.handle(10 * MS, [end(send, Outcome.FAILED, attempt=5)])

    assert dispatcher.calls_in_flight == 1
    assert dispatcher.errors == []
