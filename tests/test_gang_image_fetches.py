"""Gangs whose tasks need longer for their image than the other tasks wait for them."""

import asyncio

import pytest

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Shape
from basaltlead.core.planning import plan
from tests.builders import ShardHarness, task_status
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated

LONG_FETCH_S = 1.25 * FakeWorker.GANG_WAIT_S
VERY_LONG_FETCH_S = 4.0 * FakeWorker.GANG_WAIT_S
RESTART_S = 15.0  # from the end of the last fetch to the end of the gang


async def _start_with_machines(deployment: Deployment, count: int) -> list[FakeWorker]:
    """Start with machines that have no image and have room for one task of a gang each. A task on
    each keeps them from being returned."""
    deployment.caches_images = True
    await deployment.start()
    small = {"Cores": 0.5, "Mould": "other", "Grades": ["small"], "Loaners": False}
    filler = deployment.service(1, Pieces=count, **(small | {"MemoryGb": 8.5}))
    await deployment.submit(filler)
    await deployment.wait_until_served(filler["Ref"])
    return sorted(deployment.cloud.machines.values(), key=lambda machine: machine.name)


@pytest.mark.parametrize("fetch_s", [LONG_FETCH_S, VERY_LONG_FETCH_S])
@pytest.mark.parametrize("with_image", [1, 2, 0])
@simulated
async def test_gang_starts_although_an_image_takes_longer_than_its_tasks_wait(
    loop: Loop, with_image: int, fetch_s: float
) -> None:
    # Guards against a gang that gives up its own fetch with each try.
    deployment = Deployment(loop)
    machines = await _start_with_machines(deployment, 3)
    for machine in machines[:with_image]:
        machine.images.add("img")
    for machine in machines[max(1, with_image) :]:
        machine.image_fetch_s = fetch_s

    await deployment.submit(
        deployment.job(2, Shape="group", Pieces=3, Cores=3.0, Grades=["small"], Loaners=False)
    )
    await deployment.wait_until_done("req-000002", seconds=fetch_s + RESTART_S)

    assert len(deployment.cloud.machines) == 3
    deployment.assert_no_violation()


async def _start_with_waiting_gang(deployment: Deployment) -> None:
    """Start a gang of two, of which one task has its image and the other fetches it for long."""
    machines = await _start_with_machines(deployment, 2)
    machines[0].images.add("img")
    machines[1].image_fetch_s = VERY_LONG_FETCH_S
    gang = {"Shape": "group", "Pieces": 2, "Cores": 3.0, "Grades": ["small"], "Loaners": False}
    await deployment.submit(deployment.job(2, **gang))


@simulated
async def test_room_of_a_gang_that_waits_for_an_image_is_free_for_others(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_waiting_gang(deployment)
    await asyncio.sleep(FakeWorker.GANG_WAIT_S + 5.0)

    await deployment.submit(deployment.job(3, Cores=3.0, Grades=["small"], Loaners=False))
    await deployment.wait_until_done("req-000003", seconds=10.0)
    await deployment.wait_until_done("req-000002", seconds=VERY_LONG_FETCH_S)

    deployment.assert_no_violation()


@simulated
async def test_gang_starts_if_its_shard_leader_ends_while_an_image_is_fetched(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_waiting_gang(deployment)
    await asyncio.sleep(FakeWorker.GANG_WAIT_S - 5.0)

    await deployment.restart(deployment.acting_shard_leader(), 1.0)
    await deployment.wait_until_done("req-000002", seconds=2 * VERY_LONG_FETCH_S)

    deployment.assert_no_violation()


# The decisions of the shard alone


def _start_gang(harness: ShardHarness, stages: list[str]) -> JobState:
    """Start a gang with a task on each machine, which its machines report in these stages."""
    gang = harness.submit(1, cpus=4.0, tasks=len(stages), shape=Shape.GANG)
    assert len(gang.live) == len(stages)
    for name in list(harness.shard.machines):
        harness.heartbeat(name)
    _report(harness, gang, stages)
    return gang


def _report(
    harness: ShardHarness, gang: JobState, stages: list[str], why: str | None = None
) -> dict[int, list[tuple[str, str]] | None]:
    """Report the live tasks of a gang; return the commands in the answers, by task."""
    return {
        index: harness.heartbeat(
            attempt.machine.name,
            task_status(attempt, stages[index], why if stages[index] == "ended" else None),
        )
        for index, attempt in list(gang.live.items())
    }


def test_tasks_that_fetch_go_on_when_their_gang_was_not_complete_in_time() -> None:
    harness = ShardHarness(machines=3)
    gang = _start_gang(harness, ["gathering", "gathering", "fetching"])
    first_number = harness.attempt(gang, 2).attempt_number

    _report(harness, gang, ["ended", "gathering", "fetching"], "incomplete")
    plan(harness.shard, harness.now)
    assert sorted(gang.live) == [1, 2]  # not replaced under the same number
    commands = _report(harness, gang, ["", "gathering", "fetching"])
    assert commands[1] == [("halt", "req-000001/1")]
    assert commands[2] == []
    _report(harness, gang, ["", "ended", "fetching"], "stopped")
    plan(harness.shard, harness.now)
    assert sorted(gang.live) == [2]

    commands = _report(harness, gang, ["", "", "gathering"])
    assert commands[2] == [("halt", "req-000001/2")]
    _report(harness, gang, ["", "", "ended"], "stopped")
    plan(harness.shard, harness.now)
    assert len(gang.live) == 3
    assert all(attempt.attempt_number != first_number for attempt in gang.live.values())
    assert not any(attempt.stops_after_fetch for attempt in gang.live.values())


@pytest.mark.parametrize("why", ["error", "full", "in_use", "no_such", "peers"])
def test_tasks_that_fetch_are_stopped_when_a_task_of_their_gang_fails(why: str) -> None:
    # A gang that failed may be placed elsewhere at once, so its fetches are not waited for.
    harness = ShardHarness(machines=2)
    gang = _start_gang(harness, ["gathering", "fetching"])

    _report(harness, gang, ["ended", "fetching"], why)

    assert _report(harness, gang, ["", "fetching"])[1] == [("halt", "req-000001/1")]


def test_cancelled_gang_stops_its_fetches_at_once() -> None:
    harness = ShardHarness(machines=2)
    gang = _start_gang(harness, ["gathering", "fetching"])
    _report(harness, gang, ["ended", "fetching"], "incomplete")
    assert harness.attempt(gang, 1).stops_after_fetch

    harness.shard.close_job(gang.job.ref)

    assert _report(harness, gang, ["", "fetching"])[1] == [("halt", "req-000001/1")]
