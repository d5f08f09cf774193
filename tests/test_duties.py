"""Duties: each has one holder, and another one takes over when a holder fails or loses access."""

import asyncio

import pytest

from basaltlead.duties.history import Action, Event
from basaltlead.duties.model import Duty
from basaltlead.errors import PreconditionFailed
from tests.duty_support import (
    DUTIES_ON,
    FAILOVER_S,
    finish_and_check,
    open_intents,
    recorded_events,
    start_with_duties,
    wait_for_all_holders,
)
from tests.fakes import Deployment
from tests.fakes.cloud import FakeCloud
from tests.fakes.store import FakeKeyValueStore
from tests.simulation import Loop, on_host, simulated


@simulated
async def test_duties_are_spread_over_controllers_and_fencing_tokens_only_increase(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)

    holders = {duty: deployment.holder(duty) for duty in Duty}
    assert len(set(holders.values())) == 3
    tokens = {duty: deployment.store.keys[duty.key][0]["baton"] for duty in Duty}
    lost = holders[Duty.RENT]
    assert lost is not None
    deployment.crash(lost)
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) not in (None, lost), seconds=FAILOVER_S
    )
    await wait_for_all_holders(deployment)
    new_tokens = {duty: deployment.store.keys[duty.key][0]["baton"] for duty in Duty}
    assert all(new_tokens[duty] > tokens[duty] for duty in Duty if holders[duty] == lost)
    assert all(new_tokens[duty] == tokens[duty] for duty in Duty if holders[duty] != lost)
    # The restarted controller gets a duty again, and no duty is without a holder for long
    deployment.start_controller(lost)
    await deployment.wait_until(
        lambda: any(deployment.holder(duty) == lost for duty in Duty), seconds=20.0
    )
    await wait_for_all_holders(deployment)


@simulated
async def test_shard_leader_rents_and_returns_itself_unless_all_controllers_support_duties(
    loop: Loop,
) -> None:
    deployment = Deployment(loop, operator=DUTIES_ON)
    deployment.old_version_nodes = {"node-1"}
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=150.0)

    assert not any(key.startswith(("c/duty/", "return/")) for key in deployment.store.keys)
    deployment.assert_no_violation()


@simulated
async def test_regrant_to_the_same_controller_has_a_new_version(loop: Loop) -> None:
    """Otherwise the holder of the earlier grant could still commit: the member's key is unchanged,
    so only the version in the duty's precondition makes its transaction fail."""
    deployment = await start_with_duties(loop)
    name = deployment.acting_holder(Duty.RETURN)
    membership = deployment.controllers[name].membership
    stale = deployment.controllers[name].duties.holders[Duty.RETURN]
    others = deployment.other_nodes(name)

    assert await membership.release(Duty.RETURN.key, release_leadership=False)
    for other in others:  # so that the duty can only be granted to the same controller
        deployment.crash(other)
    holders = deployment.controllers[name].duties.holders
    await deployment.wait_until(
        lambda: (
            holders.get(Duty.RETURN, stale) is not stale and deployment.holder(Duty.RETURN) == name
        ),
        seconds=4 * FAILOVER_S,
    )
    new_holder = holders[Duty.RETURN]
    stale.stepped_down = False
    precondition = stale.preconditions()[1]
    assert precondition.version < new_holder.preconditions()[1].version
    before = deployment.store.revision

    with pytest.raises(PreconditionFailed, match="c/duty/return"):
        await stale.history.commit([], [], Event.of(Action.RETURNED))
    assert deployment.store.revision == before


@simulated
async def test_regrant_before_the_answer_to_a_release_is_kept(loop: Loop) -> None:
    """A release must end only the holder that was released.

    If the response to the release is late, the duty may have been granted again by then, and the
    controller already has the next holder.
    """
    deployment = await start_with_duties(loop)
    name = deployment.acting_holder(Duty.RETURN)

    for other in deployment.nodes:  # so that all that it releases is granted to it again
        if other != name:
            deployment.crash(other)
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) == name == deployment.shard_leader(), seconds=15.0
    )
    node = deployment.controllers[name]
    release = node.membership.release

    async def delayed_release(key: str, release_leadership: bool) -> bool:
        done: bool = await release(key, release_leadership)
        await asyncio.sleep(5)
        return done

    node.membership.release = delayed_release
    node.duties.holders[Duty.RETURN].step_down()
    node.shard_leaders[0].lease.stepped_down = True
    await asyncio.sleep(15)

    assert deployment.holder(Duty.RETURN) == name == deployment.shard_leader()


@pytest.mark.parametrize(
    ("wall", "steady"),
    [(3600, 0), (-3600, 0), (0, 3600)],
    ids=["wall forward", "wall back", "steady forward"],
)
@simulated
async def test_no_stale_holder_acts_after_clock_jumps_on_its_host(
    loop: Loop, wall: float, steady: float
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=20.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 6)

    for duty in (Duty.RENT, Duty.RETURN, Duty.RECLAIM):
        holder = deployment.acting_holder(duty)
        loop.wall_clock_offset_s[deployment.host(holder)] = wall
        loop.steady_clock_offset_s[deployment.host(holder)] = steady
        await asyncio.sleep(4)
        await wait_for_all_holders(deployment)
    await finish_and_check(deployment)


@simulated
async def test_store_refuses_holder_whose_steady_clock_stopped_during_suspend(loop: Loop) -> None:
    """By its clock no time has passed, so its own check of the lease permits it to act. Only the
    preconditions in the store stop it."""
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.freeze(holder)
    await deployment.submit(deployment.job(1, Pieces=8, RunS=60.0), deployment.other_node(holder))
    await asyncio.sleep(60)
    loop.steady_clock_offset_s[deployment.host(holder)] = -60.0
    stale = deployment.controllers[holder].duties.holders[Duty.RENT]
    lease_checks: list[bool] = []

    async def check_lease() -> None:
        lease_checks.append(stale.holds_valid_lease)

    on_host(deployment.host(holder), check_lease())
    deployment.thaw(holder)
    await deployment.wait_until(lambda: bool(lease_checks))

    assert lease_checks == [True]
    await finish_and_check(deployment)


@pytest.mark.parametrize("duty", list(Duty))
@simulated
async def test_duty_gets_another_holder_when_leader_and_holder_are_lost_together(
    loop: Loop, duty: Duty
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=10.0))

    holder, leader = deployment.holder(duty), deployment.store.keys["c/leader"][0]["name"]
    assert holder is not None
    for name in {holder, leader}:
        deployment.crash(name)
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )
    await finish_and_check(deployment)


@simulated
async def test_open_intents_are_carried_out_once_after_all_controllers_restart(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    deployment.cloud.error_status = 503
    # Its tasks fit only large machines
    await deployment.submit(deployment.job(2, Pieces=4, RunS=60.0, Cores=8.0))
    await deployment.wait_until(lambda: bool(open_intents(deployment, "hire/")))
    await deployment.wait_until(lambda: bool(open_intents(deployment, "return/")), seconds=120.0)
    requested = set(open_intents(deployment, "hire/"))

    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(5)
    deployment.cloud.error_status = 0
    for name in deployment.nodes:
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: not requested & set(open_intents(deployment, "hire/")), seconds=30.0
    )
    assert {f"hire/{name}" for name in deployment.cloud.scale_outs} >= requested
    await finish_and_check(deployment)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
@simulated
async def test_holder_cut_off_only_from_the_key_value_store_is_replaced(
    loop: Loop, duty: Duty
) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(duty)

    deployment.net.cut(deployment.host(holder), FakeKeyValueStore.HOST)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=5.0), deployment.other_node(holder))
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )
    await asyncio.sleep(20)
    deployment.net.heal(deployment.host(holder), FakeKeyValueStore.HOST)
    await finish_and_check(deployment)


@simulated
async def test_holder_cut_off_only_from_the_cloud_releases_its_duty(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.net.cut(deployment.host(holder), FakeCloud.HOST)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=5.0))
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) not in (None, holder), seconds=40.0
    )
    await deployment.wait_until_done("req-000001", seconds=30.0)
    acquisitions = len(recorded_events(deployment, "taken up"))
    await asyncio.sleep(120)
    # The duty does not move back and forth
    assert len(recorded_events(deployment, "taken up")) <= acquisitions + 3
    deployment.net.heal(deployment.host(holder), FakeCloud.HOST)
    await finish_and_check(deployment)


@simulated
async def test_jobs_and_open_intents_are_completed_across_a_downgrade_and_an_upgrade(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=8, RunS=15.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 8)
    deployment.cloud.error_status = 503
    await deployment.submit(deployment.job(2, Pieces=16, RunS=15.0))
    await deployment.wait_until(lambda: bool(open_intents(deployment, "hire/")))
    old_controller = deployment.acting_shard_leader()

    deployment.crash(old_controller)
    deployment.old_version_nodes = {old_controller}
    deployment.start_controller(old_controller)
    # Only the controller of the old version remains: it leads the shard and rents by itself
    for name in deployment.nodes:
        if name != old_controller:
            deployment.crash(name)
    deployment.cloud.error_status = 0
    await deployment.wait_until(
        lambda: deployment.shard_leader() == old_controller, seconds=4 * FAILOVER_S
    )
    await deployment.wait_until_done("req-000002", seconds=120.0)
    deployment.crash(old_controller)
    deployment.old_version_nodes = set()
    for name in deployment.nodes:
        deployment.start_controller(name)
    await wait_for_all_holders(deployment)
    await deployment.submit(deployment.job(3, Pieces=8, RunS=5.0))
    await finish_and_check(deployment)
