"""Stories of a whole fleet: many machines at once, pages that differ in age, unanswered rental
requests."""

import asyncio
import dataclasses

import pytest

from basaltlead.clients.workers import Workers
from basaltlead.core.entities import Machine
from basaltlead.runtime.clock import now_us
from basaltlead.shard.dispatcher import WorkerDispatcher, worker_sockets
from basaltlead.wire.workers import DirectCommand
from tests.fakes import FakeWorker, World
from tests.simulation import HOST, Loop, play


async def _full(world: World, gangs: int, arrays: int) -> list[str]:
    """A fleet that is busy with gangs of three and arrays of eight."""
    await world.start()
    refs = []
    for number in range(1, gangs + arrays + 1):
        gang = number <= gangs
        job = world.job(
            number,
            Shape="group" if gang else "batch",
            Pieces=3 if gang else 8,
            Cores=3.0 if gang else 2.0,
            OneZone=gang,
            Rank="high" if gang else "best_effort",
            RunS=25.0,
            MarkEveryS=5.0 if gang else 0.0,
            MarkS=1.0 if gang else 0.0,
        )
        await world.submit(job)
        refs.append(job["Ref"])
    await world.until(lambda: sum(m.up for m in world.cloud.machines.values()) >= 40)
    await asyncio.sleep(3)
    return refs


def test_gangs_gather_again_after_many_machines_die_and_hang_at_once() -> None:
    """And those that neither died nor hung are not counted as lost, nor replaced twice."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 60
        refs = await _full(world, gangs=8, arrays=20)
        machines = list(world.cloud.machines.values())
        hung, dead, well = machines[:12], machines[12:24], machines[24:]
        for machine in hung:
            machine.hung = True
        for machine in dead:
            machine.stop()
            del world.cloud.machines[machine.name]
        before = world.cloud.count
        at = loop.time()
        while loop.time() < at + 1.5 * FakeWorker.LEASE:
            assert all(m.name in world.cloud.machines for m in well if m.tasks)
            await asyncio.sleep(0.5)
        assert all(m.epoch == 1 for m in well if m.name in world.cloud.machines)
        for machine in hung:
            machine.hung = False
        await world.until_done(*refs, seconds=300)
        assert world.cloud.count - before <= 2 * len(hung + dead)
        world.verdict()

    play(story)


def test_a_new_owner_of_many_machines_serves_them_within_their_leases() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 80
        refs = await _full(world, gangs=8, arrays=30)
        for _ in range(2):  # and again before the first failover is complete
            for name in list(world.running):
                world.crash(name)
            await asyncio.sleep(0.5)
            for name in world.nodes:
                world.boot(name)
            await asyncio.sleep(0.2)
        await world.until(lambda: world.shard_leader() is not None, seconds=FakeWorker.LEASE)
        await world.until_done(*refs, seconds=300)
        assert sum(m.epoch > 1 for m in world.cloud.machines.values()) == 0
        world.verdict()

    play(story)


def test_submissions_are_taken_at_once_while_a_whole_fleet_comes_up() -> None:
    """Its records and results alone would fill the limit on writes for many seconds."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 100
        world.write_rps = 30.0
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        shard_leader = world.shard_leader()
        for number in range(1, 41):
            await world.submit(world.job(number, Pieces=12, RunS=4.0), shard_leader)
        for number in range(41, 141):
            asked = loop.time()
            await world.submit(world.job(number, RunS=2.0), shard_leader)
            assert loop.time() - asked < 0.3
            await asyncio.sleep(0.3)
        assert world.cloud.count > 60
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 141)], seconds=300)
        world.verdict()

    play(story)


def test_a_job_is_done_in_time_while_bookkeeping_waits_for_its_turn() -> None:
    """Storing results of unfinished jobs waits behind hundreds of records; the last result of a
    job must not wait with them."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.write_rps = 30.0
        name = await world.busy(8, 4.0)
        await world.submit(world.job(2, Pieces=40, RunS=4.0))  # has results to store all the time
        writes = world.parts[name].shard_leaders[0].context.store.client.writes
        records = [loop.create_task(writes.take_low_priority(4)) for _ in range(100)]
        await world.submit(world.job(3, RunS=2.0, Rank="high"))
        await world.until(lambda: "req-000003/0" in world.rule_checker.results, seconds=40)
        await asyncio.sleep(3)
        assert await world.poll("req-000003") == "done"
        assert not all(record.done() for record in records)
        await world.until_done("req-000001", "req-000002", seconds=100)
        world.verdict()

    play(story)


def test_orders_do_not_wait_behind_questions_to_silent_machines() -> None:
    """A zone that is cut off has hundreds of them, and each question takes its whole time."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        name = await world.busy(1, 60.0)
        shard_leader = world.parts[name].shard_leaders[0]
        (live,) = [m for m in shard_leader.shard.machines.values() if m.attempts]
        context = shard_leader.context
        own_connections = Workers(worker_sockets(context.settings))  # from the test's own host
        context = dataclasses.replace(context, workers=own_connections)
        shard_leader.dispatcher = WorkerDispatcher(context)
        for number in range(2 * shard_leader.dispatcher.workers.most):
            silent = Machine(f"m-9{number:05d}", live.machine_type, "b", False, now_us())
            silent.address = f"10.1.3.{number}:9000"
            world.net.cut(HOST.get(), f"10.1.3.{number}")  # this story asks from there
            shard_leader.shard.add_machine(silent)
            shard_leader.dispatcher.probe(silent)
        await asyncio.sleep(0.1)
        asked = loop.time()
        command = DirectCommand(shard_leader.lease.fencing_token, live.epoch, [])
        assert (await shard_leader.dispatcher.workers.command(live.address, command))[0]
        assert loop.time() - asked < 0.1
        world.verdict()

    play(story)


def test_pages_of_the_list_that_differ_in_age_lose_no_machine() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 30
        world.cloud.page = 4
        world.cloud.lag = 4.0
        await world.start()
        world.cloud.mute = 2  # and two rental requests are carried out, but never answered
        await world.submit(world.job(1, Pieces=60, RunS=30.0))
        await world.until_done("req-000001", seconds=200)
        await asyncio.sleep(60)
        name = world.shard_leader()
        assert name is not None
        known = set(world.parts[name].shard_leaders[0].shard.machines)
        assert set(world.cloud.machines) <= known  # each is used or returned
        assert world.rule_checker.starts == 60
        world.verdict()

    play(story)


def test_a_controller_that_stood_still_believes_nothing_it_believed_before() -> None:
    """Its clocks ran on: what it believed when it stopped is checked against them."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 60.0)
        for number, seconds in enumerate((1.0, 3.0, 1.5 * FakeWorker.LEASE), start=2):
            holder = world.shard_leader() or shard_leader
            for more in range(4):
                await world.submit(world.job(10 * number + more, Pieces=3, RunS=5.0))
            world.freeze(holder)
            others = [name for name in world.nodes if name != holder]
            end = loop.time() + seconds
            assert await world.cancel(f"req-{10 * number:06d}", others[0]) == "withdrawn"
            while loop.time() < end:
                world.shard_leader()  # never two, and a frozen one's right ends by the clock
                await asyncio.sleep(0.25)
            world.thaw(holder)
            for _ in range(40):
                world.shard_leader()
                world.rule_checker.check()
                await asyncio.sleep(0.05)
            assert await world.poll(f"req-{10 * number:06d}", holder) in ("withdrawn", "503")
        await world.until_done("req-000001", seconds=200)
        await world.until_done(*[f"req-{10 * n + m:06d}" for n in (2, 3, 4) for m in (1, 2, 3)])
        world.verdict()

    play(story)


@pytest.mark.parametrize("signs", [(1, -1, 1), (-1, 1, -1)])
def test_job_times_outlive_a_takeover_with_clocks_that_are_off(signs: tuple[int, ...]) -> None:
    """What one controller wrote down by its time of day, another reads by its own."""

    async def story(loop: Loop) -> None:
        off = 1.0
        world = World(loop)
        for name, sign in zip(world.nodes, signs, strict=True):
            loop.wall_off[world.host(name)] = sign * off
        await world.start()
        asked = loop.time()
        await world.submit(world.job(1, Pieces=3, RunS=40.0, GuessS=40.0, DueS=100.0))
        accepted = loop.time()
        await world.until(lambda: len(world.on("req-000001")) == 3)
        first = world.shard_leader()
        assert first is not None
        await asyncio.sleep(10)
        world.crash(first)
        await world.until(lambda: world.shard_leader() not in (None, first))
        await asyncio.sleep(2)
        shard_leader = world.parts[str(world.shard_leader())].shard_leaders[0]
        job = shard_leader.shard.job_states["req-000001"]
        assert asked - 2 * off <= job.submitted_at / 1e6 <= accepted + 2 * off
        due_at = shard_leader.market.objectives.due(job, now_us()).at
        assert due_at is not None and abs(due_at / 1e6 - asked - 100.0) <= 2 * off + 1
        for machine in shard_leader.shard.machines.values():
            born = world.cloud.machines[machine.name].born
            assert abs(machine.made_at / 1e6 - born) < 15.0  # of use only to judge its first boot
        await world.until_done("req-000001")
        assert shard_leader.shard.ratio == {}  # nobody here saw the whole run of a task
        await world.submit(world.job(2, Pieces=3, RunS=20.0, GuessS=20.0))
        await world.until_done("req-000002")
        assert 0.9 <= shard_leader.shard.ratio["reports"] <= 1.1
        world.verdict()

    play(story)
