"""Random losses of contact with machines while the shard leader has a fault too, by seed.

`tests/test_random_faults.py` draws each fault separately, for one machine or one controller. It
never produced this sequence: a machine begins a new agent epoch while its heartbeats don't arrive,
a task is started in that epoch, and the machine is considered lost before the epoch has ended. The
sequence requires that

- a shard leader is granted the shard in the second half of the lease of a machine that reaches no
  controller,
- a job is accepted within half a lease of the grant,
- another machine that has the image has room, and
- the cloud does not delete the machine first.

The tests here draw the combination: which machines lose contact and how, and which fault the shard
leader has how much later. Jobs are submitted all the time.
"""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from enum import StrEnum

import pytest

from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, run_scenario

SEEDS = 40
# The environment variable that sets the number of seeds, for a longer soak test started by hand.
SOAK_SEEDS_VARIABLE = "BASALTLEAD_SOAK_SEEDS"
SOAK_SEEDS = int(os.environ.get(SOAK_SEEDS_VARIABLE, SEEDS))
ROUNDS = 3  # of overlapping faults in a scenario
MACHINES = 12
LEASES_S = (8.0, 11.0, 14.0)
JOBS_PER_S = 1.0
SERVICE_NUMBER = 1001  # of the only service
SERVICE_REF = f"req-{SERVICE_NUMBER:06d}"


class ContactLoss(StrEnum):
    """How a machine loses contact; the values are attributes of `FakeWorker`."""

    NO_HEARTBEATS = "sends_no_heartbeats"
    UNREACHABLE = "unreachable"
    HUNG = "hung"
    ANSWERS_LOST = "answers_lost"


# Most send no heartbeats: only such machines begin a new epoch and still receive commands.
CONTACT_LOSSES = [*ContactLoss, *4 * [ContactLoss.NO_HEARTBEATS]]

LeaderFault = Callable[[Deployment, random.Random], Awaitable[None]]


async def _crash(deployment: Deployment, rng: random.Random) -> None:
    """The shard leader crashes, and restarts 0.2 to 8 s later."""
    name = deployment.shard_leader()
    if name is None:
        return
    await deployment.restart(name, rng.choice([0.2, 2.0, 8.0]))


async def _crash_twice(deployment: Deployment, rng: random.Random) -> None:
    """Two crashes of the acting shard leader; the first has restarted before the second."""
    for _ in range(2):
        await _crash(deployment, rng)
        await asyncio.sleep(rng.uniform(1.0, 4.0))


async def _freeze(deployment: Deployment, rng: random.Random) -> None:
    """The shard leader freezes while its clocks run on."""
    name = deployment.shard_leader()
    if name is None:
        return
    deployment.freeze(name)
    await asyncio.sleep(rng.choice([2.0, 6.0, 15.0]))
    deployment.thaw(name)


async def _lose_store(deployment: Deployment, rng: random.Random) -> None:
    """The link between the shard leader and the key-value store fails."""
    host = deployment.host(deployment.shard_leader() or deployment.nodes[0])
    deployment.net.cut(host, deployment.store.HOST)
    await asyncio.sleep(rng.uniform(4.0, 15.0))
    deployment.net.heal(host, deployment.store.HOST, deliver=rng.random() < 0.5)


async def _refuse_leader(deployment: Deployment, rng: random.Random) -> None:
    """The key-value store refuses only the shard leader."""
    host = deployment.host(deployment.shard_leader() or deployment.nodes[0])
    deployment.store.refused_hosts.add(host)
    await asyncio.sleep(rng.uniform(4.0, 15.0))
    deployment.store.refused_hosts.discard(host)


async def _crash_then_outage(deployment: Deployment, rng: random.Random) -> None:
    """The shard leader crashes and restarts; then the key-value store is down for all."""
    await _crash(deployment, rng)
    deployment.store.down = True
    await asyncio.sleep(rng.uniform(2.0, 10.0))
    deployment.store.end_outage()


async def _no_leader_fault(deployment: Deployment, rng: random.Random) -> None:
    """The shard leader has no fault."""


LEADER_FAULTS: list[LeaderFault] = [
    _crash,
    _crash_twice,
    _freeze,
    _lose_store,
    _refuse_leader,
    _crash_then_outage,
    _no_leader_fault,
]


async def _submit_jobs(deployment: Deployment, rng: random.Random) -> None:
    """Submit a service, then small jobs for as long as the faults last; cancel some of them."""
    await deployment.submit(deployment.service(SERVICE_NUMBER, Pieces=2, Loaners=True))
    for number in range(2, 1000):
        gang = rng.random() < 0.2
        job = deployment.job(
            number,
            Crew=rng.choice(["red", "blue"]),
            Shape="group" if gang else "batch",
            Pieces=rng.choice([1, 2]),
            RunS=rng.choice([3.0, 12.0, 25.0]),
            OneZone=rng.random() < 0.2,
        )
        await deployment.submit(job)
        if rng.random() < 0.15:
            await deployment.cancel(job["Ref"])
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))


def _set_contact_loss(machines: list[FakeWorker], contact_loss: ContactLoss, active: bool) -> None:
    for machine in machines:
        setattr(machine, contact_loss, active)


async def _run_overlapping_faults(deployment: Deployment, rng: random.Random) -> None:
    """Machines lose contact, the shard leader has a fault meanwhile, and both end."""
    up = [machine for machine in deployment.cloud.machines.values() if machine.up]
    silent = [machine for machine in up if rng.random() < rng.choice([0.2, 0.5])]
    contact_loss = rng.choice(CONTACT_LOSSES)
    leader_fault = rng.choice(LEADER_FAULTS)
    _set_contact_loss(silent, contact_loss, True)
    await asyncio.sleep(rng.uniform(0.0, deployment.lease * 0.6))
    pending = asyncio.ensure_future(leader_fault(deployment, rng))
    await asyncio.sleep(deployment.lease * rng.uniform(0.5, 2.5))
    _set_contact_loss(silent, contact_loss, False)
    await pending
    await asyncio.sleep(rng.uniform(1.0, deployment.lease))


async def _check_rules(deployment: Deployment) -> None:
    while True:
        deployment.rule_checker.check()
        deployment.shard_leader()  # fails if two act
        await asyncio.sleep(0.25)


async def _scenario(loop: Loop, seed: int) -> None:
    rng = random.Random(seed)
    team_cpus_max = {"blue": 6.0} if seed % 3 == 0 else None
    operator = {"blocks": 3 if seed % 5 == 0 else 1}
    deployment = Deployment(
        loop, seed, team_cpus_max=team_cpus_max, operator=operator, lease=rng.choice(LEASES_S)
    )
    deployment.heartbeat_copy_rate = 0.1
    deployment.command_copy_share = 0.1
    deployment.cloud.capacity = MACHINES
    deployment.caches_images = True
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=3 * MACHINES, RunS=1.0, Grades=["small"]))
    await deployment.wait_until_done("req-000001")
    deployment.cloud.answer_delay_s = 2.0  # lost machines are not deleted at once
    checks = loop.create_task(_check_rules(deployment))
    users = loop.create_task(_submit_jobs(deployment, rng))
    for _ in range(ROUNDS):
        await _run_overlapping_faults(deployment, rng)
        assert not checks.done()
    users.cancel()
    deployment.end_all_faults()
    accepted = deployment.rule_checker.last_stage.keys() - deployment.cancel_requested.keys()
    if SERVICE_REF in accepted:
        await deployment.wait_until_served(SERVICE_REF, seconds=120)
        await deployment.cancel(SERVICE_REF)
    await deployment.wait_until_done(*accepted - {SERVICE_REF}, seconds=300)
    checks.cancel()
    deployment.assert_no_violation()


@pytest.mark.parametrize("seed", range(SOAK_SEEDS))
def test_rules_hold_while_machines_are_out_of_contact(seed: int) -> None:
    run_scenario(lambda loop: _scenario(loop, seed), seed)
