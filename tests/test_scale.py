"""Hundreds of machines, thousands of tasks: the number of operations stays bounded. Controllers
have a third of a core, so work that grows with machines times tasks is a fault."""

from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core import demand, fleet, planning
from basaltlead.core.fleet import Need, Offer
from basaltlead.core.model import US, Machine, Room, Work
from basaltlead.core.picture import Limits
from tests.test_block import KIND, Story, a_job

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


def _full(jobs: int = 100, tasks: int = 300) -> Story:
    story = Story(machines=0, limits={"red": Limits()})
    for number in range(MACHINES):
        story.add(f"m-{number:03d}", zone="abc"[number % 3])
        story.beat(f"m-{number:03d}")
    for number in range(jobs):
        gang = number % 5 == 0
        story.block.add_job(
            a_job(number, tasks=3 if gang else tasks, gang=gang, cpus=3.0 if gang else 1.0,
                  one_zone=gang, rank=2 if gang else number % 2),
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


def test_a_waiting_gang_is_tried_once_a_plan_however_many_ask_for_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    story = _full(jobs=4)
    planning.plan(story.block, story.now)
    for number in range(100, 160):
        story.block.add_job(
            a_job(number, tasks=200, gang=True, cpus=4.0, one_zone=True), 200, story.now
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
    needs = [Need(work, work.remaining) for work in works]
    offers: dict[Offer, int | None] = {Offer("k", zone, False): None for zone in "ab"}
    count = Counted(monkeypatch, (Room, "fits"), (Room, "holds"), (fleet, "allowed"))
    plan = fleet.size(needs, [], machines, {"k": KIND}, offers, {}, 12)
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
