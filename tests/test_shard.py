"""Tests of one shard with single messages that are reordered, late, repeated or lost."""

import pytest

from basaltlead.core.entities import Attempt
from basaltlead.core.jobs import US, Shape
from basaltlead.core.planning import plan
from basaltlead.core.teams import TeamQuota
from basaltlead.wire.workers import TaskStatus
from tests.builders import TIMING, ShardHarness, make_job, task_status


def test_task_is_started_ends_and_is_forgotten_only_once_its_result_is_stored() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    assert harness.heartbeat("m-0") == [("run", "req-000001/0")]
    assert harness.heartbeat("m-0", task_status(attempt, "running")) == []
    assert harness.heartbeat("m-0", task_status(attempt, "ended", "done")) == []  # not stored yet
    assert job_state.complete
    harness.shard.confirm_stored(job_state, [0])

    assert harness.heartbeat("m-0", task_status(attempt, "ended", "done")) == [
        ("forget", "req-000001/0")
    ]


def test_lost_start_command_is_repeated_with_the_same_attempt_number() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt_number = harness.attempt(job_state).attempt_number

    assert harness.heartbeat("m-0") == [("run", "req-000001/0")]
    assert harness.heartbeat("m-0") == [("run", "req-000001/0")]
    assert harness.attempt(job_state).attempt_number == attempt_number


def test_late_copy_of_an_old_heartbeat_is_ignored() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)
    old_heartbeat = harness.make_heartbeat("m-0")

    harness.heartbeat("m-0")
    harness.heartbeat("m-0", task_status(attempt, "running"))
    harness.submit(2)

    # Its sender no longer waits for an answer
    assert harness.shard.heartbeat(old_heartbeat, harness.now) == []
    assert job_state.live[0] is attempt
    assert attempt.stage == "running"


def test_heartbeats_of_an_expired_agent_epoch_are_ignored() -> None:
    harness = ShardHarness(machines=2)
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    name = attempt.machine.name
    harness.heartbeat(name)
    late_heartbeat = harness.make_heartbeat(name, task_status(attempt, "running"))
    harness.now += TIMING.lease_expiry_us + 1
    harness.shard.advance(harness.now)

    assert attempt.machine.lost
    assert not job_state.live
    assert harness.shard.heartbeat(late_heartbeat, harness.now) is None  # sent before the expiry
    assert attempt.machine.lost
    assert not attempt.machine.usable(harness.now)


def test_silent_machine_keeps_its_tasks_until_its_lease_has_provably_expired() -> None:
    harness = ShardHarness(machines=2)
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    harness.heartbeat(attempt.machine.name)
    harness.now += TIMING.lease_us
    harness.shard.advance(harness.now)
    assert job_state.live[0] is attempt
    harness.now += TIMING.lease_expiry_us - TIMING.lease_us + 1
    harness.shard.advance(harness.now)

    assert not job_state.live


def test_new_agent_epoch_ends_all_attempts_on_the_machine() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    harness.heartbeat("m-0")
    harness.heartbeat("m-0", task_status(attempt, "running"))
    harness.heartbeat("m-0", epoch=2, sequence=1)

    assert not job_state.live
    assert job_state.waiting == 1


def test_heartbeat_with_an_earlier_fencing_token_does_not_sync_the_machine() -> None:
    harness = ShardHarness(machines=0)
    harness.add("m-9", loaded=True)
    job_state = harness.submit(version=50)  # accepted before the grant

    # It may still receive commands of the previous shard leader
    assert harness.heartbeat("m-9", fencing_token=6) == []
    harness.add("m-8")
    harness.heartbeat("m-8")
    plan(harness.shard, harness.now)
    assert not job_state.live  # it might run on m-9
    harness.heartbeat("m-9", TaskStatus("req-000001/0", 12345, "running"))

    assert job_state.live[0].machine.name == "m-9"
    assert job_state.live[0].attempt_number == 12345


def test_jobs_accepted_after_the_grant_do_not_wait_for_silent_machines() -> None:
    harness = ShardHarness(machines=1)
    harness.add("m-9", loaded=True)
    before_grant, after_grant = harness.submit(1, version=50), harness.submit(2, version=150)

    assert not before_grant.live
    assert after_grant.live
    harness.now += TIMING.lease_expiry_us + 1
    harness.heartbeat("m-0")
    harness.shard.advance(harness.now)  # m-9 has been silent past its lease
    plan(harness.shard, harness.now)

    assert before_grant.live


def test_unacknowledged_start_is_repeated_and_forgotten_only_under_a_higher_token() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    machine = harness.shard.machines["m-0"]

    commands, pushed_starts = harness.shard.take_push_commands(machine)
    assert [w.verb for w in commands] == ["run"]
    assert harness.heartbeat("m-0") == []  # in flight: not sent twice
    assert job_state.live, "the heartbeat may have been sent before the start arrived"
    harness.shard.acknowledge_starts(pushed_starts, None)
    assert harness.heartbeat("m-0") == [("run", "req-000001/0")]
    assert harness.heartbeat("m-0") == [("run", "req-000001/0")]
    assert job_state.live
    attempt = harness.attempt(job_state)

    pushed_under = harness.shard.tokens.of(machine)

    # The pushed start may still arrive: the command to forget it has the worker refuse it then
    forget = [("forget", "req-000001/0")]
    assert harness.heartbeat("m-0", task_status(attempt, "ended", "full")) == forget
    assert harness.heartbeat("m-0", task_status(attempt, "ended", "full")) == forget
    assert harness.shard.tokens.of(machine) == pushed_under + 1


def test_attempt_of_a_closed_job_is_kept_until_its_unacknowledged_start_is_halted() -> None:
    harness = ShardHarness()
    job_state = harness.submit()

    _, pushed_starts = harness.shard.take_push_commands(harness.shard.machines["m-0"])
    harness.shard.acknowledge_starts(pushed_starts, None)
    harness.shard.close_job("req-000001")
    assert harness.heartbeat("m-0") == [("run", "req-000001/0"), ("halt", "req-000001/0")]
    # The pushed start may still arrive, so the attempt is made known to the worker, then halted
    assert job_state.live
    attempt = harness.attempt(job_state)
    harness.heartbeat("m-0", task_status(attempt, "ended", "stopped"))

    assert not job_state.live


def test_refused_start_that_may_arrive_again_does_not_delay_the_task() -> None:
    """Otherwise the task would wait forever if the fleet has a single machine."""
    harness = ShardHarness()
    job_state = harness.submit()

    _, pushed_starts = harness.shard.take_push_commands(harness.shard.machines["m-0"])
    harness.shard.acknowledge_starts(pushed_starts, None)
    first = harness.attempt(job_state)
    harness.heartbeat("m-0", task_status(first, "ended", "full"))
    harness.now += 3 * US
    plan(harness.shard, harness.now)

    assert harness.attempt(job_state).attempt_number != first.attempt_number
    assert harness.heartbeat("m-0", task_status(first, "ended", "full")) == [
        ("forget", "req-000001/0"),
        ("run", "req-000001/0"),
    ]


def test_refused_push_returns_its_attempt_to_planned_at_once() -> None:
    harness = ShardHarness()
    job_state = harness.submit()

    _, pushed_starts = harness.shard.take_push_commands(harness.shard.machines["m-0"])
    harness.shard.acknowledge_starts(pushed_starts, False)

    assert harness.attempt(job_state).stage == "planned"


def test_heartbeat_older_than_the_answer_to_a_push_does_not_end_the_attempt() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    older_heartbeat = harness.make_heartbeat("m-0")  # sent before the worker had the command

    _, pushed_starts = harness.shard.take_push_commands(harness.shard.machines["m-0"])
    attempt = harness.attempt(job_state)
    answer = harness.make_heartbeat("m-0", task_status(attempt, "fetching"))
    harness.shard.receive_push_response(answer, harness.now, pushed_starts)
    harness.shard.acknowledge_starts(pushed_starts, True)
    assert attempt.stage == "fetching"
    harness.shard.heartbeat(older_heartbeat, harness.now)

    assert job_state.live[0] is attempt


def test_stopped_task_starts_elsewhere_only_after_it_has_ended() -> None:
    harness = ShardHarness(machines=2)
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    name = attempt.machine.name
    harness.heartbeat(name)
    harness.heartbeat(name, task_status(attempt, "running"))
    harness.shard.stop(attempt, 0.0)
    plan(harness.shard, harness.now)
    assert job_state.live[0] is attempt
    assert harness.heartbeat(name, task_status(attempt, "running")) == [("halt", "req-000001/0")]
    harness.heartbeat(name, task_status(attempt, "ended", "stopped"))
    plan(harness.shard, harness.now)

    assert job_state.live[0] is not attempt


def test_no_task_starts_on_a_machine_that_is_not_recorded() -> None:
    harness = ShardHarness(machines=0)
    machine = harness.add("m-0")

    machine.recorded = False
    job_state = harness.submit()
    harness.heartbeat("m-0")
    plan(harness.shard, harness.now)
    assert not job_state.live
    machine.recorded = True
    plan(harness.shard, harness.now)

    assert job_state.live


def test_limited_team_waits_while_tasks_of_unknown_size_may_run() -> None:
    """A team with a quota starts nothing while a machine is unsynced or has a task of a closed job.
    The usage of the team does not include such tasks, so it could exceed its quota."""
    harness = ShardHarness(quotas={"red": TeamQuota(cpus_max=2.0)})
    harness.add("m-9", loaded=True)
    job_state = harness.submit(tasks=3)

    assert not job_state.live
    harness.heartbeat("m-9", TaskStatus("req-000777/0", 5, "running"))  # of a closed job
    plan(harness.shard, harness.now)
    assert not job_state.live
    assert ("halt", "req-000777/0") in (harness.heartbeat("m-9") or [("halt", "req-000777/0")])
    harness.heartbeat("m-9")
    plan(harness.shard, harness.now)

    assert len(job_state.live) == 2  # the quota allows no third one


def test_cancelled_job_is_halted_and_forgotten() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    harness.heartbeat("m-0")
    harness.heartbeat("m-0", task_status(attempt, "running"))
    harness.shard.close_job("req-000001")
    assert harness.heartbeat("m-0", task_status(attempt, "running")) == [("halt", "req-000001/0")]
    harness.heartbeat("m-0", task_status(attempt, "ended", "stopped"))

    assert "req-000001" not in harness.shard.job_states


def test_unsynced_machine_gets_halts_for_closed_jobs_in_the_first_answer() -> None:
    """That answer renews the worker's lease and may be the last to arrive: a task that it does not
    halt would run on for a whole lease."""
    harness = ShardHarness()
    harness.add("m-9", loaded=True)
    harness.submit(number=2, version=50)

    tasks = [
        TaskStatus("req-000001/0", 5, "running"),
        TaskStatus("req-000001/1", 6, "ended", "done"),
        TaskStatus("req-000002/0", 7, "running"),
    ]
    assert harness.heartbeat("m-9", *tasks, fencing_token=6) == [("halt", "req-000001/0")]
    harness.shard.close_job("req-000002")

    assert ("halt", "req-000002/0") in (harness.heartbeat("m-9", *tasks, fencing_token=6) or [])


def test_machine_silent_for_half_a_lease_gets_no_new_tasks() -> None:
    """It may still execute pushed commands, but these do not renew its lease."""
    harness = ShardHarness(machines=2)

    harness.now += TIMING.lease_us // 2 + 1
    harness.heartbeat("m-1")
    job_state = harness.submit(tasks=2)
    assert {attempt.machine.name for attempt in job_state.live.values()} == {"m-1"}
    harness.heartbeat("m-0")
    other = harness.submit(number=2, cpus=3.0)

    assert other.live[0].machine.name == "m-0"


def test_broken_gang_restarts_only_after_all_its_attempts_have_ended() -> None:
    harness = ShardHarness(machines=2)
    job_state = harness.submit(shape=Shape.GANG, tasks=2, cpus=3.0)
    first, second = harness.attempt(job_state, 0), harness.attempt(job_state, 1)

    assert first.attempt_number == second.attempt_number
    assert first.machine is not second.machine
    for attempt in (first, second):
        harness.heartbeat(attempt.machine.name)
        harness.heartbeat(attempt.machine.name, task_status(attempt, "running"))
    harness.heartbeat(first.machine.name, task_status(first, "ended", "error"))
    plan(harness.shard, harness.now)
    assert job_state.live == {1: second}
    harness.heartbeat(second.machine.name, task_status(second, "ended", "peers"))
    harness.now += 31 * US  # the job avoids the machine on which it failed for 30 s
    for attempt in (first, second):
        harness.heartbeat(attempt.machine.name)
    plan(harness.shard, harness.now)

    assert len(job_state.live) == 2
    assert job_state.live[0].attempt_number != first.attempt_number


def test_one_zone_and_spread_zones_apply_together() -> None:
    harness = ShardHarness(machines=3)

    harness.shard.machines["m-2"].zone = "b"
    job_state = harness.submit(tasks=4, one_zone=True, spread_zones=True)

    assert len(job_state.live) == 2
    assert len({a.machine.zone for a in job_state.live.values()}) == 1


def test_higher_rank_preempts_lower_rank_and_equal_rank_does_not() -> None:
    harness = ShardHarness()
    low = harness.submit(1, tasks=4, rank=0)

    for attempt in list(low.live.values()):
        attempt.stage = "running"
    assert not harness.submit(2, rank=1).live
    high = harness.submit(3, shape=Shape.GANG, rank=2, cpus=3.0)
    assert len(high.live) == 1
    assert sum(1 for a in low.live.values() if a.stop_grace_s is not None) == 3
    running = [task_status(attempt, "running") for attempt in low.live.values()]
    commands = harness.heartbeat("m-0", *running)
    assert commands is not None
    assert ("run", "req-000003/0") not in commands
    stopped = [
        task_status(a, "ended", "stopped") for a in low.live.values() if a.stop_grace_s is not None
    ]
    still_running = [task_status(a, "running") for a in low.live.values() if a.stop_grace_s is None]

    assert ("run", "req-000003/0") in (harness.heartbeat("m-0", *stopped, *still_running) or [])


def test_task_on_a_machine_with_preemption_notice_checkpoints_in_time() -> None:
    harness = ShardHarness()
    job_state = harness.submit(checkpoint_interval_us=20 * US, checkpoint_duration_s=5.0)
    attempt = harness.attempt(job_state)

    harness.heartbeat("m-0")
    heartbeat = harness.make_heartbeat("m-0", task_status(attempt, "running"))
    heartbeat.preemption_notice_s = 30.0
    assert harness.shard.heartbeat(heartbeat, harness.now) == []  # enough time is left
    heartbeat = harness.make_heartbeat("m-0", task_status(attempt, "running"))
    heartbeat.preemption_notice_s = 7.0
    commands = harness.shard.heartbeat(heartbeat, harness.now)

    assert commands
    assert commands[0].verb == "halt"
    assert commands[0].grace_s == 5.0


def test_guarantee_preempts_work_beyond_another_teams_guarantee() -> None:
    harness = ShardHarness(quotas={"red": TeamQuota(cpus=3.0), "blue": TeamQuota(cpus=1.0)})
    blue = harness.submit(1, team="blue", tasks=4)

    for attempt in blue.live.values():
        attempt.stage = "running"
    red = harness.submit(2, tasks=1, cpus=2.0)
    assert len(red.live) == 1
    assert sum(1 for a in blue.live.values() if a.stop_grace_s is not None) == 2
    late = harness.submit(3, team="blue", tasks=1, cpus=1.0)

    assert not late.live  # blue is beyond its guarantee: it preempts nothing of red


def test_waiting_gangs_are_placed_before_arrays_of_their_rank() -> None:
    harness = ShardHarness()
    filler = harness.submit(1, tasks=4)
    array, gang = harness.submit(2, tasks=4), harness.submit(3, shape=Shape.GANG, tasks=2, cpus=2.0)

    harness.shard.close_job("req-000001")
    assert not filler.live
    plan(harness.shard, harness.now)

    assert len(gang.live) == 2
    assert not array.live


def test_machine_whose_lease_expired_despite_answers_must_prove_it_is_reachable() -> None:
    """Its heartbeats arrive, but answers and commands don't reach it: its tasks are moved to other
    machines, and no new ones are started there."""
    harness = ShardHarness(machines=2)
    job_state = harness.submit()
    unreachable = harness.attempt(job_state).machine

    harness.heartbeat(unreachable.name)
    harness.now += TIMING.lease_us
    harness.heartbeat(unreachable.name, epoch=2, sequence=1)
    for name in harness.shard.machines:
        if name != unreachable.name:
            harness.heartbeat(name)
    plan(harness.shard, harness.now)
    assert job_state.live[0].machine is not unreachable
    assert not unreachable.usable(harness.now)
    harness.shard.receive_push_response(
        harness.make_heartbeat(unreachable.name, epoch=2, sequence=2), harness.now
    )

    assert unreachable.usable(harness.now)


def test_agent_epoch_longer_than_a_lease_proves_that_the_machine_is_reachable() -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]

    harness.heartbeat("m-0", epoch=2, sequence=1)
    assert not machine.usable(harness.now)
    for sequence in range(2, 13):
        harness.now += US
        harness.heartbeat("m-0", epoch=2, sequence=sequence)

    assert machine.usable(harness.now)


def test_machine_with_an_unacknowledged_push_is_unusable_until_a_command_takes_effect() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    machine = harness.shard.machines["m-0"]

    _, pushed_starts = harness.shard.take_push_commands(machine)
    harness.shard.acknowledge_starts(pushed_starts, None)
    harness.shard.mark_unreachable(machine, harness.now)
    assert not machine.usable(harness.now)
    harness.heartbeat("m-0")
    assert not machine.usable(harness.now)  # does not prove that commands reach it
    harness.heartbeat("m-0", task_status(harness.attempt(job_state), "fetching"))

    assert machine.usable(harness.now)


def test_machine_that_never_shows_the_fencing_token_does_not_block_older_jobs_for_ever() -> None:
    """After a failover, heartbeats with an earlier fencing token may keep arriving: from a machine
    that the shard leader's answers don't reach, or as late copies. They must not prolong the wait
    for that machine without limit."""
    harness = ShardHarness()
    harness.add("m-9", loaded=True)
    job_state = harness.submit(version=50)

    assert not job_state.live
    for sequence in range(1, 40):
        harness.now += US
        harness.heartbeat(
            "m-9", TaskStatus("req-000001/0", 5, "running"), fencing_token=6, sequence=sequence
        )
        harness.heartbeat("m-0")
        harness.shard.advance(harness.now)
        plan(harness.shard, harness.now)
        if job_state.live:
            break
    waited = harness.now - harness.shard.acquired_at

    assert TIMING.lease_expiry_us < waited <= TIMING.lease_us + TIMING.lease_expiry_us + 2 * US
    assert job_state.live[0].machine.name == "m-0"


def test_heartbeat_copies_do_not_restore_a_lost_machine() -> None:
    harness = ShardHarness()
    machine = harness.add("m-9", loaded=True)

    harness.now += TIMING.lease_expiry_us + 1
    harness.heartbeat("m-0")
    harness.shard.advance(harness.now)
    assert machine.lost
    harness.submit()
    assert (
        harness.heartbeat("m-9", TaskStatus("req-000001/0", 5, "running"), fencing_token=6, epoch=3)
        == []
    )
    # A task of a closed job is halted in any case, but this does not restore the machine either.
    of_closed_job = TaskStatus("req-000009/0", 5, "running")
    assert harness.heartbeat("m-9", of_closed_job, fencing_token=6, epoch=3) == [
        ("halt", "req-000009/0")
    ]
    assert machine.lost
    assert not machine.up
    assert not machine.attempts
    assert not machine.last_heartbeat_at
    harness.heartbeat("m-9", epoch=4, sequence=1)  # the current token proves that it is alive

    assert not machine.lost
    assert machine.synced


def test_stragglers_move_off_a_slow_machine_but_a_job_slow_everywhere_stays() -> None:
    """Tasks that run far longer than others of their job are stopped, and started on another
    machine. A job that is slow on every machine is left alone after four stops."""
    harness = ShardHarness(machines=3)
    job_state = harness.submit(tasks=9)

    slow = job_state.live[0].machine
    for attempt in list(job_state.live.values()):
        harness.heartbeat(attempt.machine.name)
    for name in ("m-0", "m-1", "m-2"):
        running = [
            task_status(a, "running") for a in harness.shard.machines[name].attempts.values()
        ]
        harness.heartbeat(name, *running)
    harness.now += 5 * US
    for name in ("m-0", "m-1", "m-2"):
        if name != slow.name:
            ended = [
                task_status(a, "ended", "done")
                for a in harness.shard.machines[name].attempts.values()
            ]
            harness.heartbeat(name, *ended)
    assert job_state.ran_count >= 3
    for _ in range(80):
        harness.now += US
        for name in ("m-0", "m-1", "m-2"):
            harness.heartbeat(
                name, *(task_status(a, "running") for a in _attempts_on(harness, name))
            )
        harness.shard.advance(harness.now)
    assert all(a.stop_grace_s is not None for a in slow.attempts.values())
    stopped = [task_status(a, "ended", "stopped") for a in slow.attempts.values()]
    harness.heartbeat(slow.name, *stopped)
    for name in ("m-0", "m-1", "m-2"):
        harness.heartbeat(name)
    plan(harness.shard, harness.now)
    assert job_state.live
    assert all(a.machine is not slow for a in job_state.live.values())
    # Another job is slow on each machine on which it is tried
    slow_job = harness.submit(2, tasks=1)
    for _ in range(10):
        attempt = slow_job.live[0]
        attempt.stage, attempt.running_since = "running", harness.now
        harness.now += 400 * US
        harness.shard._stragglers.stop_stragglers(slow_job, harness.now)
        if attempt.stop_grace_s is None:
            break
        harness.shard._attempts.remove(attempt, harness.now)
        for machine in harness.shard.machines.values():
            machine.faulty = False
        harness.now += 301 * US
        for name in harness.shard.machines:
            harness.heartbeat(name)
        plan(harness.shard, harness.now)

    assert slow_job.failure_history.stragglers_stopped == 4
    assert attempt.stop_grace_s is None


def test_job_returns_to_the_only_machine_although_it_was_slow() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    attempt.stage, attempt.running_since = "running", harness.now
    harness.now += 400 * US
    harness.shard._stragglers.stop_stragglers(job_state, harness.now)
    assert attempt.stop_grace_s is not None
    harness.heartbeat("m-0", task_status(attempt, "ended", "stopped"))
    plan(harness.shard, harness.now)
    assert not job_state.live  # it avoids the machine on which it was slow
    for _ in range(75):
        harness.now += US
        harness.heartbeat("m-0")
        plan(harness.shard, harness.now)

    assert job_state.live


def test_room_is_reserved_for_a_large_waiting_gang() -> None:
    """Otherwise single tasks of its rank would take any room as soon as it is freed."""
    harness = ShardHarness(machines=2)

    running = [harness.submit(number, cpus=2.0, shape=Shape.GANG) for number in range(1, 5)]
    large = harness.submit(9, tasks=2, cpus=4.0, shape=Shape.GANG, one_zone=True)
    for number in range(10, 40):  # in each round a small gang ends, another is submitted
        harness.now += 10 * US
        for name in ("m-0", "m-1"):
            harness.heartbeat(
                name, *(task_status(a, "running") for a in _attempts_on(harness, name))
            )
        first = running.pop(0).live[0]
        harness.heartbeat(first.machine.name, task_status(first, "ended", "done"))
        harness.shard.close_job(first.job_state.job.ref)
        running.append(harness.submit(number, cpus=2.0, shape=Shape.GANG))
        running = [job_state for job_state in running if job_state.live]
        if large.live:
            break

    assert len(large.live) == 2


def _attempts_on(harness: ShardHarness, name: str) -> list[Attempt]:
    return list(harness.shard.machines[name].attempts.values())


def test_machine_is_returnable_although_an_orphaned_attempt_stays_listed() -> None:
    """The machine is settled once the result is stored: it can be returned without losing work or
    results. It forgets the attempt only under a token that has it refuse the start, which was not
    answered and may still arrive."""
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    _, pushed_starts = harness.shard.take_push_commands(machine)
    assert not harness.shard.is_returnable(machine)
    harness.shard.acknowledge_starts(pushed_starts, None)
    assert harness.heartbeat("m-0", task_status(attempt, "ended", "done")) == []
    assert not harness.shard.is_returnable(machine)  # only its list holds the result
    harness.shard.confirm_stored(job_state, [0])
    pushed_under = harness.shard.tokens.of(machine)

    assert harness.shard.is_returnable(machine)
    assert harness.heartbeat("m-0", task_status(attempt, "ended", "done")) == [
        ("forget", "req-000001/0")
    ]
    assert harness.shard.tokens.of(machine) > pushed_under
    assert harness.shard.is_returnable(machine)


def test_machine_with_a_running_task_of_a_closed_job_is_not_returnable() -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]

    of_closed_job = TaskStatus("req-000009/0", 3, "running")

    assert harness.heartbeat("m-0", of_closed_job) == [("halt", "req-000009/0")]
    assert not harness.shard.is_returnable(machine)


def test_job_with_objective_preempts_checkpointed_job_without_objective_up_to_its_slots() -> None:
    """It has a higher rank, and fewer tasks on machines than slots from the auction."""
    harness = ShardHarness()

    harness.shard.machines["m-0"].images["img"] = 1.0
    low = harness.submit(
        1, tasks=4, rank=0, checkpoint_interval_us=5 * US, checkpoint_duration_s=2.0
    )
    low.has_objective = False
    attempts = list(low.live.values())
    harness.heartbeat("m-0")
    harness.heartbeat("m-0", *(task_status(a, "running") for a in attempts))
    job_state = harness.shard.add_job(
        make_job(2, tasks=3, rank=1, due_us=100 * US), 200, harness.now
    )
    job_state.slots, low.slots = 2, 2
    plan(harness.shard, harness.now)

    assert len(job_state.live) == 2  # as many as its slots, and no more
    assert sorted(a.stop_grace_s for a in attempts if a.stop_grace_s is not None) == [2.0, 2.0]


@pytest.mark.parametrize(
    "case", ["no checkpoint", "other has objective", "same rank", "no objective", "no share"]
)
def test_job_preempts_no_task_if_one_condition_is_missing(case: str) -> None:
    """The conditions are those of the test above; a job without slots has "no share"."""
    harness = ShardHarness()
    checkpoint_fields = (
        {}
        if case == "no checkpoint"
        else {"checkpoint_interval_us": 5 * US, "checkpoint_duration_s": 2.0}
    )
    low = harness.submit(1, tasks=4, rank=1 if case == "same rank" else 0, **checkpoint_fields)

    low.has_objective = case == "other has objective"
    attempts = list(low.live.values())
    harness.heartbeat("m-0")
    harness.heartbeat("m-0", *(task_status(a, "running") for a in attempts))
    job_state = harness.shard.add_job(
        make_job(2, tasks=3, rank=1, due_us=100 * US), 200, harness.now
    )
    job_state.has_objective = case != "no objective"
    job_state.slots, low.slots = 0 if case == "no share" else 2, 2
    plan(harness.shard, harness.now)

    assert not job_state.live
    assert all(a.stop_grace_s is None for a in attempts)


def test_jobs_that_fail_everywhere_do_not_count_against_a_machine() -> None:
    """Otherwise four such jobs that are still open would mark a healthy machine as faulty."""
    harness = ShardHarness(machines=2)

    for number in range(1, 5):
        job_state = harness.submit(number)
        for _ in range(2):
            attempt = harness.attempt(job_state)
            assert ("run", f"{job_state.job.ref}/0") in (
                harness.heartbeat(attempt.machine.name) or []
            )
            harness.heartbeat(attempt.machine.name, task_status(attempt, "ended", "error"))
            harness.now += 5 * US
            for name in ("m-0", "m-1"):
                harness.heartbeat(name)
            plan(harness.shard, harness.now)
        assert not job_state.live  # it avoids both machines for now
    machines = harness.shard.machines.values()

    assert not any(machine.faulty for machine in machines)
    assert all(not machine.failed_jobs for machine in machines)
