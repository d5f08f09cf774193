"""Partial faults: one-way links, late copies of messages, quick restarts."""

import asyncio

from tests.builders import job_refs
from tests.fakes import Deployment, FakeCloud, FakeKeyValueStore, FakeWorker
from tests.simulation import Loop, simulated


def _worker_running(deployment: Deployment, task: str) -> FakeWorker:
    return deployment.rule_checker.running_on[task]


@simulated
async def test_unreachable_machine_loses_its_tasks_and_is_returned(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start_with_running_job(2, 60.0)
    unreachable = _worker_running(deployment, "req-000001/0")

    unreachable.unreachable = True
    since = loop.time()
    await deployment.wait_until(
        lambda: deployment.rule_checker.running_on.get("req-000001/0") not in (None, unreachable),
        seconds=40,
    )
    assert loop.time() - since < 4 * FakeWorker.LEASE_S
    await deployment.submit(deployment.job(2, Pieces=4, RunS=20.0))
    await deployment.wait_until(
        lambda: unreachable.name not in deployment.cloud.machines, seconds=60
    )

    assert not any(worker is unreachable for worker in deployment.rule_checker.running_on.values())
    await deployment.wait_until_done("req-000001", "req-000002", seconds=200)
    deployment.assert_no_violation()


@simulated
async def test_unreachable_machine_does_not_block_jobs_after_a_failover(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(2, 60.0)
    unreachable = _worker_running(deployment, "req-000001/0")

    unreachable.unreachable = True
    deployment.crash(shard_leader)
    since = loop.time()
    await deployment.submit(deployment.job(2, Pieces=2, RunS=5.0))
    await deployment.wait_until_done("req-000002", seconds=60)
    await deployment.wait_until(
        lambda: deployment.rule_checker.running_on.get("req-000001/0") not in (None, unreachable),
        seconds=60,
    )
    assert loop.time() - since < 6 * FakeWorker.LEASE_S
    deployment.start_controller(shard_leader)

    await deployment.wait_until_done("req-000001", seconds=200)
    deployment.assert_no_violation()


@simulated
async def test_cancellation_takes_effect_on_an_unreachable_machine(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start_with_running_job(4, 500.0)

    for machine in deployment.cloud.machines.values():
        machine.unreachable = True
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(Deployment.CANCEL_S + 0.1)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


@simulated
async def test_shard_leader_that_reaches_only_its_workers_steps_down_in_time(loop: Loop) -> None:
    """It reaches neither the key-value store nor its peers. Its successor must act before the
    leases of its workers expire."""
    deployment = Deployment(loop)
    first = await deployment.start_with_running_job(6, 40.0)
    starts = deployment.rule_checker.starts

    deployment.cut_from_store_and_peers(first)
    await deployment.wait_until(
        lambda: deployment.shard_leader() not in (None, first), seconds=FakeWorker.LEASE_S
    )
    status, _ = await deployment.request(first, "GET", "/healthz")
    assert status == 503  # the load balancer sends users elsewhere
    asked_at = loop.time()
    status, _ = await deployment.request(first, "POST", "/api/jobs", deployment.job(2))
    assert status == 503
    assert loop.time() - asked_at < 0.1
    await deployment.wait_until_done("req-000001")
    assert deployment.rule_checker.starts == starts  # no task was restarted
    deployment.rejoin_store_and_peers(first)
    await asyncio.sleep(5)

    deployment.assert_no_violation()


@simulated
async def test_late_heartbeat_copies_do_not_restore_a_returned_machine(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(2, 30.0)
    dead = _worker_running(deployment, "req-000001/0")

    late_heartbeat = dead.heartbeat()
    dead.stop()
    del deployment.cloud.machines[dead.name]
    key = f"mach/{dead.name}"
    await deployment.wait_until(lambda: key not in deployment.store.keys, seconds=60)
    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, shard_leader))
    second = deployment.acting_shard_leader()
    await deployment.wait_until(lambda: deployment.controllers[second].shard_leaders[0].loaded)
    for _ in range(20):
        late_heartbeat["Tick"] += 1
        await deployment.request(second, "POST", "/agent/beat", late_heartbeat)
        await asyncio.sleep(0.5)
    assert key not in deployment.store.keys
    assert dead.name not in deployment.controllers[second].shard_leaders[0].shard.machines
    deployment.start_controller(shard_leader)

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_rules_hold_while_controllers_restart_during_elections(loop: Loop) -> None:
    """The first shard leader and other controllers restart in turn, in quick succession."""
    deployment = Deployment(loop, seed=5)
    deployment.heartbeat_copy_rate = 0.3
    first_leader = await deployment.start_with_running_job(6, 60.0)

    for number in range(2, 6):
        await deployment.submit(deployment.job(number, Pieces=3, RunS=10.0))
    for restart_number in range(12):
        name = deployment.nodes[restart_number % 3] if restart_number % 2 else first_leader
        await deployment.restart(name, 0.15)
        await asyncio.sleep(0.4 + 0.3 * (restart_number % 4))
        deployment.shard_leader()  # fails if two act
        deployment.rule_checker.check()

    await deployment.wait_until_done(*job_refs(1, 5), seconds=200)
    deployment.assert_no_violation()


@simulated
async def test_every_controller_answers_for_every_accepted_job_after_restarts_in_an_outage(
    loop: Loop,
) -> None:
    """All controllers restart during a store outage, while one of them is isolated; no accepted job
    may be forgotten."""
    deployment = Deployment(loop)
    await deployment.start()
    refs = job_refs(1, 6)

    for number in range(1, 7):
        await deployment.submit(deployment.job(number, Pieces=2, RunS=3.0 * number))
    await deployment.cancel("req-000006")
    deployment.isolate("node-1")
    deployment.store.down = True
    await asyncio.sleep(1)
    for name in deployment.nodes:
        await deployment.restart(name, 0.2)
    await asyncio.sleep(20)
    deployment.rejoin("node-1")
    deployment.store.end_outage()
    await asyncio.sleep(15)
    for name in deployment.nodes:
        for ref in refs:
            assert await deployment.poll(ref, name) in ("pending", "running", "done", "withdrawn")

    await deployment.wait_until_done(*refs[:5], seconds=200)
    deployment.assert_no_violation()


@simulated
async def test_slow_store_and_refusing_peers_cost_no_shard_leader_its_lease(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 60.0)
    starts = deployment.rule_checker.starts

    deployment.net.refusing_addresses = {(deployment.host(name), 8081) for name in deployment.nodes}
    deployment.store.latency_factor = 10.0
    for number in range(2, 12):
        await deployment.submit(deployment.job(number, RunS=2.0))
        await asyncio.sleep(3)
        assert deployment.shard_leader() == shard_leader
    deployment.store.latency_factor = 1.0
    deployment.net.refusing_addresses.clear()

    await deployment.wait_until_done(*job_refs(1, 11), seconds=100)
    assert deployment.rule_checker.starts == starts + 10  # each task was started once
    assert sorted(deployment.controller_tasks) == deployment.nodes
    assert not any(task.done() for task in deployment.controller_tasks.values())
    deployment.assert_no_violation()


@simulated
async def test_zone_cut_off_with_its_controller_runs_nothing_twice(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(8, 60.0)

    inside = [m for m in deployment.cloud.machines.values() if m.zone == "a"]
    outside = [FakeKeyValueStore.HOST, FakeCloud.HOST, "10.9.9.9"]
    outside += [deployment.host(name) for name in deployment.nodes if name != shard_leader]
    hosts = [deployment.host(shard_leader), *(m.host for m in inside)]
    for near in hosts:
        for far in outside:
            deployment.net.cut(near, far)
    await deployment.wait_until(
        lambda: deployment.shard_leader() not in (None, shard_leader), seconds=20
    )
    await asyncio.sleep(3 * FakeWorker.LEASE_S)
    assert not any(m.tasks for m in inside)  # nothing renews their leases
    for near in hosts:
        for far in outside:
            deployment.net.heal(near, far)

    await deployment.wait_until_done("req-000001", seconds=200)
    deployment.assert_no_violation()


@simulated
async def test_machines_are_not_returned_while_no_heartbeats_arrive_at_all(loop: Loop) -> None:
    """No heartbeat reaches the controller for 2.5 leases. No machine may be returned then, nor when
    heartbeats arrive again."""
    deployment = Deployment(loop, nodes=1)
    await deployment.start()

    for number in range(1, 7):
        await deployment.submit(deployment.job(number, Cores=4.0, RunS=300.0))
    await deployment.wait_until(lambda: len(deployment.rule_checker.running_on) == 6)
    rented = set(deployment.cloud.machines)
    assert len(rented) > 1
    deployment.isolate("node-0", store=False, cloud=False)
    await asyncio.sleep(2.5 * FakeWorker.LEASE_S)
    # None is returned, and none is rented, since its heartbeats would not arrive either.
    assert set(deployment.cloud.machines) == rented
    deployment.rejoin("node-0")
    await asyncio.sleep(15)
    assert rented <= set(deployment.cloud.machines)
    await deployment.wait_until(lambda: len(deployment.rule_checker.running_on) == 6)

    deployment.assert_no_violation()


@simulated
async def test_nothing_is_rented_in_a_zone_that_has_just_become_silent(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 20
    await deployment.start()

    for number in range(1, 5):
        await deployment.submit(deployment.job(number, Cores=4.0, Yard="b", RunS=200.0))
    await deployment.submit(deployment.job(5, Cores=4.0, Yard="a", RunS=200.0))
    await deployment.wait_until(lambda: len(deployment.rule_checker.running_on) == 5)
    silent_machines = [m for m in deployment.cloud.machines.values() if m.zone == "b"]
    for machine in silent_machines:
        for name in deployment.nodes:
            deployment.net.cut(machine.host, deployment.host(name))
    await asyncio.sleep(FakeWorker.LEASE_S)
    rented = set(deployment.cloud.machines)
    for number in range(6, 10):
        await deployment.submit(deployment.job(number, Cores=4.0, RunS=5.0))
    await deployment.wait_until_done(*job_refs(6, 9), seconds=60)
    new = [m for name, m in deployment.cloud.machines.items() if name not in rented]

    assert new
    assert all(machine.zone == "a" for machine in new)
    deployment.assert_no_violation()


@simulated
async def test_slow_controller_keeps_its_shard_and_its_workers(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 40.0)
    starts = deployment.rule_checker.starts

    # seconds by which each message to it is delayed
    deployment.net.slow[deployment.host(shard_leader)] = 0.15
    await deployment.submit(deployment.job(2, RunS=2.0))
    for _ in range(20):
        await asyncio.sleep(1)
        assert deployment.shard_leader() == shard_leader
    deployment.net.slow.clear()

    await deployment.wait_until_done("req-000001", "req-000002", seconds=100)
    assert deployment.rule_checker.starts == starts + 1
    deployment.assert_no_violation()
