"""Hundreds of machines, thousands of tasks: the number of operations stays bounded. Controllers
have a third of a core, so work that grows with machines times tasks is a fault."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core import demand, fleet_sizing, planning
from basaltlead.core.fleet_sizing import Demand, Offer
from basaltlead.core.model import US, Machine, Room, Shape, Work
from basaltlead.core.shard_state import Limits
from tests.test_shard import KIND, TIMING, Story, a_job, listed

MACHINES = 930


class Counted:
    """Counts the calls of some functions."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *places: tuple[Any, str]) -> None:
        self.calls = 0
        for owner, name in places:
            monkeypatch.setattr(owner, name, self._counting(getattr(owner, name)))

    def _counting(self, inner: Callable[..., Any]) -> Callable[..., Any]:
        def counting(*args: Any, **kwargs: Any) -> Any:
            self.calls += 1
            return inner(*args, **kwargs)

        return counting


def _fleet() -> Story:
    story = Story(machines=0, limits={"red": Limits()})
    for number in range(MACHINES):
        story.add(f"m-{number:03d}", zone="abc"[number % 3])
        story.beat(f"m-{number:03d}")
    return story


def _full(jobs: int = 100, tasks: int = 300) -> Story:
    story = _fleet()
    for number in range(jobs):
        gang = number % 5 == 0
        story.block.add_job(
            a_job(number, tasks=3 if gang else tasks, shape=Shape.GANG if gang else Shape.ARRAY,
                  cpus=3.0 if gang else 1.0, one_zone=gang, rank=2 if gang else number % 2),
            200, story.now,
        )  # fmt: skip
    return story


def test_a_plan_costs_a_pass_over_the_machines_for_each_job_that_starts_something(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    story = _full()
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (planning.placement, "tier"))
    planning.plan(story.block, story.now)
    placed = sum(len(work.live) for work in story.block.works.values())
    assert placed > MACHINES
    assert count.calls < 12 * MACHINES * 8 + 6 * placed  # gangs, and the arrays that found room
    count.calls = 0
    planning.plan(story.block, story.now)  # full: those that ask for the same are passed over
    assert count.calls < 16 * MACHINES


def _full_of_arrays() -> Story:
    """Every machine is full, and a hundred jobs wait that all ask for something else."""
    story = _fleet()
    for number in range(100):
        job = a_job(number, tasks=100, cpus=1.0 + number / 1000, memory_gb=0.1)
        story.block.add_job(job, 200, story.now)
    planning.plan(story.block, story.now)
    return story


def test_jobs_that_wait_for_a_full_fleet_cost_a_plan_next_to_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Passing over all machines for each of them, an owner of 600 spent a fifth of a core so."""
    story = _full_of_arrays()
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (planning.placement, "tier"))
    planning.plan(story.block, story.now)
    assert count.calls < MACHINES


def test_sizing_a_full_fleet_looks_at_full_machines_once(monkeypatch: pytest.MonkeyPatch) -> None:
    story = _full_of_arrays()
    works = list(story.block.works.values())
    running = sum(len(work.live) for work in works)
    needs = [Demand(work, work.remaining) for work in works]
    machines = list(story.block.machines.values())
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (fleet_sizing, "allowed"))
    fleet_sizing.size(needs, [], machines, {"k": KIND}, {}, {}, 12)
    assert running >= 3 * MACHINES
    assert count.calls < running + 2 * MACHINES


def test_free_room_and_booked_bids_kept_by_the_way_are_what_a_fresh_count_gives() -> None:
    """Plans trust them; a task that is counted twice or never given back would stay for good."""
    story = Story(machines=6)
    chance = random.Random(3)
    for number in range(12):
        work = story.submit(number, tasks=6, cpus=chance.choice([0.7, 1.1, 2.3]), rank=number % 3)
        work.bid = chance.uniform(0.1, 5.0)
    for step in range(60):
        story.now += US
        name = f"m-{chance.randrange(6)}"
        machine = story.block.machines[name]
        shown = [
            listed(a, chance.choice(["running", "ended"]), "done")
            for a in list(machine.attempts.values()) if a.there and chance.random() < 0.8
        ]  # fmt: skip
        story.beat(name, *shown)
        if machine.attempts and step % 4 == 0:
            story.block.stop_softly(chance.choice(list(machine.attempts.values())))
        if step % 15 == 14:
            story.now += TIMING.lease_expiry_us
            story.block.tick(story.now)
        planning.plan(story.block, story.now)
        for one in story.block.machines.values():
            staying = [a for a in one.attempts.values() if a.grace is None]
            assert one.free.cpus == pytest.approx(4.0 - sum(a.work.job.cpus for a in staying))
            assert one.booked == pytest.approx(sum(a.bid for a in staying))
        for work in story.block.works.values():
            waiting = work.remaining - sum(not work.is_done(index) for index in work.live)
            assert work.waiting == waiting


def test_a_waiting_gang_is_tried_once_a_plan_however_many_ask_for_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    story = _full(jobs=4)
    planning.plan(story.block, story.now)
    for number in range(100, 160):
        story.block.add_job(
            a_job(number, tasks=200, shape=Shape.GANG, cpus=4.0, one_zone=True), 200, story.now
        )
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (planning.placement, "tier"))
    planning.plan(story.block, story.now)
    assert count.calls < 12 * MACHINES


def test_sizing_the_fleet_passes_over_the_machines_once_a_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    story = _full()
    planning.plan(story.block, story.now)
    works = list(story.block.works.values())
    machines: list[Machine] = list(story.block.machines.values())
    needs = [Demand(work, work.remaining) for work in works]
    offers: dict[Offer, int | None] = {Offer("k", zone, False): None for zone in "ab"}
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (fleet_sizing, "allowed"))
    plan = fleet_sizing.size(needs, [], machines, {"k": KIND}, offers, {}, 12)
    assert len(plan.hires) == 12
    assert count.calls < 6 * MACHINES * len(works)


def test_a_job_that_has_waited_a_minute_is_wanted_with_a_task_at_least() -> None:
    """One with a late due time else gets nothing while others are in a hurry."""
    story = Story()
    late = story.block.add_job(a_job(1, tasks=4, due_us=3000 * US), 200, story.now)
    hasty = story.block.add_job(a_job(2, tasks=400, due_us=30 * US), 200, story.now)

    def due(work: Work, now: int) -> demand.Due:
        return demand.Due(work.asked_at + (work.job.due_us or 0))

    def wanted() -> dict[str, int]:
        loads = demand.loads_of([late, hasty], story.now, story.block.guess_us)
        return demand.counts([late, hasty], story.now, due, story.block.guess_us, 0, loads)

    assert wanted()[late.job.ref] == 0
    story.now += 61 * US
    assert wanted()[late.job.ref] == 1
