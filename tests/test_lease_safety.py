"""Rights, promises and takeovers."""

import asyncio

import pytest

from basaltlead.core.cancellations import Cancellations
from basaltlead.core.cluster_view import Claim, Grant, Versioned, session_validity_end, shard_key
from basaltlead.wire.peers import DeferralRequest
from tests.fakes import World
from tests.simulation import Loop, play


def test_a_right_ends_before_its_hold_does_on_any_clock() -> None:
    assert session_validity_end(1_000_000, 5_000_000) < 1_000_000 + 5_000_000 * 0.999


def test_an_outage_longer_than_a_right_is_ridden_through_on_promises() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 30.0)
        starts = world.rule_checker.starts
        right = world.parts[shard_leader].membership.ttl_us / 1e6
        world.store.down = True
        for _ in range(int((right + 5) * 10)):
            await asyncio.sleep(0.1)
            assert world.shard_leader() == shard_leader
        for name in world.nodes:  # as healthy as any: nobody could do better
            assert (await world.ask(name, "GET", "/healthz"))[0] == 200
        world.store.outage_over()
        await world.until_done("req-000001")
        assert world.rule_checker.starts == starts
        world.verdict()

    play(story)


@pytest.mark.parametrize("what", ["restarted", "stands still", "cut off", "slow"])
def test_an_owner_stops_when_a_cancellation_could_no_longer_be_kept(what: str) -> None:
    """One of the others can't give its word that it confirmed no more than it says."""

    async def story(loop: Loop) -> None:
        # With a longer right, promises outlast a slow link.
        world = World(loop, operator={"right_s": 6.0} if what == "slow" else None)
        shard_leader = await world.busy(2, 300.0)
        other = next(name for name in world.nodes if name != shard_leader)
        world.store.down = True
        ride = world.parts[shard_leader].settings.staleness_us / 1e6
        if what == "restarted":
            world.crash(other)
            await asyncio.sleep(0.3)
            world.boot(other)
            await asyncio.sleep(ride - 1.5)
            assert world.shard_leader() == shard_leader  # it may promise all the same
        else:
            if what == "stands still":
                world.freeze(other)
            elif what == "slow":  # its word is older than it seems
                world.net.slow[world.host(other)] = 2.5
            else:
                world.net.cut(world.host(shard_leader), world.host(other))
            await asyncio.sleep(ride - 1.5)
        await asyncio.sleep(2.5)
        assert world.shard_leader() is None
        world.thaw(other)

    play(story)


def test_the_word_of_all_others_carries_an_owner_over_a_long_outage() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 60.0)
        starts = world.rule_checker.starts
        world.store.down = True
        for _ in range(int(world.cancel_s * 2 * 10)):
            await asyncio.sleep(0.1)
            assert world.shard_leader() == shard_leader
        world.store.outage_over()
        await world.until_done("req-000001")
        assert world.rule_checker.starts == starts
        world.verdict()

    play(story)


def test_a_word_reaches_back_only_as_far_as_nothing_was_forgotten() -> None:
    known = Cancellations(100, most=2)
    assert known.since(99) is None  # an earlier incarnation may have confirmed some
    assert known.since(100) == []
    assert known.add("a", 200) and not known.add("a", 300)
    assert known.add("b", 210)
    assert known.since(150) == ["b", "a"] and known.since(205) == ["b"]
    assert known.add("c", 220)
    assert known.since(200) is None and known.since(201) == ["c", "b"]
    assert "b" in known and "a" not in known


def test_whoever_sees_the_state_service_promises_nothing() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        member = world.parts["node-0"].membership
        incarnation = member.cluster.members["node-1"].value.incarnation
        assert member.deferrals.defer_failover("node-1", incarnation, 1_000_000) == 0
        world.store.down = True
        await asyncio.sleep(member.ttl_us / 1e6)
        assert member.deferrals.defer_failover("node-1", "an earlier incarnation", 1_000_000) == 0
        span = member.deferrals.defer_failover("node-1", incarnation, 10**12)
        assert 0 < span <= member.ttl_us
        assert DeferralRequest(1, "node-1", "incarnation", 5).span_us == 5

    play(story)


def test_a_promise_is_kept_and_one_that_may_be_forgotten_is_waited_out() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        member = world.parts["node-0"].membership
        gone = Grant("node-x", "incarnation", 1)
        assert not member.deferrals.may_replace(
            gone
        )  # just started: may have promised in an earlier incarnation
        await asyncio.sleep(member.ttl_us * 1.02 / 1e6)
        assert member.deferrals.may_replace(gone)
        world.store.down = True
        await asyncio.sleep(member.ttl_us / 2e6)
        member.cluster.members["node-x"] = Versioned(Claim("node-x", "incarnation"), 1)
        assert member.deferrals.defer_failover("node-x", "incarnation", member.ttl_us) > 0
        del member.cluster.members["node-x"]  # its hold has ended
        assert not member.deferrals.may_replace(gone)
        assert member.deferrals.may_replace(
            Grant("node-1", "an earlier incarnation", 1)
        )  # replaced by itself

    play(story)


def test_a_claim_from_an_old_picture_fails() -> None:
    """The grant is guarded on the key that proves the old shard leader's right ended."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        await asyncio.sleep(8)
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        other = next(name for name in world.nodes if name != shard_leader)
        member = world.parts[other].membership
        # It believes, wrongly, that the shard leader is gone and that it leads itself.
        leader = world.store.keys["c/leader"]
        world.store.keys["c/leader"] = (leader[0], leader[1], None)
        del member.cluster.members[shard_leader]
        before = world.store.keys["c/block/0"]
        try:
            await world.parts[other].election._grant(shard_key(0))
        except Exception as fault:
            assert f"c/member/{shard_leader}" in str(fault)
        assert world.store.keys["c/block/0"] == before
        assert world.shard_leader() == shard_leader

    play(story)


def test_a_restarted_owner_replaces_itself_at_once() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(4, 20.0)
        world.crash(shard_leader)
        await asyncio.sleep(0.3)
        world.boot(shard_leader)
        await world.until(lambda: world.shard_leader() is not None, seconds=1.5)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_promises_do_not_bring_back_a_right_that_has_ended() -> None:
    """A shard leader cut off alone was replaced; an outage for all came next, and the promises it
    then got made it act again beside its successor."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        first = await world.busy(4, 60.0)
        world.net.cut(world.host(first), world.store.HOST)
        await world.until(lambda: world.shard_leader() not in (None, first), seconds=15)
        world.store.down = True
        for _ in range(80):
            await asyncio.sleep(0.1)
            assert world.shard_leader() != first  # and never two
        world.store.outage_over()
        world.net.heal(world.host(first), world.store.HOST)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_a_controller_that_alone_lost_the_state_service_calls_itself_unhealthy() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        await asyncio.sleep(2)
        world.net.cut(world.host("node-2"), world.store.HOST)
        await asyncio.sleep(world.parts["node-2"].membership.ttl_us / 1e6 + 0.1)
        assert (await world.ask("node-2", "GET", "/healthz"))[0] == 503
        assert (await world.ask("node-0", "GET", "/healthz"))[0] == 200

    play(story)


def test_controllers_that_start_during_an_outage_are_as_healthy_as_any() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        world.store.down = True
        for name in world.nodes:
            world.crash(name)
        await asyncio.sleep(1)
        for name in world.nodes:
            world.boot(name)
        await asyncio.sleep(3)
        for name in world.nodes:
            assert (await world.ask(name, "GET", "/healthz"))[0] == 200
            assert (await world.ask(name, "GET", "/api/jobs/req-000001"))[0] == 503
        world.store.outage_over()
        await world.until(lambda: world.shard_leader() is not None)
        assert await world.submit(world.job(1)) == 201
        await world.until_done("req-000001")
        world.verdict()

    play(story)
