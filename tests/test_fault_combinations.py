"""Combinations of faults, each timed to overlap with another; no rule may be violated."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.builders import job_refs
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, poll_until, simulated

# With a session lease of 0.3 * LEASE_S there is little time between the latest permitted stop of a
# task and CANCEL_S.
LEASE_S, CANCEL_S = 10.0, 30.0


async def _run_checked(deployment: Deployment, seconds: float) -> None:
    """Let time pass, and check the rules meanwhile."""
    end = deployment.loop.time() + seconds
    while deployment.loop.time() < end:
        deployment.rule_checker.check()
        deployment.shard_leader()  # fails if two act
        await asyncio.sleep(0.05)


# The key-value store refuses only the shard leader, another controller confirms cancellations, and
# then the store is down for all. Each of the following functions lets the store refuse the shard
# leader, and has the cancellation of job `ref` confirmed to its user.


async def _confirmed_at_once(deployment: Deployment, shard_leader: str, ref: str) -> None:
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    assert await deployment.cancel(ref, deployment.other_node(shard_leader)) == "withdrawn"


async def _confirmed_just_before(deployment: Deployment, shard_leader: str, ref: str) -> None:
    """The answer to the shard leader's watch is in flight when the refusal begins, and is lost."""
    deployment.net.cut(deployment.host(shard_leader), deployment.store.HOST)
    assert await deployment.cancel(ref, deployment.other_node(shard_leader)) == "withdrawn"
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    deployment.net.heal(deployment.host(shard_leader), deployment.store.HOST, deliver=False)


async def _confirmed_a_while_after(deployment: Deployment, shard_leader: str, ref: str) -> None:
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    await asyncio.sleep(1.5)
    assert await deployment.cancel(ref, deployment.other_node(shard_leader)) == "withdrawn"


async def _confirmed_by_a_poll(deployment: Deployment, shard_leader: str, ref: str) -> None:
    """The user misses the response to the cancellation, and polls a third controller."""
    first, second = deployment.other_nodes(shard_leader)
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    deployment.cancel_requested[ref] = True
    await deployment.request(first, "POST", f"/api/jobs/{ref}/cancel")
    assert await deployment.poll(ref, second) == "withdrawn"


async def _confirmed_by_one_that_restarts(
    deployment: Deployment, shard_leader: str, ref: str
) -> None:
    """The controller that confirmed the cancellation restarts."""
    first = deployment.other_node(shard_leader)
    await _confirmed_at_once(deployment, shard_leader, ref)
    await deployment.restart(first, 0.3)
    await asyncio.sleep(0.3)


async def _confirmed_while_leader_is_frozen(
    deployment: Deployment, shard_leader: str, ref: str
) -> None:
    await _confirmed_at_once(deployment, shard_leader, ref)
    deployment.freeze(shard_leader)
    deployment.loop.call_later(7.0, deployment.thaw, shard_leader)


async def _confirmed_while_machines_hang(
    deployment: Deployment, shard_leader: str, ref: str
) -> None:
    """The machines hang for less than a lease, and continue the tasks that they had."""
    await _confirmed_at_once(deployment, shard_leader, ref)
    for machine in deployment.cloud.machines.values():
        machine.hung = True
        deployment.loop.call_later(0.8 * LEASE_S, setattr, machine, "hung", False)


ConfirmCancellation = Callable[[Deployment, str, str], Awaitable[None]]
CONFIRMATIONS: list[ConfirmCancellation] = [
    _confirmed_at_once,
    _confirmed_just_before,
    _confirmed_a_while_after,
    _confirmed_by_a_poll,
    _confirmed_by_one_that_restarts,
    _confirmed_while_leader_is_frozen,
    _confirmed_while_machines_hang,
]


@pytest.mark.parametrize("wait", [0.2, 1.0])
@pytest.mark.parametrize("confirm", CONFIRMATIONS, ids=lambda confirm: confirm.__name__[1:])
@simulated
async def test_cancellation_holds_when_the_store_refuses_the_leader_and_then_everybody(
    loop: Loop, confirm: ConfirmCancellation, wait: float
) -> None:
    deployment = Deployment(loop, lease=LEASE_S, cancel=CANCEL_S)
    await deployment.start_with_running_job(6, 500.0)

    for number in (1, 2):  # twice in a row
        ref = f"req-{number:06d}"
        shard_leader = deployment.acting_shard_leader()
        await confirm(deployment, shard_leader, ref)
        await asyncio.sleep(wait)
        deployment.store.down = True
        await _run_checked(deployment, 5)
        deployment.store.refused_hosts.clear()
        await _run_checked(deployment, CANCEL_S)
        assert deployment.running_tasks(ref) == []
        deployment.store.end_outage()
        await deployment.submit(deployment.job(number + 1, Pieces=6, RunS=500.0))
        await deployment.wait_until(
            lambda n=number: len(deployment.running_tasks(f"req-{n + 1:06d}")) == 6
        )

    deployment.assert_no_violation()


@simulated
async def test_shard_leader_that_could_not_load_its_shard_renews_no_worker_lease(
    loop: Loop,
) -> None:
    """All controllers crash after a cancellation that the shard leader did not see. The next shard
    leader is granted the shard, and the key-value store goes down before the new leader has listed
    the open jobs. Since the new leader can't tell which running tasks are cancelled, it must not
    renew any worker's lease."""
    deployment = Deployment(loop, lease=LEASE_S, cancel=CANCEL_S)
    shard_leader = await deployment.start_with_running_job(6, 500.0)

    await _confirmed_at_once(deployment, shard_leader, "req-000001")
    for name in deployment.nodes:
        deployment.crash(name)
        loop.call_later(5.0, deployment.start_controller, name)
    deployment.store.refused_hosts.clear()
    await poll_until(lambda: deployment.store.keys["c/block/0"][0]["baton"] != 1, 0.001)
    deployment.store.down = True
    await _run_checked(deployment, 2 * CANCEL_S)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


@simulated
async def test_shard_leader_that_has_not_loaded_open_jobs_stops_nothing(loop: Loop) -> None:
    deployment = Deployment(loop, lease=LEASE_S, cancel=CANCEL_S)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=12, Cores=4.0, Grades=["small"], RunS=40.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 12)
    shard_leader = deployment.acting_shard_leader()
    starts = deployment.rule_checker.starts

    deployment.store.latency_factor = 250.0  # each answer takes half a second
    deployment.crash(shard_leader)
    deployment.start_controller(shard_leader)
    await _run_checked(deployment, 8)
    deployment.store.latency_factor = 1.0

    await deployment.wait_until_done("req-000001", seconds=100)
    assert deployment.rule_checker.starts == starts
    deployment.assert_no_violation()


@simulated
async def test_refused_shard_leader_starts_no_task_of_a_cancelled_job(loop: Loop) -> None:
    """The key-value store refuses only the shard leader, whose session lease is still valid for
    some time. Another controller notifies the shard leader of the cancellation. More tasks are
    waiting than there is room for."""
    deployment = Deployment(loop, lease=LEASE_S, cancel=CANCEL_S)
    deployment.cloud.capacity = 2
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=1000, RunS=500.0, Grades=["large"]))
    await deployment.wait_until(lambda: deployment.rule_checker.starts > 20)

    await asyncio.sleep(2)
    shard_leader = deployment.acting_shard_leader()
    await deployment.submit(deployment.job(2, Pieces=100, RunS=0.5))
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    await asyncio.sleep(0.1)
    assert await deployment.cancel("req-000001", deployment.other_node(shard_leader)) == "withdrawn"
    await _run_checked(deployment, 0.5)  # too soon for the shard leader to ask its peers
    assert deployment.running_tasks("req-000001") == []
    starts = deployment.rule_checker.starts_of("req-000001")
    assert deployment.shard_leader() == shard_leader
    await _run_checked(deployment, 10)

    assert deployment.rule_checker.starts_of("req-000001") == starts
    assert deployment.rule_checker.starts_of("req-000002") > 0
    deployment.assert_no_violation()


# Other combinations


async def _end_faults_and_finish(deployment: Deployment, *refs: str, seconds: float = 200) -> None:
    """End all faults; every job must be answered soon, and the jobs `refs` must be done."""
    deployment.end_all_faults()
    faults_over_at = deployment.loop.time()
    for ref in deployment.jobs:
        while await deployment.poll(ref) not in ("pending", "running", "done", "withdrawn"):
            assert deployment.loop.time() < faults_over_at + 75, f"forgotten {ref}"
            await asyncio.sleep(1)
    await deployment.wait_until_done(*refs, seconds=seconds)
    deployment.assert_no_violation()


def _workers_running(deployment: Deployment, ref: str) -> list[FakeWorker]:
    return [deployment.rule_checker.running_on[task] for task in deployment.running_tasks(ref)]


@pytest.mark.parametrize("fault", ["hung", "unreachable", "sends_no_heartbeats"])
@simulated
async def test_leader_crashes_while_machines_with_long_tasks_are_out_of_contact(
    loop: Loop, fault: str
) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 60.0)
    await deployment.submit(deployment.job(2, Shape="group", Pieces=2, Cores=3.0, RunS=40.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) == 2)

    for machine in _workers_running(deployment, "req-000001")[:3]:
        setattr(machine, fault, True)
    deployment.crash(shard_leader)
    await _run_checked(deployment, 1)
    deployment.start_controller(shard_leader)
    await deployment.submit(deployment.job(3, Pieces=4, RunS=3.0))
    await _run_checked(deployment, 30)

    await _end_faults_and_finish(deployment, "req-000001", "req-000002", "req-000003")


@simulated
async def test_overload_with_two_ranks_over_slow_links(loop: Loop) -> None:
    """Messages to the controllers are slow. Jobs of two ranks compete for three machines, and those
    of one team want more than its quota. The rules must hold, and all jobs must end."""
    deployment = Deployment(loop, team_cpus_max={"red": 30})
    deployment.cloud.capacity = 3
    await deployment.start()

    for name in deployment.nodes:
        deployment.net.slow[deployment.host(name)] = 0.4
    refs = []
    for number in range(1, 10):
        rank = ["best_effort", "high"][number % 2]
        crew = ["red", "blue"][number % 2]
        await deployment.submit(deployment.job(number, Pieces=10, Rank=rank, Crew=crew, RunS=2.0))
        refs.append(f"req-{number:06d}")
    await _run_checked(deployment, 10)

    await _end_faults_and_finish(deployment, *refs)


@simulated
async def test_one_zone_jobs_stay_in_their_zone_after_losses(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=6, OneZone=True, Cores=3.0, RunS=15.0))
    await deployment.submit(
        deployment.job(2, Shape="group", Pieces=3, OneZone=True, Cores=3.0, RunS=15.0)
    )
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) >= 3)

    for round_ in range(3):
        workers = _workers_running(deployment, "req-000001") + _workers_running(
            deployment, "req-000002"
        )
        if workers:
            failing_worker = workers[round_ % len(workers)]
            if round_ == 1:
                failing_worker.hung = True
            elif failing_worker.name in deployment.cloud.machines:
                deployment.cloud.machines.pop(failing_worker.name).stop()
        shard_leader = deployment.shard_leader()
        if shard_leader is not None:
            deployment.crash(shard_leader)
            deployment.start_controller(shard_leader)
        await _run_checked(deployment, 8)

    await _end_faults_and_finish(deployment, "req-000001", "req-000002")


@simulated
async def test_jobs_of_a_team_at_its_quota_start_within_three_leases_after_a_cancellation(
    loop: Loop,
) -> None:
    """The shard leader crashes, and one machine with tasks of the cancelled job is silent. The
    quota must hold meanwhile."""
    deployment = Deployment(loop, team_cpus_max={"red": 8})
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=8, RunS=100.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 8)
    # These tasks have to wait: the team is at its quota.
    await deployment.submit(deployment.job(2, Pieces=8, RunS=5.0))

    await _run_checked(deployment, 2)
    assert deployment.running_tasks("req-000002") == []
    shard_leader = deployment.acting_shard_leader()
    silent = _workers_running(deployment, "req-000001")[0]
    for name in deployment.nodes:
        deployment.net.cut(silent.host, deployment.host(name))
    deployment.crash(shard_leader)
    assert await deployment.cancel("req-000001", deployment.other_node(shard_leader)) == "withdrawn"
    since = loop.time()
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) > 0, seconds=30)
    assert loop.time() - since < 3 * FakeWorker.LEASE_S  # the wait is bounded
    await _run_checked(deployment, 5)
    for name in deployment.nodes:
        deployment.net.heal(silent.host, deployment.host(name))

    await _end_faults_and_finish(deployment, "req-000002")


@pytest.mark.parametrize("outage", [False, True], ids=["store up", "two outages"])
@simulated
async def test_ten_failovers_in_two_minutes(loop: Loop, outage: bool) -> None:
    deployment = Deployment(loop, seed=3)
    await deployment.start_with_running_job(6, 100.0)
    await deployment.submit(deployment.job(2, Shape="group", Pieces=2, Cores=2.0, RunS=30.0))

    for failover in range(10):
        if outage and failover in (2, 6):
            deployment.store.down = True
        if failover in (4, 8) and deployment.store.down:
            deployment.store.end_outage()
        leader = deployment.shard_leader() or deployment.nodes[failover % 3]
        if leader in deployment.controller_tasks:
            deployment.crash(leader)
        await _run_checked(deployment, 0.4 if failover % 3 else 3.0)
        deployment.start_controller(leader)
        await _run_checked(deployment, 10)

    await _end_faults_and_finish(deployment, "req-000001", "req-000002")


@simulated
async def test_delayed_start_commands_arrive_after_a_cancellation(loop: Loop) -> None:
    """Starts are in flight to machines that can't be reached for seconds, or that hang."""
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(2, 60.0)
    machines = list(deployment.cloud.machines.values())

    for machine in machines:
        deployment.net.cut(machine.host, deployment.host(shard_leader))
    await deployment.submit(deployment.job(2, Pieces=8, RunS=60.0), shard_leader)
    await _run_checked(deployment, 1.0)  # the network holds back the pushed starts
    for machine in machines[:1]:
        machine.hung = True
    assert await deployment.cancel("req-000002") == "withdrawn"
    await _run_checked(deployment, 2.0)
    for machine in machines:
        deployment.net.heal(machine.host, deployment.host(shard_leader), deliver=True)
    await _run_checked(deployment, 2.0)
    for machine in machines:
        machine.hung = False
    await _run_checked(deployment, Deployment.CANCEL_S)

    assert deployment.running_tasks("req-000002") == []
    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_heartbeat_delayed_until_after_a_failover(loop: Loop) -> None:
    """The same heartbeat arrives again after the machine has sent others in a new agent epoch."""
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(4, 30.0)
    machine = _workers_running(deployment, "req-000001")[0]

    old = machine.heartbeat()  # not sent yet
    deployment.crash(shard_leader)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, shard_leader))
    second = deployment.acting_shard_leader()
    await _run_checked(deployment, 3)
    await deployment.request(second, "POST", "/agent/beat", old)
    machine.hung = True  # until its lease has expired, and its agent epoch has ended
    await _run_checked(deployment, 2.5 * FakeWorker.LEASE_S)
    machine.hung = False
    await _run_checked(deployment, 3)
    for _ in range(3):
        await deployment.request(second, "POST", "/agent/beat", old)
        await _run_checked(deployment, 1)
    deployment.start_controller(shard_leader)

    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_handovers_followed_by_a_crash_of_all_controllers(loop: Loop) -> None:
    deployment = Deployment(loop, seed=7)
    await deployment.start_with_running_job(6, 40.0)

    for _ in range(4):
        shard_leader = deployment.shard_leader()
        if shard_leader is not None:
            # It releases its shard.
            deployment.controllers[shard_leader].shard_leaders[0].stepped_down = True
        await _run_checked(deployment, 1.5)
        for name in deployment.nodes:
            deployment.crash(name)
        await _run_checked(deployment, 0.6)
        deployment.start_controller(deployment.nodes[0])
        await _run_checked(deployment, 2)
        for name in deployment.nodes[1:]:
            deployment.start_controller(name)
        await _run_checked(deployment, 4)

    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_machines_without_heartbeats_get_no_tasks_and_are_returned(loop: Loop) -> None:
    """Their heartbeats reach no controller, while pushed commands reach them."""
    deployment = Deployment(loop)
    await deployment.start_with_running_job(4, 10.0)
    silent = list(deployment.cloud.machines.values())

    for machine in silent:
        machine.sends_no_heartbeats = True
    await _run_checked(deployment, FakeWorker.LEASE_S / 2 + 2)
    starts_before = deployment.rule_checker.starts
    refs = job_refs(2, 7)
    for ref in refs:
        await deployment.submit(deployment.job(int(ref[4:]), Pieces=2, RunS=5.0))
        await _run_checked(deployment, 3)

    await deployment.wait_until_done("req-000001", *refs, seconds=100)
    # The tasks of the first job were restarted once at most, all others started once: none was lost
    # on a silent machine.
    assert deployment.rule_checker.starts <= starts_before + 4 + 2 * len(refs)
    assert not any(machine.name in deployment.cloud.machines for machine in silent)
    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_tasks_of_one_job_end_far_apart_across_failovers(loop: Loop) -> None:
    """One machine of each job hangs, so tasks of the job may end on both sides of a failover. All
    jobs must end."""
    deployment = Deployment(loop)
    await deployment.start()
    refs = job_refs(1, 4)

    for number, ref in enumerate(refs, 1):
        await deployment.submit(deployment.job(number, Pieces=2 + number % 2, RunS=4.0))
        await deployment.wait_until(lambda ref=ref: deployment.running_tasks(ref))
        slow = _workers_running(deployment, ref)[0]
        slow.hung = True
        loop.call_later(4.5, setattr, slow, "hung", False)
        await _run_checked(deployment, 2 + number)
        shard_leader = deployment.shard_leader()
        if shard_leader is not None:
            deployment.crash(shard_leader)
            await _run_checked(deployment, 0.5)
            deployment.start_controller(shard_leader)

    await _end_faults_and_finish(deployment, *refs)


@pytest.mark.parametrize("share", [0.15, 0.4])
@simulated
async def test_rules_hold_when_the_store_applies_unanswered_transactions_late(
    loop: Loop, share: float
) -> None:
    deployment = Deployment(loop, seed=2)
    await deployment.start()

    deployment.store.late_write_share = share
    refs = []
    for number in range(1, 9):
        refs.append(f"req-{number:06d}")
        await deployment.submit(deployment.job(number, Pieces=3, RunS=4.0 * (1 + number % 3)))
        await _run_checked(deployment, 2)
        if number % 4 == 0:
            assert await deployment.cancel(refs.pop()) in ("withdrawn", "done")
        if number == 5:
            shard_leader = deployment.shard_leader()
            if shard_leader is not None:
                deployment.crash(shard_leader)
                await _run_checked(deployment, 1)
                deployment.start_controller(shard_leader)
    await _run_checked(deployment, 15)

    await _end_faults_and_finish(
        deployment, *(ref for ref in refs if ref not in deployment.rule_checker.cancelled_at)
    )


@simulated
async def test_late_write_of_results_does_not_undo_a_newer_one(loop: Loop) -> None:
    """Results would be lost: the workers have forgotten those that the newer write stored, and the
    next shard leader reads them from the key-value store."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 1
    await deployment.start()
    # More than 40 tasks must end in the 15 s in which results are observed below. On the small
    # machine type it would be fewer.
    job = deployment.job(1, Pieces=400, Cores=1.0, RunS=2.0, Grades=["large"])
    await deployment.submit(job)
    await deployment.wait_until(lambda: len(deployment.rule_checker.results) >= 16)

    # From now on writes of results are not answered, and are applied seconds later.
    deployment.store.late_write_share, deployment.store.late_key_prefix = 1.0, "open/req-000001/"
    await _run_checked(deployment, 2.5)
    deployment.store.late_write_share = 0.0
    key = "open/req-000001/0.0"
    highest = 0
    for _ in range(150):
        await _run_checked(deployment, 0.1)
        count = deployment.store.keys.get(key, ({"count": 0},))[0]["count"]
        assert count >= highest, (count, highest)
        highest = count

    assert highest > 40
    deployment.assert_no_violation()


@simulated
async def test_late_write_does_not_restore_a_deleted_rental_record(loop: Loop) -> None:
    """A restored record would be counted as machines that are still being rented."""
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=4, RunS=60.0))
    scale_outs: list[str] = []

    while not scale_outs:
        await asyncio.sleep(0.001)
        scale_outs = [key for key in deployment.store.keys if key.startswith("hire/")]
    deployment.store.late_write_share, deployment.store.late_key_prefix = 1.0, "hire/"
    deployment.store.late_by_s = (9.0, 10.0)  # its machine is up and recorded by then
    await _run_checked(deployment, 1.0)
    deployment.store.late_write_share = 0.0
    await deployment.wait_until(lambda: scale_outs[0] not in deployment.store.keys, seconds=15)
    await _run_checked(deployment, 15)

    assert scale_outs[0] not in deployment.store.keys
    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_users_cancel_and_poll_while_the_store_refuses_the_leader_and_then_everybody(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(4, 200.0)

    for number in range(2, 7):
        await deployment.submit(deployment.job(number, Pieces=2, RunS=200.0))
    deployment.store.latency_factor = 8.0
    await _run_checked(deployment, 3)
    deployment.store.refused_hosts.add(deployment.host(shard_leader))
    cancellations = []
    for number in range(2, 7):
        cancellations.append(loop.create_task(deployment.cancel(f"req-{number:06d}")))
        await _run_checked(deployment, 0.4)
        for polled in range(1, number):
            await deployment.poll(f"req-{polled:06d}")
    deployment.store.down = True
    await _run_checked(deployment, Deployment.CANCEL_S + 5)
    deployment.store.refused_hosts.clear()
    deployment.store.end_outage()
    deployment.store.latency_factor = 1.0
    await asyncio.gather(*cancellations)
    await _run_checked(deployment, Deployment.CANCEL_S)

    assert not any(deployment.running_tasks(f"req-{number:06d}") for number in range(2, 7))
    await _end_faults_and_finish(deployment, "req-000001", seconds=400)


@simulated
async def test_jobs_cancelled_elsewhere_end_although_the_old_leader_still_reaches_workers_and_users(
    loop: Loop,
) -> None:
    """The old shard leader is cut off from the key-value store and from its peers."""
    deployment = Deployment(loop)
    first = await deployment.start_with_running_job(6, 200.0)
    await deployment.submit(deployment.job(2, Pieces=4, RunS=200.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) == 4)

    deployment.cut_from_store_and_peers(first)
    other = deployment.other_node(first)
    assert await deployment.cancel("req-000001", other) == "withdrawn"
    await _run_checked(deployment, 0.5)
    # The old shard leader must not answer a user with an older state.
    for _ in range(20):
        await deployment.poll("req-000001", first)
        await _run_checked(deployment, 0.3)
    assert await deployment.cancel("req-000002", other) == "withdrawn"
    await _run_checked(deployment, Deployment.CANCEL_S)
    assert deployment.running_tasks("req-000001") == []
    assert deployment.running_tasks("req-000002") == []
    deployment.rejoin_store_and_peers(first)

    await _end_faults_and_finish(deployment)


@simulated
async def test_all_controllers_are_down_for_longer_than_a_worker_lease(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start_with_running_job(6, 20.0)
    await deployment.submit(deployment.job(2, Shape="group", Pieces=2, Cores=2.0, RunS=20.0))

    for name in deployment.nodes:
        deployment.crash(name)
    await _run_checked(deployment, 2 * FakeWorker.LEASE_S)
    assert deployment.running_tasks("req-000001") == []  # their leases have expired
    for name in deployment.nodes:
        deployment.start_controller(name)

    await _end_faults_and_finish(deployment, "req-000001", "req-000002")


@pytest.mark.parametrize("seed", range(3))
@simulated
async def test_cancel_poll_and_resubmit_race_with_the_last_result(loop: Loop, seed: int) -> None:
    deployment = Deployment(loop, seed=seed)
    await deployment.start()
    await deployment.submit(deployment.job(100, Pieces=8, RunS=100.0))  # keeps the machines rented
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000100")) == 8)

    for number in range(1, 25):
        ref = f"req-{number:06d}"
        job = deployment.job(number, Pieces=1 + number % 2, RunS=1.0)
        await deployment.submit(job)
        tasks = {f"{ref}/{index}" for index in range(job["Pieces"])}
        await deployment.wait_until(lambda tasks=tasks: tasks <= deployment.rule_checker.results)
        await asyncio.sleep(0.02 * number * (seed + 1) / 2)
        await asyncio.gather(
            deployment.cancel(ref),
            deployment.poll(ref),
            deployment.submit(job),
            deployment.poll(ref),
        )
        assert await deployment.poll(ref) in ("done", "withdrawn")

    await _end_faults_and_finish(deployment)


@simulated
async def test_invalid_jobs_are_refused_unless_they_may_have_been_accepted_before(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    good = deployment.job(1, Pieces=2, RunS=30.0)

    assert await deployment.submit(good) == 201
    impossible = [
        {"Yard": "nowhere"},
        {"Grades": []},
        {"Grades": ["huge"]},
        {"Cores": 17.0},
        {"Grades": ["small"], "Gpus": 1.0},
        {"Crew": "nobody"},
        {"Shape": "group", "Pieces": 3, "OneZone": True, "Apart": True},
        {"Shape": "group", "Pieces": 3, "Yard": "a", "Apart": True},
    ]
    for number, fields in enumerate(impossible, 10):
        job = deployment.job(number, **fields)
        assert (await deployment.request("node-0", "POST", "/api/jobs", job))[0] == 422, fields
    malformed = [{"Pieces": None}, {"Cores": "1"}, {"Pieces": 0}, {"Rank": "urgent"}]
    deployment.store.down = True  # malformed jobs are refused in an outage too
    for number, fields in enumerate(malformed, 30):
        job = deployment.job(number, **fields)
        assert (await deployment.request("node-1", "POST", "/api/jobs", job))[0] == 400, fields
    for field in ("Lane", "Pieces", "OneZone", "GuessS", "Mould"):
        job = {key: value for key, value in deployment.job(40).items() if key != field}
        assert (await deployment.request("node-1", "POST", "/api/jobs", job))[0] == 400, field
    # This job may have been accepted earlier, which only the store can tell. During the outage it
    # is answered with neither 422 nor 200.
    job = deployment.job(50, Cores=17.0)
    assert (await deployment.request("node-1", "POST", "/api/jobs", job))[0] == 503
    deployment.store.end_outage()
    await _run_checked(deployment, 3)

    await _end_faults_and_finish(deployment, "req-000001")


@simulated
async def test_poll_that_read_before_a_cancellation_reports_it(loop: Loop) -> None:
    """The controller is notified of the cancellation before the answer to its own read arrives."""
    deployment = Deployment(loop)
    await deployment.start_with_running_job(2, 100.0)
    polled, other = deployment.nodes[:2]

    deployment.store.latency_factor = 10.0  # each answer takes 20 ms
    pending_poll = loop.create_task(deployment.request(polled, "GET", "/api/jobs/req-000001"))
    await asyncio.sleep(0.01)  # the read has reached the key-value store
    deployment.net.cut(deployment.host(polled), deployment.store.HOST)
    await asyncio.sleep(0.03)  # the answer has been sent, and the network holds it back
    assert await deployment.cancel("req-000001", other) == "withdrawn"
    await asyncio.sleep(0.05)
    deployment.net.heal(deployment.host(polled), deployment.store.HOST)
    status, body = await pending_poll

    assert (status, body["Stage"]) == (200, "withdrawn")
    deployment.assert_no_violation()


@simulated
async def test_job_whose_cancellation_overtook_its_submission_is_not_started(loop: Loop) -> None:
    """Another controller announces the cancellation to the shard leader before the leader's watch
    reports the job. The watch reports the cancellation later still."""
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(2, 100.0)
    other = deployment.other_node(shard_leader)
    leader_host = deployment.host(shard_leader)

    deployment.store.latency_factor = 10.0  # each answer takes 20 ms
    await asyncio.sleep(0.5)
    deployment.net.cut(leader_host, deployment.store.HOST)
    await deployment.submit(deployment.job(2, Pieces=2, RunS=50.0), other)
    await asyncio.sleep(0.05)
    assert await deployment.cancel("req-000002", other) == "withdrawn"
    await asyncio.sleep(0.05)
    deployment.net.heal(leader_host, deployment.store.HOST)
    await asyncio.sleep(0.01)  # what was held back arrives, but no answers to later requests
    deployment.net.cut(leader_host, deployment.store.HOST)
    await _run_checked(deployment, 0.8)
    deployment.net.heal(leader_host, deployment.store.HOST)
    await _run_checked(deployment, 3)

    assert deployment.rule_checker.started_after_cancel == []
    assert deployment.shard_leader() == shard_leader
    deployment.assert_no_violation()
