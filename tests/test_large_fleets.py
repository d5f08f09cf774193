"""Large fleets: many machines that fail or boot at once, list pages of different age, unanswered
rental requests, frozen controllers and skewed clocks."""

import asyncio

import msgspec
import pytest

from basaltlead.clients.workers import WorkerClient
from basaltlead.core.entities import Machine
from basaltlead.runtime.clock import now_us
from basaltlead.shard.dispatcher import WorkerDispatcher, worker_sockets
from basaltlead.wire.workers import DirectCommand
from tests.builders import job_refs
from tests.fakes import Deployment, FakeWorker
from tests.simulation import HOST, Loop, simulated


async def _start_busy_fleet(deployment: Deployment, gangs: int, arrays: int) -> list[str]:
    """Start a fleet that runs gangs of three tasks and arrays of eight. Returns the references of
    the jobs."""
    await deployment.start()
    refs = []
    for number in range(1, gangs + arrays + 1):
        gang = number <= gangs
        job = deployment.job(
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
        await deployment.submit(job)
        refs.append(job["Ref"])
    await deployment.wait_until(lambda: sum(m.up for m in deployment.cloud.machines.values()) >= 40)
    await asyncio.sleep(3)
    return refs


@simulated
async def test_gangs_restart_after_many_machines_die_and_hang_at_once(loop: Loop) -> None:
    """Machines that neither died nor hung are not considered lost, and the others are not replaced
    twice."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 60
    refs = await _start_busy_fleet(deployment, gangs=8, arrays=20)
    machines = list(deployment.cloud.machines.values())

    hung, dead, healthy = machines[:12], machines[12:24], machines[24:]
    for machine in hung:
        machine.hung = True
    for machine in dead:
        machine.stop()
        del deployment.cloud.machines[machine.name]
    rented_before = deployment.cloud.rented_count
    failed_at = loop.time()
    while loop.time() < failed_at + 1.5 * FakeWorker.LEASE_S:
        assert all(m.name in deployment.cloud.machines for m in healthy if m.tasks)
        await asyncio.sleep(0.5)
    assert all(m.epoch == 1 for m in healthy if m.name in deployment.cloud.machines)
    for machine in hung:
        machine.hung = False

    await deployment.wait_until_done(*refs, seconds=300)
    assert deployment.cloud.rented_count - rented_before <= 2 * len(hung + dead)
    deployment.assert_no_violation()


@simulated
async def test_new_shard_leader_of_many_machines_answers_them_within_their_leases(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 80
    refs = await _start_busy_fleet(deployment, gangs=8, arrays=30)

    for _ in range(2):  # the second time before the first failover is complete
        for name in list(deployment.controller_tasks):
            deployment.crash(name)
        await asyncio.sleep(0.5)
        for name in deployment.nodes:
            deployment.start_controller(name)
        await asyncio.sleep(0.2)
    await deployment.wait_until(
        lambda: deployment.shard_leader() is not None, seconds=FakeWorker.LEASE_S
    )

    await deployment.wait_until_done(*refs, seconds=300)
    assert sum(m.epoch > 1 for m in deployment.cloud.machines.values()) == 0
    deployment.assert_no_violation()


@simulated
async def test_submissions_are_accepted_at_once_while_a_large_fleet_boots(loop: Loop) -> None:
    """The machine records and task results alone exhaust the write limit for many seconds."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 100
    deployment.write_rps = 30.0
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    shard_leader = deployment.shard_leader()
    for number in range(1, 41):
        await deployment.submit(deployment.job(number, Pieces=12, RunS=4.0), shard_leader)
    for number in range(41, 141):
        submitted_at = loop.time()
        await deployment.submit(deployment.job(number, RunS=2.0), shard_leader)
        assert loop.time() - submitted_at < 0.3
        await asyncio.sleep(0.3)

    assert deployment.cloud.rented_count > 60
    await deployment.wait_until_done(*job_refs(1, 140), seconds=300)
    deployment.assert_no_violation()


@simulated
async def test_last_result_of_a_job_is_stored_before_background_writes(loop: Loop) -> None:
    """Storing results of unfinished jobs waits behind hundreds of records; the last result of a
    job must not wait with them."""
    deployment = Deployment(loop)
    deployment.write_rps = 30.0
    name = await deployment.start_with_running_job(8, 4.0)
    # This job has results to store all the time
    await deployment.submit(deployment.job(2, Pieces=40, RunS=4.0))
    write_limiter = deployment.controllers[name].shard_leaders[0].context.store.client.write_limiter

    background_writes = [loop.create_task(write_limiter.take_low_priority(4)) for _ in range(100)]
    await deployment.submit(deployment.job(3, RunS=2.0, Rank="high"))
    await deployment.wait_until(
        lambda: "req-000003/0" in deployment.rule_checker.results, seconds=40
    )
    await asyncio.sleep(3)

    assert await deployment.poll("req-000003") == "done"
    assert not all(write.done() for write in background_writes)
    await deployment.wait_until_done("req-000001", "req-000002", seconds=100)
    deployment.assert_no_violation()


@simulated
async def test_commands_do_not_wait_behind_probes_of_silent_machines(loop: Loop) -> None:
    """A zone that is cut off has hundreds of silent machines, and each probe lasts until its
    timeout."""
    deployment = Deployment(loop)
    name = await deployment.start_with_running_job(1, 60.0)
    shard_leader = deployment.controllers[name].shard_leaders[0]

    (busy,) = [m for m in shard_leader.shard.machines.values() if m.attempts]
    context = shard_leader.context
    own_connections = WorkerClient(worker_sockets(context.settings))  # from the test's own host
    context = msgspec.structs.replace(context, workers=own_connections)
    shard_leader.dispatcher = WorkerDispatcher(context)
    for number in range(2 * shard_leader.dispatcher.workers.max_connections):
        silent = Machine(f"m-9{number:05d}", busy.machine_type, "b", False, now_us())
        silent.address = f"10.1.3.{number}:9000"
        deployment.net.cut(HOST.get(), f"10.1.3.{number}")  # HOST: the test's own host
        shard_leader.shard.add_machine(silent)
        shard_leader.dispatcher.probe(silent)
    await asyncio.sleep(0.1)
    sent_at = loop.time()
    command = DirectCommand(shard_leader.lease.fencing_token, busy.epoch, [])

    assert (await shard_leader.dispatcher.workers.command(busy.address, command))[0]
    assert loop.time() - sent_at < 0.1
    deployment.assert_no_violation()


@simulated
async def test_list_pages_of_different_age_lose_no_machine(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 30
    deployment.cloud.max_page_rows = 4
    deployment.cloud.list_lag_s = 4.0
    await deployment.start()
    # Two scale-out requests are executed, but never answered
    deployment.cloud.unanswered_rentals = 2
    await deployment.submit(deployment.job(1, Pieces=60, RunS=30.0))
    await deployment.wait_until_done("req-000001", seconds=200)

    await asyncio.sleep(60)
    name = deployment.acting_shard_leader()
    known = set(deployment.controllers[name].shard_leaders[0].shard.machines)

    assert set(deployment.cloud.machines) <= known  # each is used or returned
    assert deployment.rule_checker.starts == 60
    deployment.assert_no_violation()


@simulated
async def test_frozen_controller_checks_its_lease_after_it_resumes(loop: Loop) -> None:
    """Its clocks run on during the freeze. After the freeze it must check by its clock whether its
    session lease has ended."""
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 60.0)

    for round_number, seconds in enumerate((1.0, 3.0, 1.5 * FakeWorker.LEASE_S), start=2):
        frozen = deployment.shard_leader() or shard_leader
        for job_index in range(4):
            await deployment.submit(
                deployment.job(10 * round_number + job_index, Pieces=3, RunS=5.0)
            )
        deployment.freeze(frozen)
        others = deployment.other_nodes(frozen)
        end = loop.time() + seconds
        assert await deployment.cancel(f"req-{10 * round_number:06d}", others[0]) == "withdrawn"
        while loop.time() < end:
            deployment.shard_leader()  # fails if two act; a frozen one's lease ends by the clock
            await asyncio.sleep(0.25)
        deployment.thaw(frozen)
        for _ in range(40):
            deployment.shard_leader()
            deployment.rule_checker.check()
            await asyncio.sleep(0.05)
        assert await deployment.poll(f"req-{10 * round_number:06d}", frozen) in ("withdrawn", "503")

    await deployment.wait_until_done("req-000001", seconds=200)
    await deployment.wait_until_done(
        *[
            f"req-{10 * round_number + job_index:06d}"
            for round_number in (2, 3, 4)
            for job_index in (1, 2, 3)
        ]
    )
    deployment.assert_no_violation()


@pytest.mark.parametrize(
    "signs", [(1, -1, 1), (-1, 1, -1)], ids=["fast-slow-fast", "slow-fast-slow"]
)
@simulated
async def test_job_times_survive_a_failover_between_skewed_clocks(
    loop: Loop, signs: tuple[int, ...]
) -> None:
    """One controller stores times of its wall clock, and another compares them with its own."""
    skew_s = 1.0
    deployment = Deployment(loop)

    for name, sign in zip(deployment.nodes, signs, strict=True):
        loop.wall_clock_offset_s[deployment.host(name)] = sign * skew_s
    await deployment.start()
    submitted_at = loop.time()
    await deployment.submit(deployment.job(1, Pieces=3, RunS=40.0, GuessS=40.0, DueS=100.0))
    accepted_at = loop.time()
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 3)
    first = deployment.acting_shard_leader()
    await asyncio.sleep(10)
    deployment.crash(first)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, first))
    await asyncio.sleep(2)
    shard_leader = deployment.controllers[str(deployment.shard_leader())].shard_leaders[0]
    job = shard_leader.shard.job_states["req-000001"]
    assert submitted_at - 2 * skew_s <= job.submitted_at / 1e6 <= accepted_at + 2 * skew_s
    due_at = shard_leader.market.objectives.due(job, now_us()).at
    assert due_at is not None
    assert abs(due_at / 1e6 - submitted_at - 100.0) <= 2 * skew_s + 1
    for machine in shard_leader.shard.machines.values():
        created_at = deployment.cloud.machines[machine.name].created_at
        # `created_at` is only used to judge how long the first boot takes
        assert abs(machine.created_at / 1e6 - created_at) < 15.0
    await deployment.wait_until_done("req-000001")
    assert shard_leader.shard.class_ratios == {}  # this leader has seen no complete run
    await deployment.submit(deployment.job(2, Pieces=3, RunS=20.0, GuessS=20.0))

    await deployment.wait_until_done("req-000002")
    assert 0.9 <= shard_leader.shard.class_ratios["reports"] <= 1.1
    deployment.assert_no_violation()
