"""The rule checker of the stories catches what breaks each rule."""

from collections.abc import Callable

import pytest

from tests.fakes import FakeCloud, FakeWorker, World
from tests.simulation import Loop, play


def _machine(world: World, number: int, zone: str = "a", spot: bool = False) -> FakeWorker:
    worker = FakeWorker(world, f"m-{number:06d}", FakeCloud.TYPES[0], zone, spot)
    worker.up = True
    worker.task.cancel()
    world.cloud.machines[worker.name] = worker
    return worker


def _told(world: World, stage: str, verb: str = "poll", status: int = 200) -> None:
    before = world.rule_checker.told.get("req-000001")
    world.rule_checker.answered("req-000001", verb, status, {"Stage": stage}, before)


def _job(world: World, **fields: object) -> None:
    world.jobs["req-000001"] = world.job(1, **fields)


def _ran_twice(world: World) -> None:
    _job(world)
    world.rule_checker.entered("req-000001/0", _machine(world, 1), 1)
    world.rule_checker.entered("req-000001/0", _machine(world, 2), 2)


def _quota(world: World) -> None:
    _job(world, Pieces=5, Cores=2.0)
    for index in range(3):
        world.rule_checker.entered(f"req-000001/{index}", _machine(world, index), 1)


def _zone(world: World) -> None:
    _job(world, Yard="b")
    world.rule_checker.entered("req-000001/0", _machine(world, 1), 1)


def _spot(world: World) -> None:
    _job(world, Loaners=False)
    world.rule_checker.entered("req-000001/0", _machine(world, 1, spot=True), 1)


def _one_zone(world: World) -> None:
    _job(world, Pieces=2, OneZone=True)
    world.rule_checker.entered("req-000001/0", _machine(world, 1), 1)
    world.rule_checker.entered("req-000001/1", _machine(world, 2, "b"), 1)


def _apart(world: World) -> None:
    _job(world, Pieces=2, Apart=True)
    for index in range(2):
        world.rule_checker.entered(f"req-000001/{index}", _machine(world, index), 1)


def _ran_cancelled(world: World) -> None:
    _job(world)
    world.asked_cancel["req-000001"] = True
    world.rule_checker.entered("req-000001/0", _machine(world, 1), 1)
    _told(world, "withdrawn", "cancel")
    world.loop._selector.now += world.cancel_s + 0.1
    world.rule_checker.check()


def _not_found(world: World) -> None:
    _job(world)
    _told(world, "pending", "submit", 201)
    _told(world, "", status=404)


def _refused_later(world: World) -> None:
    _job(world)
    _told(world, "pending", "submit", 201)
    _told(world, "", "submit", 422)


def _never_answered(world: World) -> None:
    _job(world)
    _told(world, "pending", "submit", 201)
    world.rule_checker.calm()
    world.loop._selector.now += 76
    _told(world, "", status=503)


def _invented(world: World) -> None:
    _told(world, "pending")


def _not_done(world: World) -> None:
    _job(world, Pieces=2)
    world.rule_checker.completed("req-000001/0")
    _told(world, "done")


def _back_from_done(world: World) -> None:
    _job(world)
    world.rule_checker.completed("req-000001/0")
    _told(world, "done")
    _told(world, "running")


def _cancelled_by_nobody(world: World) -> None:
    _job(world)
    _told(world, "withdrawn")


def _bad_job(world: World) -> None:
    _job(world, Cores=99.0)
    _told(world, "pending", "submit", 201)


def _no_field(world: World) -> None:
    _job(world, Mould=None)
    _told(world, "pending", "submit", 201)


def _waited(world: World) -> None:
    _job(world)
    _machine(world, 1)
    _told(world, "pending", "submit", 201)
    world.rule_checker.calm()
    for _ in range(95):
        world.loop._selector.now += 1.0
        world.rule_checker.check()


@pytest.mark.parametrize(
    ("what", "rule"),
    [
        (_ran_twice, "ran_twice"),
        (_quota, "quota"),
        (_zone, "wrong_place"),
        (_spot, "wrong_place"),
        (_one_zone, "wrong_place"),
        (_apart, "wrong_place"),
        (_ran_cancelled, "ran_cancelled"),
        (_not_found, "forgotten"),
        (_refused_later, "forgotten"),
        (_never_answered, "forgotten"),
        (_invented, "invented"),
        (_not_done, "not_done"),
        (_back_from_done, "went_back"),
        (_cancelled_by_nobody, "went_back"),
        (_bad_job, "bad job"),
        (_no_field, "bad job"),
        (_waited, "waited"),
    ],
)
def test_the_rule_checker_catches(what: Callable[[World], None], rule: str) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, limits={"red": 5} if what is _quota else None)
        what(world)
        assert any(rule in text for text in world.rule_checker.broken), world.rule_checker.broken

    play(story)


def test_the_rule_checker_counts_starts_after_a_confirmed_cancellation() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        _job(world)
        world.asked_cancel["req-000001"] = True
        _told(world, "withdrawn", "cancel")
        loop._selector.now += 2.0
        world.rule_checker.entered("req-000001/0", _machine(world, 1), 1)
        assert world.rule_checker.started_cancelled == [("req-000001/0", 2.0)]
        assert world.rule_checker.broken == []

    play(story)
