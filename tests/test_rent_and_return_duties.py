"""Renting and returning: what a replaced holder can still do, and faults of the cloud."""

import asyncio

import pytest

from basaltlead.duties.model import Duty
from basaltlead.scaling.scale_in import ScaleIn
from tests.duty_support import (
    TAKEOVER,
    finish,
    open_intents,
    recorded_events,
    started_world,
    when_recorded,
)
from tests.fakes import World
from tests.fakes.cloud import FakeCloud
from tests.simulation import Loop, play


async def _freeze_at(world: World, when: str, prefix: str, name: str) -> None:
    """The holder of a duty stands still when its next intent is recorded, or sent."""
    if when == "half sent":
        world.net.halving[FakeCloud.HOST] = 90.0
    if when == "before the check":
        when_recorded(world, prefix, lambda: world.freeze(name))
        await world.until(lambda: world.host(name) in world.loop.frozen, seconds=120.0)
        return
    world.cloud.slowness = 5.0
    recorded = asyncio.Event()
    when_recorded(world, prefix, recorded.set)
    await world.until(recorded.is_set, seconds=120.0)
    await asyncio.sleep(0.6)
    world.freeze(name)


@pytest.mark.parametrize("when", ["before the check", "sent", "half sent"])
@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_a_holder_that_stood_still_for_a_minute_decides_nothing_when_it_wakes(
    duty: Duty, when: str
) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        prefix = "hire/" if duty == Duty.RENT else "return/"
        if duty == Duty.RETURN:
            await world.submit(world.job(1, Pieces=3, RunS=3.0))
            await world.until_done("req-000001")
        holder = world.holder(duty)
        assert holder is not None
        if duty == Duty.RENT:
            await world.submit(world.job(1, Pieces=8, RunS=30.0), world.other_node(holder))
        await _freeze_at(world, when, prefix, holder)
        await world.until(lambda: world.holder(duty) not in (None, holder), seconds=2 * TAKEOVER)
        world.cloud.slowness = 0.02
        world.net.halving.clear()
        await asyncio.sleep(60)
        rented = len(world.cloud.scale_outs)
        world.thaw(holder)
        await asyncio.sleep(10)
        assert len(world.cloud.scale_outs) == rented
        await finish(world)

    play(story)


def test_a_late_transaction_of_a_holder_that_was_replaced_is_refused() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.store.late_writes, world.store.late_by = 1.0, (20.0, 20.0)
        world.store.late_keys = "history/rent/"  # what settles a request
        await world.submit(world.job(1, Pieces=8, RunS=20.0), world.other_node(holder))
        await world.until(lambda: bool(world.cloud.scale_outs))
        await asyncio.sleep(1)
        world.crash(holder)
        world.store.late_writes = 0.0
        await world.until(lambda: not open_intents(world, "hire/"), seconds=2 * TAKEOVER)
        settled = {k: v[1] for k, v in world.store.keys.items() if k.startswith("hire/")}
        await asyncio.sleep(20)
        left = {k: v[1] for k, v in world.store.keys.items() if k in settled}
        assert left.items() <= settled.items()  # none was written again
        assert len(recorded_events(world, "rented")) == len(settled)
        world.boot(holder)
        await finish(world)

    play(story)


def test_a_new_owner_starts_nothing_on_a_machine_that_is_to_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The machines that each shard leader knows to be terminating before it does anything.
    at_first: list[set[str]] = []
    start = ScaleIn.start

    def noting_start(scale_ins: ScaleIn) -> None:
        machines = scale_ins.context.shard.machines.values()
        at_first.append({machine.name for machine in machines if machine.terminating})
        start(scale_ins)

    monkeypatch.setattr(ScaleIn, "start", noting_start)

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        when_recorded(world, "return/", lambda: setattr(world.cloud, "trouble", 503))
        await world.until(lambda: bool(open_intents(world, "return/")), seconds=120.0)
        going = {
            name
            for key in open_intents(world, "return/")
            for name in world.store.keys[key][0]["names"]
        }
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        world.crash(shard_leader)
        await world.until(
            lambda: world.shard_leader() not in (None, shard_leader), seconds=2 * TAKEOVER
        )
        await world.submit(world.job(2, Pieces=3, RunS=3.0), world.other_node(shard_leader))
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert not {worker.name for worker in world.rule_checker.on.values()} & going
        assert going <= set(world.cloud.machines)
        assert at_first[-1] == going
        world.boot(shard_leader)
        await finish(world)

    play(story)


@pytest.mark.parametrize("trouble", [429, 503])
def test_trouble_of_the_cloud_in_the_middle_of_a_batch(trouble: int) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=24, RunS=4.0))
        await world.until(lambda: len(world.cloud.scale_outs) >= 1)
        world.cloud.trouble = trouble
        await asyncio.sleep(8)
        world.cloud.trouble = 0
        await world.until_done("req-000001")
        when_recorded(world, "return/", lambda: setattr(world.cloud, "trouble", trouble))
        await world.until(lambda: world.cloud.trouble == trouble, seconds=120.0)
        await asyncio.sleep(8)
        await finish(world)

    play(story)


def test_a_grant_that_is_lost_while_the_cloud_answers_slowly() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        world.cloud.slowness = 3.5
        await world.submit(world.job(1, Pieces=16, RunS=20.0))
        await world.until(lambda: bool(open_intents(world, "hire/")))
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.crash(holder)
        await asyncio.sleep(1)
        world.boot(holder)
        await asyncio.sleep(15)
        world.cloud.slowness = 0.02
        machines = [name for names in world.cloud.scale_outs.values() for name in names]
        assert len(machines) == len(set(machines)) == world.cloud.count
        await finish(world)

    play(story)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_calls_that_arrive_minutes_late_rent_and_delete_nothing_that_was_not_recorded(
    duty: Duty,
) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        holder = world.holder(duty)
        assert holder is not None
        world.net.cut(world.host(holder), FakeCloud.HOST)
        if duty == Duty.RENT:
            await world.submit(world.job(2, Pieces=16, RunS=10.0))
        await world.until(
            lambda: bool(open_intents(world, "return/" if duty == Duty.RETURN else "hire/")),
            seconds=120,
        )
        await asyncio.sleep(10)
        world.crash(holder)
        await asyncio.sleep(150)
        world.net.heal(world.host(holder), FakeCloud.HOST, deliver=True)
        world.boot(holder)
        await finish(world)

    play(story)


def test_what_the_cloud_refuses_for_good_is_shown_and_holds_up_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("basaltlead.duties.rent_duty.MOST_REQUESTS", 1)

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        world.cloud.refusing.add("large")
        await world.submit(world.job(1, Pieces=2, RunS=3.0, Cores=8.0))  # fits large ones only
        await world.submit(world.job(2, Pieces=6, RunS=3.0))
        await world.until_done("req-000002")
        await asyncio.sleep(150)
        hanging = [v[0] for k, v in world.store.keys.items() if k.startswith("hire/")]
        assert hanging
        assert all("400" in one["refused"] for one in hanging)
        offers = [(one["zone"], one["spot"]) for one in hanging]
        assert len(offers) == len(set(offers))  # none is asked for twice: so there are few
        world.cloud.refusing.clear()
        await world.until_done("req-000001", seconds=120.0)
        await world.submit(world.job(3, Pieces=5, RunS=20.0, Cores=4.0, Grades=["small"]))
        await world.until_done("req-000003")
        world.cloud.trouble = 503  # until they all are to go, in one batch
        await world.until(
            lambda: (
                sum(len(world.store.keys[k][0]["names"]) for k in open_intents(world, "return/"))
                == len(world.cloud.machines)
                > 2
            ),
            seconds=200.0,
        )
        victim = next(iter(world.cloud.machines))
        world.cloud.refusing.add(victim)
        world.cloud.trouble = 0
        await world.until(lambda: set(world.cloud.machines) == {victim}, seconds=200.0)
        await world.until(lambda: bool(recorded_events(world, "refused")))
        world.cloud.refusing.clear()
        await finish(world)

    play(story)
