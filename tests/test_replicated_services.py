"""Services: accepted, kept up whatever is lost, moved, cancelled; never done."""

import asyncio
from typing import Any

import pytest

from tests.fakes import FakeWorker, World
from tests.simulation import Loop, play


async def _served(world: World, **fields: Any) -> str:
    """Start, and have a service of job 1 run with all its replicas; who owns the shard."""
    await world.start()
    assert await world.submit(world.service(1, **fields)) == 201
    await world.until_served("req-000001")
    shard_leader = world.shard_leader()
    assert shard_leader is not None
    return shard_leader


def _hosts(world: World, ref: str) -> list[str]:
    """The machines that hold the job's replicas."""
    on = world.rule_checker.on
    return [worker.name for task, worker in on.items() if task.partition("/")[0] == ref]


def test_a_service_runs_until_it_is_cancelled_and_is_never_done() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world)
        assert await world.submit(world.service(1)) == 200
        await asyncio.sleep(60)
        for name in world.nodes:
            status, body = await world.ask(name, "GET", "/api/jobs/req-000001")
            assert status == 200
            assert body == {"Ref": "req-000001", "Stage": "running", "done": 0, "running": 3}
        assert world.rule_checker.starts == 3
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(3)
        assert world.on("req-000001") == []
        assert await world.poll("req-000001") == "withdrawn"
        world.verdict()

    play(story)


@pytest.mark.parametrize("cause", ["done", "error", "stopped", "full"])
def test_a_replica_that_ends_is_started_anew_whatever_it_ended_of(cause: str) -> None:
    """Without the guard, one that ended with `done` had a result, and three of them a done job."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, RunS=40.0, EndsWith=cause)
        for _ in range(100):
            await world.poll("req-000001")
            await asyncio.sleep(2)
        assert world.rule_checker.starts >= 12  # each of three is started anew every 40 s
        assert not any(key.startswith("over/") for key in world.store.keys)
        await world.until_served("req-000001")
        world.verdict()

    play(story)


@pytest.mark.parametrize("cause", ["done", "error"])
def test_a_service_that_always_ends_at_once_waits_between_its_starts_and_can_be_cancelled(
    cause: str,
) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(2, Pieces=8, RunS=200.0, GuessS=200.0, Loaners=False))
        await world.submit(world.service(1, RunS=0.5, EndsWith=cause))
        await asyncio.sleep(120)
        assert world.rule_checker.starts_of("req-000001") < 40  # of 3 replicas, for two minutes
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        machines = world.parts[shard_leader].shard_leaders[0].shard.machines.values()
        assert not any(machine.draining for machine in machines)
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(3)
        assert world.on("req-000001") == []
        await world.until_done("req-000002", seconds=150)
        world.verdict()

    play(story)


def test_replicas_of_a_machine_that_dies_run_elsewhere_once_it_is_provably_gone() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, Apart=True, Pieces=4)
        name = _hosts(world, "req-000001")[0]
        world.cloud.machines.pop(name).stop()
        died = loop.time()
        await world.until_served("req-000001", seconds=FakeWorker.LEASE + 10)
        assert loop.time() > died
        world.verdict()

    play(story)


def test_replicas_on_a_machine_that_hangs_are_not_started_twice() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world)
        machine = world.cloud.machines[_hosts(world, "req-000001")[0]]
        machine.hung = True
        await asyncio.sleep(FakeWorker.LEASE * 0.8)
        machine.hung = False
        await world.until_served("req-000001")
        machine.hung = True
        await asyncio.sleep(FakeWorker.LEASE * 4)
        machine.hung = False
        await world.until_served("req-000001")
        world.verdict()

    play(story)


def test_replicas_move_from_a_machine_with_a_notice_before_it_goes() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, Loaners=True)
        await world.submit(world.job(2, Pieces=8, RunS=300.0, GuessS=300.0, Loaners=False))
        await world.until(lambda: len(world.on("req-000002")) == 8)
        name = _hosts(world, "req-000001")[0]
        world.cloud.machines[name].recall = loop.time() + 15
        await world.until(lambda: name not in _hosts(world, "req-000001"), seconds=12)
        await world.until_served("req-000001", seconds=3)
        assert loop.time() < world.cloud.machines[name].recall
        world.verdict()

    play(story)


def test_the_owner_crashes_and_replicas_run_on_without_a_new_start() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await _served(world)
        world.crash(shard_leader)
        await world.until(lambda: world.shard_leader() not in (None, shard_leader))
        await asyncio.sleep(5)
        assert world.rule_checker.starts == 3
        world.boot(shard_leader)
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(3)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


def test_a_change_of_owner_while_a_replicas_machine_can_not_be_asked() -> None:
    """The next shard leader may not start the replica before the lease of its machine is over."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await _served(world)
        machine = world.cloud.machines[_hosts(world, "req-000001")[0]]
        machine.hung = True
        world.crash(shard_leader)
        await world.until(lambda: world.shard_leader() not in (None, shard_leader))
        await asyncio.sleep(FakeWorker.LEASE / 2)
        machine.hung = False
        world.boot(shard_leader)
        await world.until_served("req-000001", seconds=FakeWorker.LEASE + 10)
        world.verdict()

    play(story)


def test_a_service_is_cancelled_while_its_replica_is_moved() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, Loaners=True)
        name = _hosts(world, "req-000001")[0]
        world.cloud.machines[name].recall = loop.time() + 15
        await world.until(lambda: len(world.on("req-000001")) < 3, seconds=15)
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(World.CANCEL)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


def test_a_full_fleet_makes_room_for_replicas_at_once() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 2
        await world.start()
        await world.submit(world.job(1, Pieces=100, RunS=60.0, Rank="best_effort", Loaners=False))
        await world.until(lambda: len(world.on("req-000001")) >= 8)
        await world.submit(world.service(2))
        await world.until_served("req-000002", seconds=4)
        world.verdict()

    play(story)


def test_a_full_fleet_of_the_same_rank_lets_a_service_wait_until_there_is_room() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 1
        await world.start()
        await world.submit(world.service(1, Pieces=4, Grades=["small"]))
        await world.until_served("req-000001")
        await world.submit(world.service(2, Pieces=2, Grades=["small"]))
        await asyncio.sleep(30)
        assert world.on("req-000002") == []
        await world.cancel("req-000001")
        await world.until_served("req-000002", seconds=10)
        world.verdict()

    play(story)


def test_a_team_at_its_limit_is_refused_what_never_fits_and_waits_for_what_does() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, limits={"red": 4.0})
        await world.start()
        assert await world.submit(world.service(1, Pieces=5)) == 422
        del world.jobs["req-000001"]
        assert await world.submit(world.service(2, Pieces=3)) == 201
        await world.until_served("req-000002")
        assert await world.submit(world.service(3, Pieces=4)) == 201
        await asyncio.sleep(20)
        assert len(world.on("req-000003")) == 1
        await world.cancel("req-000002")
        await world.until_served("req-000003", seconds=15)
        # What was accepted stays accepted, whatever the limit is now.
        for node in world.parts.values():
            node.user_api.teams["red"] = type(node.user_api.teams["red"])(cpus_max=1.0)
        for name in world.nodes:
            assert await world.submit(world.service(3, Pieces=4), name) == 200
        world.verdict()

    play(story)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"Pieces": 4, "Apart": True, "Yard": "a"}, 422),  # at most half of it in one zone
        ({"Pieces": 2, "Apart": True, "OneZone": True}, 422),
        ({"Pieces": 1, "Apart": True, "Yard": "a"}, 201),
        ({"Pieces": 4, "Apart": True}, 201),
        ({"Cores": 99.0}, 422),
        ({"GuessS": None}, 400),
        ({"Shape": "services"}, 400),
    ],
)
def test_what_can_never_run_and_what_is_malformed(fields: dict[str, Any], status: int) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await asyncio.sleep(3)
        assert await world.submit(world.service(1, **fields)) == status
        assert not world.store.oversized

    play(story)


def test_replicas_are_apart_also_after_losses() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, Pieces=6, Apart=True)
        for _ in range(3):
            zone_a = [n for n in _hosts(world, "req-000001") if world.cloud.machines[n].zone == "a"]
            world.cloud.machines.pop(zone_a[0]).stop()
            await world.until_served("req-000001", seconds=FakeWorker.LEASE + 20)
        world.verdict()

    play(story)


def test_a_rolled_cluster_keeps_services_up() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world, Pieces=6)
        for _ in range(2):
            for name in world.nodes:
                world.crash(name)
                await asyncio.sleep(1.0)
                world.boot(name)
                await asyncio.sleep(3.0)
        assert world.rule_checker.starts == 6
        world.verdict()

    play(story)


def test_machines_are_kept_under_replicas_and_returned_after_them() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await _served(world)
        before = set(_hosts(world, "req-000001"))
        await asyncio.sleep(240)
        assert set(_hosts(world, "req-000001")) == before
        assert world.rule_checker.starts == 3
        await world.cancel("req-000001")
        await world.until(lambda: not world.cloud.machines, seconds=400)
        world.verdict()

    play(story)
