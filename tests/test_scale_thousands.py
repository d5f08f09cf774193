"""Four thousand machines: the tests limit numbers of operations, not seconds. These may grow with
the number of machines, but never with machines times jobs or machines times tasks."""

import asyncio
from typing import Any

import pytest

from basaltlead.core import fleet_sizing, placement, planning, replica_placement
from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.draining import Drainer
from basaltlead.core.entities import Machine
from basaltlead.core.failures import FailurePolicy
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.fleet import MAX_RETAINED_NAMES
from basaltlead.core.jobs import RANKS, US, Resources, Shape
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.shard import Shard
from basaltlead.core.task_demand import TaskDemand
from basaltlead.core.task_reports import TaskReports
from basaltlead.core.teams import TeamQuota
from basaltlead.scaling.autoscaler import (
    MIN_RENTAL_LIMIT,
    RECORDING_WINDOW_S,
    RENTALS_FLEET_DIVISOR,
)
from tests.builders import MACHINE_TYPE, TIMING, ShardHarness, make_job, task_status
from tests.fakes import Deployment
from tests.simulation import Loop, simulated
from tests.test_scale_hundreds import CallCounter

MACHINES = 4000
TASKS_PER_MACHINE = 4  # of one CPU each


def _name(number: int) -> str:
    return f"m-{number:06d}"


def _full_fleet(jobs: int = 160, tasks: int = 100) -> ShardHarness:
    """A fleet of machines that are full of running tasks of these jobs."""
    harness = ShardHarness(machines=0, quotas={"red": TeamQuota()})
    for number in range(MACHINES):
        harness.add(_name(number), zone="abc"[number % 3])
        harness.heartbeat(_name(number))
    for number in range(jobs):
        harness.shard.add_job(make_job(number, tasks=tasks, memory_gb=0.1), 200, harness.now)
    planning.plan(harness.shard, harness.now)
    for number in range(MACHINES):
        harness.heartbeat(_name(number))
        harness.heartbeat(_name(number), *_running(harness, number))
    return harness


def _running(harness: ShardHarness, number: int) -> list:  # type: ignore[type-arg]
    machine = harness.shard.machines[_name(number)]
    return [task_status(attempt, "running") for attempt in machine.attempts.values()]


def _plan_calls(monkeypatch: pytest.MonkeyPatch, harness: ShardHarness) -> int:
    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (placement, "tier")
    )
    planning.plan(harness.shard, harness.now)
    return count.calls


def test_failover_of_four_thousand_machines_costs_one_heartbeat_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    before = _full_fleet()
    after = ShardHarness(machines=0, quotas={"red": TeamQuota()})

    after.shard = Shard(FencingTokens(range(8, 1000)), 300, after.now, TIMING, {"red": TeamQuota()})
    for number in range(160):
        after.shard.add_job(make_job(number, tasks=100, memory_gb=0.1), 200, after.now)
    for number in range(MACHINES):
        after.add(_name(number), zone="abc"[number % 3], loaded=True)
    assert _plan_calls(monkeypatch, after) < MACHINES  # no machine is synced: none is visited
    reconciled = CallCounter(
        monkeypatch, (TaskReports, "reconcile_unknown"), (TaskReports, "apply")
    )
    for number in range(MACHINES):
        reported = _running(before, number)
        after.heartbeat(_name(number), *reported, fencing_token=7)
        after.heartbeat(_name(number), *reported, fencing_token=8)

    assert not after.shard.unsynced
    assert (
        sum(len(job_state.live) for job_state in after.shard.job_states.values())
        == TASKS_PER_MACHINE * MACHINES
    )
    assert reconciled.calls <= 2 * TASKS_PER_MACHINE * MACHINES
    assert _plan_calls(monkeypatch, after) < 4 * MACHINES


def test_loss_of_half_the_machines_costs_only_the_lost_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every second machine stops sending heartbeats; each of its attempts is removed once."""
    harness = _full_fleet()

    harness.now += TIMING.lease_expiry_us // 2
    for number in range(0, MACHINES, 2):
        harness.heartbeat(_name(number), *_running(harness, number))
    harness.now += TIMING.lease_expiry_us // 2 + US
    removed = CallCounter(monkeypatch, (AttemptTable, "remove"))
    drained = CallCounter(monkeypatch, (Drainer, "drain"))
    harness.shard.advance(harness.now)
    assert removed.calls == TASKS_PER_MACHINE * MACHINES // 2
    for _ in range(10):
        harness.shard.advance(harness.now)

    assert drained.calls <= 12 * MACHINES // 2
    assert removed.calls == TASKS_PER_MACHINE * MACHINES // 2
    assert _plan_calls(monkeypatch, harness) < 8 * MACHINES


def test_cancelling_a_thousand_jobs_costs_only_their_own_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _full_fleet(jobs=1600, tasks=10)

    stopped = CallCounter(monkeypatch, (AttemptTable, "stop"), (FailurePolicy, "withdraw_failures"))
    job_states = list(harness.shard.job_states.values())[:1000]
    tasks = sum(len(job_state.live) for job_state in job_states)
    for job_state in job_states:
        harness.shard.close_job(job_state.job.ref)

    assert stopped.calls == tasks + len(job_states)
    assert _plan_calls(monkeypatch, harness) < 20 * MACHINES


def test_plan_for_hundreds_of_services_in_a_full_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Services with the same requirements that find no room cost one pass over the machines; those
    that find room cost a pass each."""
    harness = _full_fleet()

    for number in range(1000, 1300):
        harness.shard.add_job(
            make_job(number, shape=Shape.SERVICE, tasks=3, memory_gb=0.1, estimated_run_us=0),
            200,
            harness.now,
        )
    rankings = CallCounter(monkeypatch, (replica_placement.ReplicaRanking, "_ranked"))
    planning.plan(harness.shard, harness.now)
    assert rankings.calls <= MACHINES + 300
    high = harness.shard.add_job(
        make_job(2000, shape=Shape.SERVICE, tasks=6, rank=RANKS["production"], estimated_run_us=0),
        200,
        harness.now,
    )
    rankings.calls = 0
    planning.plan(harness.shard, harness.now)

    assert sum(a.stop_grace_s is None for a in high.live.values()) == 6
    assert rankings.calls <= 2 * MACHINES + 300 + 12


@simulated
async def test_market_rounds_do_not_wait_for_machine_records(loop: Loop) -> None:
    """Otherwise rounds are delayed when many machines come up: with 2,700 machines in a minute they
    were 72 s apart."""
    deployment = Deployment(loop, announced_limits={"write_rps": 8.0})
    deployment.cloud.capacity = 400
    await deployment.start()

    for number in range(1, 5):
        await deployment.submit(
            deployment.job(number, Pieces=400, Cores=4.0, RunS=60.0, GuessS=60.0)
        )
    await asyncio.sleep(25)
    shard_leader = _shard_leader(deployment)
    machines = shard_leader.shard.machines.values()
    assert sum(machine.up and not machine.recorded for machine in machines) > 100
    round_times: list[float] = []
    run_round = shard_leader.market.run_round

    def record_and_run_round(*args: Any) -> None:
        round_times.append(loop.time())
        run_round(*args)

    shard_leader.market.run_round = record_and_run_round
    await asyncio.sleep(60)

    assert len(round_times) >= 5
    deployment.assert_no_violation()


@simulated
async def test_large_fleet_rents_no_more_than_it_can_record(loop: Loop) -> None:
    """Each machine needs a record in the key-value store before it gets a task."""
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    await asyncio.sleep(1)
    shard_leader = _shard_leader(deployment)
    autoscaler = shard_leader.on_loaded.__self__
    for number in range(MACHINES):
        machine = Machine(_name(number), MACHINE_TYPE, "a", False, 0)
        machine.recorded = True
        shard_leader.shard.add_machine(machine)
    # Machine types boot in 5 s
    recordable = int(
        (5.0 + RECORDING_WINDOW_S) * shard_leader.context.store.client.write_limiter.rate
    )
    assert autoscaler._max_rentals() == MACHINES // RENTALS_FLEET_DIVISOR < recordable
    for number in range(recordable - 100):
        shard_leader.shard.machines[_name(number)].recorded = False
    assert autoscaler._max_rentals() == 100
    for number in range(recordable):
        shard_leader.shard.machines[_name(number)].recorded = False

    assert autoscaler._max_rentals() == MIN_RENTAL_LIMIT


def _shard_leader(deployment: Deployment) -> Any:
    name = deployment.acting_shard_leader()
    return deployment.controllers[name].shard_leaders[0]


def test_rentals_of_a_pass_are_limited_and_names_of_deleted_machines_are_retained() -> None:
    harness = _full_fleet()

    job_states = list(harness.shard.job_states.values())
    needs = [TaskDemand(job_state, job_state.remaining * 2) for job_state in job_states]
    machines: list[Machine] = list(harness.shard.machines.values())
    offers: dict[Offer, int | None] = {Offer("k", zone, False): None for zone in "abc"}
    plan = fleet_sizing.plan_fleet(
        needs, [], machines, {"k": MACHINE_TYPE}, RentableOffers(offers), MACHINES // 16
    )
    assert len(plan.rentals) == MACHINES // 16
    for number in range(MACHINES):
        harness.shard.drop_machine(_name(number), harness.now)

    assert len(harness.shard.deleted_machines) == MACHINES < MAX_RETAINED_NAMES
