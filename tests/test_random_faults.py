"""Random faults by seed, alone and overlapping; no rule may be violated."""

import asyncio
import random

import pytest

from basaltlead.duties.model import Duty
from tests.fakes import Deployment
from tests.simulation import Loop, poll_until, run_scenario


async def _submit_jobs(deployment: Deployment, rng: random.Random, jobs: int) -> None:
    """Submit, poll and cancel jobs at random controllers; retry submissions until answered."""
    for number in range(1, jobs + 1):
        shape = rng.choice(["batch", "batch", "group"])
        job = deployment.job(
            number,
            Crew=rng.choice(["red", "blue"]),
            Shape=shape,
            Pieces=rng.choice([1, 3, 8]) if shape == "batch" else rng.choice([1, 3]),
            Cores=rng.choice([1.0, 2.0]),
            Rank=rng.choice(["best_effort", "standard", "high"]),
            RunS=rng.choice([1.0, 4.0, 12.0]),
            OneZone=rng.random() < 0.2,
            Apart=shape == "batch" and rng.random() < 0.2,
            Loaners=rng.random() < 0.7,
        )
        await deployment.submit(job)
        if rng.random() < 0.25:
            await asyncio.sleep(rng.uniform(0, 6))
            await deployment.cancel(job["Ref"])
        for _ in range(2):
            ref = f"req-{rng.randint(1, number):06d}"
            await deployment.poll(ref)
        await deployment.poll(f"req-{rng.randint(500, 600):06d}")
        await asyncio.sleep(rng.uniform(0, 4))


async def _submit_services(deployment: Deployment, rng: random.Random, services: int) -> None:
    """Submit services, once the cluster accepts any; poll them and cancel some."""
    for number in range(501, 501 + services):
        job = deployment.service(
            number,
            Crew=rng.choice(["red", "blue"]),
            Pieces=rng.choice([1, 3, 4]),
            Apart=rng.random() < 0.5,
            Rank=rng.choice(["production", "production", "standard"]),
        )
        await deployment.submit(job)
        await asyncio.sleep(rng.uniform(0, 10))
        await deployment.poll(job["Ref"])
        if rng.random() < 0.5:
            await deployment.cancel(job["Ref"])


def _is_running(deployment: Deployment, name: str) -> bool:
    frozen = deployment.host(name) in deployment.loop.frozen
    return name in deployment.controller_tasks and not frozen


async def _upgrade(deployment: Deployment, rng: random.Random) -> None:
    """Upgrade each controller in turn; one that crashes before its turn keeps its version."""
    for name in deployment.nodes:
        await asyncio.sleep(rng.uniform(1, 10))
        await poll_until(lambda name=name: _is_running(deployment, name), 0.5)
        deployment.crash(name)
        deployment.old_version_nodes.discard(name)
        await asyncio.sleep(rng.uniform(0.2, 3))
        if name not in deployment.controller_tasks:
            deployment.start_controller(name)


FAULT_KINDS = 21  # without duties
DUTY_FAULT_KINDS = 3  # in addition, with duties


async def _inject_faults(
    deployment: Deployment, rng: random.Random, fault_kinds: int = FAULT_KINDS
) -> None:
    """Inject one random fault after the other, often before the last one is over; never returns."""
    pending: list[asyncio.Task[None]] = []

    async def isolate(name: str, store: bool, seconds: float) -> None:
        deployment.isolate(name, store=store, cloud=rng.random() < 0.5)
        await asyncio.sleep(seconds)
        deployment.rejoin(name, deliver=rng.random() < 0.7)

    async def crash(name: str, seconds: float) -> None:
        if (
            name in deployment.controller_tasks
            and deployment.host(name) not in deployment.loop.frozen
        ):
            deployment.crash(name)
            await asyncio.sleep(seconds)
            if name not in deployment.controller_tasks:
                deployment.start_controller(name)

    async def outage(seconds: float) -> None:
        deployment.store.down = True
        await asyncio.sleep(seconds)
        deployment.store.end_outage()

    async def lose_store(name: str, seconds: float) -> None:
        deployment.net.cut(deployment.host(name), deployment.store.HOST)
        await asyncio.sleep(seconds)
        deployment.net.heal(
            deployment.host(name), deployment.store.HOST, deliver=rng.random() < 0.5
        )

    async def break_machine(what: str, seconds: float) -> None:
        """Set a fault attribute of a random machine for a while."""
        machines = [m for m in deployment.cloud.machines.values() if m.up]
        if machines:
            machine = rng.choice(machines)
            setattr(machine, what, True)
            await asyncio.sleep(seconds)
            setattr(machine, what, False)

    async def lose_store_and_peers(name: str, seconds: float) -> None:
        deployment.cut_from_store_and_peers(name)
        await asyncio.sleep(seconds)
        deployment.rejoin_store_and_peers(name, deliver=rng.random() < 0.7)

    async def slow(name: str, seconds: float) -> None:
        deployment.net.slow[deployment.host(name)] = rng.uniform(0.1, 0.6)
        await asyncio.sleep(seconds)
        deployment.net.slow.pop(deployment.host(name), None)

    async def slow_store(seconds: float) -> None:
        deployment.store.latency_factor = 10.0
        await asyncio.sleep(seconds)
        deployment.store.latency_factor = 1.0

    async def peers_refuse(seconds: float) -> None:
        internal = {(deployment.host(name), 8081) for name in deployment.nodes}
        deployment.net.refusing_addresses |= internal
        await asyncio.sleep(seconds)
        deployment.net.refusing_addresses -= internal

    async def refused_alone(name: str, seconds: float) -> None:
        deployment.store.refused_hosts.add(deployment.host(name))
        await asyncio.sleep(seconds)
        deployment.store.refused_hosts.discard(deployment.host(name))

    async def late_writes(seconds: float) -> None:
        deployment.store.late_write_share = rng.choice([0.1, 0.4])
        await asyncio.sleep(seconds)
        deployment.store.late_write_share = 0.0

    async def refused_before_outage(name: str) -> None:
        deployment.store.refused_hosts.add(deployment.host(name))
        await asyncio.sleep(rng.uniform(0.5, 3))
        deployment.store.down = True
        await asyncio.sleep(rng.choice([5.0, 25.0]))
        deployment.store.refused_hosts.discard(deployment.host(name))
        deployment.store.end_outage()

    async def freeze(name: str, seconds: float) -> None:
        deployment.freeze(name)
        await asyncio.sleep(seconds)
        deployment.thaw(name)

    async def cloud_errors(seconds: float) -> None:
        deployment.cloud.error_status = rng.choice([429, 503])
        await asyncio.sleep(seconds)
        deployment.cloud.error_status = 0

    async def slow_cloud(seconds: float) -> None:
        deployment.cloud.answer_delay_s = 3.0
        await asyncio.sleep(seconds)
        deployment.cloud.answer_delay_s = 0.02

    async def hang_machines(seconds: float) -> None:
        machines = [m for m in deployment.cloud.machines.values() if m.up and rng.random() < 0.4]
        for machine in machines:
            machine.hung = True
        await asyncio.sleep(seconds)
        for machine in machines:
            machine.hung = False

    async def kill_machines() -> None:
        for name in list(deployment.cloud.machines):
            if rng.random() < 0.3:
                deployment.cloud.machines.pop(name).stop()

    async def kill_machine() -> None:
        if deployment.cloud.machines:
            name = rng.choice(list(deployment.cloud.machines))
            deployment.cloud.machines.pop(name).stop()

    while True:
        await asyncio.sleep(rng.uniform(1, 8))
        name = rng.choice(deployment.nodes)
        seconds = rng.choice([0.3, 2.0, 7.0, 15.0])
        fault_kind = rng.randrange(fault_kinds)
        if deployment.host(name) in deployment.loop.frozen:
            continue  # a frozen controller has no other fault meanwhile
        if fault_kind == 0:
            fault = isolate(name, True, seconds)
        elif fault_kind == 1:
            fault = isolate(name, False, seconds)
        elif fault_kind in (2, 3):
            fault = crash(name, min(seconds, 3.0))
        elif fault_kind == 4:
            fault = outage(seconds)
        elif fault_kind == 5:
            fault = lose_store(name, seconds)
        elif fault_kind == 6:
            fault = break_machine("hung", seconds)
        elif fault_kind == 7:
            fault = break_machine("unreachable", seconds)
        elif fault_kind == 8:
            fault = lose_store_and_peers(name, seconds)
        elif fault_kind == 9:  # restarts at once, with its last message still in flight
            fault = crash(name, rng.uniform(0.05, 0.4))
        elif fault_kind == 10 and deployment.host(name) not in deployment.net.slow:
            fault = slow(name, seconds)
        elif fault_kind == 11:
            fault = slow_store(seconds)
        elif fault_kind == 12:
            fault = peers_refuse(seconds)
        elif fault_kind == 13:
            fault = freeze(name, seconds)
        elif fault_kind == 14:
            fault = hang_machines(seconds)
        elif fault_kind == 15:
            fault = kill_machines()
        elif fault_kind == 16:
            fault = refused_alone(name, seconds)
        elif fault_kind == 17:
            fault = late_writes(seconds)
        elif fault_kind == 18:
            fault = refused_before_outage(name)
        elif fault_kind == 19:
            fault = break_machine("sends_no_heartbeats", seconds)
        elif fault_kind == 21:
            fault = cloud_errors(seconds)
        elif fault_kind == 22:
            fault = slow_cloud(seconds)
        # The holder of a duty, frozen long enough to be replaced in all its roles
        elif fault_kind == 23:
            fault = freeze(deployment.holder(rng.choice(list(Duty))) or name, 60.0)
        else:
            fault = kill_machine()
        pending.append(asyncio.get_running_loop().create_task(fault))


@pytest.mark.parametrize("shards", [1, 3])
@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_under_random_faults(seed: int, shards: int) -> None:
    _run_with_faults(seed, shards, machines=12, count=25)


@pytest.mark.parametrize("seed", range(100, 103))
def test_rules_hold_under_random_faults_in_a_larger_fleet(seed: int) -> None:
    _run_with_faults(seed, shards=1, machines=70, count=70)


@pytest.mark.parametrize("seed", range(200, 208))
def test_rules_hold_with_services_across_an_upgrade(seed: int) -> None:
    """Controllers of both versions have faults, and the limits of the key-value store are lowered
    some time after the last old controller is gone."""
    _run_with_faults(seed, shards=1 if seed % 4 else 3, machines=12, count=15, services=8)


@pytest.mark.parametrize("shards", [1, 3])
@pytest.mark.parametrize("seed", range(300, 306))
def test_rules_hold_and_no_stale_holder_acts_with_duties(seed: int, shards: int) -> None:
    _run_with_faults(seed, shards, machines=12, count=25, duties=True)


@pytest.mark.parametrize("seed", range(400, 403))
def test_rules_hold_across_an_upgrade_to_duties(seed: int) -> None:
    _run_with_faults(seed, shards=1, machines=12, count=15, services=8, duties=True)


async def _upgrade_and_submit_services(
    deployment: Deployment, rng: random.Random, services: int
) -> None:
    if not services:
        return
    await _upgrade(deployment, rng)
    limits_timer = asyncio.get_running_loop().call_later(
        rng.uniform(0, 20), deployment.apply_announced_limits
    )
    await _submit_services(deployment, rng, services)
    limits_timer.cancel()
    deployment.apply_announced_limits()


def _run_with_faults(
    seed: int, shards: int, machines: int, count: int, services: int = 0, duties: bool = False
) -> None:
    async def scenario(loop: Loop) -> None:
        rng = random.Random(seed)
        team_cpus_max = {"blue": machines / 2} if seed % 2 else None
        announced_limits = {"value_kb": 1.0, "txn_ops": 4, "write_rps": 60.0} if services else None
        operator = {"blocks": shards, "duties": duties}
        deployment = Deployment(
            loop,
            seed,
            team_cpus_max=team_cpus_max,
            operator=operator,
            announced_limits=announced_limits,
        )
        deployment.old_version_nodes = set(deployment.nodes) if services else set()
        deployment.heartbeat_copy_rate = 0.1
        if not services:  # controllers of the old version have no answer to late copies of starts
            deployment.command_copy_share = 0.1
        deployment.cloud.capacity = machines
        await deployment.start()
        fault_kinds = FAULT_KINDS + DUTY_FAULT_KINDS * duties
        faults = loop.create_task(_inject_faults(deployment, rng, fault_kinds))
        users = loop.create_task(_submit_jobs(deployment, rng, count))
        upgrade = loop.create_task(_upgrade_and_submit_services(deployment, rng, services))
        while not (users.done() and upgrade.done()):
            deployment.rule_checker.check()
            for shard in range(shards):
                deployment.shard_leader(shard)  # fails if two act
            for duty in Duty:
                deployment.holder(duty)
            await asyncio.sleep(0.5)
        await users
        await upgrade
        faults.cancel()
        # All faults end; every job that was accepted and not cancelled must complete.
        deployment.end_all_faults()
        assert not any(task.done() for task in deployment.controller_tasks.values())
        uncancelled = [
            ref for ref in deployment.jobs if ref not in deployment.rule_checker.cancelled_at
        ]
        service_refs = [ref for ref in uncancelled if deployment.jobs[ref]["Shape"] == "service"]
        jobs = set(uncancelled) - set(service_refs)
        if team_cpus_max is None:
            await deployment.wait_until_done(*jobs, seconds=400)
        # Running services count against the limit of their team, so that others of it may wait.
        unlimited = [
            ref for ref in service_refs if deployment.jobs[ref]["Crew"] not in (team_cpus_max or {})
        ]
        await deployment.wait_until_served(*unlimited, seconds=120)
        for ref in service_refs:
            await deployment.cancel(ref)
        await asyncio.sleep(deployment.cancel_s)
        assert not any(deployment.running_tasks(ref) for ref in service_refs)
        await deployment.wait_until_done(*jobs, seconds=400)
        deployment.assert_no_violation()

    run_scenario(scenario, seed)
