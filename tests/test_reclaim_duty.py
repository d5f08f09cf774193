"""Reclaiming: machines that stand in no record, have failed, or belong to no shard any more."""

import asyncio

from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from basaltlead.duties.unknown_machines import UnknownMachines
from basaltlead.wire.cloud import RentedMachine
from tests.duty_support import (
    ON,
    all_duties_held,
    finish,
    open_intents,
    recorded_events,
    started_world,
)
from tests.fakes import World
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, play


def _listed(name: str, age_s: float = 5.0) -> RentedMachine:
    return RentedMachine(name, "small", "a", True, "running", "10.1.0.1:9", age_s)


def test_a_list_that_lags_makes_no_machine_look_abandoned() -> None:
    unknown_machines = UnknownMachines(patience=6 * US)
    offer = Offer("small", "a", True)
    for second in range(0, 21, 4):
        unknown_machines.update([_listed("m-1")], known=(), listed_at=second * US)
        abandoned = unknown_machines.abandoned(
            [_listed("m-1")], in_progress=[offer], listed_at=second * US
        )
        assert abandoned == []  # a request in progress may have brought it
        abandoned = unknown_machines.abandoned(
            [_listed("m-1")], in_progress=[], listed_at=second * US
        )
        assert bool(abandoned) == (second > 6)  # it may be one that was deleted
    unknown_machines.update([_listed("m-1")], known=["m-1"], listed_at=24 * US)
    unknown_machines.update([_listed("m-1")], known=[], listed_at=28 * US)
    assert unknown_machines.abandoned([_listed("m-1")], [], 30 * US) == []  # known meanwhile


def test_machines_of_a_hire_in_progress_are_not_adopted_and_late_ones_are() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        world.cloud.mute = 4  # carried out, and not answered: the list shows them first
        await world.submit(world.job(1, Pieces=4, RunS=30.0))
        await world.until(lambda: bool(world.cloud.machines))
        await asyncio.sleep(3)
        world.cloud.slowness = 3.0
        await asyncio.sleep(25)
        assert recorded_events(world, "adopted") == []
        world.cloud.slowness = 0.02
        await world.until_done("req-000001")
        machine_type = world.cloud.TYPES[0]
        late = world.cloud.machines["m-000900"] = FakeWorker(
            world, "m-000900", machine_type, "a", True
        )
        late.task.cancel()  # it never comes up, so nobody hears of it but by the list
        await world.until(lambda: bool(recorded_events(world, "adopted")), seconds=60.0)
        await finish(world)

    play(story)


def test_a_failed_machine_that_its_owner_returns_too_goes_once() -> None:
    """Two holders of different duties touch one machine."""

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        failed = next(iter(world.cloud.machines.values()))
        failed.failed = True
        failed.hung = True
        await world.submit(world.job(2, Pieces=1, RunS=3.0, Cores=8.0))
        await world.until(lambda: any(not m.up for m in world.cloud.machines.values()))
        booting = next(m for m in world.cloud.machines.values() if not m.up)
        booting.failed = True
        booting.task.cancel()
        # Its shard leader would wait for it for another 17 s: the list tells sooner.
        await world.until(lambda: booting.name not in world.cloud.machines, seconds=14.0)
        assert recorded_events(world, "to be returned")
        await world.until(lambda: failed.name not in world.cloud.machines, seconds=60.0)
        await world.until(lambda: not open_intents(world, "return/"))
        assert f"mach/{failed.name}" not in world.store.keys
        await finish(world)

    play(story)


def test_machines_of_a_block_that_is_granted_no_more_are_returned() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator={"duties": True, "blocks": 2})
        await world.start()
        await all_duties_held(world)
        await world.submit(world.job(1, Pieces=40, RunS=300.0))
        held = world.store.keys
        await world.until(
            lambda: any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in held.items())
        )
        for name in world.nodes:
            world.crash(name)
        world.operator = ON
        for name in world.nodes:
            world.boot(name)
        await world.until(
            lambda: not any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in held.items()),
            seconds=120.0,
        )
        assert any(one["count"] for one in recorded_events(world, "to be returned"))
        world.verdict()

    play(story)
