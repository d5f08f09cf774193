"""Duties with one holder each: what a holder that was replaced can still do, and what moves on."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.clients.state import Conflict
from basaltlead.duties.history import event
from basaltlead.duties.model import Duty
from tests.fakes import World
from tests.fakes.cloud import FakeCloud
from tests.world import Loop, on_host, play

ON = {"duties": True}
TAKEOVER = 6.0  # s: a session lease of 1.8 s, its end noticed, and the grant


async def _settled(world: World) -> None:
    """Every duty has a holder that acts."""
    await world.until(lambda: all(world.holder(duty) for duty in Duty), seconds=TAKEOVER)


async def _started(loop: Loop, seed: int = 1, **more: Any) -> World:
    world = World(loop, seed, operator=ON, **more)
    await world.start()
    await _settled(world)
    return world


def _open(world: World, prefix: str) -> list[str]:
    """Intents that are recorded and not carried out."""
    return [
        key
        for key, (value, _, _) in world.state.keys.items()
        if key.startswith(prefix) and (prefix == "return/" or value["names"] is None)
    ]


def _events(world: World, action: str) -> list[dict[str, Any]]:
    pages = [v for k, (v, _, _) in world.state.keys.items() if k.startswith("history/")]
    return [event for page in pages for event in page["events"] if event["action"] == action]


async def _calm_end(world: World) -> None:
    """All jobs are done, and no machine is left that anybody has to pay for."""
    world.heal()
    await world.until_done(*world.jobs, seconds=200.0)
    await world.until(lambda: not world.cloud.machines, seconds=250.0)
    await world.until(lambda: not _open(world, "return/") and not _open(world, "hire/"))
    world.verdict()


# Who holds what


def test_duties_are_spread_and_move_with_tokens_that_only_grow() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        holders = {duty: world.holder(duty) for duty in Duty}
        assert len(set(holders.values())) == 3
        tokens = {duty: world.state.keys[duty.key][0]["baton"] for duty in Duty}
        lost = holders[Duty.RENT]
        assert lost is not None
        world.crash(lost)
        await world.until(lambda: world.holder(Duty.RENT) not in (None, lost), seconds=TAKEOVER)
        await _settled(world)
        moved = {duty: world.state.keys[duty.key][0]["baton"] for duty in Duty}
        assert all(moved[duty] > tokens[duty] for duty in Duty if holders[duty] == lost)
        assert all(moved[duty] == tokens[duty] for duty in Duty if holders[duty] != lost)
        world.boot(lost)  # it gets its part again, and nothing is without a holder for long
        await world.until(lambda: any(world.holder(duty) == lost for duty in Duty), seconds=20.0)
        await _settled(world)

    play(story)


def test_without_duties_switched_on_by_all_the_owner_acts_as_before() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator=ON)
        world.old = {"node-1"}
        await world.start()
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        await world.until(lambda: not world.cloud.machines, seconds=150.0)
        assert not any(key.startswith(("c/duty/", "return/")) for key in world.state.keys)
        world.verdict()

    play(story)


# Holders that stand still and wake up


def _when_recorded(world: World, prefix: str, action: Callable[[], None]) -> None:
    """Act in the very moment in which an intent is recorded."""
    before = world.state.accepting

    def accepting(changes: list[dict[str, Any]]) -> None:
        before(changes)
        if any(change.get("Put", "").startswith(prefix) for change in changes):
            world.state.accepting = before
            action()

    world.state.accepting = accepting


async def _freeze_at(world: World, when: str, prefix: str, name: str) -> None:
    """The holder of a duty stands still when its next intent is recorded, or sent."""
    if when == "half sent":
        world.net.halving[FakeCloud.HOST] = 90.0
    if when == "before the check":
        _when_recorded(world, prefix, lambda: world.freeze(name))
        await world.until(lambda: world.host(name) in world.loop.frozen, seconds=120.0)
        return
    world.cloud.slowness = 5.0
    recorded = asyncio.Event()
    _when_recorded(world, prefix, recorded.set)
    await world.until(recorded.is_set, seconds=120.0)
    await asyncio.sleep(0.6)
    world.freeze(name)


@pytest.mark.parametrize("when", ["before the check", "sent", "half sent"])
@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_a_holder_that_stood_still_for_a_minute_decides_nothing_when_it_wakes(
    duty: Duty, when: str
) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
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
        rented = len(world.cloud.hires)
        world.thaw(holder)
        await asyncio.sleep(10)
        assert len(world.cloud.hires) == rented
        await _calm_end(world)

    play(story)


def test_a_grant_that_came_back_to_the_same_controller_is_another_grant() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        name = world.holder(Duty.RETURN)
        assert name is not None
        member = world.parts[name].member
        stale = world.parts[name].duties.holders[Duty.RETURN]
        others = [node for node in world.nodes if node != name]
        assert await member.step_down(Duty.RETURN.key, leader_too=False)
        for other in others:  # so that it can only come back
            world.crash(other)
        held = world.parts[name].duties.holders
        await world.until(
            lambda: held.get(Duty.RETURN, stale) is not stale and world.holder(Duty.RETURN) == name,
            seconds=4 * TAKEOVER,
        )
        fresh = held[Duty.RETURN]
        stale.resigned = False
        guard = stale.guards()[1]
        assert guard.version < fresh.guards()[1].version
        before = world.state.revision
        with pytest.raises(Conflict, match="c/duty/return"):
            await stale.history.commit([], [], event("returned"))
        assert world.state.revision == before

    play(story)


@pytest.mark.parametrize(("wall", "steady"), [(3600, 0), (-3600, 0), (0, 3600)])
def test_clocks_that_jump_on_one_host_make_no_stale_holder(wall: float, steady: float) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=6, RunS=20.0))
        await world.until(lambda: len(world.on("req-000001")) == 6)
        for duty in (Duty.RENT, Duty.RETURN, Duty.RECLAIM):
            holder = world.holder(duty)
            assert holder is not None
            loop.wall_off[world.host(holder)] = wall
            loop.steady_off[world.host(holder)] = steady
            await asyncio.sleep(4)
            await _settled(world)
        await _calm_end(world)

    play(story)


def test_a_machine_whose_steady_clock_stood_still_while_it_slept_is_refused_by_the_store() -> None:
    """Its clock says that no time has passed, so its own check of the lease lets it act."""

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.freeze(holder)
        await world.submit(world.job(1, Pieces=8, RunS=60.0), world.other_node(holder))
        await asyncio.sleep(60)
        loop.steady_off[world.host(holder)] = -60.0
        stale = world.parts[holder].duties.holders[Duty.RENT]
        believed: list[bool] = []

        async def look() -> None:
            believed.append(stale.acts)

        on_host(world.host(holder), look())
        world.thaw(holder)
        await world.until(lambda: bool(believed))
        assert believed == [True]
        await _calm_end(world)

    play(story)
