"""Who replaces a lost owner: workers look for the next one in the order of their list."""

import asyncio

import pytest

from basaltlead.core.cluster_view import Claim, Cluster, Grant, block_key
from tests.fakes import World
from tests.simulation import Loop, play


def _cluster(last_owner: str, *names: str) -> Cluster:
    cluster = Cluster()
    cluster.grants[block_key(0)] = (Grant(last_owner, "gone", 1), 1)
    cluster.members = {name: (Claim(name, "here"), 2) for name in names}
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
    assert _cluster(last_owner, *members).succession() == expected


def test_an_owner_that_handed_its_block_back_comes_last() -> None:
    cluster = _cluster("n-1", "n-0", "n-1", "n-2")
    cluster.grants[block_key(0)] = (Grant("", "", 1, avoid="n-1"), 1)
    assert cluster.succession() == ["n-2", "n-0", "n-1"]


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_lease_runs_out_when_an_owner_loses_its_workers_while_another_is_away(
    seed: int,
) -> None:
    """Workers wait 4 s for a silent node and another second before they try the next. With a
    lease of 10 s one silent node before the new owner is all that they can bear."""

    async def story(loop: Loop) -> None:
        world = World(loop, seed, lease=10.0, cancel=35.0)
        first = await world.busy(6, 500.0)
        world.isolate(first)  # silent, and away for long
        await world.until(lambda: world.owner() not in (None, first))
        second = world.owner()
        assert second is not None
        await asyncio.sleep(15)
        for machine in world.cloud.machines.values():
            world.net.cut(world.host(second), machine.host)
        await asyncio.sleep(25)
        assert world.owner() not in (None, first, second)
        assert {machine.session for machine in world.cloud.machines.values()} == {1}
        assert len(world.on("req-000001")) == 6
        world.verdict()

    play(story, seed)


def test_a_successor_that_is_gone_too_holds_nobody_up() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, lease=10.0, cancel=35.0)
        first = await world.busy(3, 500.0)
        candidates = world.parts[first].member.cluster.succession()
        following, last = [name for name in candidates if name != first]
        world.crash(first)
        world.crash(following)
        await world.until(lambda: world.owner() == last, seconds=6.0)
        world.verdict()

    play(story)
