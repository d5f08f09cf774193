"""Hundreds of machines, thousands of tasks: the number of operations stays bounded. Controllers
have a third of a core, so work that grows with machines times tasks is a fault."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core import demand, fleet_sizing, placement, planning
from basaltlead.core import offers as core_offers
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import US, Resources, Shape
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.task_demand import TaskDemand
from basaltlead.core.teams import TeamQuota
from tests.builders import MACHINE_TYPE, TIMING, ShardHarness, make_job, task_status

MACHINES = 930


class CallCounter:
    """Counts the calls of the given functions."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *functions: tuple[Any, str]) -> None:
        self.calls = 0
        for owner, name in functions:
            monkeypatch.setattr(owner, name, self._counting(getattr(owner, name)))

    def _counting(self, inner: Callable[..., Any]) -> Callable[..., Any]:
        def counting(*args: Any, **kwargs: Any) -> Any:
            self.calls += 1
            return inner(*args, **kwargs)

        return counting


def _idle_fleet() -> ShardHarness:
    harness = ShardHarness(machines=0, quotas={"red": TeamQuota()})
    for number in range(MACHINES):
        harness.add(f"m-{number:03d}", zone="abc"[number % 3])
        harness.heartbeat(f"m-{number:03d}")
    return harness


def _fleet_with_backlog(jobs: int = 100, tasks: int = 300) -> ShardHarness:
    harness = _idle_fleet()
    for number in range(jobs):
        gang = number % 5 == 0
        harness.shard.add_job(
            make_job(
                number,
                tasks=3 if gang else tasks,
                shape=Shape.GANG if gang else Shape.ARRAY,
                cpus=3.0 if gang else 1.0,
                one_zone=gang,
                rank=2 if gang else number % 2,
            ),
            200,
            harness.now,
        )
    return harness


def test_plan_costs_one_pass_over_the_machines_for_each_job_that_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _fleet_with_backlog()

    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (placement, "tier")
    )
    planning.plan(harness.shard, harness.now)
    placed = sum(len(job_state.live) for job_state in harness.shard.job_states.values())
    assert placed > MACHINES
    assert count.calls < 12 * MACHINES * 8 + 6 * placed  # gangs, and the arrays that found room
    count.calls = 0
    planning.plan(harness.shard, harness.now)  # full: jobs with equal requirements are skipped

    assert count.calls < 16 * MACHINES


def _full_fleet() -> ShardHarness:
    """A fleet of full machines, and a hundred waiting jobs with different requirements."""
    harness = _idle_fleet()
    for number in range(100):
        job = make_job(number, tasks=100, cpus=1.0 + number / 1000, memory_gb=0.1)
        harness.shard.add_job(job, 200, harness.now)
    planning.plan(harness.shard, harness.now)
    return harness


def test_jobs_waiting_for_a_full_fleet_cost_a_plan_almost_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise each waiting job costs a pass over all machines, which took the shard leader of 600
    machines a fifth of a core."""
    harness = _full_fleet()

    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (placement, "tier")
    )
    planning.plan(harness.shard, harness.now)

    assert count.calls < MACHINES


def test_sizing_a_full_fleet_checks_full_machines_once(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = _full_fleet()

    job_states = list(harness.shard.job_states.values())
    running = sum(len(job_state.live) for job_state in job_states)
    needs = [TaskDemand(job_state, job_state.remaining) for job_state in job_states]
    machines = list(harness.shard.machines.values())
    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (core_offers, "allowed")
    )
    fleet_sizing.plan_fleet(needs, [], machines, {"k": MACHINE_TYPE}, RentableOffers({}), 12)

    assert running >= 3 * MACHINES
    assert count.calls < running + 2 * MACHINES


def test_incremental_free_room_and_bids_equal_a_full_count() -> None:
    """Plans rely on them: room that is taken twice or never freed would be lost for good."""
    harness = ShardHarness(machines=6)

    rng = random.Random(3)
    for number in range(12):
        job_state = harness.submit(
            number, tasks=6, cpus=rng.choice([0.7, 1.1, 2.3]), rank=number % 3
        )
        job_state.bid = rng.uniform(0.1, 5.0)
    for step in range(60):
        harness.now += US
        name = f"m-{rng.randrange(6)}"
        machine = harness.shard.machines[name]
        reported = [
            task_status(a, rng.choice(["running", "ended"]), "done")
            for a in list(machine.attempts.values())
            if a.may_be_on_machine and rng.random() < 0.8
        ]
        harness.heartbeat(name, *reported)
        if machine.attempts and step % 4 == 0:
            harness.shard.stop_gracefully(rng.choice(list(machine.attempts.values())))
        if step % 15 == 14:
            harness.now += TIMING.lease_expiry_us
            harness.shard.advance(harness.now)
        planning.plan(harness.shard, harness.now)
        for checked in harness.shard.machines.values():
            not_stopping = [a for a in checked.attempts.values() if a.stop_grace_s is None]
            assert checked.free.cpus == pytest.approx(
                4.0 - sum(a.job_state.job.cpus for a in not_stopping)
            )
            assert checked.booked == pytest.approx(sum(a.bid for a in not_stopping))
        for job_state in harness.shard.job_states.values():
            waiting = job_state.remaining - sum(
                not job_state.is_done(index) for index in job_state.live
            )
            assert job_state.waiting == waiting


def test_identical_waiting_gangs_are_tried_once_in_a_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _fleet_with_backlog(jobs=4)

    planning.plan(harness.shard, harness.now)
    for number in range(100, 160):
        harness.shard.add_job(
            make_job(number, tasks=200, shape=Shape.GANG, cpus=4.0, one_zone=True), 200, harness.now
        )
    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (placement, "tier")
    )
    planning.plan(harness.shard, harness.now)

    assert count.calls < 12 * MACHINES


def test_sizing_costs_one_pass_over_the_machines_for_each_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _fleet_with_backlog()

    planning.plan(harness.shard, harness.now)
    job_states = list(harness.shard.job_states.values())
    machines: list[Machine] = list(harness.shard.machines.values())
    needs = [TaskDemand(job_state, job_state.remaining) for job_state in job_states]
    offers: dict[Offer, int | None] = {Offer("k", zone, False): None for zone in "ab"}
    count = CallCounter(
        monkeypatch, (Resources, "fits"), (Resources, "capacity_for"), (core_offers, "allowed")
    )
    plan = fleet_sizing.plan_fleet(
        needs, [], machines, {"k": MACHINE_TYPE}, RentableOffers(offers), 12
    )

    assert len(plan.rentals) == 12
    assert count.calls < 6 * MACHINES * len(job_states)


def test_job_that_waited_a_minute_demands_at_least_one_task() -> None:
    """Otherwise a job with a late due time gets nothing while others are urgent."""
    harness = ShardHarness()

    late = harness.shard.add_job(make_job(1, tasks=4, due_us=3000 * US), 200, harness.now)
    urgent = harness.shard.add_job(make_job(2, tasks=400, due_us=30 * US), 200, harness.now)

    def due(job_state: JobState, now: int) -> demand.Due:
        return demand.Due(job_state.submitted_at + (job_state.job.due_us or 0))

    def wanted() -> dict[str, int]:
        loads = demand.remaining_cpu_us([late, urgent], harness.now, harness.shard.estimated_run_us)
        return demand.wanted_tasks(
            [late, urgent], harness.now, due, harness.shard.estimated_run_us, 0, loads
        )

    assert wanted()[late.job.ref] == 0
    harness.now += 61 * US

    assert wanted()[late.job.ref] == 1
