"""Rolling upgrades and downgrades: both versions side by side, each reading the other's records.

`data/production_records.json` was written by the last version without services. In a checkout of
the commit that deploy/service.toml names, a script submitted jobs of every shape to the deployment
of `tests/fakes`, cancelled one, and stopped the key-value store for 5 s. It saved the first record
of each kind that the key-value store received, and the first message of each kind that a controller
received from another. There are records of members, shards, jobs, results (one of 24,576 tasks),
scale-out requests, machines and teams.
"""

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from basaltlead.cluster import versions
from basaltlead.cluster.peer_link import decoder
from basaltlead.core.cluster_view import (
    ClusterView,
    FencingTokenCounter,
    Grant,
    MemberRecord,
    Versioned,
)
from basaltlead.core.jobs import Shape
from basaltlead.core.market import TeamRecord
from basaltlead.storage.records import FinalState, StoredJob, StoredMachine, StoredScaleOut, job_of
from basaltlead.storage.result_rows import Progress
from tests.fakes import Deployment, FakeWorker, old_schemas
from tests.simulation import Loop, simulated

DATA = json.loads((Path(__file__).parent / "data" / "production_records.json").read_text())
RECORD_TYPES: dict[str, Any] = {
    "c/baton": FencingTokenCounter,
    "c/block": Grant,
    "c/leader": MemberRecord,
    "c/member": MemberRecord,
    "hire": StoredScaleOut,
    "mach": StoredMachine,
    "open": StoredJob,
    "over": FinalState,
    "result": Progress,
    "team": TeamRecord,
}


def _record_type(key: str) -> str:
    parts = key.split("/")
    if parts[0] == "open" and len(parts) == 3:
        return "result"
    return "/".join(parts[:2]) if parts[0] == "c" else parts[0]


# Records and messages


def test_records_of_the_old_version_are_read_with_their_meaning() -> None:
    record_types = set()
    for key, value in DATA["records"]:
        record_type = _record_type(key)
        read = msgspec.json.decode(msgspec.json.encode(value), type=RECORD_TYPES[record_type])
        record_types.add(record_type)
        if isinstance(read, MemberRecord):
            assert read.version == 0
        if isinstance(read, StoredJob):
            assert read.submission.ref == key.removeprefix("open/")
            shapes = {"batch": Shape.ARRAY, "group": Shape.GANG, "service": Shape.SERVICE}
            assert job_of(read.submission).shape is shapes[value["job"]["Shape"]]
        elif not isinstance(read, MemberRecord):
            assert msgspec.to_builtins(read) == value
    assert record_types == set(RECORD_TYPES)


def test_messages_of_the_old_version_are_read_and_written_alike() -> None:
    for message in DATA["messages"]:
        raw = msgspec.json.encode(message)
        assert msgspec.to_builtins(decoder.decode(raw)) == message
        assert msgspec.json.encode(decoder.decode(raw)) == raw


async def _start_on_old_records(loop: Loop) -> Deployment:
    """Start with a key-value store that holds what controllers of the old version left behind."""
    deployment = Deployment(loop)
    for number, (key, value) in enumerate(DATA["records"], 1):
        if not key.startswith(("c/member", "c/leader")):  # those ended with their session leases
            deployment.store.keys[key] = (value, number, None)
            deployment.store.revision = number
        if key.startswith("open/") and key.count("/") == 1:
            deployment.jobs[value["job"]["Ref"]] = value["job"] | {"RunS": 1.0}
    await deployment.start()
    return deployment


@simulated
async def test_jobs_stored_by_the_old_version_continue(loop: Loop) -> None:
    deployment = await _start_on_old_records(loop)
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    assert await deployment.poll("req-000005") == "done"
    assert await deployment.poll("req-000006") == "withdrawn"
    # a service that the old version took for an array
    await deployment.wait_until_served("req-000004")
    await deployment.wait_until_done("req-000002", seconds=60)
    assert await deployment.cancel("req-000004") == "withdrawn"
    shard_leader = deployment.acting_shard_leader()
    large = deployment.controllers[shard_leader].shard_leaders[0].shard.job_states["req-000001"]
    done = sum(v["count"] for k, v in DATA["records"] if k == "open/req-000001/0.0")

    assert large.done_count >= done > 0
    assert not deployment.store.oversized


@simulated
async def test_records_written_beside_an_old_member_are_readable_by_it(loop: Loop) -> None:
    """The records are jobs, results of a large array, scale-out requests, machines and budgets;
    services are refused."""
    deployment = Deployment(loop, announced_limits={"value_kb": 2.0, "txn_ops": 4})
    deployment.old_version_nodes = {"node-1"}
    await deployment.start()
    tiny: dict[str, Any] = {"Cores": 0.01, "MemoryGb": 0.01, "RunS": 0.2}
    await deployment.submit(deployment.job(1, Pieces=13_000, **tiny))
    await deployment.submit(deployment.job(2, Shape="group", Pieces=3, RunS=300.0))
    await deployment.submit(deployment.job(3, Pieces=6, RunS=300.0, GuessS=300.0))

    status, body = await deployment.request("node-0", "POST", "/api/jobs", deployment.service(4))
    assert status == 503, body
    for _ in range(60):
        await asyncio.sleep(0.25)
        for key, (value, _, _) in deployment.store.keys.items():
            old_schemas.read(key, value)

    assert any("/1000." in key for key in deployment.store.keys)  # results of the large array
    assert not deployment.store.oversized


@simulated
async def test_old_version_can_not_read_a_stored_service_as_an_array(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()

    assert await deployment.submit(deployment.service(1)) == 201
    with pytest.raises(msgspec.ValidationError):
        old_schemas.read("open/req-000001", deployment.store.keys["open/req-000001"][0])
    stored = deployment.store.keys["open/req-000001"][0]

    assert msgspec.convert(stored, StoredJob).submission.shape == "service"
    await deployment.wait_until_served("req-000001")
    deployment.assert_no_violation()


# Which versions allow services


def _cluster(**record_versions: int) -> ClusterView:
    cluster = ClusterView()
    for name, version in record_versions.items():
        cluster.members[name] = Versioned(MemberRecord(name, "ab", version), 5)
    return cluster


def test_services_are_allowed_while_no_member_is_of_an_older_version() -> None:
    assert not versions.services_allowed(ClusterView())  # nothing is known yet
    assert not versions.services_allowed(_cluster(a=1, b=0))
    one_absent = _cluster(a=1, b=1)
    # A third controller without a member key can't act
    assert versions.services_allowed(one_absent)
    preconditions = versions.member_preconditions(one_absent, ["b", "c"])

    assert [(precondition.key, precondition.version) for precondition in preconditions] == [
        ("c/member/b", 5),
        ("c/member/c", 0),
    ]


@simulated
async def test_acceptance_of_a_service_fails_when_an_old_member_joins_meanwhile(loop: Loop) -> None:
    """The controller that gets the submission does not know of the old member yet."""
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    deployment.crash("node-2")
    members = deployment.controllers["node-0"].membership.cluster.members
    await deployment.wait_until(lambda: "node-2" not in members, seconds=20)
    await asyncio.sleep(2)
    deployment.store.keys["c/member/node-2"] = (  # no watch reports it
        {"name": "node-2", "life": "ab"},
        deployment.store.revision,
        None,
    )
    status, _ = await deployment.request("node-0", "POST", "/api/jobs", deployment.service(1))
    assert status == 503
    assert "open/req-000001" not in deployment.store.keys
    del deployment.store.keys["c/member/node-2"]

    assert await deployment.submit(deployment.service(1), "node-0") == 201


@simulated
async def test_services_are_accepted_only_after_the_last_controller_is_upgraded(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.old_version_nodes = set(deployment.nodes)
    await deployment.start()
    await deployment.submit(deployment.job(2, Pieces=3, RunS=200.0, GuessS=200.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) == 3)

    for name in deployment.nodes:
        status, _ = await deployment.request(name, "POST", "/api/jobs", deployment.service(1))
        assert status == 503
        await _upgrade(deployment, name)
    assert await deployment.submit(deployment.service(1)) == 201
    deployment.crash("node-0")  # an absent controller makes no difference any more
    assert await deployment.submit(deployment.service(3), "node-1") == 201
    deployment.start_controller("node-0")

    await deployment.wait_until_served("req-000001", "req-000003")
    assert deployment.rule_checker.starts_of("req-000002") == 3
    deployment.assert_no_violation()


async def _upgrade(deployment: Deployment, name: str, downtime_s: float = 2.0) -> None:
    """Crash a controller, and restart it in the new version."""
    if name in deployment.controller_tasks:
        deployment.crash(name)
    await asyncio.sleep(downtime_s)
    deployment.old_version_nodes.discard(name)
    deployment.start_controller(name)
    await asyncio.sleep(4.0)


async def _upgrade_all(deployment: Deployment, downtime_s: float = 2.0) -> None:
    for name in deployment.nodes:
        await _upgrade(deployment, name, downtime_s)


# Failovers from one version to the other


@pytest.mark.parametrize("old", [True, False], ids=["old-to-new", "new-to-old"])
@simulated
async def test_failover_across_versions_keeps_tasks_results_rentals_and_cancellations(
    loop: Loop, old: bool
) -> None:
    deployment = Deployment(loop)
    deployment.old_version_nodes = set(deployment.nodes) if old else set()
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=4, RunS=40.0, GuessS=40.0))
    await deployment.submit(deployment.job(2, Pieces=40, RunS=4.0))
    await deployment.submit(deployment.job(3, Pieces=2, RunS=400.0, GuessS=400.0))
    await deployment.wait_until(lambda: len(deployment.rule_checker.results) > 10)
    shard_leader = deployment.acting_shard_leader()
    # A scale-out request is in flight, and its response is lost.
    deployment.cloud.unanswered_rentals = 1
    await deployment.submit(deployment.job(4, Pieces=30, RunS=10.0))

    await asyncio.sleep(0.8)
    others = deployment.other_nodes(shard_leader)
    for name in others:  # the next shard leader is of the other version
        deployment.crash(name)
        if old:
            deployment.old_version_nodes.discard(name)
        else:
            deployment.old_version_nodes.add(name)
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: all(
            n in deployment.controllers and deployment.controllers[n].membership.holds_valid_lease
            for n in others
        )
    )
    assert await deployment.cancel("req-000003", shard_leader) == "withdrawn"
    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() in others)

    await deployment.wait_until_done("req-000001", "req-000002", "req-000004")
    assert deployment.rule_checker.starts_of("req-000001") == 4  # no task of it was restarted
    assert deployment.running_tasks("req-000003") == []
    deployment.assert_no_violation()


@simulated
async def test_old_controller_that_takes_over_is_obeyed_by_all_machines(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=4, RunS=90.0, GuessS=90.0))
    for number in range(10, 14):
        await deployment.submit(deployment.job(number, Pieces=40, RunS=1.0))
        await deployment.wait_until_done(f"req-{number:06d}")
    shard_leader = deployment.acting_shard_leader()
    lease = deployment.controllers[shard_leader].shard_leaders[0].lease
    busy = {deployment.rule_checker.running_on[f"req-000001/{index}"] for index in range(4)}
    # More often than the next leader would be above them if nothing had been reserved
    assert all(machine.fencing_token > lease.fencing_token + 2 for machine in busy)

    for name in deployment.other_nodes(shard_leader):
        deployment.crash(name)
        deployment.old_version_nodes.add(name)
        deployment.start_controller(name)
    await asyncio.sleep(3.0)
    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, shard_leader))
    await deployment.submit(deployment.job(3, Pieces=8, RunS=1.0))
    await deployment.wait_until_done("req-000001", "req-000003")

    old_leader = deployment.acting_shard_leader()
    assert old_leader in deployment.old_version_nodes
    token = deployment.controllers[old_leader].shard_leaders[0].lease.fencing_token
    machines = deployment.cloud.machines.values()
    assert {machine.fencing_token for machine in machines} == {token}
    assert deployment.rule_checker.starts_of("req-000001") == 4
    deployment.assert_no_violation()


@simulated
async def test_shard_leader_whose_grant_is_of_an_old_leader_reserves_tokens(loop: Loop) -> None:
    deployment = Deployment(loop, operator={"blocks": 3})
    deployment.old_version_nodes = {"node-0"}
    deployment.start_controller("node-0")
    await deployment.store.start()
    await deployment.cloud.start()
    await deployment.wait_until(lambda: deployment.shard_leader(0) == "node-0")
    for name in ("node-1", "node-2"):
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: any(deployment.shard_leader(shard) not in (None, "node-0") for shard in range(3))
    )
    granted = [
        leader
        for name in ("node-1", "node-2")
        for leader in deployment.controllers[name].shard_leaders.values()
    ]
    assert all(len(leader.lease.grant.tokens) == 1 for leader in granted)

    await deployment.wait_until(lambda: all(leader.shard.tokens.unused for leader in granted))

    tokens = [leader.shard.tokens for leader in granted]
    last = deployment.store.keys["c/baton"][0]["last"]
    assert [own.contains(last) for own in tokens].count(True) == 1
    await deployment.submit(deployment.job(1, Pieces=30, RunS=1.0))
    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_chunked_results_are_kept_while_an_old_controller_leads_the_shard(loop: Loop) -> None:
    deployment = Deployment(loop, announced_limits={"value_kb": 0.5, "txn_ops": 4})
    deployment.old_version_nodes = {"node-1"}
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    if deployment.shard_leader() == "node-1":
        deployment.crash("node-1")
        await deployment.wait_until(lambda: deployment.shard_leader() not in (None, "node-1"))
        deployment.start_controller("node-1")
    tiny: dict[str, Any] = {"Cores": 0.05, "MemoryGb": 0.01, "RunS": 1.0}
    await deployment.submit(deployment.job(1, Pieces=3000, **tiny))
    await deployment.wait_until(lambda: any("/1000." in key for key in deployment.store.keys))
    await asyncio.sleep(4)
    for name in ("node-0", "node-2"):
        deployment.crash(name)
    await deployment.wait_until(lambda: deployment.shard_leader() == "node-1")
    await asyncio.sleep(5)
    deployment.start_controller("node-0")
    deployment.start_controller("node-2")
    deployment.crash("node-1")
    await deployment.wait_until(lambda: deployment.shard_leader() in ("node-0", "node-2"))
    deployment.apply_announced_limits()
    await deployment.wait_until_done("req-000001", seconds=200)
    deployment.start_controller("node-1")
    await asyncio.sleep(5)

    assert not [key for key in deployment.store.keys if key.startswith("open/req-000001")]
    deployment.assert_no_violation()


# An old controller that joins again after the upgrade


@simulated
async def test_rejoined_old_controller_can_not_keep_a_shard_with_services(loop: Loop) -> None:
    """It can't read them and releases the shard, which is then granted to a new controller."""
    deployment = Deployment(loop)
    await deployment.start()

    assert await deployment.submit(deployment.service(1)) == 201
    await deployment.wait_until_served("req-000001")
    shard_leader = deployment.acting_shard_leader()
    returned, other = (name for name in deployment.nodes if name != shard_leader)
    deployment.crash(returned)
    deployment.old_version_nodes.add(returned)
    deployment.start_controller(returned)
    deployment.crash(other)
    await asyncio.sleep(3)
    # Only the old controller is left: it is granted the shard, and can't load it.
    deployment.crash(shard_leader)
    await asyncio.sleep(2)
    deployment.start_controller(other)
    await deployment.wait_until(lambda: deployment.shard_leader() == other, seconds=20)
    deployment.start_controller(shard_leader)
    await deployment.wait_until_served("req-000001", seconds=FakeWorker.LEASE_S + 20)
    for name in deployment.nodes:
        assert await deployment.poll("req-000001", name) == "running"
    assert await deployment.cancel("req-000001", returned) == "withdrawn"
    await asyncio.sleep(Deployment.CANCEL_S)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


# Rolling upgrades during faults


async def _outage(deployment: Deployment) -> None:
    deployment.store.down = True
    await asyncio.sleep(6.0)
    deployment.store.end_outage()


async def _leader_refused(deployment: Deployment) -> None:
    shard_leader = deployment.shard_leader()
    if shard_leader is not None:
        deployment.store.refused_hosts.add(deployment.host(shard_leader))
        await asyncio.sleep(8.0)
        deployment.store.refused_hosts.discard(deployment.host(shard_leader))


async def _late_writes(deployment: Deployment) -> None:
    deployment.store.late_write_share = 0.3
    await asyncio.sleep(15.0)
    deployment.store.late_write_share = 0.0


async def _crashes(deployment: Deployment) -> None:
    """Controllers that crash before their turn restart in the version that they had."""
    for _ in range(3):
        name = deployment.rng.choice(deployment.nodes)
        if name in deployment.controller_tasks:
            deployment.crash(name)
            await asyncio.sleep(0.3)
            if name not in deployment.controller_tasks:
                deployment.start_controller(name)
        await asyncio.sleep(3.0)


@pytest.mark.parametrize(
    "fault",
    [_outage, _leader_refused, _late_writes, _crashes],
    ids=lambda fault: fault.__name__[1:],
)
@pytest.mark.parametrize("seed", range(3))
@simulated
async def test_rules_hold_for_a_rolling_upgrade_during_a_fault(
    loop: Loop, fault: Any, seed: int
) -> None:
    deployment = Deployment(loop, seed, announced_limits={"value_kb": 2.0, "txn_ops": 4})

    rng = random.Random(seed)
    deployment.old_version_nodes = set(deployment.nodes)
    await deployment.start()
    for number in range(1, 7):
        shape = "group" if number % 3 == 0 else "batch"
        await deployment.submit(
            deployment.job(number, Shape=shape, Pieces=3, RunS=rng.choice([2.0, 15.0]))
        )
    await asyncio.sleep(rng.uniform(4, 8))
    upgrade = loop.create_task(_upgrade_all(deployment, rng.choice([0.3, 2.0])))
    await asyncio.sleep(rng.uniform(0, 6))
    fault_task = loop.create_task(fault(deployment))
    await deployment.cancel("req-000002")
    while not (upgrade.done() and fault_task.done()):
        deployment.rule_checker.check()
        await asyncio.sleep(0.2)
    await upgrade
    await fault_task
    deployment.end_all_faults()
    deployment.apply_announced_limits()
    await deployment.submit(deployment.service(9, Apart=True, Pieces=4))
    await deployment.wait_until_served("req-000009")
    await deployment.wait_until_done(*[f"req-{n:06d}" for n in (1, 3, 4, 5, 6)])
    await deployment.cancel("req-000009")
    await asyncio.sleep(5)

    assert deployment.running_tasks("req-000009") == []
    deployment.assert_no_violation()
