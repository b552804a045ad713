"""Random event scripts, checked against the rules without the dispatcher's internal state."""

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.decisions.dispatcher import Dispatcher
from tests.decisions.random_script import Script
from tests.scripts import settings


def play(seed: int, rounds: int = 900, **changes: object) -> Script:
    script_settings = settings(**changes)
    script = Script(Dispatcher(script_settings, seed, 0), script_settings, seed)
    script.run(rounds)
    return script


@profile(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_rules_hold_on_random_scripts(seed: int) -> None:
    script = play(seed)
    assert script.sent_count
    assert len(script.ended_at_us) == len(script.submitted)


@profile(derandomize=True, max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([1, 2, 40]), st.sampled_from([1, 3]))
def test_rules_hold_with_few_or_many_of_everything(seed: int, slots: int, attempts: int) -> None:
    play(seed, 500, slots=slots, max_attempts=attempts, tenants=(), forwarders=1, kinds=(), retry_after_allowed=False)


def test_scripts_reach_every_kind_of_answer() -> None:
    scripts = [play(seed) for seed in range(4)]
    assert sum(script.delivered_count for script in scripts) > 50
    assert sum(script.rejected_count for script in scripts) > 50
    assert sum(script.failed_count for script in scripts) > 5
