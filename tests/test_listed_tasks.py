"""Machines list no more tasks than their reports can hold, and all that places tasks knows it."""

import asyncio
import json
from typing import Any

import pytest

from basaltlead.core import fleet_sizing
from basaltlead.core.demand import RentedCapacity
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import MAX_TASKS_PER_MACHINE, US, MachineType, Shape
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.orphaned_attempt import OrphanedAttempt
from basaltlead.core.planning import plan
from basaltlead.core.task_demand import TaskDemand
from basaltlead.core.task_keys import AttemptKey
from basaltlead.core.task_states import SENT
from basaltlead.net.http.messages import MAX_BODY_BYTES
from tests.builders import ShardHarness, make_job
from tests.fakes import Deployment
from tests.simulation import Loop, simulated

MAX_NUMBER = 2**64 - 1
TINY = {"cpus": 0.001, "memory_gb": 0.001}


def test_report_of_a_full_machine_fits_into_a_request() -> None:
    """With the longest names and numbers that the protocol allows, and with the blanks that some
    encoders add."""
    task = {"Piece": "req-999999999999999/99999", "Try": MAX_NUMBER, "Stage": "gathering"}
    report = {
        "Anvil": "m" * 100,
        "Addr": "255.255.255.255:65535",
        "Grade": "g" * 100,
        "Yard": "y" * 100,
        "Loaners": False,
        "Shift": MAX_NUMBER,
        "Tick": MAX_NUMBER,
        "Baton": MAX_NUMBER,
        "RecallS": 123456.789012,
        "Pieces": [task | {"Cause": "incomplete", "Saved": False}] * MAX_TASKS_PER_MACHINE,
    }

    assert len(json.dumps(report)) <= MAX_BODY_BYTES


def _watch_lists(deployment: Deployment, lengths: list[int]) -> "asyncio.Task[None]":
    """Note how many tasks the machines list, again and again."""

    async def watch() -> None:
        while True:
            lengths.extend(len(m.tasks) for m in deployment.cloud.machines.values())
            await asyncio.sleep(0.2)

    return deployment.loop.create_task(watch())


@pytest.mark.parametrize("shape", ["group", "batch"])
@simulated
async def test_job_of_many_small_tasks_runs_on_as_many_machines_as_can_list_them(
    loop: Loop, shape: str
) -> None:
    # Guards against a machine whose report is refused, so that its lease kills all tasks on it.
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.service(1, Pieces=1, Crew="blue", Grades=["large"]))
    await deployment.wait_until_served("req-000001")
    lengths: list[int] = []
    watcher = _watch_lists(deployment, lengths)

    tiny = {"Cores": 0.01, "MemoryGb": 0.01, "Grades": ["large"], "Loaners": False}
    tasks = 2 * MAX_TASKS_PER_MACHINE + 100
    await deployment.submit(deployment.job(2, Shape=shape, Pieces=tasks, **tiny))
    await deployment.wait_until_done("req-000002", seconds=60.0)

    assert max(lengths) <= MAX_TASKS_PER_MACHINE
    assert deployment.cloud.rented_count <= 3
    assert deployment.running_tasks("req-000001")  # nothing was killed beside it
    assert deployment.rule_checker.starts == tasks + 1
    watcher.cancel()
    deployment.assert_no_violation()


@pytest.mark.parametrize("fields", [{}, {"Shape": "group"}, {"Shape": "service", "RunS": 900.0}])
@simulated
async def test_job_does_not_wait_beside_a_machine_that_lists_all_it_can(
    loop: Loop, fields: dict[str, Any]
) -> None:
    # Guards against a job that waits for room that sizing counts and planning does not.
    deployment = Deployment(loop)
    await deployment.start()
    replicas = {"Pieces": MAX_TASKS_PER_MACHINE, "Cores": 0.005, "MemoryGb": 0.005}
    await deployment.submit(deployment.service(1, Grades=["small"], **replicas))
    await deployment.wait_until_served("req-000001")
    assert len(deployment.cloud.machines) == 1

    await deployment.submit(deployment.job(2, **({"RunS": 20.0, "GuessS": 20.0} | fields)))
    await deployment.wait_until_served("req-000002", seconds=15.0)

    deployment.assert_no_violation()


def test_no_start_is_sent_that_a_machine_could_not_list() -> None:
    harness = ShardHarness(machines=1)
    machine = harness.shard.machines["m-0"]
    for number in range(MAX_TASKS_PER_MACHINE - 10):
        machine.orphaned_attempts[AttemptKey("req-000009", number, 1)] = OrphanedAttempt(
            True, False
        )
    job_state = harness.shard.add_job(make_job(tasks=20, **TINY), 200, harness.now)
    for index in range(20):
        number = harness.shard.next_attempt_number()
        harness.shard.start(job_state, index, machine, number, harness.now)

    _, starts = harness.shard.take_push_commands(_with_address(machine))
    assert len(starts) == 10
    harness.shard.acknowledge_starts(starts, True)
    assert harness.shard.take_push_commands(machine)[1] == []
    for key in list(machine.orphaned_attempts)[:4]:
        del machine.orphaned_attempts[key]
    _, starts = harness.shard.take_push_commands(machine)

    assert len(starts) == 4
    assert sum(a.stage == SENT for a in machine.attempts.values()) == 14


def _with_address(machine: Machine) -> Machine:
    machine.address = "10.1.0.1:9"
    return machine


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("rank_of_others", [0, 1])
def test_plan_binds_no_more_tasks_than_a_machine_can_list(
    shape: Shape, rank_of_others: int
) -> None:
    harness = ShardHarness(machines=3)
    others = harness.submit(1, tasks=300, rank=rank_of_others, **TINY)
    assert len(others.live) == 300

    job_state = harness.submit(2, tasks=900, shape=shape, rank=1, **TINY)
    for _ in range(4):
        plan(harness.shard, harness.now)

    assert len(job_state.live) == 900
    for machine in harness.shard.machines.values():
        assert len(machine.attempts) <= MAX_TASKS_PER_MACHINE
    if shape is Shape.GANG:
        gang = harness.submit(3, tasks=1, shape=shape, rank=0, **TINY)
        assert not gang.live


def test_sizing_asks_what_machines_can_list() -> None:
    harness = ShardHarness(machines=1)
    machines = list(harness.shard.machines.values())
    harness.submit(1, tasks=MAX_TASKS_PER_MACHINE, shape=Shape.SERVICE, rank=3, **TINY)
    waiting = harness.submit(2, cpus=1.0)
    assert RentedCapacity(machines).backlog_us(waiting, 0.0, US) == float("inf")
    tiny_job = make_job(3, tasks=1000, shape=Shape.GANG, **TINY)
    gang = harness.shard.add_job(tiny_job, 200, harness.now)
    large = MachineType("k", 400.0, 0.0, 400.0, 1.0, None, US, 50.0, 1.0, ("a",))
    assert large.capacity_for(tiny_job) == MAX_TASKS_PER_MACHINE

    fleet_plan = fleet_sizing.plan_fleet(
        [TaskDemand(gang, 1000)],
        [],
        [],
        {"k": large},
        RentableOffers({Offer("k", "a", False): None}),
        12,
    )

    assert len(fleet_plan.rentals) == 3
