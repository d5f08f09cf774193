"""Failover order: who replaces a lost shard leader. Workers try controllers in that order."""

import asyncio

import pytest

from basaltlead.core.cluster_view import ClusterView, Grant, MemberRecord, Versioned, shard_key
from tests.fakes import Deployment
from tests.simulation import Loop, simulated


def _cluster(last_owner: str, *names: str) -> ClusterView:
    cluster = ClusterView()
    cluster.grants[shard_key(0)] = Versioned(Grant(last_owner, "gone", 1), 1)
    cluster.members = {name: Versioned(MemberRecord(name, "here"), 2) for name in names}
    return cluster


@pytest.mark.parametrize(
    ("last_owner", "members", "expected"),
    [
        ("n-0", ["n-2", "n-1"], ["n-1", "n-2"]),
        ("n-1", ["n-0", "n-2"], ["n-2", "n-0"]),
        ("n-2", ["n-1", "n-0"], ["n-0", "n-1"]),
        ("n-1", ["n-0", "n-1", "n-2"], ["n-2", "n-0", "n-1"]),
        ("n-9", ["n-2", "n-10", "n-9"], ["n-10", "n-2", "n-9"]),
    ],
    ids=["first", "middle", "last", "lost leader is back", "by number, not by text"],
)
def test_failover_order_starts_after_the_last_shard_leader(
    last_owner: str, members: list[str], expected: list[str]
) -> None:
    assert _cluster(last_owner, *members).failover_order() == expected


def test_shard_leader_that_released_its_shard_comes_last() -> None:
    cluster = _cluster("n-1", "n-0", "n-1", "n-2")
    cluster.grants[shard_key(0)] = Versioned(Grant("", "", 1, avoid="n-1"), 1)
    assert cluster.failover_order() == ["n-2", "n-0", "n-1"]


@pytest.mark.parametrize("seed", range(1, 7))
@simulated
async def test_no_worker_lease_expires_when_two_shard_leaders_are_lost_in_a_row(
    loop: Loop, seed: int
) -> None:
    """Workers wait 4 s for a silent controller and another second before they try the next. With a
    lease of 10 s they can try one silent controller before the new shard leader, but not two."""
    deployment = Deployment(loop, seed, lease=10.0, cancel=35.0)
    first = await deployment.start_with_running_job(6, 500.0)

    deployment.isolate(first)  # until the end of the test
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, first))
    second = deployment.acting_shard_leader()
    await asyncio.sleep(15)
    for machine in deployment.cloud.machines.values():
        deployment.net.cut(deployment.host(second), machine.host)
    await asyncio.sleep(25)

    assert deployment.shard_leader() not in (None, first, second)
    assert {machine.epoch for machine in deployment.cloud.machines.values()} == {1}
    assert len(deployment.running_tasks("req-000001")) == 6
    deployment.assert_no_violation()


@simulated
async def test_lost_successor_does_not_delay_the_failover(loop: Loop) -> None:
    deployment = Deployment(loop, lease=10.0, cancel=35.0)
    first = await deployment.start_with_running_job(3, 500.0)
    failover_order = deployment.controllers[first].membership.cluster.failover_order()

    successor, last = [name for name in failover_order if name != first]
    deployment.crash(first)
    deployment.crash(successor)
    await deployment.wait_until(lambda: deployment.shard_leader() == last, seconds=6.0)

    deployment.assert_no_violation()
