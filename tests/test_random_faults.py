"""Seeded days on which everything fails, alone and overlapping; no rule may break."""

import asyncio
import random

import pytest

from basaltlead.duties.model import Duty
from tests.fakes import World
from tests.simulation import Loop, play


async def _users(world: World, chance: random.Random, jobs: int) -> None:
    """Submits, repeats, cancels and polls, at any node."""
    for number in range(1, jobs + 1):
        shape = chance.choice(["batch", "batch", "group"])
        job = world.job(
            number,
            Crew=chance.choice(["red", "blue"]),
            Shape=shape,
            Pieces=chance.choice([1, 3, 8]) if shape == "batch" else chance.choice([1, 3]),
            Cores=chance.choice([1.0, 2.0]),
            Rank=chance.choice(["best_effort", "standard", "high"]),
            RunS=chance.choice([1.0, 4.0, 12.0]),
            OneZone=chance.random() < 0.2,
            Apart=shape == "batch" and chance.random() < 0.2,
            Loaners=chance.random() < 0.7,
        )
        await world.submit(job)
        if chance.random() < 0.25:
            await asyncio.sleep(chance.uniform(0, 6))
            await world.cancel(job["Ref"])
        for _ in range(2):
            ref = f"req-{chance.randint(1, number):06d}"
            await world.poll(ref)
        await world.poll(f"req-{chance.randint(500, 600):06d}")
        await asyncio.sleep(chance.uniform(0, 4))


async def _service_users(world: World, chance: random.Random, services: int) -> None:
    """Start services, look at them, and cancel some, once the cluster takes any."""
    for number in range(501, 501 + services):
        job = world.service(
            number,
            Crew=chance.choice(["red", "blue"]),
            Pieces=chance.choice([1, 3, 4]),
            Apart=chance.random() < 0.5,
            Rank=chance.choice(["production", "production", "standard"]),
        )
        await world.submit(job)
        await asyncio.sleep(chance.uniform(0, 10))
        await world.poll(job["Ref"])
        if chance.random() < 0.5:
            await world.cancel(job["Ref"])


async def _upgrade(world: World, chance: random.Random) -> None:
    """Each process is replaced in its turn; one that dies before comes back as it was."""
    for name in world.nodes:
        await asyncio.sleep(chance.uniform(1, 10))
        while name not in world.running or world.host(name) in world.loop.frozen:
            await asyncio.sleep(0.5)
        world.crash(name)
        world.old.discard(name)
        await asyncio.sleep(chance.uniform(0.2, 3))
        if name not in world.running:
            world.boot(name)


KINDS = 21  # of troubles on any day
DUTY_KINDS = 3  # and on days with duties


async def _trouble(world: World, chance: random.Random, fault_kinds: int = KINDS) -> None:
    """One trouble after the other, often before the last one is over."""
    pending: list[asyncio.Task[None]] = []

    async def cut(name: str, store: bool, seconds: float) -> None:
        world.isolate(name, store=store, cloud=chance.random() < 0.5)
        await asyncio.sleep(seconds)
        world.rejoin(name, deliver=chance.random() < 0.7)

    async def crash(name: str, seconds: float) -> None:
        if name in world.running and world.host(name) not in world.loop.frozen:
            world.crash(name)
            await asyncio.sleep(seconds)
            if name not in world.running:
                world.boot(name)

    async def outage(seconds: float) -> None:
        world.store.down = True
        await asyncio.sleep(seconds)
        world.store.outage_over()

    async def refused(name: str, seconds: float) -> None:
        world.net.cut(world.host(name), world.store.HOST)
        await asyncio.sleep(seconds)
        world.net.heal(world.host(name), world.store.HOST, deliver=chance.random() < 0.5)

    async def ail(what: str, seconds: float) -> None:
        """A machine hangs, or is deaf, for a while."""
        machines = [m for m in world.cloud.machines.values() if m.up]
        if machines:
            machine = chance.choice(machines)
            setattr(machine, what, True)
            await asyncio.sleep(seconds)
            setattr(machine, what, False)

    async def estranged(name: str, seconds: float) -> None:
        world.estrange(name)
        await asyncio.sleep(seconds)
        world.reconcile(name, deliver=chance.random() < 0.7)

    async def slow(name: str, seconds: float) -> None:
        world.net.slow[world.host(name)] = chance.uniform(0.1, 0.6)
        await asyncio.sleep(seconds)
        world.net.slow.pop(world.host(name), None)

    async def slow_state(seconds: float) -> None:
        world.store.slowness = 10.0
        await asyncio.sleep(seconds)
        world.store.slowness = 1.0

    async def peers_refuse(seconds: float) -> None:
        internal = {(world.host(name), 8081) for name in world.nodes}
        world.net.refusing |= internal
        await asyncio.sleep(seconds)
        world.net.refusing -= internal

    async def refused_alone(name: str, seconds: float) -> None:
        world.store.refused.add(world.host(name))
        await asyncio.sleep(seconds)
        world.store.refused.discard(world.host(name))

    async def late_writes(seconds: float) -> None:
        world.store.late_writes = chance.choice([0.1, 0.4])
        await asyncio.sleep(seconds)
        world.store.late_writes = 0.0

    async def refused_then_all(name: str) -> None:
        world.store.refused.add(world.host(name))
        await asyncio.sleep(chance.uniform(0.5, 3))
        world.store.down = True
        await asyncio.sleep(chance.choice([5.0, 25.0]))
        world.store.refused.discard(world.host(name))
        world.store.outage_over()

    async def stand_still(name: str, seconds: float) -> None:
        world.freeze(name)
        await asyncio.sleep(seconds)
        world.thaw(name)

    async def cloud_trouble(seconds: float) -> None:
        world.cloud.trouble = chance.choice([429, 503])
        await asyncio.sleep(seconds)
        world.cloud.trouble = 0

    async def slow_cloud(seconds: float) -> None:
        world.cloud.slowness = 3.0
        await asyncio.sleep(seconds)
        world.cloud.slowness = 0.02

    async def hang_many(seconds: float) -> None:
        machines = [m for m in world.cloud.machines.values() if m.up and chance.random() < 0.4]
        for machine in machines:
            machine.hung = True
        await asyncio.sleep(seconds)
        for machine in machines:
            machine.hung = False

    async def die_many() -> None:
        for name in list(world.cloud.machines):
            if chance.random() < 0.3:
                world.cloud.machines.pop(name).stop()

    async def die() -> None:
        if world.cloud.machines:
            name = chance.choice(list(world.cloud.machines))
            world.cloud.machines.pop(name).stop()

    while True:
        await asyncio.sleep(chance.uniform(1, 8))
        name = chance.choice(world.nodes)
        seconds = chance.choice([0.3, 2.0, 7.0, 15.0])
        fault_kind = chance.randrange(fault_kinds)
        if world.host(name) in world.loop.frozen:
            continue  # nothing else can befall it
        if fault_kind == 0:
            fault = cut(name, True, seconds)
        elif fault_kind == 1:
            fault = cut(name, False, seconds)
        elif fault_kind in (2, 3):
            fault = crash(name, min(seconds, 3.0))
        elif fault_kind == 4:
            fault = outage(seconds)
        elif fault_kind == 5:
            fault = refused(name, seconds)
        elif fault_kind == 6:
            fault = ail("hung", seconds)
        elif fault_kind == 7:
            fault = ail("deaf", seconds)
        elif fault_kind == 8:
            fault = estranged(name, seconds)
        elif fault_kind == 9:  # back at once, with the last message still on its way
            fault = crash(name, chance.uniform(0.05, 0.4))
        elif fault_kind == 10 and world.host(name) not in world.net.slow:
            fault = slow(name, seconds)
        elif fault_kind == 11:
            fault = slow_state(seconds)
        elif fault_kind == 12:
            fault = peers_refuse(seconds)
        elif fault_kind == 13:
            fault = stand_still(name, seconds)
        elif fault_kind == 14:
            fault = hang_many(seconds)
        elif fault_kind == 15:
            fault = die_many()
        elif fault_kind == 16:
            fault = refused_alone(name, seconds)
        elif fault_kind == 17:
            fault = late_writes(seconds)
        elif fault_kind == 18:
            fault = refused_then_all(name)
        elif fault_kind == 19:
            fault = ail("mute", seconds)
        elif fault_kind == 21:
            fault = cloud_trouble(seconds)
        elif fault_kind == 22:
            fault = slow_cloud(seconds)
        elif (
            fault_kind == 23
        ):  # whoever holds a duty, and long enough to be replaced in all that it has
            fault = stand_still(world.holder(chance.choice(list(Duty))) or name, 60.0)
        else:
            fault = die()
        pending.append(asyncio.get_running_loop().create_task(fault))


@pytest.mark.parametrize("shards", [1, 3])
@pytest.mark.parametrize("seed", range(10))
def test_no_rule_breaks_on_a_day_of_random_failures(seed: int, shards: int) -> None:
    _play_day(seed, shards, machines=12, count=25)


@pytest.mark.parametrize("seed", range(100, 103))
def test_no_rule_breaks_on_such_a_day_of_a_large_fleet(seed: int) -> None:
    _play_day(seed, shards=1, machines=70, count=70)


@pytest.mark.parametrize("seed", range(200, 208))
def test_no_rule_breaks_with_services_across_an_upgrade(seed: int) -> None:
    """Both versions at fault, and limits that fall some time after the last old process."""
    _play_day(seed, shards=1 if seed % 4 else 3, machines=12, count=15, standing=8)


@pytest.mark.parametrize("shards", [1, 3])
@pytest.mark.parametrize("seed", range(300, 306))
def test_no_rule_breaks_and_no_stale_holder_acts_with_duties(seed: int, shards: int) -> None:
    _play_day(seed, shards, machines=12, count=25, duties=True)


@pytest.mark.parametrize("seed", range(400, 403))
def test_no_rule_breaks_across_an_upgrade_to_duties(seed: int) -> None:
    _play_day(seed, shards=1, machines=12, count=15, standing=8, duties=True)


async def _second_half(world: World, chance: random.Random, services: int) -> None:
    if not services:
        return
    await _upgrade(world, chance)
    lowering = asyncio.get_running_loop().call_later(chance.uniform(0, 20), world.lower_limits)
    await _service_users(world, chance, services)
    lowering.cancel()
    world.lower_limits()


def _play_day(
    seed: int, shards: int, machines: int, count: int, standing: int = 0, duties: bool = False
) -> None:
    async def story(loop: Loop) -> None:
        chance = random.Random(seed)
        limits = {"blue": machines / 2} if seed % 2 else None
        later = {"value_kb": 1.0, "txn_ops": 4, "write_rps": 60.0} if standing else None
        operator = {"blocks": shards, "duties": duties}
        world = World(loop, seed, limits=limits, operator=operator, later=later)
        world.old = set(world.nodes) if standing else set()
        world.copies = 0.1
        world.cloud.capacity = machines
        await world.start()
        fault_kinds = KINDS + DUTY_KINDS * duties
        trouble = loop.create_task(_trouble(world, chance, fault_kinds))
        users = loop.create_task(_users(world, chance, count))
        rest = loop.create_task(_second_half(world, chance, standing))
        while not (users.done() and rest.done()):
            world.rule_checker.check()
            for shard in range(shards):
                world.shard_leader(shard)  # never two
            for duty in Duty:
                world.holder(duty)
            await asyncio.sleep(0.5)
        await users
        await rest
        trouble.cancel()
        # Everything heals; every job that was accepted and not cancelled must come to its end.
        world.heal()
        assert not any(task.done() for task in world.running.values())
        left = [ref for ref in world.jobs if ref not in world.rule_checker.cancelled_at]
        services = [ref for ref in left if world.jobs[ref]["Shape"] == "service"]
        jobs = set(left) - set(services)
        if limits is None:
            await world.until_done(*jobs, seconds=400)
        # Services hold a team's limit for as long as they stand: others of it wait for that.
        unlimited = [ref for ref in services if world.jobs[ref]["Crew"] not in (limits or {})]
        await world.until_served(*unlimited, seconds=120)
        for ref in services:
            await world.cancel(ref)
        await asyncio.sleep(world.cancel_s)
        assert not any(world.on(ref) for ref in services)
        await world.until_done(*jobs, seconds=400)
        world.verdict()

    play(story, seed)
