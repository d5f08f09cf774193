"""Jobs of many shapes and sizes beside each other, without faults: each begins in time.

CI plays `CI_SEEDS` fleets; `BASALTLEAD_SOAK_SEEDS` sets another number of them.
"""

import asyncio
import os
import random
from typing import Any

import pytest

from tests.fakes import Deployment
from tests.simulation import Loop, run_scenario

CI_SEEDS = 24
SEEDS = int(os.environ.get("BASALTLEAD_SOAK_SEEDS", str(CI_SEEDS)))
JOBS = 25
CAPACITY = 60  # machines, more than all jobs need together
START_LIMIT_S = 240.0  # users' rule: also the largest jobs begin within four minutes
RUN_LIMIT_S = 120.0


def _random_job(deployment: Deployment, rng: random.Random, number: int) -> dict[str, Any]:
    """Return a job that fits on some machine type, with any mixture of requirements."""
    shape = rng.choice(["batch", "batch", "group", "service", "service"])
    needs_gpu = rng.random() < 0.15
    cores = rng.choice([0.0 if needs_gpu else 0.05, 0.5, 1.0, 2.0, 3.0, 6.0, 12.0, 16.0])
    run_s = rng.choice([2.0, 10.0, 40.0, RUN_LIMIT_S])
    fields = {
        "Shape": shape,
        "Crew": rng.choice(["red", "blue"]),
        "Rank": rng.choice(["best_effort", "standard", "high", "production"]),
        "Pieces": rng.choice([1, 1, 2, 3]) if shape != "batch" else rng.choice([1, 2, 6, 20]),
        "Cores": cores,
        "Gpus": rng.choice([0.5, 1.0, 2.0]) if needs_gpu else 0.0,
        "MemoryGb": rng.choice([0.1, 1.0, 4.0, 14.0, 40.0]),
        "Yard": rng.choice([None, None, "a", "b"]),
        "OneZone": rng.random() < 0.2,
        "Loaners": rng.random() < 0.6,
        "MarkEveryS": rng.choice([0.0, 0.0, 5.0]),
        "RunS": run_s,
        "GuessS": run_s * rng.choice([0.2, 1.0, 3.0]),
        "Mould": f"img-{rng.randrange(4)}",
    }
    if cores <= 3.0 and fields["MemoryGb"] <= 14.0 and not needs_gpu:
        fields["Grades"] = rng.choice([None, None, ["small"], ["large"]])
    if fields["Yard"] is None and not fields["OneZone"]:
        fields["Apart"] = rng.random() < 0.2
    return (
        deployment.service(number, **fields)
        if shape == "service"
        else deployment.job(number, **fields)
    )


class StartTimes:
    """Notes when each submitted job first ran."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.submitted_at: dict[str, float] = {}
        self.waiting: set[str] = set()
        self.late: dict[str, float] = {}  # how long jobs waited that began after the limit

    def add(self, ref: str) -> None:
        """Count the time of a job from now."""
        self.submitted_at[ref] = self.deployment.loop.time()
        self.waiting.add(ref)

    def check(self) -> None:
        """Note which jobs have begun, or should have."""
        begun = {task.partition("/")[0] for task in self.deployment.rule_checker.running_on}
        self.waiting -= begun
        for ref in self.waiting:
            waited_s = self.deployment.loop.time() - self.submitted_at[ref]
            if waited_s > START_LIMIT_S:
                self.late[ref] = waited_s


async def _submit_jobs(deployment: Deployment, rng: random.Random, starts: StartTimes) -> None:
    for number in range(1, JOBS + 1):
        job = _random_job(deployment, rng, number)
        assert await deployment.submit(job) == 201, job
        starts.add(job["Ref"])
        await asyncio.sleep(rng.choice([0.0, 5.0, 60.0]))


async def _play_fleet(loop: Loop, seed: int) -> None:
    rng = random.Random(seed)
    deployment = Deployment(loop, seed)
    deployment.cloud.capacity = CAPACITY
    deployment.caches_images = True
    await deployment.start()
    starts = StartTimes(deployment)
    users = loop.create_task(_submit_jobs(deployment, rng, starts))
    while not users.done() or (starts.waiting and not starts.late):
        deployment.rule_checker.check()
        starts.check()
        await asyncio.sleep(0.1)
    await users
    assert not starts.late, [deployment.jobs[ref] for ref in starts.late]
    services = [ref for ref, job in deployment.jobs.items() if job["Shape"] == "service"]
    others = [ref for ref in deployment.jobs if ref not in services]
    await deployment.wait_until_served(*services, seconds=START_LIMIT_S)
    await deployment.wait_until_done(*others, seconds=2 * START_LIMIT_S + RUN_LIMIT_S)
    deployment.assert_no_violation()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_each_job_begins_in_time_whatever_runs_beside_it(seed: int) -> None:
    # Guards against jobs that wait for ever for room that is counted and that they can't use.
    run_scenario(lambda loop: _play_fleet(loop, seed), seed)
