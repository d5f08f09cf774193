"""Work that nobody planned for: jobs with a mistake, faulty machines, guests in great numbers."""

import asyncio
import logging
from collections.abc import Callable

import pytest

from basaltlead.net.http.messages import Response
from basaltlead.runtime.logs import log
from tests.fakes import World
from tests.simulation import Loop, play


def test_a_job_that_fails_everywhere_burns_no_fleet_and_no_machine_is_blamed_for_it() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(1, Pieces=30, RunS=1.0, Broken=True))
        for number in range(2, 8):
            await world.submit(world.job(number, Pieces=4, RunS=10.0))
        await world.until_done(*[f"req-{n:06d}" for n in range(2, 8)], seconds=60)
        rented = set(world.cloud.machines)
        for _ in range(8):
            for name in world.nodes:
                assert await world.poll("req-000001", name) in ("pending", "running")
            await asyncio.sleep(15)
        assert world.rule_checker.starts_of("req-000001") < 90  # of 30 tasks, for three minutes
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        machines = world.parts[shard_leader].shard_leaders[0].shard.machines.values()
        assert not any(machine.draining for machine in machines)
        assert world.cloud.count <= len(rented) + 4  # none was changed for another
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(3)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


def test_two_jobs_that_fail_everywhere_cost_a_small_fleet_no_machine() -> None:
    """There is no third machine to try them on."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 2
        await world.start()
        await world.submit(world.job(1, Pieces=8, RunS=150.0, Grades=["small"]))
        await world.until(lambda: len(world.on("req-000001")) > 4)
        rented = set(world.cloud.machines)
        for number in (2, 3):
            await world.submit(world.job(number, Pieces=4, Rank="high", RunS=1.0, Broken=True))
        await asyncio.sleep(150)
        assert set(world.cloud.machines) == rented
        starts = world.rule_checker.starts_of("req-000002") + world.rule_checker.starts_of(
            "req-000003"
        )
        assert starts < 60
        for ref in ("req-000002", "req-000003"):
            assert await world.cancel(ref) == "withdrawn"
        world.verdict()

    play(story)


def test_a_machine_on_which_everything_fails_is_told_apart_from_a_job_that_does() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 2
        await world.busy(4, 20.0)
        await world.submit(world.job(9, Pieces=2, RunS=2.0, Broken=True))
        refs = [f"req-{number:06d}" for number in range(2, 6)]
        for ref in refs:  # both machines are needed all the time
            await world.submit(world.job(int(ref[4:]), Pieces=40, RunS=4.0))
        await world.until(lambda: len(world.cloud.machines) == 2)
        faulty = next(iter(world.cloud.machines.values()))
        faulty.faulty = True
        await world.until(lambda: faulty.name not in world.cloud.machines, seconds=75)
        left = [ref for ref in refs if await world.poll(ref) != "done"]
        assert left  # it was not given back for want of work
        await world.until_done("req-000001", *refs, seconds=200)
        assert await world.cancel("req-000009") == "withdrawn"
        world.verdict()

    play(story)


def test_guests_take_what_others_leave_and_are_served_all_the_same() -> None:
    """One huge array, a swarm of tiny jobs; the fleet is too small for all of it."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 4
        await world.start()
        await world.submit(world.job(500, Crew="blue", Rank="best_effort", Pieces=2000, RunS=4.0))
        began = loop.time()
        swarm = [
            world.job(500 + number, Crew="blue", Rank="best_effort", Cores=0.5, RunS=1.0)
            for number in range(1, 41)
        ]
        await asyncio.gather(*(world.submit(job) for job in swarm))
        own = [f"req-{number:06d}" for number in range(1, 9)]
        for ref in own:
            number = int(ref[4:])
            await world.submit(world.job(number, Pieces=4, Rank="high", RunS=3.0))
            await world.until(lambda ref=ref: world.rule_checker.starts_of(ref) > 0, seconds=15)
            await asyncio.sleep(2)
        await world.until_done(*own, seconds=40)
        await world.until_done(*(job["Ref"] for job in swarm), seconds=240 - (loop.time() - began))
        assert world.rule_checker.starts_of("req-000500") > 100  # the largest goes on as well
        world.verdict()

    play(story)


def test_a_controller_that_was_silent_for_long_acts_on_nothing_it_believed() -> None:
    """Its late orders and writes change nothing, and what it learns of run times stays sensible."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 30.0)
        await world.submit(world.job(2, Pieces=6, RunS=5.0))
        world.freeze(shard_leader)
        await asyncio.sleep(75)
        other = world.shard_leader()
        assert other not in (None, shard_leader)
        await world.until_done("req-000001", "req-000002")
        before = dict(world.store.keys)
        starts = world.rule_checker.starts
        world.thaw(shard_leader)
        await asyncio.sleep(3)
        assert world.shard_leader() == other and world.rule_checker.starts == starts
        kept = [key for key in before if key.startswith(("over/", "c/block/"))]
        assert all(world.store.keys[key] == before[key] for key in kept)
        # The other one stands still while its tasks run: no run time is taken from that.
        await world.submit(world.job(3, Pieces=4, RunS=4.0, GuessS=4.0))
        await world.until(lambda: len(world.on("req-000003")) == 4)
        assert other is not None
        world.freeze(other)
        await asyncio.sleep(1.0)
        world.thaw(other)
        await world.until_done("req-000003")
        now = world.shard_leader()
        assert now is not None
        ratio = world.parts[now].shard_leaders[0].shard.ratio.get("reports", 1.0)
        assert 0.3 < ratio < 3.0
        world.verdict()

    play(story)


GARBLED: dict[str, Callable[[Response], Response]] = {
    "cut off": lambda answer: Response(answer.status, answer.body[: len(answer.body) // 2]),
    "empty": lambda answer: Response(answer.status, b""),
    "not JSON": lambda answer: Response(answer.status, b"<html>gateway</html>"),
    "not UTF-8": lambda answer: Response(answer.status, b'{"Ledger":"\xff"}'),
    "another type": lambda answer: Response(answer.status, b"[1, 2]"),
    "nested": lambda answer: Response(answer.status, b"[" * 100_000),
    "fault": lambda answer: Response(500, b"{}"),
    "too large": lambda answer: Response(answer.status, b" " * (17 * 1024 * 1024)),
}


@pytest.mark.parametrize("who", ["state", "cloud"])
@pytest.mark.parametrize("how", list(GARBLED))
def test_answers_that_make_no_sense_are_no_answers(
    how: str, who: str, caplog: pytest.LogCaptureFixture
) -> None:
    """What was asked for may have been done all the same. No loop ends over them."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(4, 30.0)
        service = world.store if who == "state" else world.cloud
        service.garble = GARBLED[how]
        submitting = loop.create_task(world.submit(world.job(2, Pieces=3, RunS=2.0)))
        if who == "state":
            status, _ = await world.ask(world.nodes[0], "GET", "/api/jobs/req-000001")
            assert status == 503  # nobody is told what was not read
        end = loop.time() + 6.0
        while loop.time() < end:
            world.rule_checker.check()
            world.shard_leader()  # never two
            await asyncio.sleep(0.1)
        world.heal()
        await submitting
        await world.until_done("req-000001", "req-000002", seconds=120)
        assert not any(task.done() for task in world.running.values())
        world.verdict()

    log.addHandler(caplog.handler)
    try:
        play(story)
    finally:
        log.removeHandler(caplog.handler)
    assert [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR] == []
