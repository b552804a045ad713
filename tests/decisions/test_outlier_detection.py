"""Tests of outlier detection: alone with seeded outcomes, and in the whole program over sockets."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from forwarder.decisions.actions import LogLine
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, Event
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.outlier_detection import OutlierDetector, OutlierSettings, Verdict, failure_rate_bounds
from tests.nodes import Node
from tests.platforms import Platform
from tests.scripts import MS, S, ask, end, sends, settings
from tests.sockets import OK, PATIENCE, Answer, Peer, Request

OUTLIER_SETTINGS = OutlierSettings(
    half_life_us=10 * S,
    min_samples=5,
    consecutive_failures=5,
    min_failure_rate=0.2,
    max_ejected_share=0.5,
    ejection_us=5 * S,
    max_ejection_us=60 * S,
    retry_us=S,
    trial_calls=3,
)
OutcomeOf = Callable[[int, int], Outcome]


class DetectorScript:
    """Drives a dispatcher with outlier detection and one destination; the test chooses the outcome of each call."""

    def __init__(self, endpoints: int, outlier_settings: OutlierSettings = OUTLIER_SETTINGS, seed: int = 3) -> None:
        self.dispatcher = Dispatcher(settings(slots=8, forwarders=1, max_attempts=50), seed, 0)
        self.detector = OutlierDetector(self.dispatcher, outlier_settings)
        self.dispatcher.extensions.append(self.detector)
        self.dispatcher.handle(
            0,
            [
                EndpointListReceived(
                    EndpointListKind.SAVED,
                    tuple(EndpointEntry(endpoint_id, 10, "north", "plain") for endpoint_id in range(1, endpoints + 1)),
                )
            ],
        )
        self.now_us, self.message_count = 0, 0
        self.calls: Counter[int] = Counter()
        self.attempts: Counter[str] = Counter()
        self.pending_outcomes: list[Event] = []
        self.log_texts: list[str] = []
        self.max_excluded = 0

    def run(self, seconds: float, outcome_of: OutcomeOf, interval_us: int = 50 * MS) -> DetectorScript:
        """Sends a message per interval; the outcome of each call follows one interval later."""
        until_us = self.now_us + int(seconds * S)
        while self.now_us < until_us:
            self.now_us += interval_us
            self.message_count += 1
            message = ask(f"m{self.message_count}", due=self.now_us + 3 * S)
            actions = self.dispatcher.handle(self.now_us, [*self.pending_outcomes, message])
            self.pending_outcomes = []
            for send in sends(actions):
                self.calls[send.endpoint] += 1
                assert not self.dispatcher.endpoints[send.endpoint].excluded
                self.pending_outcomes.append(
                    end(send, outcome_of(send.endpoint, self.now_us), self.attempts[send.message_id], took=MS)
                )
                self.attempts[send.message_id] += 1
            self.log_texts += [a.text for a in actions if isinstance(a, LogLine)]
            self.max_excluded = max(
                self.max_excluded, sum(endpoint.excluded for endpoint in self.dispatcher.endpoints.values())
            )
        return self

    def run_until_ejected(self, endpoint_id: int, outcome_of: OutcomeOf) -> DetectorScript:
        for _ in range(1000):
            if self.dispatcher.endpoints[endpoint_id].excluded:
                return self
            self.run(0.1, outcome_of)
        raise AssertionError("endpoint was not ejected")

    def verdicts(self) -> list[Verdict]:
        return [self.detector.verdict(endpoint)[0] for _, endpoint in sorted(self.dispatcher.endpoints.items())]


def failing(*endpoint_ids: int, outcome: Outcome = Outcome.FAILED) -> OutcomeOf:
    return lambda endpoint, now_us: outcome if endpoint in endpoint_ids else Outcome.DELIVERED


@pytest.mark.parametrize("endpoints", [2, 3, 8])
@pytest.mark.parametrize(
    "outcome", [Outcome.FAILED, Outcome.UNREADABLE, Outcome.RESET, Outcome.TIMED_OUT, Outcome.NO_CONNECTION]
)
def test_a_failing_endpoint_is_ejected_and_the_others_are_not(endpoints: int, outcome: Outcome) -> None:
    script = DetectorScript(endpoints).run(20, failing(2, outcome=outcome))
    assert script.verdicts()[1] in (Verdict.EJECTED, Verdict.ON_TRIAL)
    assert script.detector.records[2].ejections
    assert set(script.verdicts()[:1] + script.verdicts()[2:]) == {Verdict.HEALTHY}
    assert script.max_excluded == 1
    assert script.calls[2] <= 12
    # The dispatcher considers the endpoint ejected, too.
    assert script.dispatcher.slow_start.is_active(script.dispatcher.endpoints[2])


def test_an_endpoint_with_a_high_failure_rate_is_ejected_if_the_others_do_not_fail() -> None:
    """Half of its calls fail, not necessarily two in a row, so the dispatcher alone may not eject it."""
    rng = random.Random(5)
    script = DetectorScript(3).run(
        30, lambda endpoint, now_us: Outcome.FAILED if endpoint == 2 and rng.random() < 0.5 else Outcome.DELIVERED
    )
    assert script.detector.records[2].ejections >= 1
    assert script.detector.records[1].ejections == 0


def test_a_single_endpoint_is_not_ejected_and_neither_are_two_that_both_fail() -> None:
    single_endpoint = DetectorScript(1).run(10, failing(1))
    assert single_endpoint.max_excluded == 0
    assert single_endpoint.verdicts() == [Verdict.SUSPECT]
    both_failing = DetectorScript(2).run(30, failing(1, 2))
    assert not any(endpoint.excluded for endpoint in both_failing.dispatcher.endpoints.values())
    assert [
        text
        for text in both_failing.log_texts
        if "2 of 2 endpoints of destination 10 look bad; all stay in use" in text
    ]
    one_failing = both_failing.run(30, failing(2))
    assert one_failing.verdicts()[0] is not Verdict.EJECTED
    assert one_failing.detector.records[2].ejections >= 1


def test_the_last_endpoint_is_never_ejected_whatever_the_allowed_share() -> None:
    outlier_settings = replace(OUTLIER_SETTINGS, max_ejected_share=1.0)
    for endpoints in (1, 2, 3):
        script = DetectorScript(endpoints, outlier_settings).run(30, failing(*range(1, endpoints + 1)))
        assert script.max_excluded < endpoints
        assert script.dispatcher.endpoints_by_destination[10]


def test_random_failures_eject_no_endpoint() -> None:
    """Five seeds of two minutes each, at 20 messages per second of which 5 % fail at random."""
    for seed in range(5):
        rng = random.Random(seed)

        def outcome_of(endpoint: int, now_us: int, rng: random.Random = rng) -> Outcome:
            return Outcome.FAILED if rng.random() < 0.05 else Outcome.DELIVERED

        assert DetectorScript(3, seed=seed).run(120, outcome_of).detector.ejection_count == 0


def test_rejections_do_not_count_as_failures() -> None:
    script = DetectorScript(3).run(20, failing(2, outcome=Outcome.REJECTED))
    assert script.max_excluded == 0
    assert script.detector.records[2].failures == 0


def test_timeouts_after_a_stall_of_this_process_do_not_count_as_failures() -> None:
    script = DetectorScript(3).run(2, failing())
    sent = sends(
        script.dispatcher.handle(
            script.now_us + 50 * MS, [ask(f"s{index}", due=script.now_us + 3 * S) for index in range(6)]
        )
    )
    assert len(sent) > 2
    late_us = script.now_us + 3 * S  # the event loop stalled: all pending timeouts are noticed at once
    script.dispatcher.handle(late_us, [end(send, Outcome.TIMED_OUT, took=3 * S) for send in sent])
    assert sum(record.failures for record in script.detector.records.values()) == 0
    assert sum(record.successes for record in script.detector.records.values()) > 0


def test_ejections_get_longer_until_a_trial_succeeds() -> None:
    script = DetectorScript(3).run_until_ejected(2, failing(2))
    lengths_us: list[int] = []
    while len(lengths_us) < 4:
        if (record := script.detector.records[2]).ejected_until_us >= 0 and (
            record.ejected_until_us - record.verdict_at_us
        ) not in lengths_us:
            lengths_us.append(record.ejected_until_us - record.verdict_at_us)
        script.run(0.5, failing(2))
    for index, length_us in enumerate(lengths_us):
        assert 5 * 2**index * S <= length_us <= 1.5 * 5 * 2**index * S
    script.run(100, failing())
    assert script.verdicts() == [Verdict.HEALTHY] * 3
    assert [text for text in script.log_texts if text == "health: target 2 is on trial"]


def test_a_readmitted_endpoint_gets_few_calls_while_on_trial() -> None:
    script = DetectorScript(3).run_until_ejected(2, failing(2))
    while script.dispatcher.endpoints[2].excluded:
        script.run(0.1, failing(2))
    endpoint = script.dispatcher.endpoints[2]
    assert endpoint.recovering_since_us >= 0
    assert script.dispatcher.slow_start.is_active(endpoint)
    calls_before = script.calls[2]
    script.run(1, failing())
    assert script.calls[2] - calls_before < 5  # of 20 messages


def test_intermittent_and_random_failures_never_eject_more_than_the_allowed_share() -> None:
    for seed in range(30):
        rng = random.Random(seed)
        failure_rates = {endpoint: rng.random() for endpoint in range(1, 9)}
        period_us = rng.choice((1, 3, 7)) * S

        def outcome_of(
            endpoint: int,
            now_us: int,
            rng: random.Random = rng,
            failure_rates: dict[int, float] = failure_rates,
            period_us: int = period_us,
        ) -> Outcome:
            return (
                Outcome.FAILED
                if now_us // period_us % 2 and rng.random() < failure_rates[endpoint]
                else Outcome.DELIVERED
            )

        script = DetectorScript(8, seed=seed).run(20, outcome_of)
        assert script.max_excluded <= 4


def test_an_endpoint_list_may_move_or_remove_an_ejected_endpoint() -> None:
    script = DetectorScript(3).run_until_ejected(2, failing(2))
    script.dispatcher.handle(
        script.now_us,
        [
            EndpointListReceived(
                EndpointListKind.WHOLE,
                (
                    EndpointEntry(1, 10, "north", "plain"),
                    EndpointEntry(3, 10, "north", "plain"),
                    EndpointEntry(2, 11, "north", "plain"),
                ),
            )
        ],
    )  # the id now belongs to another destination
    assert not script.dispatcher.endpoints[2].excluded
    script.run(20, failing())
    script.dispatcher.handle(
        script.now_us, [EndpointListReceived(EndpointListKind.WHOLE, (EndpointEntry(1, 10, "north", "plain"),))]
    )
    script.run(5, failing())
    assert script.verdicts()[0] is Verdict.HEALTHY


def test_the_confidence_interval_contains_the_observed_failure_rate() -> None:
    for failures, samples in ((0, 5), (1, 5), (5, 5), (30, 60)):
        lower_bound, upper_bound = failure_rate_bounds(failures, samples)
        assert -1e-9 <= lower_bound <= failures / samples + 1e-9
        assert failures / samples - 1e-9 <= upper_bound <= 1 + 1e-9
    assert failure_rate_bounds(0, 0) == (0.0, 1.0)


# Over sockets


def test_operators_see_a_failing_endpoint_ejected_and_readmitted_after_its_repair(tmp_path: Path) -> None:
    """Breaks one of three endpoints, reads its verdict and reason, repairs it, and waits until it is healthy."""

    async def run_scenario() -> None:
        broken = {"s2": True}
        platform = Platform()
        await platform.start()
        peers: dict[str, Peer] = {}
        for name in ("s1", "s2", "s3"):

            async def handler(request: Request, name: str = name) -> Answer:
                return Answer(500) if broken.get(name) else OK

            peers[name] = await Peer(handler).start()
            platform.add_endpoint(name, peers[name].port)
        node = Node(tmp_path, platform)
        (tmp_path / "parts.toml").write_text(
            "[health.passive]\neject_s = 0.5\neject_top_s = 0.5\ntrial_calls = 1\nrun_calls = 2\nagain_s = 0.1\n"
        )
        node.arguments = ["--parts", str(tmp_path / "parts.toml")]
        await node.start()
        message_count = 0

        async def wait_for_verdict(verdict: str) -> str:
            nonlocal message_count
            async with asyncio.timeout(PATIENCE):
                while True:
                    message_count += 1
                    assert (await node.submit(f"m{message_count}", "status"))[0] == 202
                    answer = await node.call(b"VERDICT s2\n")
                    if f"s2 {verdict}" in answer:
                        return answer

        try:
            assert "failed" in await wait_for_verdict("ejected")
            assert (await node.call(b"VERDICT s1\n")).startswith("ok s1 healthy: failed 0.0 of ")
            assert (await node.call(b"VERDICT nobody\n")).startswith("fail no endpoint of that id")
            broken.clear()
            await wait_for_verdict("on trial")
            await wait_for_verdict("healthy")
            assert not platform.notices
            assert any("health: target" in line and "ejected for" in line for line in node.log)
        finally:
            await node.end()

    asyncio.run(run_scenario())
