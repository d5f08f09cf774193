"""Duties with one holder each: what a holder that was replaced can still do, and what moves on."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core.entities import US
from basaltlead.core.fleet_sizing import Offer
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import Duty
from basaltlead.duties.unknown_machines import UnknownMachines
from basaltlead.errors import PreconditionFailed
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.storage.records import StoredScaleOut
from basaltlead.wire.cloud import RentedMachine
from tests.fakes import World
from tests.fakes.cloud import FakeCloud
from tests.fakes.store import FakeState
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, on_host, play

ON = {"duties": True}
TAKEOVER = 6.0  # s: a session lease of 1.8 s, its end noticed, and the grant


async def _settled(world: World) -> None:
    """Every duty has a holder that acts."""
    await world.until(lambda: all(world.holder(duty) for duty in Duty), seconds=TAKEOVER)


async def _started(loop: Loop, seed: int = 1, **more: Any) -> World:
    world = World(loop, seed, operator=ON, **more)
    await world.start()
    await _settled(world)
    await asyncio.sleep(2)  # every controller knows the machine types
    return world


def _open(world: World, prefix: str) -> list[str]:
    """Intents that are recorded and not carried out."""
    return [
        key
        for key, (value, _, _) in world.store.keys.items()
        if key.startswith(prefix) and (prefix == "return/" or value["names"] is None)
    ]


def _events(world: World, action: str) -> list[dict[str, Any]]:
    pages = [v for k, (v, _, _) in world.store.keys.items() if k.startswith("history/")]
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
        tokens = {duty: world.store.keys[duty.key][0]["baton"] for duty in Duty}
        lost = holders[Duty.RENT]
        assert lost is not None
        world.crash(lost)
        await world.until(lambda: world.holder(Duty.RENT) not in (None, lost), seconds=TAKEOVER)
        await _settled(world)
        moved = {duty: world.store.keys[duty.key][0]["baton"] for duty in Duty}
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
        assert not any(key.startswith(("c/duty/", "return/")) for key in world.store.keys)
        world.verdict()

    play(story)


# Holders that stand still and wake up


def _when_recorded(world: World, prefix: str, action: Callable[[], None]) -> None:
    """Act in the very moment in which an intent is recorded."""
    before = world.store.accepting

    def accepting(changes: list[dict[str, Any]]) -> None:
        before(changes)
        if any(change.get("Put", "").startswith(prefix) for change in changes):
            world.store.accepting = before
            action()

    world.store.accepting = accepting


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
        rented = len(world.cloud.scale_outs)
        world.thaw(holder)
        await asyncio.sleep(10)
        assert len(world.cloud.scale_outs) == rented
        await _calm_end(world)

    play(story)


def test_a_grant_that_came_back_to_the_same_controller_is_another_grant() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
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
            await stale.history.commit([], [], event("returned"))
        assert world.store.revision == before

    play(story)


def test_what_is_granted_again_before_a_hand_back_is_answered_is_kept() -> None:
    """Only the holder that was handed back ends: the next one may be there already."""

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        name = world.holder(Duty.RETURN)
        assert name is not None
        for other in world.nodes:  # so that all that it hands back comes back
            if other != name:
                world.crash(other)
        await world.until(
            lambda: world.holder(Duty.RENT) == name == world.shard_leader(), seconds=15.0
        )
        node = world.parts[name]
        step_down = node.membership.release

        async def answered_late(key: str, leader_too: bool) -> bool:
            done: bool = await step_down(key, leader_too)
            await asyncio.sleep(5)
            return done

        node.membership.release = answered_late
        node.duties.holders[Duty.RETURN].step_down()
        node.shard_leaders[0].stepped_down = True
        await asyncio.sleep(15)
        assert world.holder(Duty.RETURN) == name == world.shard_leader()

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
            believed.append(stale.holds_valid_lease)

        on_host(world.host(holder), look())
        world.thaw(holder)
        await world.until(lambda: bool(believed))
        assert believed == [True]
        await _calm_end(world)

    play(story)


# Controllers that are lost, cut off or replaced


@pytest.mark.parametrize("duty", list(Duty))
def test_leader_and_holder_lost_together_hold_nothing_up(duty: Duty) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=6, RunS=10.0))
        holder, leader = world.holder(duty), world.store.keys["c/leader"][0]["name"]
        assert holder is not None
        for name in {holder, leader}:
            world.crash(name)
        await world.until(lambda: world.holder(duty) not in (None, holder), seconds=2 * TAKEOVER)
        await _calm_end(world)

    play(story)


def test_intents_that_were_open_when_all_were_restarted_are_carried_out_once() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        world.cloud.trouble = 503
        await world.submit(world.job(2, Pieces=4, RunS=60.0, Cores=8.0))  # fits large ones only
        await world.until(lambda: bool(_open(world, "hire/")))
        await world.until(lambda: bool(_open(world, "return/")), seconds=120.0)
        requested = set(_open(world, "hire/"))
        for name in world.nodes:
            world.crash(name)
        await asyncio.sleep(5)
        world.cloud.trouble = 0
        for name in world.nodes:
            world.boot(name)
        await world.until(lambda: not requested & set(_open(world, "hire/")), seconds=30.0)
        assert {f"hire/{name}" for name in world.cloud.scale_outs} >= requested
        await _calm_end(world)

    play(story)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_a_holder_cut_off_from_the_state_service_alone_is_replaced(duty: Duty) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        holder = world.holder(duty)
        assert holder is not None
        world.net.cut(world.host(holder), FakeState.HOST)
        await world.submit(world.job(1, Pieces=6, RunS=5.0), world.other_node(holder))
        await world.until(lambda: world.holder(duty) not in (None, holder), seconds=2 * TAKEOVER)
        await asyncio.sleep(20)
        world.net.heal(world.host(holder), FakeState.HOST)
        await _calm_end(world)

    play(story)


def test_a_holder_cut_off_from_the_cloud_alone_lets_another_try() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.net.cut(world.host(holder), FakeCloud.HOST)
        await world.submit(world.job(1, Pieces=6, RunS=5.0))
        await world.until(lambda: world.holder(Duty.RENT) not in (None, holder), seconds=40.0)
        await world.until_done("req-000001", seconds=30.0)
        moves = len(_events(world, "taken up"))
        await asyncio.sleep(120)
        assert len(_events(world, "taken up")) <= moves + 3  # it does not go to and fro
        world.net.heal(world.host(holder), FakeCloud.HOST)
        await _calm_end(world)

    play(story)


def test_a_late_transaction_of_a_holder_that_was_replaced_is_refused() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.store.late_writes, world.store.late_by = 1.0, (20.0, 20.0)
        world.store.late_keys = "history/rent/"  # what settles a request
        await world.submit(world.job(1, Pieces=8, RunS=20.0), world.other_node(holder))
        await world.until(lambda: bool(world.cloud.scale_outs))
        await asyncio.sleep(1)
        world.crash(holder)
        world.store.late_writes = 0.0
        await world.until(lambda: not _open(world, "hire/"), seconds=2 * TAKEOVER)
        settled = {k: v[1] for k, v in world.store.keys.items() if k.startswith("hire/")}
        await asyncio.sleep(20)
        left = {k: v[1] for k, v in world.store.keys.items() if k in settled}
        assert left.items() <= settled.items()  # none was written again
        assert len(_events(world, "rented")) == len(settled)
        world.boot(holder)
        await _calm_end(world)

    play(story)


def test_a_new_owner_starts_nothing_on_a_machine_that_is_to_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    at_first: list[
        set[str]
    ] = []  # what each shard leader knows to be going before it does anything
    start = ScaleIn.start

    def noting_start(scale_ins: ScaleIn) -> None:
        machines = scale_ins.shard_leader.shard.machines.values()
        at_first.append({machine.name for machine in machines if machine.terminating})
        start(scale_ins)

    monkeypatch.setattr(ScaleIn, "start", noting_start)

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        _when_recorded(world, "return/", lambda: setattr(world.cloud, "trouble", 503))
        await world.until(lambda: bool(_open(world, "return/")), seconds=120.0)
        going = {
            name for key in _open(world, "return/") for name in world.store.keys[key][0]["names"]
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
        await _calm_end(world)

    play(story)


def test_an_older_version_takes_over_in_the_middle_and_hands_back() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=8, RunS=15.0))
        await world.until(lambda: len(world.on("req-000001")) == 8)
        world.cloud.trouble = 503
        await world.submit(world.job(2, Pieces=16, RunS=15.0))
        await world.until(lambda: bool(_open(world, "hire/")))
        old = world.shard_leader()
        assert old is not None
        world.crash(old)
        world.old = {old}
        world.boot(old)
        for (
            name
        ) in world.nodes:  # only the old one is left: it owns, and rental requests for itself
            if name != old:
                world.crash(name)
        world.cloud.trouble = 0
        await world.until(lambda: world.shard_leader() == old, seconds=4 * TAKEOVER)
        await world.until_done("req-000002", seconds=120.0)
        world.crash(old)
        world.old = set()
        for name in world.nodes:
            world.boot(name)
        await _settled(world)
        await world.submit(world.job(3, Pieces=8, RunS=5.0))
        await _calm_end(world)

    play(story)


# The cloud


@pytest.mark.parametrize("trouble", [429, 503])
def test_trouble_of_the_cloud_in_the_middle_of_a_batch(trouble: int) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=24, RunS=4.0))
        await world.until(lambda: len(world.cloud.scale_outs) >= 1)
        world.cloud.trouble = trouble
        await asyncio.sleep(8)
        world.cloud.trouble = 0
        await world.until_done("req-000001")
        _when_recorded(world, "return/", lambda: setattr(world.cloud, "trouble", trouble))
        await world.until(lambda: world.cloud.trouble == trouble, seconds=120.0)
        await asyncio.sleep(8)
        await _calm_end(world)

    play(story)


def test_a_grant_that_is_lost_while_the_cloud_answers_slowly() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        world.cloud.slowness = 3.5
        await world.submit(world.job(1, Pieces=16, RunS=20.0))
        await world.until(lambda: bool(_open(world, "hire/")))
        holder = world.holder(Duty.RENT)
        assert holder is not None
        world.crash(holder)
        await asyncio.sleep(1)
        world.boot(holder)
        await asyncio.sleep(15)
        world.cloud.slowness = 0.02
        machines = [name for names in world.cloud.scale_outs.values() for name in names]
        assert len(machines) == len(set(machines)) == world.cloud.count
        await _calm_end(world)

    play(story)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
def test_calls_that_arrive_minutes_late_rent_and_delete_nothing_that_was_not_recorded(
    duty: Duty,
) -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until_done("req-000001")
        holder = world.holder(duty)
        assert holder is not None
        world.net.cut(world.host(holder), FakeCloud.HOST)
        if duty == Duty.RENT:
            await world.submit(world.job(2, Pieces=16, RunS=10.0))
        await world.until(
            lambda: bool(_open(world, "return/" if duty == Duty.RETURN else "hire/")), seconds=120
        )
        await asyncio.sleep(10)
        world.crash(holder)
        await asyncio.sleep(150)
        world.net.heal(world.host(holder), FakeCloud.HOST, deliver=True)
        world.boot(holder)
        await _calm_end(world)

    play(story)


def test_what_the_cloud_refuses_for_good_is_shown_and_holds_up_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("basaltlead.duties.rent_duty.MOST_REQUESTS", 1)

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        world.cloud.refusing.add("large")
        await world.submit(world.job(1, Pieces=2, RunS=3.0, Cores=8.0))  # fits large ones only
        await world.submit(world.job(2, Pieces=6, RunS=3.0))
        await world.until_done("req-000002")
        await asyncio.sleep(150)
        hanging = [v[0] for k, v in world.store.keys.items() if k.startswith("hire/")]
        assert hanging and all("400" in one["refused"] for one in hanging)
        offers = [(one["zone"], one["spot"]) for one in hanging]
        assert len(offers) == len(set(offers))  # none is asked for twice: so there are few
        world.cloud.refusing.clear()
        await world.until_done("req-000001", seconds=120.0)
        await world.submit(world.job(3, Pieces=5, RunS=20.0, Cores=4.0, Grades=["small"]))
        await world.until_done("req-000003")
        world.cloud.trouble = 503  # until they all are to go, in one batch
        await world.until(
            lambda: (
                sum(len(world.store.keys[k][0]["names"]) for k in _open(world, "return/"))
                == len(world.cloud.machines)
                > 2
            ),
            seconds=200.0,
        )
        victim = next(iter(world.cloud.machines))
        world.cloud.refusing.add(victim)
        world.cloud.trouble = 0
        await world.until(lambda: set(world.cloud.machines) == {victim}, seconds=200.0)
        await world.until(lambda: bool(_events(world, "refused")))
        world.cloud.refusing.clear()
        await _calm_end(world)

    play(story)


def _listed(name: str, age_s: float = 5.0) -> RentedMachine:
    return RentedMachine(name, "small", "a", True, "running", "10.1.0.1:9", age_s)


def test_a_list_that_lags_makes_no_machine_look_abandoned() -> None:
    has_unaccounted_tasks = UnknownMachines(patience=6 * US)
    offer = Offer("small", "a", True)
    for second in range(0, 21, 4):
        has_unaccounted_tasks.listed([_listed("m-1")], known=(), asked=second * US)
        abandoned = has_unaccounted_tasks.abandoned(
            [_listed("m-1")], in_progress=[offer], asked=second * US
        )
        assert abandoned == []  # a request in progress may have brought it
        abandoned = has_unaccounted_tasks.abandoned(
            [_listed("m-1")], in_progress=[], asked=second * US
        )
        assert bool(abandoned) == (second > 6)  # it may be one that was deleted
    has_unaccounted_tasks.listed([_listed("m-1")], known=["m-1"], asked=24 * US)
    has_unaccounted_tasks.listed([_listed("m-1")], known=[], asked=28 * US)
    assert has_unaccounted_tasks.abandoned([_listed("m-1")], [], 30 * US) == []  # known meanwhile


def test_machines_of_a_hire_in_progress_are_not_adopted_and_late_ones_are() -> None:
    async def story(loop: Loop) -> None:
        world = await _started(loop)
        world.cloud.mute = 4  # carried out, and not answered: the list shows them first
        await world.submit(world.job(1, Pieces=4, RunS=30.0))
        await world.until(lambda: bool(world.cloud.machines))
        await asyncio.sleep(3)
        world.cloud.slowness = 3.0
        await asyncio.sleep(25)
        assert _events(world, "adopted") == []
        world.cloud.slowness = 0.02
        await world.until_done("req-000001")
        machine_type = world.cloud.TYPES[0]
        late = world.cloud.machines["m-000900"] = FakeWorker(
            world, "m-000900", machine_type, "a", True
        )
        late.task.cancel()  # it never comes up, so nobody hears of it but by the list
        await world.until(lambda: bool(_events(world, "adopted")), seconds=60.0)
        await _calm_end(world)

    play(story)


def test_a_failed_machine_that_its_owner_returns_too_goes_once() -> None:
    """Two holders of different duties touch one machine."""

    async def story(loop: Loop) -> None:
        world = await _started(loop)
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
        assert _events(world, "to be returned")
        await world.until(lambda: failed.name not in world.cloud.machines, seconds=60.0)
        await world.until(lambda: not _open(world, "return/"))
        assert f"mach/{failed.name}" not in world.store.keys
        await _calm_end(world)

    play(story)


def test_machines_of_a_block_that_is_granted_no_more_are_returned() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator={"duties": True, "blocks": 2})
        await world.start()
        await _settled(world)
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
        assert any(one["count"] for one in _events(world, "to be returned"))
        world.verdict()

    play(story)


# The checker finds what it is for


def test_a_stale_holder_is_found_once_its_guard_is_taken_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DutyHolder, "preconditions", lambda holder: [])
    monkeypatch.setattr(DutyHolder, "holds_valid_lease", True)
    monkeypatch.setattr(DutyHolder, "stop", lambda holder: None)

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        stale = world.store.keys["c/duty/rent"][0]["name"]
        world.cloud.trouble = 503
        _when_recorded(world, "hire/", lambda: world.freeze(stale))
        await world.submit(world.job(1, Pieces=8, RunS=30.0), world.other_node(stale))
        await asyncio.sleep(30)
        world.freeze(world.store.keys["c/duty/rent"][0]["name"])
        world.cloud.trouble = 0
        world.thaw(stale)
        await asyncio.sleep(5)
        assert any("rent: rented" in one for one in world.duty_checker.stale)

    play(story)


async def _delete_at_once(scale_ins: ScaleIn, names: list[str]) -> None:
    await scale_ins._delete(names)


async def _send_at_once(requests: ScaleOut, name: str, stored: StoredScaleOut) -> None:
    requests.shard_leader.scale_outs[name] = stored
    await requests._carry_out(name, stored)


@pytest.mark.parametrize(
    ("part", "method", "mutant", "found"),
    [
        (ScaleIn, "_record", _delete_at_once, "deleted without a record"),
        (ScaleOut, "_record", _send_at_once, "rented without a record"),
    ],
)
def test_a_call_without_a_recorded_intent_is_found(
    part: type, method: str, mutant: Any, found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(part, method, mutant)

    async def story(loop: Loop) -> None:
        world = await _started(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until(
            lambda: any(found in one for one in world.duty_checker.stale), seconds=120.0
        )

    play(story)
