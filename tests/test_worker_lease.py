"""When a worker's lease has provably expired, and what a shard leader concludes from that.

The tests guard against a task of an array running on two machines at once
(docs/incidents/2026-12-02-task-ran-twice.md), which came about in this order:

- Some machines reach no controller any more, while pushed commands still reach them.
- The shard leader loses the key-value store, and another controller is granted the shard. Its probe
  shows the fencing token to such a machine, still in the agent epoch of the previous shard leader.
- That epoch ends, one lease after its last answered heartbeat. Only answers to pushed commands show
  that the next one has begun, with a whole lease of its own.
- Less than half a lease after the grant a job is accepted, and a task of it is started there.
- One lease after the grant the shard leader considers the machine lost and starts the task on
  another one, while the first has several seconds of its lease left.

The lease was counted from the grant, which was in an earlier agent epoch, instead of from the
beginning of the epoch in which the task was started. The second start came 14.5 s after the grant:
a lease of 14 s, its margins and a pass of the planning loop. The first machine was deleted 0.5 s
later and never reported the end of the task.
"""

import asyncio

import msgspec
import pytest

from basaltlead.core.command_message import TaskCommand
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import US
from basaltlead.core.planning import plan
from basaltlead.core.task_states import FORGET
from basaltlead.core.worker_lease import WorkerLease
from basaltlead.shard.command_log import log_commands
from basaltlead.wire.workers import Heartbeat
from tests.builders import TIMING, ShardHarness, task_status
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, poll_until, simulated


def _push_starts(harness: ShardHarness, machine: Machine) -> list[Attempt]:
    """Push the pending commands of a machine; returns the starts, which stay in flight."""
    return harness.shard.take_push_commands(machine)[1]


def _receive_push_answer(
    harness: ShardHarness, starts: list[Attempt], epoch: int, executed: bool
) -> None:
    """Receive the answer to a push, with the machine's epoch and the starts if it executed them."""
    machine = starts[0].machine.name
    tasks = [task_status(attempt, "running") for attempt in starts] if executed else []
    harness.shard.receive_push_response(
        harness.make_heartbeat(machine, *tasks, epoch=epoch),
        harness.now,
        starts if executed else (),
    )
    harness.shard.acknowledge_starts(starts, executed)


def _receive_probe_answer(harness: ShardHarness, machine: str, epoch: int) -> None:
    """Receive the answer to a probe, which lists no task."""
    harness.shard.receive_push_response(harness.make_heartbeat(machine, epoch=epoch), harness.now)


def _start_in_new_epoch(harness: ShardHarness, machine: Machine, job_state: JobState) -> Attempt:
    """Start the task in epoch 2. The first push is refused, since it names epoch 1."""
    _receive_push_answer(harness, _push_starts(harness, machine), epoch=2, executed=False)
    plan(harness.shard, harness.now)
    _receive_push_answer(harness, _push_starts(harness, machine), epoch=2, executed=True)
    return harness.attempt(job_state)


def test_task_started_in_a_new_epoch_is_kept_for_a_whole_lease_of_that_epoch() -> None:
    # Given a machine of an earlier shard leader that commands reach, but that reaches no controller
    harness = ShardHarness(machines=0)
    machine = harness.add("m-0", loaded=True)
    machine.address = "10.1.0.1:9"
    _receive_probe_answer(harness, "m-0", epoch=1)
    harness.now += TIMING.lease_us // 2 - US

    # When its epoch ends, and a new job is started in the next one
    job_state = harness.submit()
    attempt = _start_in_new_epoch(harness, machine, job_state)
    epoch_began = harness.now
    harness.add("m-1")

    # Then the task stays there although a lease has passed since the grant
    harness.now = harness.shard.acquired_at + TIMING.lease_expiry_us + US
    harness.heartbeat("m-1")
    harness.shard.advance(harness.now)
    plan(harness.shard, harness.now)
    assert harness.attempt(job_state) is attempt
    assert not machine.lost

    # and until the lease of its own epoch has passed
    harness.now = epoch_began + TIMING.lease_expiry_us
    harness.shard.advance(harness.now)
    assert harness.attempt(job_state) is attempt
    harness.now += US
    harness.heartbeat("m-1")
    harness.shard.advance(harness.now)
    assert machine.lost
    plan(harness.shard, harness.now)
    assert harness.attempt(job_state).machine.name == "m-1"


def test_lost_machine_that_answers_a_probe_is_not_lost_again_at_once() -> None:
    # Given a machine that was lost
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    harness.now += TIMING.lease_expiry_us + US
    harness.shard.advance(harness.now)
    assert machine.lost

    # When it answers a probe in its next epoch, but sends no heartbeat
    _receive_probe_answer(harness, "m-0", epoch=2)
    harness.now += US // 10
    harness.shard.advance(harness.now)

    # Then it is not lost, and its heartbeats are answered
    assert not machine.lost
    assert harness.heartbeat("m-0", epoch=2) is not None


async def _replace_shard_leader(deployment: Deployment) -> float:
    """Crash the shard leader; returns when another controller was granted the shard."""
    previous = deployment.acting_shard_leader()
    deployment.crash(previous)
    await poll_until(lambda: deployment.shard_leader() not in (None, previous), 0.05)
    return deployment.loop.time()


def _machines_that_are_up(deployment: Deployment) -> list[FakeWorker]:
    return [machine for machine in deployment.cloud.machines.values() if machine.up]


@simulated
async def test_no_task_runs_twice_when_machines_that_reach_no_controller_begin_a_new_epoch(
    loop: Loop,
) -> None:
    # Given idle machines, half of which suddenly reach no controller
    deployment = Deployment(loop, lease=14.0)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=24, RunS=1.0, Grades=["small"]))
    await deployment.wait_until_done("req-000001")
    deployment.cloud.answer_delay_s = 3.0  # lost machines are not deleted at once
    machines = _machines_that_are_up(deployment)
    silent = machines[: len(machines) // 2]
    for machine in silent:
        machine.sends_no_heartbeats = True
    silent_since = loop.time()

    # When another shard leader is granted the shard some seconds later, the epochs of the machines
    # end, and less than half a lease after the grant new jobs start there
    await asyncio.sleep(6)
    granted_at = await _replace_shard_leader(deployment)
    await deployment.wait_until(lambda: all(machine.epoch == 2 for machine in silent))
    assert silent_since + deployment.lease / 2 < granted_at < silent_since + deployment.lease
    assert loop.time() < granted_at + deployment.lease / 2
    await deployment.submit(deployment.job(2, Pieces=len(machines), RunS=30.0))
    await deployment.wait_until(
        lambda: any(machine in silent for machine in deployment.rule_checker.running_on.values()),
        5.0,
    )

    # Then no task is started elsewhere before its first machine has killed it
    await asyncio.sleep(2 * deployment.lease)
    deployment.end_all_faults()
    await deployment.wait_until_done("req-000002")
    deployment.assert_no_violation()


# The log tells which shard leader started a task, and what it knew then


def test_log_of_a_lost_machine_names_the_event_from_which_its_lease_was_counted() -> None:
    harness = ShardHarness(machines=0)
    machine = harness.add("m-0", loaded=True)
    machine.address = "10.1.0.1:9"
    _receive_probe_answer(harness, "m-0", epoch=1)
    job_state = harness.submit(tasks=7, cpus=0.5)
    _start_in_new_epoch(harness, machine, job_state)
    harness.now += TIMING.lease_expiry_us + US
    harness.shard.advance(harness.now)

    first_tasks = ", ".join(f"req-000001/{index}" for index in range(5))
    assert harness.logged == [
        "machine m-0 began epoch 2 (fencing token 7, 0.0 s since the first message of its epoch): "
        f"7 tasks lost: {first_tasks}, ...",
        "job req-000001 (reports, 7 tasks): first task running after 0.0 s on m-0",
        "machine m-0 lost (was ready, fencing token 7, epoch 2, "
        "11.3 s since the first message of its epoch): "
        f"7 tasks lost: {first_tasks}, ...",
    ]


def test_debug_log_tells_what_was_known_when_a_command_was_sent(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    harness.submit()
    harness.now += 2 * US
    commands, _ = harness.shard.take_push_commands(machine)
    forget = TaskCommand(FORGET, "req-000009", 0, 1)

    with caplog.at_level("DEBUG", "basaltlead"):
        log_commands(harness.shard, machine, [*commands, forget], pushed=True, now=harness.now)

    number = commands[0].attempt_number
    assert caplog.messages == [
        f"run req-000001/0, attempt {number}, pushed to m-0: fencing token 7 of grant revision "
        "100, job revision 200, epoch 1, 2.0 s since its last answered heartbeat, "
        "0 machines not in sync"
    ]


# Each of the times from which a lease may be counted, when it is the latest one


def _expires_at(lease: WorkerLease, now: int) -> int:
    """The last time, from `now` on, at which the lease has not expired; in microseconds."""
    low, high = now, now + 10 * TIMING.lease_us
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if lease.has_expired(middle, TIMING) else (middle, high)
    return low


def test_lease_is_counted_from_the_latest_of_grant_epoch_and_answer() -> None:
    lease = WorkerLease(0)
    lease.count_from_grant(10 * US)
    assert _expires_at(lease, 10 * US) == 10 * US + TIMING.lease_expiry_us
    lease.begin_epoch(13 * US)
    assert _expires_at(lease, 13 * US) == 13 * US + TIMING.lease_expiry_us
    lease.answer(17 * US)
    assert _expires_at(lease, 17 * US) == 17 * US + TIMING.lease_expiry_us


def test_answer_given_before_the_shard_was_loaded_prolongs_the_lease_after_the_grant() -> None:
    lease = WorkerLease(30 * US)
    lease.count_from_grant(10 * US, answered_at=12 * US)
    assert _expires_at(lease, 12 * US) == 12 * US + TIMING.lease_expiry_us


def test_lease_expires_no_earlier_than_on_the_slowest_clock() -> None:
    """The worker's clock may be slow and the shard leader's fast, by 0.05% each."""
    slowest_us = TIMING.lease_us * 1.0005 / 0.9995
    assert TIMING.lease_expiry_us > slowest_us


def test_epoch_that_only_a_push_has_shown_does_not_make_a_silent_machine_usable() -> None:
    # Given a machine that was silent for more than half a lease
    harness = ShardHarness()
    harness.now += TIMING.lease_us // 2 + US

    # When an answer to a probe shows its next epoch
    _receive_probe_answer(harness, "m-0", epoch=2)

    # Then no task is started there until a heartbeat is answered
    job_state = harness.submit()
    assert not job_state.live
    harness.heartbeat("m-0", epoch=2)
    plan(harness.shard, harness.now)
    assert harness.attempt(job_state).machine.name == "m-0"


@simulated
async def test_push_decided_in_one_epoch_is_not_executed_in_the_next(loop: Loop) -> None:
    """Otherwise a task runs twice:

    - The shard leader decides to push a start to a machine.
    - A heartbeat shows that the machine has begun another epoch. The attempt is removed, and the
      task is started elsewhere.
    - The push is sent, and the first machine executes it.

    The push must name the epoch for which it was decided, not the one known when it is sent.
    """
    # Given idle machines
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=24, RunS=1.0, Grades=["small"]))
    await deployment.wait_until_done("req-000001")
    leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    push_all = leader.dispatcher.push_all
    pushed_to: list[str] = []

    def push_all_and_begin_epoch(now: int) -> None:
        """A heartbeat of the next epoch arrives between the decision to push and the push."""
        push_all(now)
        for machine in leader.shard.machines.values():
            starts = [attempt for attempt in machine.attempts.values() if attempt.start_in_flight]
            if starts and not pushed_to:
                pushed_to.append(machine.name)
                worker = deployment.cloud.machines[machine.name]
                worker.begin_next_epoch()
                leader.heartbeat(msgspec.convert(worker.heartbeat(), Heartbeat))

    # When a start is pushed while its machine begins another epoch
    leader.dispatcher.push_all = push_all_and_begin_epoch
    await deployment.submit(deployment.job(2, RunS=20.0))
    await deployment.wait_until(lambda: bool(pushed_to))

    # Then the task runs once
    await deployment.wait_until_done("req-000002")
    assert deployment.rule_checker.starts_of("req-000002") == 1
    deployment.assert_no_violation()
