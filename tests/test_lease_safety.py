"""Session leases, failover deferrals and failovers."""

import asyncio

import pytest

from basaltlead.core.cancellations import Cancellations
from basaltlead.core.cluster_view import (
    Grant,
    MemberRecord,
    Versioned,
    session_validity_end,
    shard_key,
)
from basaltlead.errors import PreconditionFailed
from basaltlead.storage.client import RowList
from basaltlead.wire.peers import DeferralRequest
from tests.fakes import Deployment, FakeCloud
from tests.simulation import Loop, simulated


def test_session_validity_ends_before_the_session_lease_on_any_clock() -> None:
    assert session_validity_end(1_000_000, 5_000_000) < 1_000_000 + 5_000_000 * 0.999


@simulated
async def test_failover_deferrals_bridge_an_outage_longer_than_a_session_lease(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 30.0)
    starts = deployment.rule_checker.starts
    lease_s = deployment.controllers[shard_leader].membership.ttl_us / 1e6

    deployment.store.down = True
    for _ in range(int((lease_s + 5) * 10)):
        await asyncio.sleep(0.1)
        assert deployment.shard_leader() == shard_leader
    for name in deployment.nodes:  # healthy, since no controller reaches the store
        assert (await deployment.request(name, "GET", "/healthz"))[0] == 200
    deployment.store.end_outage()

    await deployment.wait_until_done("req-000001")
    assert deployment.rule_checker.starts == starts
    deployment.assert_no_violation()


@pytest.mark.parametrize("fault", ["restarted", "stands still", "cut off", "slow"])
@simulated
async def test_shard_leader_stops_when_cancellations_can_not_be_confirmed_any_more(
    loop: Loop, fault: str
) -> None:
    """During a store outage a shard leader may act only while each other controller lists the
    cancellations that this controller has confirmed. Here one controller can't: it was restarted,
    is frozen, is cut off from the shard leader, or answers too late."""
    # With the default session lease of 1.8 s, deferrals would end before they arrive over the slow
    # link.
    deployment = Deployment(loop, operator={"right_s": 6.0} if fault == "slow" else None)
    shard_leader = await deployment.start_with_running_job(2, 300.0)
    other = deployment.other_node(shard_leader)

    deployment.store.down = True
    staleness_s = deployment.controllers[shard_leader].settings.staleness_us / 1e6
    if fault == "restarted":
        await deployment.restart(other, 0.3)
        await asyncio.sleep(staleness_s - 1.5)
        # the restarted controller still defers failovers
        assert deployment.shard_leader() == shard_leader
    else:
        if fault == "stands still":
            deployment.freeze(other)
        elif fault == "slow":  # its answers arrive too late to count as confirmations
            deployment.net.slow[deployment.host(other)] = 2.5
        else:
            deployment.net.cut(deployment.host(shard_leader), deployment.host(other))
        await asyncio.sleep(staleness_s - 1.5)
    await asyncio.sleep(2.5)
    assert deployment.shard_leader() is None
    deployment.thaw(other)


@simulated
async def test_shard_leader_acts_throughout_a_long_outage_while_all_controllers_answer(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 60.0)
    starts = deployment.rule_checker.starts

    deployment.store.down = True
    for _ in range(int(deployment.cancel_s * 2 * 10)):
        await asyncio.sleep(0.1)
        assert deployment.shard_leader() == shard_leader
    deployment.store.end_outage()

    await deployment.wait_until_done("req-000001")
    assert deployment.rule_checker.starts == starts
    deployment.assert_no_violation()


def test_list_of_cancellations_is_refused_for_times_before_it_is_complete() -> None:
    known = Cancellations(100, max_known=2)

    assert known.since(99) is None  # an earlier incarnation may have confirmed some
    assert known.since(100) == []
    assert known.add("a", 200)
    assert not known.add("a", 300)
    assert known.add("b", 210)
    assert known.since(150) == ["b", "a"]
    assert known.since(205) == ["b"]
    assert known.add("c", 220)
    assert known.since(200) is None
    assert known.since(201) == ["c", "b"]
    assert "b" in known
    assert "a" not in known


@simulated
async def test_controller_that_reaches_the_store_grants_no_deferral(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)
    member = deployment.controllers["node-0"].membership

    incarnation = member.cluster.members["node-1"].value.incarnation
    assert member.deferrals.defer_failover("node-1", incarnation, 1_000_000) == 0
    deployment.store.down = True
    await asyncio.sleep(member.ttl_us / 1e6)
    assert member.deferrals.defer_failover("node-1", "an earlier incarnation", 1_000_000) == 0
    span = member.deferrals.defer_failover("node-1", incarnation, 10**12)

    assert 0 < span <= member.ttl_us
    assert DeferralRequest(1, "node-1", "incarnation", 5).span_us == 5


@simulated
async def test_no_holder_is_replaced_before_its_deferrals_have_ended(loop: Loop) -> None:
    """Those include deferrals that the controller may have granted in an earlier run, which it does
    not know."""
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)
    member = deployment.controllers["node-0"].membership

    grant = Grant("node-x", "incarnation", 1)
    # node-0 has just started, and may have granted a deferral in an earlier run.
    assert not member.deferrals.may_replace(grant)
    await asyncio.sleep(member.ttl_us * 1.02 / 1e6)
    assert member.deferrals.may_replace(grant)
    deployment.store.down = True
    await asyncio.sleep(member.ttl_us / 2e6)
    member.cluster.members["node-x"] = Versioned(MemberRecord("node-x", "incarnation"), 1)
    assert member.deferrals.defer_failover("node-x", "incarnation", member.ttl_us) > 0
    del member.cluster.members["node-x"]  # its session lease has ended

    assert not member.deferrals.may_replace(grant)
    # The holder was replaced by its own next incarnation.
    assert member.deferrals.may_replace(Grant("node-1", "an earlier incarnation", 1))


@simulated
async def test_grant_based_on_an_outdated_view_fails(loop: Loop) -> None:
    """A precondition of the grant proves that the old shard leader's session lease has ended."""
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    await asyncio.sleep(8)
    shard_leader = deployment.acting_shard_leader()
    other = deployment.other_node(shard_leader)
    member = deployment.controllers[other].membership
    # `other` acts on a wrong view: it is the leader, and the shard leader's member key is gone.
    leader = deployment.store.keys["c/leader"]
    deployment.store.keys["c/leader"] = (leader[0], leader[1], None)
    del member.cluster.members[shard_leader]
    before = deployment.store.keys["c/block/0"]

    with pytest.raises(PreconditionFailed, match=f"c/member/{shard_leader}"):
        await deployment.controllers[other].election._grant(shard_key(0))
    assert deployment.store.keys["c/block/0"] == before
    assert deployment.shard_leader() == shard_leader


@simulated
async def test_shard_is_granted_at_once_when_its_leader_has_restarted(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(4, 20.0)

    await deployment.restart(shard_leader, 0.3)
    await deployment.wait_until(lambda: deployment.shard_leader() is not None, seconds=1.5)

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_deferrals_do_not_extend_an_expired_session_lease(loop: Loop) -> None:
    """Only the shard leader loses the key-value store, and it is replaced. Then the store is down
    for all. Deferrals granted to the old shard leader must not let it act beside its successor."""
    deployment = Deployment(loop)
    first = await deployment.start_with_running_job(4, 60.0)

    deployment.net.cut(deployment.host(first), deployment.store.HOST)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, first), seconds=15)
    deployment.store.down = True
    for _ in range(80):
        await asyncio.sleep(0.1)
        assert deployment.shard_leader() != first  # fails also if two act
    deployment.store.end_outage()
    deployment.net.heal(deployment.host(first), deployment.store.HOST)

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_controller_is_unhealthy_if_only_it_has_lost_the_store(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    await asyncio.sleep(2)
    deployment.net.cut(deployment.host("node-2"), deployment.store.HOST)
    await asyncio.sleep(deployment.controllers["node-2"].membership.ttl_us / 1e6 + 0.1)

    assert (await deployment.request("node-2", "GET", "/healthz"))[0] == 503
    assert (await deployment.request("node-0", "GET", "/healthz"))[0] == 200


@simulated
async def test_controllers_that_start_during_a_store_outage_are_healthy(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    deployment.store.down = True
    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(1)
    for name in deployment.nodes:
        deployment.start_controller(name)
    await asyncio.sleep(3)
    for name in deployment.nodes:
        assert (await deployment.request(name, "GET", "/healthz"))[0] == 200
        assert (await deployment.request(name, "GET", "/api/jobs/req-000001"))[0] == 503
    deployment.store.end_outage()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    assert await deployment.submit(deployment.job(1)) == 201
    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_listing_older_than_our_own_grant_does_not_replace_its_shard_leader(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against ran_twice: two shard leaders under one grant, one after the other; the second
    # started what ran on machines that it had not heard, as nobody before its grant can have.
    quick = tuple(machine_type | {"ReadyS": 0.3} for machine_type in FakeCloud.TYPES)
    monkeypatch.setattr(FakeCloud, "TYPES", quick)
    deployment = Deployment(loop, nodes=1, lease=30.0, cancel=90.0)
    deployment.caches_images = True
    deployment.store.list_delay_s["c/"] = 2.3
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)
    leader = deployment.controllers["node-0"].shard_leaders[0]
    for number in range(1, 15):
        run_s = 60.0 if number % 2 else 6.0
        await deployment.submit(deployment.job(number, Pieces=3, Cores=0.5, RunS=run_s))
    await asyncio.sleep(1.5)
    assert deployment.rule_checker.starts > 30

    for machine in list(deployment.cloud.machines.values())[1::2]:
        machine.sends_no_heartbeats = machine.unreachable = True
    for _ in range(200):
        deployment.rule_checker.check()
        await asyncio.sleep(0.1)

    deployment.assert_no_violation()
    assert deployment.controllers["node-0"].shard_leaders[0] is leader


@simulated
async def test_listing_without_our_member_key_ends_the_session(loop: Loop) -> None:
    # Guards against a member that takes itself for alive although a newer listing denies it.
    deployment = Deployment(loop, nodes=1)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)
    membership = deployment.controllers["node-0"].membership
    incarnation = membership.incarnation

    rows = await membership.store.rows("c/")
    others = [row for row in rows.rows if row.key != "c/member/node-0"]
    membership.watch._load(RowList(others, rows.revision))
    membership.watch._after_read(0, True)
    assert not membership.holds_valid_lease

    await deployment.wait_until(lambda: membership.holds_valid_lease)
    assert membership.incarnation != incarnation
