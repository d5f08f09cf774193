"""Machines that are reserved for a waiting gang, and the other work that waits beside them.

CI plays `CI_SEEDS` fleets without faults; `BASALTLEAD_SOAK_SEEDS` sets another number of them.
"""

import asyncio
import os
import random

import pytest

from basaltlead.core.candidate_machines import MAX_RESERVED_WAIT_US
from basaltlead.core.entities import JobState
from basaltlead.core.gang_placement import RESERVATION_HORIZON_US
from basaltlead.core.jobs import RANKS, US, Shape
from basaltlead.core.planning import plan
from tests.builders import ShardHarness, task_status
from tests.fakes import Deployment
from tests.simulation import Loop, run_scenario

CI_SEEDS = 24
SEEDS = int(os.environ.get("BASALTLEAD_SOAK_SEEDS", str(CI_SEEDS)))
WAIT_LIMIT_US = 90 * US  # beside room that fits, from the users' rules
GANG_LIMIT_S = 600.0  # by which every gang has run, once services and long tasks are gone


def _run_for(harness: ShardHarness, seconds: int) -> None:
    """Let time pass. Machines report their tasks as running, and none of them ends."""
    for _ in range(seconds):
        harness.now += US
        for name, machine in harness.shard.machines.items():
            reported = [a for a in machine.attempts.values() if a.may_be_on_machine]
            harness.heartbeat(name, *(task_status(a, "running") for a in reported))
        plan(harness.shard, harness.now)


def _fill_in_part(harness: ShardHarness, **job: object) -> JobState:
    """Start a task of two of the four CPUs on each machine."""
    job_state = harness.submit(1, cpus=2.5, tasks=len(harness.shard.machines), **job)
    _run_for(harness, 2)
    assert len(job_state.live) == len(harness.shard.machines)
    return job_state


def _submit_waiting_gang(harness: ShardHarness) -> JobState:
    """Submit a gang that fits on empty machines only, and let it wait for its reservation."""
    gang = harness.submit(2, cpus=4.0, tasks=2, shape=Shape.GANG)
    _run_for(harness, 21)
    assert not gang.live
    return gang


def test_nothing_is_reserved_on_machines_that_services_run_on() -> None:
    # Guards against smaller work that waits for good beside machines reserved for a gang.
    harness = ShardHarness(machines=2)
    production = RANKS["production"]
    _fill_in_part(harness, shape=Shape.SERVICE, rank=production, estimated_run_us=0, spot=False)
    _submit_waiting_gang(harness)

    small = harness.submit(3, cpus=1.0)
    assert small.live


@pytest.mark.parametrize("shape", [Shape.ARRAY, Shape.GANG])
@pytest.mark.parametrize("estimate_s", [1, 60, 10_000])
def test_small_job_waits_a_bounded_time_beside_machines_that_never_become_empty(
    estimate_s: int, shape: Shape
) -> None:
    # Guards against smaller work that waits for good beside tasks that outrun their estimate.
    harness = ShardHarness(machines=2)
    _fill_in_part(harness, estimated_run_us=estimate_s * US)
    _submit_waiting_gang(harness)

    small = harness.submit(3, cpus=1.0, shape=shape)
    _run_for(harness, WAIT_LIMIT_US // US)

    assert small.live


def test_small_job_that_has_waited_is_not_skipped_with_newer_ones_like_it() -> None:
    # Guards against jobs that wait because an equal one, which has not waited, found no room.
    harness = ShardHarness(machines=2)
    _fill_in_part(harness, estimated_run_us=100 * US)
    _submit_waiting_gang(harness)
    small = harness.submit(3, cpus=1.0)
    _run_for(harness, MAX_RESERVED_WAIT_US // US - 2)
    assert not small.live

    newer = harness.submit(4, cpus=1.0)
    newer.bid = small.bid + 1.0  # it comes first in the start order
    _run_for(harness, 4)

    assert small.live
    assert not newer.live


def test_reservation_holds_for_tasks_that_end_within_its_horizon() -> None:
    # Guards against gangs that wait for good behind smaller work of their rank.
    harness = ShardHarness(machines=2)
    running = _fill_in_part(harness, estimated_run_us=RESERVATION_HORIZON_US - 30 * US)
    gang = _submit_waiting_gang(harness)
    small = harness.submit(3, cpus=1.0)
    _run_for(harness, 5)
    assert not small.live

    for attempt in list(running.live.values()):
        harness.heartbeat(attempt.machine.name, task_status(attempt, "ended", "done"))
    plan(harness.shard, harness.now)

    assert len(gang.live) == 2


# Fleets without faults, in which gangs, services and small jobs meet


async def _submit_mixed_jobs(deployment: Deployment, rng: random.Random) -> None:
    # The fake cloud's capacity is one number for both zones, so that more machines than half of it
    # may never be had in one zone.
    one_zone_tasks = deployment.cloud.capacity // 2
    for number in range(1, 31):
        shape = rng.choice(["batch", "batch", "group", "service"])
        cores = rng.choice([3.0, 4.0]) if shape == "group" else rng.choice([0.5, 1.0, 2.0, 2.5])
        run_s = rng.choice([2.0, 8.0, 40.0])
        fields = {
            "Pieces": rng.choice([1, 2, 3]),
            "Cores": cores,
            "Rank": rng.choice(["best_effort", "standard", "high"]),
        }
        fields["OneZone"] = shape == "group" and fields["Pieces"] <= one_zone_tasks
        if shape == "service":
            job = deployment.service(number, **(fields | {"Pieces": rng.choice([1, 2])}))
        else:
            # The estimate is often far off.
            fields |= {"GuessS": run_s * rng.choice([0.1, 1.0, 5.0]), "RunS": run_s}
            job = deployment.job(number, Shape=shape, **fields)
        await deployment.submit(job)
        if shape == "service" and rng.random() < 0.7:
            await asyncio.sleep(rng.uniform(10, 30))
            await deployment.cancel(job["Ref"])
        await asyncio.sleep(rng.uniform(0, 8))


async def _play_fleet(loop: Loop, seed: int) -> None:
    rng = random.Random(seed)
    deployment = Deployment(loop, seed)
    deployment.cloud.capacity = rng.choice([4, 6, 8])
    await deployment.start()
    deployment.rule_checker.start_time_limit_checks()
    users = loop.create_task(_submit_mixed_jobs(deployment, rng))
    while not users.done():
        deployment.rule_checker.check()
        await asyncio.sleep(0.5)
    await users
    end = loop.time() + 2 * WAIT_LIMIT_US / US
    while loop.time() < end:
        deployment.rule_checker.check()
        await asyncio.sleep(0.5)
    for ref, job in deployment.jobs.items():
        if job["Shape"] == "service":
            await deployment.cancel(ref)
    others = [ref for ref, job in deployment.jobs.items() if job["Shape"] != "service"]
    await deployment.wait_until_done(*others, seconds=GANG_LIMIT_S)
    deployment.assert_no_violation()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_job_waits_beside_room_and_every_gang_runs_in_small_fleets(seed: int) -> None:
    # Guards against reservations without end, and against gangs that starve without one.
    run_scenario(lambda loop: _play_fleet(loop, seed), seed)
