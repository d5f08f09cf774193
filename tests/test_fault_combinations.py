"""Two troubles that meet, each meeting brought about; no rule may break."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.fakes import FakeWorker, World
from tests.simulation import Loop, play

LEASE, CANCEL = 10.0, 30.0  # s; together with a right of a third of a lease they leave little over


def _others(world: World, name: str) -> list[str]:
    return [other for other in world.nodes if other != name]


async def _watch(world: World, seconds: float) -> None:
    """Let time pass under the rule checker's eyes."""
    end = world.loop.time() + seconds
    while world.loop.time() < end:
        world.rule_checker.check()
        world.shard_leader()  # never two
        await asyncio.sleep(0.05)


# The key-value store refuses the leader alone, somebody else confirms cancellations, and then it is
# out for all


async def _at_once(world: World, shard_leader: str, ref: str) -> None:
    world.store.refused.add(world.host(shard_leader))
    assert await world.cancel(ref, _others(world, shard_leader)[0]) == "withdrawn"


async def _just_before(world: World, shard_leader: str, ref: str) -> None:
    """The shard leader's watch has been opened, and its answer is on its way when the refusal
    begins."""
    world.net.cut(world.host(shard_leader), world.store.HOST)
    assert await world.cancel(ref, _others(world, shard_leader)[0]) == "withdrawn"
    world.store.refused.add(world.host(shard_leader))
    world.net.heal(world.host(shard_leader), world.store.HOST, deliver=False)


async def _a_while_after(world: World, shard_leader: str, ref: str) -> None:
    world.store.refused.add(world.host(shard_leader))
    await asyncio.sleep(1.5)
    assert await world.cancel(ref, _others(world, shard_leader)[0]) == "withdrawn"


async def _by_a_poll(world: World, shard_leader: str, ref: str) -> None:
    """Nobody hears the answer to the cancellation; a third controller tells of it."""
    first, second = _others(world, shard_leader)
    world.store.refused.add(world.host(shard_leader))
    world.asked_cancel[ref] = True
    await world.ask(first, "POST", f"/api/jobs/{ref}/cancel")
    assert await world.poll(ref, second) == "withdrawn"


async def _by_one_that_restarts(world: World, shard_leader: str, ref: str) -> None:
    first = _others(world, shard_leader)[0]
    await _at_once(world, shard_leader, ref)
    world.crash(first)
    await asyncio.sleep(0.3)
    world.boot(first)
    await asyncio.sleep(0.3)


async def _owner_stands_still(world: World, shard_leader: str, ref: str) -> None:
    await _at_once(world, shard_leader, ref)
    world.freeze(shard_leader)
    world.loop.call_later(7.0, world.thaw, shard_leader)


async def _machines_hang(world: World, shard_leader: str, ref: str) -> None:
    """They hang within their lease and go on with what they had."""
    await _at_once(world, shard_leader, ref)
    for machine in world.cloud.machines.values():
        machine.hung = True
        world.loop.call_later(0.8 * LEASE, setattr, machine, "hung", False)


Confirm = Callable[[World, str, str], Awaitable[None]]
WAYS: list[Confirm] = [
    _at_once,
    _just_before,
    _a_while_after,
    _by_a_poll,
    _by_one_that_restarts,
    _owner_stands_still,
    _machines_hang,
]


@pytest.mark.parametrize("wait", [0.2, 1.0])
@pytest.mark.parametrize("confirm", WAYS)
def test_a_cancellation_is_kept_when_the_leader_is_refused_and_then_everybody(
    confirm: Confirm, wait: float
) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, lease=LEASE, cancel=CANCEL)
        await world.busy(6, 500.0)
        for number in (1, 2):  # twice in a row
            ref = f"req-{number:06d}"
            shard_leader = world.shard_leader()
            assert shard_leader is not None
            await confirm(world, shard_leader, ref)
            await asyncio.sleep(wait)
            world.store.down = True
            await _watch(world, 5)
            world.store.refused.clear()
            await _watch(world, CANCEL)
            assert world.on(ref) == []
            world.store.outage_over()
            await world.submit(world.job(number + 1, Pieces=6, RunS=500.0))
            await world.until(lambda n=number: len(world.on(f"req-{n + 1:06d}")) == 6)
        world.verdict()

    play(story)


def test_an_owner_that_could_not_load_its_block_renews_no_lease() -> None:
    """All controllers end after a cancellation that the shard leader did not see. The next one is
    leased the shard, and the key-value store is out before it has read which jobs are open."""

    async def story(loop: Loop) -> None:
        world = World(loop, lease=LEASE, cancel=CANCEL)
        shard_leader = await world.busy(6, 500.0)
        await _at_once(world, shard_leader, "req-000001")
        for name in world.nodes:
            world.crash(name)
            loop.call_later(5.0, world.boot, name)
        world.store.refused.clear()
        while world.store.keys["c/block/0"][0]["baton"] == 1:
            await asyncio.sleep(0.001)
        world.store.down = True
        await _watch(world, 2 * CANCEL)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


def test_an_owner_that_has_not_read_which_jobs_are_open_stops_nothing() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, lease=LEASE, cancel=CANCEL)
        await world.start()
        await world.submit(world.job(1, Pieces=12, Cores=4.0, Grades=["small"], RunS=40.0))
        await world.until(lambda: len(world.on("req-000001")) == 12)
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        starts = world.rule_checker.starts
        world.store.slowness = 250.0  # each answer takes half a second
        world.crash(shard_leader)
        world.boot(shard_leader)
        await _watch(world, 8)
        world.store.slowness = 1.0
        await world.until_done("req-000001", seconds=100)
        assert world.rule_checker.starts == starts
        world.verdict()

    play(story)


def test_an_owner_that_alone_is_refused_starts_nothing_of_a_job_that_is_cancelled() -> None:
    """Others tell it directly; its right lasts for a while yet, and more tasks than room wait."""

    async def story(loop: Loop) -> None:
        world = World(loop, lease=LEASE, cancel=CANCEL)
        world.cloud.capacity = 2
        await world.start()
        await world.submit(world.job(1, Pieces=1000, RunS=500.0, Grades=["large"]))
        await world.until(lambda: world.rule_checker.starts > 20)
        await asyncio.sleep(2)
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        await world.submit(world.job(2, Pieces=100, RunS=0.5))
        world.store.refused.add(world.host(shard_leader))
        await asyncio.sleep(0.1)
        assert await world.cancel("req-000001", _others(world, shard_leader)[0]) == "withdrawn"
        await _watch(world, 0.5)  # sooner than the shard leader asks anybody
        assert world.on("req-000001") == []
        starts = world.rule_checker.starts_of("req-000001")
        assert world.shard_leader() == shard_leader
        await _watch(world, 10)
        assert world.rule_checker.starts_of("req-000001") == starts
        assert world.rule_checker.starts_of("req-000002") > 0
        world.verdict()

    play(story)


# The others


async def _end(world: World, *refs: str, seconds: float = 200) -> None:
    """All troubles are over: every job is answered soon, and those that were not cancelled run."""
    world.heal()
    over = world.loop.time()
    for ref in world.jobs:
        while await world.poll(ref) not in ("pending", "running", "done", "withdrawn"):
            assert world.loop.time() < over + 75, f"forgotten {ref}"
            await asyncio.sleep(1)
    await world.until_done(*refs, seconds=seconds)
    world.verdict()


def _holders(world: World, ref: str) -> list[FakeWorker]:
    return [world.rule_checker.on[task] for task in world.on(ref)]


@pytest.mark.parametrize("how", ["hung", "deaf", "mute"])
def test_the_leader_ends_while_machines_with_long_tasks_do_not_hear_the_next(how: str) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 60.0)
        await world.submit(world.job(2, Shape="group", Pieces=2, Cores=3.0, RunS=40.0))
        await world.until(lambda: len(world.on("req-000002")) == 2)
        for machine in _holders(world, "req-000001")[:3]:
            setattr(machine, how, True)
        world.crash(shard_leader)
        await _watch(world, 1)
        world.boot(shard_leader)
        await world.submit(world.job(3, Pieces=4, RunS=3.0))
        await _watch(world, 30)
        await _end(world, "req-000001", "req-000002", "req-000003")

    play(story)


def test_urgent_and_other_work_beyond_the_room_over_slow_links() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, limits={"red": 30})
        world.cloud.capacity = 3
        await world.start()
        for name in world.nodes:
            world.net.slow[world.host(name)] = 0.4
        refs = []
        for number in range(1, 10):
            rank = ["best_effort", "high"][number % 2]
            crew = ["red", "blue"][number % 2]
            await world.submit(world.job(number, Pieces=10, Rank=rank, Crew=crew, RunS=2.0))
            refs.append(f"req-{number:06d}")
        await _watch(world, 10)
        await _end(world, *refs)

    play(story)


def test_jobs_of_one_zone_lose_machines_and_stay_there() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(1, Pieces=6, OneZone=True, Cores=3.0, RunS=15.0))
        await world.submit(
            world.job(2, Shape="group", Pieces=3, OneZone=True, Cores=3.0, RunS=15.0)
        )
        await world.until(lambda: len(world.on("req-000001")) >= 3)
        for round_ in range(3):
            held = _holders(world, "req-000001") + _holders(world, "req-000002")
            if held:
                victim = held[round_ % len(held)]
                if round_ == 1:
                    victim.hung = True
                elif victim.name in world.cloud.machines:
                    world.cloud.machines.pop(victim.name).stop()
            shard_leader = world.shard_leader()
            if shard_leader is not None:
                world.crash(shard_leader)
                world.boot(shard_leader)
            await _watch(world, 8)
        await _end(world, "req-000001", "req-000002")

    play(story)


def test_a_team_at_its_limit_a_new_leader_machines_that_can_not_be_asked_and_a_cancellation() -> (
    None
):
    async def story(loop: Loop) -> None:
        world = World(loop, limits={"red": 8})
        await world.start()
        await world.submit(world.job(1, Pieces=8, RunS=100.0))
        await world.until(lambda: len(world.on("req-000001")) == 8)
        await world.submit(world.job(2, Pieces=8, RunS=5.0))  # no room: the team is at its limit
        await _watch(world, 2)
        assert world.on("req-000002") == []
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        silent = _holders(world, "req-000001")[0]
        for name in world.nodes:
            world.net.cut(silent.host, world.host(name))
        world.crash(shard_leader)
        assert await world.cancel("req-000001", _others(world, shard_leader)[0]) == "withdrawn"
        since = loop.time()
        await world.until(lambda: len(world.on("req-000002")) > 0, seconds=30)
        assert loop.time() - since < 3 * FakeWorker.LEASE  # nobody waits for ever
        await _watch(world, 5)
        for name in world.nodes:
            world.net.heal(silent.host, world.host(name))
        await _end(world, "req-000002")

    play(story)


@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(outage: bool) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed=3)
        await world.busy(6, 100.0)
        await world.submit(world.job(2, Shape="group", Pieces=2, Cores=2.0, RunS=30.0))
        for moment in range(10):
            if outage and moment in (2, 6):
                world.store.down = True
            if moment in (4, 8) and world.store.down:
                world.store.outage_over()
            leader = world.shard_leader() or world.nodes[moment % 3]
            if leader in world.running:
                world.crash(leader)
            await _watch(world, 0.4 if moment % 3 else 3.0)
            world.boot(leader)
            await _watch(world, 10)
        await _end(world, "req-000001", "req-000002")

    play(story)


def test_a_command_is_held_up_and_the_machine_goes_on_after_a_cancellation() -> None:
    """Starts are on their way to machines that can't be reached for seconds, or that hang."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(2, 60.0)
        machines = list(world.cloud.machines.values())
        for machine in machines:
            world.net.cut(machine.host, world.host(shard_leader))
        await world.submit(world.job(2, Pieces=8, RunS=60.0), shard_leader)
        await _watch(world, 1.0)  # direct starts are held in the cut
        for machine in machines[:1]:
            machine.hung = True
        assert await world.cancel("req-000002") == "withdrawn"
        await _watch(world, 2.0)
        for machine in machines:
            world.net.heal(machine.host, world.host(shard_leader), deliver=True)
        await _watch(world, 2.0)
        for machine in machines:
            machine.hung = False
        await _watch(world, World.CANCEL)
        assert world.on("req-000002") == []
        await _end(world, "req-000001")

    play(story)


def test_a_report_is_held_back_until_a_new_leader_has_acted() -> None:
    """Also one of an earlier session, after newer ones of the machine."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(4, 30.0)
        machine = _holders(world, "req-000001")[0]
        old = machine.heartbeat()  # never sent so far
        world.crash(shard_leader)
        await world.until(lambda: world.shard_leader() not in (None, shard_leader))
        second = world.shard_leader()
        assert second is not None
        await _watch(world, 3)
        await world.ask(second, "POST", "/agent/beat", old)
        machine.hung = True  # until its lease and with it its session has ended
        await _watch(world, 2.5 * FakeWorker.LEASE)
        machine.hung = False
        await _watch(world, 3)
        for _ in range(3):
            await world.ask(second, "POST", "/agent/beat", old)
            await _watch(world, 1)
        world.boot(shard_leader)
        await _end(world, "req-000001")

    play(story)


def test_controllers_hand_over_and_back_all_end_and_one_returns_within_a_second() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed=7)
        await world.busy(6, 40.0)
        for _ in range(4):
            shard_leader = world.shard_leader()
            if shard_leader is not None:
                world.parts[shard_leader].shard_leaders[
                    0
                ].stepped_down = True  # it hands its shard back
            await _watch(world, 1.5)
            for name in world.nodes:
                world.crash(name)
            await _watch(world, 0.6)
            world.boot(world.nodes[0])
            await _watch(world, 2)
            for name in world.nodes[1:]:
                world.boot(name)
            await _watch(world, 4)
        await _end(world, "req-000001")

    play(story)


def test_mute_machines_get_no_new_tasks_and_are_given_back() -> None:
    """They reach no controller, while direct commands reach them."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(4, 10.0)
        mute = list(world.cloud.machines.values())
        for machine in mute:
            machine.mute = True
        await _watch(world, FakeWorker.LEASE / 2 + 2)
        ran = world.rule_checker.starts
        refs = [f"req-{number:06d}" for number in range(2, 8)]
        for ref in refs:
            await world.submit(world.job(int(ref[4:]), Pieces=2, RunS=5.0))
            await _watch(world, 3)
        await world.until_done("req-000001", *refs, seconds=100)
        # Each task of the first job once more at most, all others once: none died on a mute one.
        assert world.rule_checker.starts <= ran + 4 + 2 * len(refs)
        assert not any(machine.name in world.cloud.machines for machine in mute)
        await _end(world, "req-000001")

    play(story)


def test_jobs_whose_tasks_end_far_apart_across_a_change_of_leader() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        refs = [f"req-{number:06d}" for number in range(1, 5)]
        for number, ref in enumerate(refs, 1):
            await world.submit(world.job(number, Pieces=2 + number % 2, RunS=4.0))
            await world.until(lambda ref=ref: world.on(ref))
            slow = _holders(world, ref)[0]
            slow.hung = True
            loop.call_later(4.5, setattr, slow, "hung", False)
            await _watch(world, 2 + number)
            shard_leader = world.shard_leader()
            if shard_leader is not None:
                world.crash(shard_leader)
                await _watch(world, 0.5)
                world.boot(shard_leader)
        await _end(world, *refs)

    play(story)


@pytest.mark.parametrize("share", [0.15, 0.4])
def test_transactions_without_an_answer_are_carried_out_late(share: float) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed=2)
        await world.start()
        world.store.late_writes = share
        refs = []
        for number in range(1, 9):
            refs.append(f"req-{number:06d}")
            await world.submit(world.job(number, Pieces=3, RunS=4.0 * (1 + number % 3)))
            await _watch(world, 2)
            if number % 4 == 0:
                assert await world.cancel(refs.pop()) in ("withdrawn", "done")
            if number == 5:
                shard_leader = world.shard_leader()
                if shard_leader is not None:
                    world.crash(shard_leader)
                    await _watch(world, 1)
                    world.boot(shard_leader)
        await _watch(world, 15)
        await _end(world, *(ref for ref in refs if ref not in world.rule_checker.cancelled_at))

    play(story)


def test_a_late_write_of_results_does_not_undo_a_newer_one() -> None:
    """The workers have forgotten what the newer one holds; the next shard leader reads it."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 1
        await world.start()
        # On the large type: on the small one fewer than 40 tasks end while we look.
        job = world.job(1, Pieces=400, Cores=1.0, RunS=2.0, Grades=["large"])
        await world.submit(job)
        await world.until(lambda: len(world.rule_checker.results) >= 16)
        # From now on writes of results go unanswered, and are carried out much later.
        world.store.late_writes, world.store.late_keys = 1.0, "open/req-000001/"
        await _watch(world, 2.5)
        world.store.late_writes = 0.0
        key = "open/req-000001/0.0"
        highest = 0
        for _ in range(150):
            await _watch(world, 0.1)
            count = world.store.keys.get(key, ({"count": 0},))[0]["count"]
            assert count >= highest, (count, highest)
            highest = count
        assert highest > 40
        world.verdict()

    play(story)


def test_a_late_write_does_not_bring_back_the_record_of_a_hire() -> None:
    """It would be taken for machines that are on their way."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(1, Pieces=4, RunS=60.0))
        scale_outs: list[str] = []
        while not scale_outs:
            await asyncio.sleep(0.001)
            scale_outs = [key for key in world.store.keys if key.startswith("hire/")]
        world.store.late_writes, world.store.late_keys = 1.0, "hire/"
        world.store.late_by = (9.0, 10.0)  # its machine is up and written down by then
        await _watch(world, 1.0)
        world.store.late_writes = 0.0
        await world.until(lambda: scale_outs[0] not in world.store.keys, seconds=15)
        await _watch(world, 15)
        assert scale_outs[0] not in world.store.keys
        await _end(world, "req-000001")

    play(story)


def test_the_leader_is_refused_then_everybody_while_users_cancel_and_ask() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(4, 200.0)
        for number in range(2, 7):
            await world.submit(world.job(number, Pieces=2, RunS=200.0))
        world.store.slowness = 8.0
        await _watch(world, 3)
        world.store.refused.add(world.host(shard_leader))
        cancels = []
        for number in range(2, 7):
            cancels.append(loop.create_task(world.cancel(f"req-{number:06d}")))
            await _watch(world, 0.4)
            for asked in range(1, number):
                await world.poll(f"req-{asked:06d}")
        world.store.down = True
        await _watch(world, World.CANCEL + 5)
        world.store.refused.clear()
        world.store.outage_over()
        world.store.slowness = 1.0
        await asyncio.gather(*cancels)
        await _watch(world, World.CANCEL)
        assert not any(world.on(f"req-{number:06d}") for number in range(2, 7))
        await _end(world, "req-000001", seconds=400)

    play(story)


def test_jobs_are_cancelled_through_a_new_leader_while_the_old_one_has_its_workers_and_users() -> (
    None
):
    async def story(loop: Loop) -> None:
        world = World(loop)
        first = await world.busy(6, 200.0)
        await world.submit(world.job(2, Pieces=4, RunS=200.0))
        await world.until(lambda: len(world.on("req-000002")) == 4)
        world.estrange(first)
        other = _others(world, first)[0]
        assert await world.cancel("req-000001", other) == "withdrawn"
        await _watch(world, 0.5)
        # The old leader must say nothing older to anybody.
        for _ in range(20):
            await world.poll("req-000001", first)
            await _watch(world, 0.3)
        assert await world.cancel("req-000002", other) == "withdrawn"
        await _watch(world, World.CANCEL)
        assert world.on("req-000001") == [] and world.on("req-000002") == []
        world.reconcile(first)
        await _end(world)

    play(story)


def test_all_controllers_are_away_for_longer_than_a_lease() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(6, 20.0)
        await world.submit(world.job(2, Shape="group", Pieces=2, Cores=2.0, RunS=20.0))
        for name in world.nodes:
            world.crash(name)
        await _watch(world, 2 * FakeWorker.LEASE)
        assert world.on("req-000001") == []  # their leases have run out
        for name in world.nodes:
            world.boot(name)
        await _end(world, "req-000001", "req-000002")

    play(story)


@pytest.mark.parametrize("seed", range(3))
def test_a_cancellation_a_question_and_a_repeated_submission_meet_the_end_of_the_last_task(
    seed: int,
) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed=seed)
        await world.start()
        await world.submit(world.job(100, Pieces=8, RunS=100.0))  # machines that stay
        await world.until(lambda: len(world.on("req-000100")) == 8)
        for number in range(1, 25):
            ref = f"req-{number:06d}"
            job = world.job(number, Pieces=1 + number % 2, RunS=1.0)
            await world.submit(job)
            tasks = {f"{ref}/{index}" for index in range(job["Pieces"])}
            await world.until(lambda tasks=tasks: tasks <= world.rule_checker.results)
            await asyncio.sleep(0.02 * number * (seed + 1) / 2)
            await asyncio.gather(
                world.cancel(ref), world.poll(ref), world.submit(job), world.poll(ref)
            )
            assert await world.poll(ref) in ("done", "withdrawn")
        await _end(world)

    play(story, seed)


def test_jobs_that_can_not_run_or_lack_a_field_are_refused_and_known_ones_never() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        good = world.job(1, Pieces=2, RunS=30.0)
        assert await world.submit(good) == 201
        never = [
            {"Yard": "nowhere"},
            {"Grades": []},
            {"Grades": ["huge"]},
            {"Cores": 17.0},
            {"Grades": ["small"], "Gpus": 1.0},
            {"Crew": "nobody"},
            {"Shape": "group", "Pieces": 3, "OneZone": True, "Apart": True},
            {"Shape": "group", "Pieces": 3, "Yard": "a", "Apart": True},
        ]
        for number, fields in enumerate(never, 10):
            job = world.job(number, **fields)
            assert (await world.ask("node-0", "POST", "/api/jobs", job))[0] == 422, fields
        malformed = [{"Pieces": None}, {"Cores": "1"}, {"Pieces": 0}, {"Rank": "urgent"}]
        world.store.down = True  # what is malformed is known to be in an outage too
        for number, fields in enumerate(malformed, 30):
            job = world.job(number, **fields)
            assert (await world.ask("node-1", "POST", "/api/jobs", job))[0] == 400, fields
        for field in ("Lane", "Pieces", "OneZone", "GuessS", "Mould"):
            job = {key: value for key, value in world.job(40).items() if key != field}
            assert (await world.ask("node-1", "POST", "/api/jobs", job))[0] == 400, field
        # Nobody knows whether it was accepted earlier: neither 422 nor 200.
        job = world.job(50, Cores=17.0)
        assert (await world.ask("node-1", "POST", "/api/jobs", job))[0] == 503
        world.store.outage_over()
        await _watch(world, 3)
        await _end(world, "req-000001")

    play(story)


def test_a_question_read_before_a_cancellation_is_answered_as_of_after_it() -> None:
    """The controller has heard of the cancellation by the time its own read comes back."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(2, 100.0)
        asked, other = world.nodes[:2]
        world.store.slowness = 10.0  # 20 ms for an answer
        question = loop.create_task(world.ask(asked, "GET", "/api/jobs/req-000001"))
        await asyncio.sleep(0.01)  # the read has reached the key-value store
        world.net.cut(world.host(asked), world.store.HOST)
        await asyncio.sleep(0.03)  # it has been answered, and the answer is held up
        assert await world.cancel("req-000001", other) == "withdrawn"
        await asyncio.sleep(0.05)
        world.net.heal(world.host(asked), world.store.HOST)
        status, body = await question
        assert (status, body["Stage"]) == (200, "withdrawn")
        world.verdict()

    play(story)


def test_a_job_whose_cancellation_overtook_its_submission_is_not_taken_up() -> None:
    """The shard leader's watch brings the job late, and the end of the job later still."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(2, 100.0)
        other = _others(world, shard_leader)[0]
        owner_host = world.host(shard_leader)
        world.store.slowness = 10.0  # 20 ms for an answer
        await asyncio.sleep(0.5)
        world.net.cut(owner_host, world.store.HOST)
        await world.submit(world.job(2, Pieces=2, RunS=50.0), other)
        await asyncio.sleep(0.05)
        assert await world.cancel("req-000002", other) == "withdrawn"
        await asyncio.sleep(0.05)
        world.net.heal(owner_host, world.store.HOST)
        await asyncio.sleep(0.01)  # what was held up arrives, and nothing that was asked since
        world.net.cut(owner_host, world.store.HOST)
        await _watch(world, 0.8)
        world.net.heal(owner_host, world.store.HOST)
        await _watch(world, 3)
        assert world.rule_checker.started_cancelled == []
        assert world.shard_leader() == shard_leader
        world.verdict()

    play(story)
