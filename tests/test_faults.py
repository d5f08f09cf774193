"""Troubles of which half goes unseen: one-way links, late copies, quick returns."""

import asyncio

from tests.fakes import FakeCloud, FakeState, FakeWorker, World
from tests.simulation import Loop, play


def _holder(world: World, task: str) -> FakeWorker:
    return world.rule_checker.on[task]


def test_a_deaf_machine_loses_its_tasks_to_others_gets_no_new_ones_and_is_returned() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(2, 60.0)
        deaf = _holder(world, "req-000001/0")
        deaf.deaf = True
        since = loop.time()
        await world.until(
            lambda: world.rule_checker.on.get("req-000001/0") not in (None, deaf), seconds=40
        )
        assert loop.time() - since < 4 * FakeWorker.LEASE
        await world.submit(world.job(2, Pieces=4, RunS=20.0))
        await world.until(lambda: deaf.name not in world.cloud.machines, seconds=60)
        assert not any(worker is deaf for worker in world.rule_checker.on.values())
        await world.until_done("req-000001", "req-000002", seconds=200)
        world.verdict()

    play(story)


def test_a_deaf_machine_does_not_hold_up_the_jobs_of_an_earlier_owner() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(2, 60.0)
        deaf = _holder(world, "req-000001/0")
        deaf.deaf = True
        world.crash(shard_leader)
        since = loop.time()
        await world.submit(world.job(2, Pieces=2, RunS=5.0))
        await world.until_done("req-000002", seconds=60)
        await world.until(
            lambda: world.rule_checker.on.get("req-000001/0") not in (None, deaf), seconds=60
        )
        assert loop.time() - since < 6 * FakeWorker.LEASE
        world.boot(shard_leader)
        await world.until_done("req-000001", seconds=200)
        world.verdict()

    play(story)


def test_a_cancellation_is_kept_on_a_deaf_machine_too() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(4, 500.0)
        for machine in world.cloud.machines.values():
            machine.deaf = True
        assert await world.cancel("req-000001") == "withdrawn"
        await asyncio.sleep(World.CANCEL + 0.1)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


def test_a_controller_that_has_only_its_workers_left_gives_them_up_in_time() -> None:
    """It reaches neither the key-value store nor its peers; its workers' leases must not end."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        first = await world.busy(6, 40.0)
        starts = world.rule_checker.starts
        world.estrange(first)
        await world.until(
            lambda: world.shard_leader() not in (None, first), seconds=FakeWorker.LEASE
        )
        status, _ = await world.ask(first, "GET", "/healthz")
        assert status == 503  # users go elsewhere
        asked = loop.time()
        status, _ = await world.ask(first, "POST", "/api/jobs", world.job(2))
        assert status == 503 and loop.time() - asked < 0.1
        await world.until_done("req-000001")
        assert world.rule_checker.starts == starts  # nothing had to be started again
        world.reconcile(first)
        await asyncio.sleep(5)
        world.verdict()

    play(story)


def test_late_copies_do_not_bring_back_a_machine_that_an_earlier_owner_returned() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(2, 30.0)
        dead = _holder(world, "req-000001/0")
        held = dead.heartbeat()
        dead.stop()
        del world.cloud.machines[dead.name]
        key = f"mach/{dead.name}"
        await world.until(lambda: key not in world.store.keys, seconds=60)
        world.crash(shard_leader)
        await world.until(lambda: world.shard_leader() not in (None, shard_leader))
        second = world.shard_leader()
        assert second is not None
        await world.until(lambda: world.parts[second].shard_leaders[0].loaded)
        for _ in range(20):
            held["Tick"] += 1
            await world.ask(second, "POST", "/agent/beat", held)
            await asyncio.sleep(0.5)
        assert key not in world.store.keys
        assert dead.name not in world.parts[second].shard_leaders[0].shard.machines
        world.boot(shard_leader)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_controllers_that_are_back_at_once_in_mid_election_keep_the_rules() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed=5)
        world.copies = 0.3
        shard_leader = await world.busy(6, 60.0)
        for number in range(2, 6):
            await world.submit(world.job(number, Pieces=3, RunS=10.0))
        for moment in range(12):
            name = world.nodes[moment % 3] if moment % 2 else shard_leader
            world.crash(name)
            await asyncio.sleep(0.15)
            world.boot(name)
            await asyncio.sleep(0.4 + 0.3 * (moment % 4))
            world.shard_leader()  # never two
            world.rule_checker.check()
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 6)], seconds=200)
        world.verdict()

    play(story)


def test_every_accepted_job_is_answered_by_every_controller_soon_after_the_last_trouble() -> None:
    """All crash during an outage, with one of them cut off: nobody is forgotten."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        refs = [f"req-{n:06d}" for n in range(1, 7)]
        for number in range(1, 7):
            await world.submit(world.job(number, Pieces=2, RunS=3.0 * number))
        await world.cancel("req-000006")
        world.isolate("node-1")
        world.store.down = True
        await asyncio.sleep(1)
        for name in world.nodes:
            world.crash(name)
            await asyncio.sleep(0.2)
            world.boot(name)
        await asyncio.sleep(20)
        world.rejoin("node-1")
        world.store.outage_over()
        await asyncio.sleep(15)
        for name in world.nodes:
            for ref in refs:
                assert await world.poll(ref, name) in ("pending", "running", "done", "withdrawn")
        await world.until_done(*refs[:5], seconds=200)
        world.verdict()

    play(story)


def test_a_slow_state_service_costs_no_owner_its_right_and_peers_that_refuse_nobody_anything() -> (
    None
):
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 60.0)
        starts = world.rule_checker.starts
        world.net.refusing = {(world.host(name), 8081) for name in world.nodes}
        world.store.slowness = 10.0
        for number in range(2, 12):
            await world.submit(world.job(number, RunS=2.0))
            await asyncio.sleep(3)
            assert world.shard_leader() == shard_leader
        world.store.slowness = 1.0
        world.net.refusing.clear()
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 12)], seconds=100)
        assert world.rule_checker.starts == starts + 10  # each task was started once
        assert sorted(world.running) == world.nodes
        assert not any(task.done() for task in world.running.values())
        world.verdict()

    play(story)


def test_a_zone_that_is_cut_off_with_its_controller_runs_nothing_twice() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(8, 60.0)
        inside = [m for m in world.cloud.machines.values() if m.zone == "a"]
        outside = [FakeState.HOST, FakeCloud.HOST, "10.9.9.9"]
        outside += [world.host(name) for name in world.nodes if name != shard_leader]
        hosts = [world.host(shard_leader), *(m.host for m in inside)]
        for near in hosts:
            for far in outside:
                world.net.cut(near, far)
        await world.until(lambda: world.shard_leader() not in (None, shard_leader), seconds=20)
        await asyncio.sleep(3 * FakeWorker.LEASE)
        assert not any(m.tasks for m in inside)  # nobody renews their leases
        for near in hosts:
            for far in outside:
                world.net.heal(near, far)
        await world.until_done("req-000001", seconds=200)
        world.verdict()

    play(story)


def test_machines_are_not_returned_because_their_owner_did_not_hear_them() -> None:
    """All are silent at once, then some are back a little sooner than others."""

    async def story(loop: Loop) -> None:
        world = World(loop, nodes=1)
        await world.start()
        for number in range(1, 7):
            await world.submit(world.job(number, Cores=4.0, RunS=300.0))
        await world.until(lambda: len(world.rule_checker.on) == 6)
        rented = set(world.cloud.machines)
        assert len(rented) > 1
        world.isolate("node-0", store=False, cloud=False)
        await asyncio.sleep(2.5 * FakeWorker.LEASE)
        assert set(world.cloud.machines) == rented  # nor does it rent what it would not hear
        world.rejoin("node-0")
        await asyncio.sleep(15)
        assert rented <= set(world.cloud.machines)
        await world.until(lambda: len(world.rule_checker.on) == 6)
        world.verdict()

    play(story)


def test_nothing_is_hired_in_a_zone_of_which_nothing_is_heard() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 20
        await world.start()
        for number in range(1, 5):
            await world.submit(world.job(number, Cores=4.0, Yard="b", RunS=200.0))
        await world.submit(world.job(5, Cores=4.0, Yard="a", RunS=200.0))
        await world.until(lambda: len(world.rule_checker.on) == 5)
        dark = [m for m in world.cloud.machines.values() if m.zone == "b"]
        for machine in dark:
            for name in world.nodes:
                world.net.cut(machine.host, world.host(name))
        await asyncio.sleep(FakeWorker.LEASE)
        rented = set(world.cloud.machines)
        for number in range(6, 10):
            await world.submit(world.job(number, Cores=4.0, RunS=5.0))
        await world.until_done(*[f"req-{n:06d}" for n in range(6, 10)], seconds=60)
        new = [m for name, m in world.cloud.machines.items() if name not in rented]
        assert new and all(machine.zone == "a" for machine in new)
        world.verdict()

    play(story)


def test_a_slow_controller_keeps_its_block_and_its_workers() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 40.0)
        starts = world.rule_checker.starts
        world.net.slow[world.host(shard_leader)] = 0.15  # every answer it waits for takes longer
        await world.submit(world.job(2, RunS=2.0))
        for _ in range(20):
            await asyncio.sleep(1)
            assert world.shard_leader() == shard_leader
        world.net.slow.clear()
        await world.until_done("req-000001", "req-000002", seconds=100)
        assert world.rule_checker.starts == starts + 1
        world.verdict()

    play(story)
