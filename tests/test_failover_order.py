"""Who replaces a lost shard leader: workers look for the next one in the order of their list."""

import asyncio

import pytest

from basaltlead.core.cluster_view import Claim, ClusterView, Grant, Versioned, shard_key
from tests.fakes import World
from tests.simulation import Loop, play


def _cluster(last_owner: str, *names: str) -> ClusterView:
    cluster = ClusterView()
    cluster.grants[shard_key(0)] = Versioned(Grant(last_owner, "gone", 1), 1)
    cluster.members = {name: Versioned(Claim(name, "here"), 2) for name in names}
    return cluster


@pytest.mark.parametrize(
    ("last_owner", "members", "expected"),
    [
        ("n-0", ["n-2", "n-1"], ["n-1", "n-2"]),
        ("n-1", ["n-0", "n-2"], ["n-2", "n-0"]),
        ("n-2", ["n-1", "n-0"], ["n-0", "n-1"]),
        ("n-1", ["n-0", "n-1", "n-2"], ["n-2", "n-0", "n-1"]),  # it is back itself
        ("n-9", ["n-2", "n-10", "n-9"], ["n-10", "n-2", "n-9"]),  # by number
    ],
)
def test_candidates_follow_the_last_owner_in_the_order_of_the_list(
    last_owner: str, members: list[str], expected: list[str]
) -> None:
    assert _cluster(last_owner, *members).failover_order() == expected


def test_an_owner_that_handed_its_block_back_comes_last() -> None:
    cluster = _cluster("n-1", "n-0", "n-1", "n-2")
    cluster.grants[shard_key(0)] = Versioned(Grant("", "", 1, avoid="n-1"), 1)
    assert cluster.failover_order() == ["n-2", "n-0", "n-1"]


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_lease_runs_out_when_an_owner_loses_its_workers_while_another_is_away(
    seed: int,
) -> None:
    """Workers wait 4 s for a silent node and another second before they try the next. With a
    lease of 10 s one silent node before the new shard leader is all that they can bear."""

    async def story(loop: Loop) -> None:
        world = World(loop, seed, lease=10.0, cancel=35.0)
        first = await world.busy(6, 500.0)
        world.isolate(first)  # silent, and away for long
        await world.until(lambda: world.shard_leader() not in (None, first))
        second = world.shard_leader()
        assert second is not None
        await asyncio.sleep(15)
        for machine in world.cloud.machines.values():
            world.net.cut(world.host(second), machine.host)
        await asyncio.sleep(25)
        assert world.shard_leader() not in (None, first, second)
        assert {machine.epoch for machine in world.cloud.machines.values()} == {1}
        assert len(world.on("req-000001")) == 6
        world.verdict()

    play(story, seed)


def test_a_successor_that_is_gone_too_holds_nobody_up() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, lease=10.0, cancel=35.0)
        first = await world.busy(3, 500.0)
        candidates = world.parts[first].membership.cluster.failover_order()
        following, last = [name for name in candidates if name != first]
        world.crash(first)
        world.crash(following)
        await world.until(lambda: world.shard_leader() == last, seconds=6.0)
        world.verdict()

    play(story)
