"""The fencing tokens of a shard leader: which of them a machine is sent, and how many there are."""

import msgspec
import pytest

from basaltlead.core.attempt_table import ATTEMPT_COUNTER_BITS
from basaltlead.core.cluster_view import RESERVED_TOKENS, FencingTokenCounter, Grant
from basaltlead.core.commands import MAX_DEFERRED_FORGETS
from basaltlead.core.entities import Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.jobs import US
from basaltlead.core.planning import plan
from basaltlead.runtime.clock import now_us
from basaltlead.shard.token_reservation import MIN_UNUSED_TOKENS
from tests.builders import MACHINE_TYPE, TOKENS, ShardHarness, task_status
from tests.fakes import Deployment
from tests.simulation import Loop, simulated
from tests.test_starts_in_flight import Worker

MAX_REPORT_BYTES = 16 * 1024  # a quarter of what a request may hold
TASKS_PER_S = 10


def _machine(tokens: FencingTokens) -> Machine:
    """Return a machine that has shown the first token, and was told to forget attempts since."""
    machine = Machine("m-0", MACHINE_TYPE, "a", False, 0)
    tokens.note_shown(machine, tokens.first)
    assert tokens.allow_forget(machine)
    return machine


# Which token a message has


def test_forget_has_a_higher_token_than_each_start_that_was_pushed_before() -> None:
    tokens = FencingTokens(TOKENS)
    machine = _machine(tokens)

    for _ in range(3):
        tokens.note_pushed_starts(machine)
        pushed_under = tokens.of(machine)
        assert tokens.allow_forget(machine)
        assert tokens.of(machine) == pushed_under + 1
        assert tokens.allow_forget(machine)  # repeated, since its answer was lost
        assert tokens.of(machine) == pushed_under + 1


def test_start_is_pushed_only_while_a_token_is_left_to_forget_it() -> None:
    tokens = FencingTokens(range(7, 9))
    machine = _machine(tokens)

    assert not tokens.allow_push(machine)
    assert tokens.allow_forget(machine)
    tokens.add(range(20, 22))
    assert tokens.allow_push(machine)
    tokens.note_pushed_starts(machine)
    assert tokens.allow_forget(machine)
    assert tokens.of(machine) == 20


def test_token_that_only_the_machine_knows_is_taken_as_one_of_pushed_starts() -> None:
    tokens = FencingTokens(TOKENS)
    machine = _machine(tokens)

    tokens.note_shown(machine, 30)

    assert tokens.of(machine) == 30
    assert tokens.allow_forget(machine)
    assert tokens.of(machine) == 31


@pytest.mark.parametrize(
    ("token", "ours", "replaced"),
    [(6, False, False), (7, True, False), (8, True, False), (9, False, True), (21, True, False)],
)
def test_token_of_another_leader_lies_outside_all_ranges(
    token: int, ours: bool, replaced: bool
) -> None:
    tokens = FencingTokens(range(7, 9))
    tokens.add(range(20, 22))

    assert tokens.contains(token) is ours
    assert tokens.are_replaced_by(token) is replaced


def test_heartbeat_with_an_earlier_token_of_the_range_is_applied() -> None:
    # Guards against machines that count as silent because a report was under way.
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    attempt = harness.attempt(harness.submit())
    harness.heartbeat("m-0", task_status(attempt, "fetching"))
    harness.shard.tokens.note_pushed_starts(machine)
    assert harness.shard.tokens.allow_forget(machine)
    assert harness.shard.tokens.of(machine) > TOKENS.start

    running = task_status(attempt, "running")
    assert harness.heartbeat("m-0", running, fencing_token=TOKENS.start) == []

    assert attempt.stage == "running"
    assert machine.messages.token_missing_since == 0


def test_machine_forgets_nothing_while_commands_to_it_are_in_flight() -> None:
    # Guards against halts and starts that are refused for a higher token and come late.
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    job_state = harness.submit(tasks=2)
    ended, running = harness.attempt(job_state, 0), harness.attempt(job_state, 1)
    listed = [task_status(ended, "ended", "error"), task_status(running, "running")]
    harness.heartbeat("m-0", *listed[1:])
    harness.heartbeat("m-0", task_status(ended, "running"), listed[1])
    harness.shard.stop(running, 1.0)
    pushed_under = harness.shard.tokens.of(machine)

    machine.push_in_flight = True
    assert ("forget", "req-000001/0") not in (harness.heartbeat("m-0", *listed) or [])
    assert harness.shard.tokens.of(machine) == pushed_under
    machine.push_in_flight = False
    assert ("forget", "req-000001/0") in (harness.heartbeat("m-0", *listed) or [])
    assert harness.shard.tokens.of(machine) == pushed_under + 1


@simulated
async def test_machine_with_a_raised_token_answers_probes(loop: Loop) -> None:
    # Guards against probes under the grant's token, which such a machine refuses.
    deployment = Deployment(loop, lease=20.0, cancel=60.0)
    await deployment.start_with_running_job(pieces=2, run_s=1.0)
    await deployment.wait_until_done("req-000001")
    shard_leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    await deployment.wait_until(
        lambda: any(m.push_token < m.fencing_token for m in shard_leader.shard.machines.values())
    )
    machine = next(
        m for m in shard_leader.shard.machines.values() if m.push_token < m.fencing_token
    )

    shard_leader.shard.mark_unreachable(machine, now_us())

    await deployment.wait_until(lambda: not machine.unreachable_since, seconds=3.0)


# What a worker lists


def _run_short_tasks(harness: ShardHarness, answered: bool) -> int:
    """Run ten tasks a second on a machine for a minute; return the size of its largest report.

    Commands are always in flight when a heartbeat is sent, unless all are `answered` at once.
    """
    shard = harness.shard
    machine = shard.machines["m-0"]
    machine.address = "10.1.0.1:9"
    worker = Worker(harness, "m-0")
    cpus = MACHINE_TYPE.cpus / TASKS_PER_S  # so many tasks fit at once
    job_state = harness.submit(1, tasks=60 * TASKS_PER_S, cpus=cpus, memory_gb=0.01)
    largest = 0
    for _ in range(60):
        plan(shard, harness.now)
        commands, starts = shard.take_push_commands(machine)
        machine.push_in_flight = not answered
        if answered:
            _answer(harness, worker, commands, starts)
        for key in list(worker.tasks):
            worker._end(key, "done")
        report = worker.report()
        largest = max(largest, len(msgspec.json.encode(report)))
        worker.execute(shard.heartbeat(report, harness.now) or [])
        if not answered:
            _answer(harness, worker, commands, starts)
        shard.confirm_stored(job_state, list(job_state.unstored))
        harness.now += US
    return largest


def _answer(harness: ShardHarness, worker: Worker, commands: list, starts: list) -> None:  # type: ignore[type-arg]
    worker.execute(commands)
    harness.shard.receive_push_response(worker.report(), harness.now, starts)
    harness.shard.acknowledge_starts(starts, True)


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "always-in-flight"])
def test_report_of_a_machine_that_ends_ten_tasks_a_second_stays_small(answered: bool) -> None:
    # Guards against lists that grow for as long as one leader lives.
    harness = ShardHarness()

    assert _run_short_tasks(harness, answered) < MAX_REPORT_BYTES

    machine = harness.shard.machines["m-0"]
    assert len(machine.orphaned_attempts) <= MAX_DEFERRED_FORGETS + 2 * TASKS_PER_S
    assert harness.shard.job_states["req-000001"].done_count > 25 * TASKS_PER_S


# Attempt numbers


def test_attempt_numbers_stay_unique_beyond_the_bits_of_their_counter() -> None:
    # Guards against a start that a worker takes for a copy of an earlier one.
    harness = ShardHarness()
    first = harness.shard.next_attempt_number()
    harness.shard._attempts._started = (1 << ATTEMPT_COUNTER_BITS) - 2

    numbers = [harness.shard.next_attempt_number() for _ in range(4)]

    assert len({first, *numbers}) == 5
    assert all(number >> ATTEMPT_COUNTER_BITS in TOKENS for number in numbers)


# How many tokens there are


def test_grant_without_a_count_has_its_token_only() -> None:
    granted = msgspec.json.decode('{"name":"n-0","life":"ab","baton":7}', type=Grant)

    assert granted.tokens == range(7, 8)
    assert FencingTokenCounter(granted.tokens[-1]).next_tokens(3) == range(8, 11)


@simulated
async def test_new_tokens_are_reserved_before_those_of_the_grant_are_used_up(loop: Loop) -> None:
    deployment = Deployment(loop)
    leader_name = await deployment.start_with_running_job(pieces=2, run_s=60.0)
    shard_leader = deployment.controllers[leader_name].shard_leaders[0]
    tokens = shard_leader.shard.tokens
    granted = shard_leader.lease.grant.tokens
    assert len(granted) == RESERVED_TOKENS

    tokens.highest_used = granted[-1] - MIN_UNUSED_TOKENS + 2
    await deployment.wait_until(lambda: tokens.unused > MIN_UNUSED_TOKENS)

    counter = deployment.store.keys["c/baton"][0]["last"]
    assert tokens.contains(counter)
    deployment.crash(leader_name)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, leader_name))
    next_leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    assert next_leader.lease.fencing_token > counter
    deployment.assert_no_violation()
