"""What is rented for teams that are at their limit."""

import asyncio
from typing import Any

import pytest

from basaltlead.core.demand import MAX_INITIAL_WAIT_US
from basaltlead.core.jobs import US, Shape
from basaltlead.core.team_limits import TeamAllowances, TeamLimits
from basaltlead.core.teams import TeamQuota
from tests.builders import ShardHarness, make_job
from tests.fakes import Deployment
from tests.simulation import Loop, simulated

LONG_RUN_S = 60.0


@pytest.mark.parametrize(
    "fields",
    [
        {"Pieces": 5},
        {"Pieces": 2, "Shape": "group"},
        {"Pieces": 2, "Shape": "service", "Rank": "production"},
    ],
)
@simulated
async def test_no_machine_is_rented_for_tasks_beyond_the_limit_of_their_team(
    loop: Loop, fields: dict[str, Any]
) -> None:
    # Guards against machines that stand idle since the tasks they are rented for may not start.
    deployment = Deployment(loop, team_cpus_max={"red": 8.0})
    await deployment.start()
    running = deployment.job(1, Pieces=2, Cores=4.0, RunS=LONG_RUN_S, GuessS=LONG_RUN_S)
    await deployment.submit(running | {"Rank": "production"})
    await deployment.wait_until_served("req-000001")
    rented = deployment.cloud.rented_count

    await deployment.submit(deployment.job(2, **({"Cores": 4.0, "Grades": ["small"]} | fields)))
    await asyncio.sleep(LONG_RUN_S / 2)
    assert deployment.cloud.rented_count == rented
    await deployment.wait_until_done("req-000001")
    if fields.get("Shape") == "service":
        await deployment.wait_until_served("req-000002")
    else:
        await deployment.wait_until_done("req-000002")

    deployment.assert_no_violation()


@simulated
async def test_other_teams_get_machines_while_one_is_at_its_limit(loop: Loop) -> None:
    deployment = Deployment(loop, team_cpus_max={"red": 4.0})
    await deployment.start()
    await deployment.submit(deployment.job(1, Cores=4.0, RunS=900.0, GuessS=900.0))
    await deployment.submit(deployment.job(2, Cores=4.0))
    await deployment.submit(deployment.job(3, Cores=4.0, Pieces=4, Crew="blue"))

    await deployment.wait_until_done("req-000003", seconds=30.0)

    assert await deployment.poll("req-000002") == "pending"
    deployment.assert_no_violation()


@simulated
async def test_job_runs_although_another_that_finds_no_machine_has_the_allowance(
    loop: Loop,
) -> None:
    # Guards against a job for which nothing is rented while one before it can never start.
    deployment = Deployment(loop, team_cpus_max={"red": 16.0})
    deployment.cloud.refused_names.add("large")
    await deployment.start()
    stuck = {"Cores": 16.0, "Rank": "high", "Grades": ["large"]}
    await deployment.submit(deployment.job(1, **stuck))
    await deployment.submit(deployment.job(2, Cores=4.0, Pieces=3, Grades=["small"]))

    await deployment.wait_until_done("req-000002", seconds=MAX_INITIAL_WAIT_US / US + 60.0)

    assert await deployment.poll("req-000001") == "pending"
    deployment.assert_no_violation()


@pytest.mark.parametrize(
    ("quota", "fields", "allowed"),
    [
        (TeamQuota(), {}, [4, 4]),
        (TeamQuota(cpus=2.0), {}, [4, 4]),  # a guarantee is no limit
        (TeamQuota(cpus_max=6.0), {}, [4, 2]),
        (TeamQuota(cpus_max=6.0), {"shape": Shape.SERVICE}, [4, 2]),
        (TeamQuota(cpus_max=6.0), {"shape": Shape.GANG}, [4, 0]),
        (TeamQuota(cpus_max=3.0), {"shape": Shape.GANG}, [0, 0]),
        (TeamQuota(gpus_max=2.0), {"gpus": 0.5}, [4, 0]),
        (TeamQuota(gpus_max=2.0), {}, [4, 4]),
        (TeamQuota(cpus_max=6.0), {"cpus": 0.0}, [4, 4]),
        (TeamQuota(cpus_max=0.3), {"cpus": 0.1}, [3, 0]),
        (TeamQuota(cpus_max=6.0), {"cpus": 5e-324}, [4, 4]),
    ],
)
def test_allowance_of_a_team_is_taken_job_by_job(
    quota: TeamQuota, fields: dict[str, Any], allowed: list[int]
) -> None:
    harness = ShardHarness(machines=0, quotas={"red": quota})
    allowances = TeamAllowances(harness.shard)

    for number, count in enumerate(allowed):
        job = make_job(number, **({"tasks": 4} | fields))
        job_state = harness.shard.add_job(job, 200, harness.now)
        assert allowances.take(job_state, 4) == count


def test_tasks_on_machines_are_in_the_allowance_already() -> None:
    harness = ShardHarness(machines=2, quotas={"red": TeamQuota(cpus_max=3.0)})
    job_state = harness.submit(1, tasks=8)
    assert len(job_state.live) == 3

    assert TeamAllowances(harness.shard).take(job_state, 8) == 3
    assert TeamAllowances(harness.shard).take(job_state, 2) == 2


def test_team_above_its_limit_starts_nothing() -> None:
    quotas = {"red": TeamQuota(cpus_max=8.0)}
    harness = ShardHarness(machines=2, quotas=quotas)
    harness.submit(1, tasks=8)
    quotas["red"] = TeamQuota(cpus_max=2.0)  # as with settings of a later start

    for cpus in (0.0, 1.0):
        job = make_job(2, cpus=cpus)
        assert not TeamLimits(harness.shard).allow(job)
