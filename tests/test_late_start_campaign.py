"""Restarts of controllers while copies of pushed commands arrive late, by seed.

CI plays `CI_SEEDS` days; `BASALTLEAD_SOAK_SEEDS` sets another number of them.
"""

import asyncio
import os
import random

import pytest

from tests.duty_support import DUTIES_ON
from tests.fakes import Deployment
from tests.simulation import Loop, run_scenario

CI_SEEDS = 24
SEEDS = int(os.environ.get("BASALTLEAD_SOAK_SEEDS", str(CI_SEEDS)))
COPY_SHARE = 0.5
MACHINES = 8
JOBS = 25
LEASE_S, CANCEL_S = 10.0, 30.0


async def _restart_one(deployment: Deployment, rng: random.Random) -> None:
    """Crash a controller, mostly the shard leader; it is back within a second, or later."""
    name = deployment.shard_leader() if rng.random() < 0.7 else rng.choice(deployment.nodes)
    if name is None:
        return
    await deployment.restart(name, rng.choice([0.1, 0.7, 3.0]))


async def _restart_all(deployment: Deployment, rng: random.Random) -> None:
    """Crash all controllers at once; each is back within a second."""
    for name in deployment.nodes:
        deployment.crash(name)
    for name in deployment.nodes:
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        deployment.start_controller(name)


async def _restart_controllers(deployment: Deployment, rng: random.Random) -> None:
    """Restart controllers, and have machines fail all their tasks or hang; never returns."""
    while True:
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        machines = [machine for machine in deployment.cloud.machines.values() if machine.up]
        for machine in machines:
            machine.faulty = rng.random() < 0.2
            machine.hung = rng.random() < 0.1
        restart = rng.choice([_restart_one, _restart_one, _restart_all])
        await restart(deployment, rng)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        for machine in machines:
            machine.hung = False


async def _submit_jobs(deployment: Deployment, rng: random.Random) -> None:
    """Submit short arrays, gangs and services; cancel all services and some of the others."""
    for number in range(1, JOBS + 1):
        shape = rng.choice(["batch", "batch", "batch", "group", "service"])
        job = deployment.job(
            number,
            Shape=shape,
            Pieces=rng.choice([1, 2, 4]),
            Rank=rng.choice(["best_effort", "standard", "high"]),
            RunS=rng.choice([0.5, 2.0, 6.0]),
            GuessS=0.0 if shape == "service" else 3.0,
        )
        await deployment.submit(job)
        if shape == "service" or rng.random() < 0.3:
            await asyncio.sleep(rng.uniform(0.0, 4.0))
            await deployment.cancel(job["Ref"])
        await asyncio.sleep(rng.uniform(0.0, 2.0))


async def _play_day(loop: Loop, seed: int) -> None:
    rng = random.Random(seed)
    operator = {"blocks": 3 if seed % 3 == 0 else 1} | (DUTIES_ON if seed % 2 else {})
    deployment = Deployment(loop, seed, operator=operator, lease=LEASE_S, cancel=CANCEL_S)
    deployment.cloud.capacity = MACHINES
    deployment.caches_images = True
    deployment.command_copy_share = COPY_SHARE
    await deployment.start()
    restarts = loop.create_task(_restart_controllers(deployment, rng))
    users = loop.create_task(_submit_jobs(deployment, rng))
    while not users.done():
        deployment.rule_checker.check()
        await asyncio.sleep(0.25)
    await users
    restarts.cancel()
    for machine in deployment.cloud.machines.values():
        machine.faulty = False
    deployment.end_all_faults()
    uncancelled = deployment.jobs.keys() - deployment.rule_checker.cancelled_at.keys()
    await deployment.wait_until_done(*uncancelled, seconds=300.0)
    deployment.assert_no_violation()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_while_copies_of_pushed_commands_arrive_late(seed: int) -> None:
    # Guards against ran_twice and ran_cancelled by a second start of a forgotten attempt.
    run_scenario(lambda loop: _play_day(loop, seed), seed)
