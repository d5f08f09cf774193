"""Failovers during which single reads of the key-value store fail or are answered late, by seed.

CI plays `CI_SEEDS` days; `BASALTLEAD_SOAK_SEEDS` sets another number of them.
"""

import asyncio
import os
import random

import pytest

from basaltlead.shard.leader import ShardLeader
from tests.duty_support import DUTIES_ON
from tests.fakes import Deployment
from tests.simulation import Loop, run_scenario

CI_SEEDS = 24
SEEDS = int(os.environ.get("BASALTLEAD_SOAK_SEEDS", str(CI_SEEDS)))
ROUNDS = 3
LONG_RUN_S = 500.0  # outlasts a day
LEASE_S, CANCEL_S = 10.0, 30.0
# Users' cancellations read under open/ too, so that reads there are only answered late.
UNREADABLE_PREFIXES = ["mach/", "hire/", "return/", "team/", "lease/", "c/"]
LATE_PREFIXES = ["open/", *UNREADABLE_PREFIXES]
MAX_LIST_DELAY_S = 2.0  # below the time after which a controller gives a list up


def _operator(seed: int) -> dict[str, object]:
    duties = DUTIES_ON if seed % 2 else {}
    return {"blocks": 3} | duties if seed % 3 == 0 else dict(duties)


async def _disturb_reads(deployment: Deployment, rng: random.Random) -> None:
    """Have reads under some prefixes fail, and lists of others come late, in turns; never
    returns."""
    while True:
        await asyncio.sleep(rng.uniform(0.2, 3.0))
        deployment.store.unreadable_prefixes |= set(
            rng.sample(UNREADABLE_PREFIXES, rng.randint(1, 3))
        )
        deployment.store.list_delay_s |= {
            prefix: rng.uniform(0.1, MAX_LIST_DELAY_S)
            for prefix in rng.sample(LATE_PREFIXES, rng.randint(0, 2))
        }
        await asyncio.sleep(rng.uniform(0.05, 1.5))
        _end_disturbance(deployment)


def _end_disturbance(deployment: Deployment) -> None:
    deployment.store.unreadable_prefixes.clear()
    deployment.store.list_delay_s.clear()


def _loading_leaders(deployment: Deployment) -> dict[ShardLeader, str]:
    """Return the shard leaders that have listed the open jobs and not loaded the rest, and the
    controllers that they run on."""
    return {
        leader: name
        for name, controller in deployment.controllers.items()
        for leader in controller.shard_leaders.values()
        if not leader.loaded and leader.lease.cancellations_as_of is not None
    }


async def _cancel_while_loading(deployment: Deployment, rng: random.Random) -> None:
    """Cut each shard leader off once while it loads, from the store and its peers and for a short
    time, and have jobs cancelled elsewhere; never returns."""
    cut_off: set[ShardLeader] = set()
    while True:
        await asyncio.sleep(0.005)
        for leader, name in _loading_leaders(deployment).items():
            if leader in cut_off:
                continue
            cut_off.add(leader)
            deployment.cut_from_store_and_peers(name)
            others = [other for other in deployment.controllers if other != name]
            open_jobs = sorted(deployment.jobs.keys() - deployment.cancel_requested.keys())
            for ref in rng.sample(open_jobs, min(2, len(open_jobs))):
                deployment.loop.create_task(deployment.cancel(ref, rng.choice(others)))
            await asyncio.sleep(rng.uniform(0.2, 1.2))
            deployment.rejoin_store_and_peers(name, deliver=rng.random() < 0.3)


async def _replace_shard_leaders(deployment: Deployment, rng: random.Random) -> None:
    """Have a shard get another leader, once or several times in a row, and fail reads meanwhile.
    Then leave the last one alone for so long that a task of a cancelled job breaks the rule."""
    for _ in range(ROUNDS):
        disturbance = deployment.loop.create_task(_disturb_reads(deployment, rng))
        for _ in range(rng.randint(1, 3)):
            await _replace_shard_leader(deployment, rng)
            await asyncio.sleep(rng.uniform(0.5, 4.0))
        assert not disturbance.done()
        disturbance.cancel()
        _end_disturbance(deployment)
        await asyncio.sleep(CANCEL_S + 5)


async def _replace_shard_leader(deployment: Deployment, rng: random.Random) -> None:
    """Crash a shard leader, or have it step down."""
    leading = [name for name, node in deployment.controllers.items() if node.shard_leaders]
    if not leading:
        return
    name = rng.choice(leading)
    if rng.random() < 0.3:
        for leader in deployment.controllers[name].shard_leaders.values():
            leader.lease.step_down()
        return
    await deployment.restart(name, rng.uniform(0.3, 3.0))


async def _submit_jobs(deployment: Deployment, rng: random.Random) -> None:
    """Submit short and long arrays, gangs and services."""
    for number in range(1, 16):
        tasks = rng.choice([1, 3, 6])
        if rng.random() < 0.2:
            job = deployment.service(number, Pieces=min(tasks, 3))
        else:
            shape = rng.choice(["batch", "batch", "group"])
            run_s = rng.choice([2.0, 8.0, LONG_RUN_S, LONG_RUN_S])
            job = deployment.job(number, Shape=shape, Pieces=min(tasks, 3), RunS=run_s)
        await deployment.submit(job)
        await asyncio.sleep(rng.uniform(0.5, 4.0))


async def _play_day(loop: Loop, seed: int) -> None:
    rng = random.Random(seed)
    deployment = Deployment(loop, seed, operator=_operator(seed), lease=LEASE_S, cancel=CANCEL_S)
    deployment.command_copy_share = 0.1
    await deployment.start()
    users = loop.create_task(_submit_jobs(deployment, rng))
    cancellations = loop.create_task(_cancel_while_loading(deployment, rng))
    failovers = loop.create_task(_replace_shard_leaders(deployment, rng))
    while not (failovers.done() and users.done()):
        deployment.rule_checker.check()
        for shard in range(3):
            deployment.shard_leader(shard)  # fails if two act
        await asyncio.sleep(0.1)
    await failovers
    await users
    assert not cancellations.done()
    cancellations.cancel()
    deployment.end_all_faults()
    await _cancel_what_never_ends(deployment)
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=300.0)
    deployment.assert_no_violation()


async def _cancel_what_never_ends(deployment: Deployment) -> None:
    """Wait until all jobs have ended: the others than short ones are cancelled."""
    for ref, job in deployment.jobs.items():
        if job["RunS"] == LONG_RUN_S or job["Shape"] == "service":
            await deployment.cancel(ref)
    await deployment.wait_until_done(
        *(ref for ref in deployment.jobs if ref not in deployment.rule_checker.cancelled_at),
        seconds=200.0,
    )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_rules_hold_while_single_reads_fail_during_failovers(seed: int) -> None:
    # Guards against ran_cancelled and ran_twice: what a read of a failed or older load leaves.
    run_scenario(lambda loop: _play_day(loop, seed), seed)
