"""Supervised steps, tasks and timers continue after an exception, and end by cancellation only."""

from __future__ import annotations

import asyncio

import pytest

from forwarder.runtime.supervisor import FIRST_BACKOFF_S, Supervisor, result_or_error


def fail() -> None:
    raise ValueError("for the test")


def test_result_or_error_returns_the_result_or_the_exception() -> None:
    assert result_or_error(lambda: 5) == 5
    assert isinstance(result_or_error(fail), ValueError)


def test_a_guarded_step_that_fails_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    supervisor = Supervisor()

    outcomes = [supervisor.guard("step", fail), supervisor.guard("step", fail), supervisor.guard("other", list)]

    assert outcomes == [False, False, True]
    assert supervisor.failures == {"step": 2}
    assert supervisor.summary() == "step 2"
    assert [record.exc_info is not None for record in caplog.records] == [True, True]


def test_a_cancellation_passes_through_a_guarded_step() -> None:
    async def scene() -> Supervisor:
        supervisor = Supervisor()
        waiting = asyncio.create_task(supervisor.guarded("wait", asyncio.sleep(60)))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        return supervisor

    assert asyncio.run(scene()).summary() == "none"


def test_a_task_that_is_kept_running_is_restarted_after_a_backoff_until_it_returns() -> None:
    starts_s: list[float] = []

    async def scene() -> Supervisor:
        loop = asyncio.get_running_loop()

        async def run() -> None:
            starts_s.append(loop.time())
            if len(starts_s) < 3:
                fail()

        supervisor = Supervisor()
        async with asyncio.timeout(5):
            await supervisor.keep_running("task", run)
        return supervisor

    supervisor = asyncio.run(scene())

    assert supervisor.failures == {"task": 2}
    assert starts_s[1] - starts_s[0] >= 0.9 * FIRST_BACKOFF_S
    assert starts_s[2] - starts_s[1] >= 0.9 * 2 * FIRST_BACKOFF_S


def test_a_timer_goes_on_after_a_failure_until_it_is_cancelled() -> None:
    calls: list[int] = []

    async def scene() -> None:
        def step() -> None:
            calls.append(len(calls))
            if len(calls) == 3:
                timer.cancel()
            fail()

        timer = Supervisor().repeat("timer", 0.001, step)
        await asyncio.sleep(0.05)

    asyncio.run(scene())

    assert calls == [0, 1, 2]
