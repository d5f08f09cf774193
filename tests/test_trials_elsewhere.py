"""Jobs that failed on one machine again and again are tried on another one."""

import asyncio
from typing import Any

import pytest

from basaltlead.core.failure_history import AVOIDANCE_AFTER_PAUSE_US, FailureHistory
from basaltlead.core.jobs import US
from tests.builders import ShardHarness, task_status
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated

TRIED_ELSEWHERE_S = 90.0  # two trials, half a minute apart, and a boot
BOTH_RANKS = ["best_effort", "high"]


async def _start_with_faulty_machine(deployment: Deployment) -> FakeWorker:
    """Start with one machine on which a replica runs and every other task fails."""
    await deployment.start()
    await deployment.submit(deployment.service(1, Pieces=1, Cores=1.0))
    await deployment.wait_until_served("req-000001")
    (machine,) = deployment.cloud.machines.values()
    machine.faulty = True
    return machine


@pytest.mark.parametrize("rank", BOTH_RANKS)
@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"Pieces": 3},
        {"Shape": "group"},
        {"Shape": "group", "Pieces": 2, "OneZone": True},
        {"Loaners": False},
        {"Yard": "a", "Grades": ["small"]},
    ],
)
@simulated
async def test_job_that_failed_on_the_only_machine_is_tried_on_another(
    loop: Loop, fields: dict[str, Any], rank: str
) -> None:
    # Guards against a job that is tried for ever on the one faulty machine that has room.
    deployment = Deployment(loop)
    await _start_with_faulty_machine(deployment)

    job = deployment.job(2, **({"Crew": "blue", "Rank": rank} | fields))
    await deployment.submit(job)
    await deployment.wait_until_done(job["Ref"], seconds=TRIED_ELSEWHERE_S)

    deployment.assert_no_violation()


@simulated
async def test_service_that_failed_on_the_only_machine_is_tried_on_another(loop: Loop) -> None:
    deployment = Deployment(loop)
    faulty = await _start_with_faulty_machine(deployment)

    await deployment.submit(deployment.service(2, Pieces=2, Crew="blue", RunS=2.0))
    await asyncio.sleep(TRIED_ELSEWHERE_S)
    await deployment.wait_until_served("req-000002", seconds=10.0)

    machines = {deployment.rule_checker.running_on[f"req-000002/{i}"] for i in range(2)}
    assert faulty not in machines
    deployment.assert_no_violation()


@simulated
async def test_job_that_fails_everywhere_has_one_machine_rented_for_its_trials(loop: Loop) -> None:
    # Guards against renting without end for a job that was submitted with a mistake.
    deployment = Deployment(loop)
    await _start_with_faulty_machine(deployment)
    rented = deployment.cloud.rented_count

    await deployment.submit(deployment.job(2, Crew="blue", Broken=True))
    await asyncio.sleep(600)

    assert deployment.cloud.rented_count <= rented + 1
    deployment.assert_no_violation()


def test_trials_on_one_machine_count_since_the_last_success() -> None:
    history = FailureHistory()
    now = 0
    assert history.only_failed_on is None
    history.record_trial("m-0", now)
    history.record_trial("m-0", now + US)  # of the same trial
    assert history.only_failed_on is None
    now += 60 * US
    history.record_trial("m-0", now)
    assert history.only_failed_on == "m-0"
    history.record_success()
    assert history.only_failed_on is None
    for trial in range(1, 3):
        history.record_trial("m-0", now + trial * 60 * US)
    assert history.only_failed_on == "m-0"
    history.record_trial("m-1", now)

    assert history.only_failed_on is None


def test_job_is_tried_on_another_machine_first_after_a_pause() -> None:
    # Guards against a job that returns to the machine it failed on, since its pause was longer
    # than the time for which it avoids that machine.
    harness = ShardHarness(machines=1)
    job_state = harness.submit(1)
    while True:
        harness.heartbeat("m-0")
        attempt = harness.attempt(job_state)
        harness.heartbeat("m-0", task_status(attempt, "ended", "error"))
        if job_state.retry_at - harness.now >= 60 * US:
            break
        harness.now += 61 * US
        harness.heartbeat("m-0")
        harness.submit(1)
        assert harness.attempt(job_state).machine.name == "m-0"

    harness.now = job_state.retry_at
    harness.heartbeat("m-0")
    harness.submit(1)
    assert not job_state.live
    harness.now += AVOIDANCE_AFTER_PAUSE_US
    harness.heartbeat("m-0")
    harness.submit(1)

    assert harness.attempt(job_state).machine.name == "m-0"
