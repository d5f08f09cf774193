"""Duties with one holder each: who holds them, and what continues when a holder is lost."""

import asyncio

import pytest

from basaltlead.duties.history import Action, Event
from basaltlead.duties.model import Duty
from basaltlead.errors import PreconditionFailed
from tests.duty_support import (
    ON,
    TAKEOVER,
    all_duties_held,
    finish,
    open_intents,
    recorded_events,
    started_world,
)
from tests.fakes import World
from tests.fakes.cloud import FakeCloud
from tests.fakes.store import FakeState
from tests.simulation import Loop, on_host, play


def test_duties_are_spread_and_move_with_tokens_that_only_grow() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        holders = {duty: world.holder(duty) for duty in Duty}
        assert len(set(holders.values())) == 3
        tokens = {duty: world.store.keys[duty.key][0]["baton"] for duty in Duty}
        lost = holders[Duty.RENT]
        assert lost is not None
        world.crash(lost)
        await world.until(lambda: world.holder(Duty.RENT) not in (None, lost), seconds=TAKEOVER)
        await all_duties_held(world)
        moved = {duty: world.store.keys[duty.key][0]["baton"] for duty in Duty}
        assert all(moved[duty] > tokens[duty] for duty in Duty if holders[duty] == lost)
        assert all(moved[duty] == tokens[duty] for duty in Duty if holders[duty] != lost)
        world.boot(lost)  # it gets its part again, and nothing is without a holder for long
        await world.until(lambda: any(world.holder(duty) == lost for duty in Duty), seconds=20.0)
        await all_duties_held(world)

    play(story)


def test_without_duties_switched_on_by_all_the_owner_acts_as_before() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator=ON)
        world.old = {"node-1"}
        await world.start()
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        await world.until(lambda: not world.cloud.machines, seconds=150.0)
        assert not any(key.startswith(("c/duty/", "return/")) for key in world.store.keys)
        world.verdict()

    play(story)


def test_a_grant_that_came_back_to_the_same_controller_is_another_grant() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        name = world.holder(Duty.RETURN)
        assert name is not None
        member = world.parts[name].membership
        stale = world.parts[name].duties.holders[Duty.RETURN]
        others = [node for node in world.nodes if node != name]
        assert await member.release(Duty.RETURN.key, leader_too=False)
        for other in others:  # so that it can only come back
            world.crash(other)
        held = world.parts[name].duties.holders
        await world.until(
            lambda: held.get(Duty.RETURN, stale) is not stale and world.holder(Duty.RETURN) == name,
            seconds=4 * TAKEOVER,
        )
        fresh = held[Duty.RETURN]
        stale.stepped_down = False
        precondition = stale.preconditions()[1]
        assert precondition.version < fresh.preconditions()[1].version
        before = world.store.revision
        with pytest.raises(PreconditionFailed, match="c/duty/return"):
            await stale.history.commit([], [], Event.of(Action.RETURNED))
        assert world.store.revision == before

    play(story)


def test_what_is_granted_again_before_a_hand_back_is_answered_is_kept() -> None:
    """Only the holder that was handed back ends: the next one may be there already."""

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        name = world.holder(Duty.RETURN)
        assert name is not None
        for other in world.nodes:  # so that all that it hands back comes back
            if other != name:
                world.crash(other)
        await world.until(
            lambda: world.holder(Duty.RENT) == name == world.shard_leader(), seconds=15.0
        )
        node = world.parts[name]
        release = node.membership.release

        async def answered_late(key: str, leader_too: bool) -> bool:
            done: bool = await release(key, leader_too)
            await asyncio.sleep(5)
            return done

        node.membership.release = answered_late
        node.duties.holders[Duty.RETURN].step_down()
        node.shard_leaders[0].lease.stepped_down = True
        await asyncio.sleep(15)
        assert world.holder(Duty.RETURN) == name == world.shard_leader()

    play(story)


@pytest.mark.parametrize(("wall", "steady"), [(3600, 0), (-3600, 0), (0, 3600)])
def test_clocks_that_jump_on_one_host_make_no_stale_holder(wall: float, steady: float) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=6, RunS=20.0))
        await world.until(lambda: len(world.on("req-000001")) == 6)
        for duty in (Duty.RENT, Duty.RETURN, Duty.RECLAIM):
            holder = world.holder(duty)
            assert holder is not None
            loop.wall_off[world.host(holder)] = wall
            loop.steady_off[world.host(holder)] = steady
            await asyncio.sleep(4)
            await all_duties_held(world)
        await finish(world)

    play(story)


def test_a_machine_whose_steady_clock_stood_still_while_it_slept_is_refused_by_the_store() -> None:
    """Its clock says that no time has passed, so its own check of the lease lets it act."""

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.freeze(holder)
        await world.submit(world.job(1, Pieces=8, RunS=60.0), world.other_node(holder))
        await asyncio.sleep(60)
        loop.steady_off[world.host(holder)] = -60.0
        stale = world.parts[holder].duties.holders[Duty.RENT]
        believed: list[bool] = []

        async def look() -> None:
            believed.append(stale.holds_valid_lease)

        on_host(world.host(holder), look())
        world.thaw(holder)
        await world.until(lambda: bool(believed))
        assert believed == [True]
        await finish(world)

    play(story)


@pytest.mark.parametrize("duty", list(Duty))
def test_leader_and_holder_lost_together_hold_nothing_up(duty: Duty) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=6, RunS=10.0))
        holder, leader = world.holder(duty), world.store.keys["c/leader"][0]["name"]
        assert holder is not None
        for name in {holder, leader}:
            world.crash(name)
        await world.until(lambda: world.holder(duty) not in (None, holder), seconds=2 * TAKEOVER)
        await finish(world)

    play(story)


def test_intents_that_were_open_when_all_were_restarted_are_carried_out_once() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        world.cloud.trouble = 503
        await world.submit(world.job(2, Pieces=4, RunS=60.0, Cores=8.0))  # fits large ones only
        await world.until(lambda: bool(open_intents(world, "hire/")))
        await world.until(lambda: bool(open_intents(world, "return/")), seconds=120.0)
        requested = set(open_intents(world, "hire/"))
        for name in world.nodes:
            world.crash(name)
        await asyncio.sleep(5)
        world.cloud.trouble = 0
        for name in world.nodes:
            world.boot(name)
        await world.until(lambda: not requested & set(open_intents(world, "hire/")), seconds=30.0)
        assert {f"hire/{name}" for name in world.cloud.scale_outs} >= requested
        await finish(world)

    play(story)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_a_holder_cut_off_from_the_state_service_alone_is_replaced(duty: Duty) -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        holder = world.holder(duty)
        assert holder is not None
        world.net.cut(world.host(holder), FakeState.HOST)
        await world.submit(world.job(1, Pieces=6, RunS=5.0), world.other_node(holder))
        await world.until(lambda: world.holder(duty) not in (None, holder), seconds=2 * TAKEOVER)
        await asyncio.sleep(20)
        world.net.heal(world.host(holder), FakeState.HOST)
        await finish(world)

    play(story)


def test_a_holder_cut_off_from_the_cloud_alone_lets_another_try() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.net.cut(world.host(holder), FakeCloud.HOST)
        await world.submit(world.job(1, Pieces=6, RunS=5.0))
        await world.until(lambda: world.holder(Duty.RENT) not in (None, holder), seconds=40.0)
        await world.until_done("req-000001", seconds=30.0)
        moves = len(recorded_events(world, "taken up"))
        await asyncio.sleep(120)
        assert len(recorded_events(world, "taken up")) <= moves + 3  # it does not go to and fro
        world.net.heal(world.host(holder), FakeCloud.HOST)
        await finish(world)

    play(story)


def test_an_older_version_takes_over_in_the_middle_and_hands_back() -> None:
    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=8, RunS=15.0))
        await world.until(lambda: len(world.on("req-000001")) == 8)
        world.cloud.trouble = 503
        await world.submit(world.job(2, Pieces=16, RunS=15.0))
        await world.until(lambda: bool(open_intents(world, "hire/")))
        old = world.shard_leader()
        assert old is not None
        world.crash(old)
        world.old = {old}
        world.boot(old)
        for (
            name
        ) in world.nodes:  # only the old one is left: it leads the shard and rents for itself
            if name != old:
                world.crash(name)
        world.cloud.trouble = 0
        await world.until(lambda: world.shard_leader() == old, seconds=4 * TAKEOVER)
        await world.until_done("req-000002", seconds=120.0)
        world.crash(old)
        world.old = set()
        for name in world.nodes:
            world.boot(name)
        await all_duties_held(world)
        await world.submit(world.job(3, Pieces=8, RunS=5.0))
        await finish(world)

    play(story)
