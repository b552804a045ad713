"""Verdicts of endpoints: the policy alone with seeded evidence, and the real program over sockets."""

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
Fate = Callable[[int, int], Outcome]


class Fleet:
    """A dispatcher with health and one destination, driven by messages that end as a test says."""

    def __init__(self, endpoints: int, limits: OutlierSettings = OUTLIER_SETTINGS, seed: int = 3) -> None:
        self.d = Dispatcher(settings(slots=8, forwarders=1, max_attempts=50), seed, 0)
        self.health = OutlierDetector(self.d, limits)
        self.d.extensions.append(self.health)
        self.d.handle(
            0,
            [
                EndpointListReceived(
                    EndpointListKind.SAVED,
                    tuple(EndpointEntry(n, 10, "north", "plain") for n in range(1, endpoints + 1)),
                )
            ],
        )
        self.now, self.number = 0, 0
        self.calls: Counter[int] = Counter()
        self.attempts: Counter[str] = Counter()
        self.owed: list[Event] = []
        self.notes: list[str] = []
        self.most_out = 0

    def run(self, seconds: float, fate: Fate, gap: int = 50 * MS) -> Fleet:
        """A message each gap, and each call's outcome a little later."""
        until = self.now + int(seconds * S)
        while self.now < until:
            self.now += gap
            self.number += 1
            arrived = ask(f"m{self.number}", due=self.now + 3 * S)
            actions = self.d.handle(self.now, [*self.owed, arrived])
            self.owed = []
            for s in sends(actions):
                self.calls[s.endpoint] += 1
                assert not self.d.endpoints[s.endpoint].excluded
                self.owed.append(end(s, fate(s.endpoint, self.now), self.attempts[s.message_id], took=MS))
                self.attempts[s.message_id] += 1
            self.notes += [a.text for a in actions if isinstance(a, LogLine)]
            self.most_out = max(self.most_out, sum(t.excluded for t in self.d.endpoints.values()))
        return self

    def until_ejected(self, number: int, fate: Fate) -> Fleet:
        for _ in range(1000):
            if self.d.endpoints[number].excluded:
                return self
            self.run(0.1, fate)
        raise AssertionError("never ejected")

    def verdicts(self) -> list[Verdict]:
        return [self.health.verdict(t)[0] for _, t in sorted(self.d.endpoints.items())]


def failing(*numbers: int, outcome: Outcome = Outcome.FAILED) -> Fate:
    return lambda target, now: outcome if target in numbers else Outcome.DELIVERED


@pytest.mark.parametrize("endpoints", [2, 3, 8])
@pytest.mark.parametrize(
    "outcome", [Outcome.FAILED, Outcome.UNREADABLE, Outcome.RESET, Outcome.TIMED_OUT, Outcome.NO_CONNECTION]
)
def test_one_that_fails_is_ejected_and_the_others_are_not(endpoints: int, outcome: Outcome) -> None:
    fleet = Fleet(endpoints).run(20, failing(2, outcome=outcome))
    assert fleet.verdicts()[1] in (Verdict.EJECTED, Verdict.ON_TRIAL)
    assert fleet.health.records[2].ejections
    assert set(fleet.verdicts()[:1] + fleet.verdicts()[2:]) == {Verdict.HEALTHY}
    assert fleet.most_out == 1
    assert fleet.calls[2] <= 12
    assert fleet.d.slow_start.is_active(fleet.d.endpoints[2])  # what the Dispatcher knows of it is the same


def test_a_share_of_failures_is_enough_where_the_others_have_none() -> None:
    """Half of its calls fail: no two running need to, and the Dispatcher's own sign may not show."""
    r = random.Random(5)
    fleet = Fleet(3).run(30, lambda t, now: Outcome.FAILED if t == 2 and r.random() < 0.5 else Outcome.DELIVERED)
    assert fleet.health.records[2].ejections >= 1
    assert fleet.health.records[1].ejections == 0


def test_of_a_single_endpoint_none_is_ejected_and_of_two_that_both_fail_neither() -> None:
    alone = Fleet(1).run(10, failing(1))
    assert alone.most_out == 0
    assert alone.verdicts() == [Verdict.SUSPECT]
    both = Fleet(2).run(30, failing(1, 2))
    assert not any(t.excluded for t in both.d.endpoints.values())
    assert [n for n in both.notes if "2 of 2 endpoints of destination 10 look bad; all stay in use" in n]
    one = both.run(30, failing(2))
    assert one.verdicts()[0] is not Verdict.EJECTED
    assert one.health.records[2].ejections >= 1


def test_the_last_endpoint_is_never_ejected_whatever_the_share() -> None:
    limits = replace(OUTLIER_SETTINGS, max_ejected_share=1.0)
    for endpoints in (1, 2, 3):
        fleet = Fleet(endpoints, limits).run(30, failing(*range(1, endpoints + 1)))
        assert fleet.most_out < endpoints
        assert fleet.d.endpoints_by_destination[10]


def test_chance_failures_eject_nobody() -> None:
    """Two minutes at 20 messages a second with one call in twenty failing by chance, five times over."""
    for seed in range(5):
        r = random.Random(seed)

        def fate(target: int, now: int, r: random.Random = r) -> Outcome:
            return Outcome.FAILED if r.random() < 0.05 else Outcome.DELIVERED

        assert Fleet(3, seed=seed).run(120, fate).health.ejection_count == 0


def test_refusals_are_no_sickness() -> None:
    fleet = Fleet(3).run(20, failing(2, outcome=Outcome.REJECTED))
    assert fleet.most_out == 0
    assert fleet.health.records[2].failures == 0


def test_time_outs_after_a_stall_of_our_own_are_nobodys() -> None:
    fleet = Fleet(3).run(2, failing())
    out = sends(fleet.d.handle(fleet.now + 50 * MS, [ask(f"s{n}", due=fleet.now + 3 * S) for n in range(6)]))
    assert len(out) > 2
    late = fleet.now + 3 * S  # the loop stood still: all that was due comes to light at once
    fleet.d.handle(late, [end(s, Outcome.TIMED_OUT, took=3 * S) for s in out])
    assert sum(r.failures for r in fleet.health.records.values()) == 0
    assert sum(r.successes for r in fleet.health.records.values()) > 0


def test_ejections_grow_and_a_good_trial_ends_them() -> None:
    fleet = Fleet(3).until_ejected(2, failing(2))
    lengths: list[int] = []
    while len(lengths) < 4:
        if (r := fleet.health.records[2]).ejected_until_us >= 0 and (
            r.ejected_until_us - r.verdict_at_us
        ) not in lengths:
            lengths.append(r.ejected_until_us - r.verdict_at_us)
        fleet.run(0.5, failing(2))
    for n, length in enumerate(lengths):
        assert 5 * 2**n * S <= length <= 1.5 * 5 * 2**n * S
    fleet.run(100, failing())
    assert fleet.verdicts() == [Verdict.HEALTHY] * 3
    assert [n for n in fleet.notes if n == "health: target 2 is on trial"]


def test_a_returning_endpoint_is_on_trial_with_few_calls() -> None:
    fleet = Fleet(3).until_ejected(2, failing(2))
    while fleet.d.endpoints[2].excluded:
        fleet.run(0.1, failing(2))
    t = fleet.d.endpoints[2]
    assert t.recovering_since_us >= 0
    assert fleet.d.slow_start.is_active(t)
    before = fleet.calls[2]
    fleet.run(1, failing())
    assert fleet.calls[2] - before < 5  # of 20 messages


def test_flapping_and_noise_never_eject_more_than_the_share() -> None:
    for seed in range(30):
        r = random.Random(seed)
        sick = {n: r.random() for n in range(1, 9)}
        period = r.choice((1, 3, 7)) * S

        def fate(
            target: int, now: int, r: random.Random = r, sick: dict[int, float] = sick, period: int = period
        ) -> Outcome:
            return Outcome.FAILED if now // period % 2 and r.random() < sick[target] else Outcome.DELIVERED

        fleet = Fleet(8, seed=seed).run(20, fate)
        assert fleet.most_out <= 4


def test_the_list_may_replace_or_drop_an_ejected_endpoint() -> None:
    fleet = Fleet(3).until_ejected(2, failing(2))
    fleet.d.handle(
        fleet.now,
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
    )  # the id now serves another destination
    assert not fleet.d.endpoints[2].excluded
    fleet.run(20, failing())
    fleet.d.handle(fleet.now, [EndpointListReceived(EndpointListKind.WHOLE, (EndpointEntry(1, 10, "north", "plain"),))])
    fleet.run(5, failing())
    assert fleet.verdicts()[0] is Verdict.HEALTHY


def test_the_interval_of_a_share_holds_it() -> None:
    for bad, count in ((0, 5), (1, 5), (5, 5), (30, 60)):
        least, most = failure_rate_bounds(bad, count)
        assert -1e-9 <= least <= bad / count + 1e-9
        assert bad / count - 1e-9 <= most <= 1 + 1e-9
    assert failure_rate_bounds(0, 0) == (0.0, 1.0)


# Over sockets


def test_a_quick_wrong_endpoint_is_told_and_returns_when_mended(tmp_path: Path) -> None:
    """As an operator sees it: break one of three, read the verdict and its reason, mend it, see it return."""

    async def scene() -> None:
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
        number = 0

        async def until(verdict: str) -> str:
            nonlocal number
            async with asyncio.timeout(PATIENCE):
                while True:
                    number += 1
                    assert (await node.submit(f"m{number}", "status"))[0] == 202
                    told = await node.call(b"VERDICT s2\n")
                    if f"s2 {verdict}" in told:
                        return told

        try:
            assert "failed" in await until("ejected")
            assert (await node.call(b"VERDICT s1\n")).startswith("ok s1 healthy: failed 0.0 of ")
            assert (await node.call(b"VERDICT nobody\n")).startswith("fail no endpoint of that id")
            broken.clear()
            await until("on trial")
            await until("healthy")
            assert not platform.notices
            assert any("health: target" in line and "ejected for" in line for line in node.log)
        finally:
            await node.end()

    asyncio.run(scene())
