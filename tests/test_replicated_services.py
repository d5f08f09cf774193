"""Replicated services: accepted, restarted after losses, moved and cancelled, but never done."""

import asyncio
from typing import Any

import pytest

from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated


async def _start_with_service(deployment: Deployment, **fields: Any) -> str:
    """Start, and have service 1 run with all its replicas. Returns the shard leader's name."""
    await deployment.start()
    assert await deployment.submit(deployment.service(1, **fields)) == 201
    await deployment.wait_until_served("req-000001")
    return deployment.acting_shard_leader()


def _machines_of(deployment: Deployment, ref: str) -> list[str]:
    """The names of the machines that run the job's replicas, one for each replica."""
    running_on = deployment.rule_checker.running_on
    return [worker.name for task, worker in running_on.items() if task.partition("/")[0] == ref]


@simulated
async def test_service_runs_until_it_is_cancelled_and_is_never_done(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment)

    assert await deployment.submit(deployment.service(1)) == 200
    await asyncio.sleep(60)
    for name in deployment.nodes:
        status, body = await deployment.request(name, "GET", "/api/jobs/req-000001")
        assert status == 200
        assert body == {"Ref": "req-000001", "Stage": "running", "done": 0, "running": 3}
    assert deployment.rule_checker.starts == 3
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(3)

    assert deployment.running_tasks("req-000001") == []
    assert await deployment.poll("req-000001") == "withdrawn"
    deployment.assert_no_violation()


@pytest.mark.parametrize("cause", ["done", "error", "stopped", "full"])
@simulated
async def test_replica_that_ends_is_restarted_whatever_the_cause(loop: Loop, cause: str) -> None:
    """Without a check for services, a replica that ends with `done` would count as a result, and
    three of them as a completed job."""
    deployment = Deployment(loop)
    await _start_with_service(deployment, RunS=40.0, EndsWith=cause)

    for _ in range(100):
        await deployment.poll("req-000001")
        await asyncio.sleep(2)

    assert deployment.rule_checker.starts >= 12  # each of the three is restarted every 40 s
    assert not any(key.startswith("over/") for key in deployment.store.keys)
    await deployment.wait_until_served("req-000001")
    deployment.assert_no_violation()


@pytest.mark.parametrize("cause", ["done", "error"])
@simulated
async def test_service_that_always_ends_at_once_backs_off_and_can_be_cancelled(
    loop: Loop, cause: str
) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(2, Pieces=8, RunS=200.0, GuessS=200.0, Loaners=False))
    await deployment.submit(deployment.service(1, RunS=0.5, EndsWith=cause))

    await asyncio.sleep(120)
    assert deployment.rule_checker.starts_of("req-000001") < 40  # of 3 replicas, for two minutes
    shard_leader = deployment.acting_shard_leader()
    machines = deployment.controllers[shard_leader].shard_leaders[0].shard.machines.values()
    assert not any(machine.faulty for machine in machines)
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(3)

    assert deployment.running_tasks("req-000001") == []
    await deployment.wait_until_done("req-000002", seconds=150)
    deployment.assert_no_violation()


@simulated
async def test_replicas_of_a_dead_machine_restart_within_ten_seconds_after_its_lease(
    loop: Loop,
) -> None:
    """Only the upper bound is checked, which counts the lease from the death of the machine."""
    deployment = Deployment(loop)
    await _start_with_service(deployment, Apart=True, Pieces=4)

    name = _machines_of(deployment, "req-000001")[0]
    deployment.cloud.machines.pop(name).stop()
    died_at = loop.time()

    await deployment.wait_until_served("req-000001", seconds=FakeWorker.LEASE_S + 10)
    assert loop.time() > died_at
    deployment.assert_no_violation()


@simulated
async def test_replicas_on_a_hanging_machine_are_not_started_twice(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment)
    machine = deployment.cloud.machines[_machines_of(deployment, "req-000001")[0]]

    machine.hung = True
    await asyncio.sleep(FakeWorker.LEASE_S * 0.8)
    machine.hung = False
    await deployment.wait_until_served("req-000001")
    machine.hung = True
    await asyncio.sleep(FakeWorker.LEASE_S * 4)
    machine.hung = False

    await deployment.wait_until_served("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_replicas_move_before_their_machine_is_preempted(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment, Loaners=True)
    await deployment.submit(deployment.job(2, Pieces=8, RunS=300.0, GuessS=300.0, Loaners=False))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) == 8)

    name = _machines_of(deployment, "req-000001")[0]
    deployment.cloud.machines[name].preemption_at = loop.time() + 15
    await deployment.wait_until(
        lambda: name not in _machines_of(deployment, "req-000001"), seconds=12
    )

    await deployment.wait_until_served("req-000001", seconds=3)
    assert loop.time() < deployment.cloud.machines[name].preemption_at
    deployment.assert_no_violation()


@simulated
async def test_replicas_keep_running_when_the_shard_leader_crashes(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await _start_with_service(deployment)

    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, shard_leader))
    await asyncio.sleep(5)
    assert deployment.rule_checker.starts == 3
    deployment.start_controller(shard_leader)
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(3)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


@simulated
async def test_failover_while_a_replicas_machine_is_out_of_contact(loop: Loop) -> None:
    """The next shard leader may not start the replica before its machine's lease has expired."""
    deployment = Deployment(loop)
    shard_leader = await _start_with_service(deployment)
    machine = deployment.cloud.machines[_machines_of(deployment, "req-000001")[0]]

    machine.hung = True
    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, shard_leader))
    await asyncio.sleep(FakeWorker.LEASE_S / 2)
    machine.hung = False
    deployment.start_controller(shard_leader)

    await deployment.wait_until_served("req-000001", seconds=FakeWorker.LEASE_S + 10)
    deployment.assert_no_violation()


@simulated
async def test_service_is_cancelled_while_its_replica_is_moved(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment, Loaners=True)

    name = _machines_of(deployment, "req-000001")[0]
    deployment.cloud.machines[name].preemption_at = loop.time() + 15
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) < 3, seconds=15)
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(Deployment.CANCEL_S)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


@simulated
async def test_full_fleet_makes_room_for_replicas_at_once(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 2
    await deployment.start()
    await deployment.submit(
        deployment.job(1, Pieces=100, RunS=60.0, Rank="best_effort", Loaners=False)
    )
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) >= 8)
    await deployment.submit(deployment.service(2))

    await deployment.wait_until_served("req-000002", seconds=4)

    deployment.assert_no_violation()


@simulated
async def test_service_waits_for_room_in_a_full_fleet_of_the_same_rank(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 1
    await deployment.start()
    await deployment.submit(deployment.service(1, Pieces=4, Grades=["small"]))
    await deployment.wait_until_served("req-000001")
    await deployment.submit(deployment.service(2, Pieces=2, Grades=["small"]))

    await asyncio.sleep(30)
    assert deployment.running_tasks("req-000002") == []
    await deployment.cancel("req-000001")

    await deployment.wait_until_served("req-000002", seconds=10)
    deployment.assert_no_violation()


@simulated
async def test_service_beyond_the_team_limit_is_refused_or_waits(loop: Loop) -> None:
    deployment = Deployment(loop, team_cpus_max={"red": 4.0})
    await deployment.start()

    assert await deployment.submit(deployment.service(1, Pieces=5)) == 422
    del deployment.jobs["req-000001"]
    assert await deployment.submit(deployment.service(2, Pieces=3)) == 201
    await deployment.wait_until_served("req-000002")
    assert await deployment.submit(deployment.service(3, Pieces=4)) == 201
    await asyncio.sleep(20)
    assert len(deployment.running_tasks("req-000003")) == 1
    await deployment.cancel("req-000002")
    await deployment.wait_until_served("req-000003", seconds=15)
    # What was accepted stays accepted, whatever the limit is now.
    for node in deployment.controllers.values():
        node.user_api.teams["red"] = type(node.user_api.teams["red"])(cpus_max=1.0)
    for name in deployment.nodes:
        assert await deployment.submit(deployment.service(3, Pieces=4), name) == 200

    deployment.assert_no_violation()


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        # at most half of the replicas may be in one zone
        ({"Pieces": 4, "Apart": True, "Yard": "a"}, 422),
        ({"Pieces": 2, "Apart": True, "OneZone": True}, 422),
        ({"Pieces": 1, "Apart": True, "Yard": "a"}, 201),
        ({"Pieces": 4, "Apart": True}, 201),
        ({"Cores": 99.0}, 422),
        ({"GuessS": None}, 400),
        ({"Shape": "services"}, 400),
    ],
    ids=[
        "apart in one zone",
        "apart and one zone",
        "apart, a single one",
        "apart",
        "too large",
        "no estimate",
        "unknown shape",
    ],
)
@simulated
async def test_impossible_and_malformed_services_are_refused(
    loop: Loop, fields: dict[str, Any], status: int
) -> None:
    deployment = Deployment(loop)
    await deployment.start()

    await asyncio.sleep(3)

    assert await deployment.submit(deployment.service(1, **fields)) == status
    assert not deployment.store.oversized


@simulated
async def test_replicas_stay_apart_after_losses(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment, Pieces=6, Apart=True)

    for _ in range(3):
        zone_a = [
            n
            for n in _machines_of(deployment, "req-000001")
            if deployment.cloud.machines[n].zone == "a"
        ]
        deployment.cloud.machines.pop(zone_a[0]).stop()
        await deployment.wait_until_served("req-000001", seconds=FakeWorker.LEASE_S + 20)

    deployment.assert_no_violation()


@simulated
async def test_rolling_restart_keeps_services_up(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment, Pieces=6)

    for _ in range(2):
        for name in deployment.nodes:
            await deployment.restart(name, 1.0)
            await asyncio.sleep(3.0)

    assert deployment.rule_checker.starts == 6
    deployment.assert_no_violation()


@simulated
async def test_machines_are_kept_while_replicas_run_and_returned_afterwards(loop: Loop) -> None:
    deployment = Deployment(loop)
    await _start_with_service(deployment)
    before = set(_machines_of(deployment, "req-000001"))

    await asyncio.sleep(240)
    assert set(_machines_of(deployment, "req-000001")) == before
    assert deployment.rule_checker.starts == 3
    await deployment.cancel("req-000001")
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=400)

    deployment.assert_no_violation()
