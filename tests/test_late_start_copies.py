"""Late copies of start commands, which reach a machine once more after they were carried out."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from basaltlead.core.jobs import US
from basaltlead.net.http.messages import Request
from basaltlead.shard.command_log import WRITE_INTERVAL_S, ForgottenAttemptsLog
from tests.builders import ShardHarness, task_status
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated


@simulated
async def test_log_tells_within_a_second_what_machines_forget_and_what_was_pushed_to_them(
    loop: Loop, caplog: pytest.LogCaptureFixture
) -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    attempt = harness.attempt(harness.submit())
    machine.pushed_starts.add([attempt.attempt_number], harness.now)
    attempt.stage = "running"
    harness.now += 2 * US
    heartbeat = harness.make_heartbeat("m-0", task_status(attempt, "ended", "error"))
    commands = harness.shard.heartbeat(heartbeat, harness.now) or []
    log = ForgottenAttemptsLog()

    with caplog.at_level("INFO", "basaltlead"):
        log.add(machine, commands, 7, 8, harness.now)
        log.add(machine, commands, 8, 8, harness.now)
        await asyncio.sleep(WRITE_INTERVAL_S)
        await asyncio.sleep(0.01)
        log.add(machine, commands, 8, 8, harness.now)
        await asyncio.sleep(WRITE_INTERVAL_S)
        await asyncio.sleep(0.01)

    number = attempt.attempt_number
    told = f"machine m-0 1 (req-000001/0 attempt {number}), epoch 1"
    repeated = f"{told}, fencing token 8 shown, 8 sent, no starts pushed since the last time"
    assert caplog.messages == [
        f"told to forget attempts: {told}, fencing token 7 shown, 8 sent, "
        f"1 starts pushed since the last time, attempts {number} to {number}, 2.0 s before; "
        f"{repeated}",
        f"told to forget attempts: {repeated}",
    ]


LONG_RUN_S = 300.0  # outlasts a test
TASK = "req-000001/0"
JOB = "req-000001"
COPY_INTERVAL_S = 0.2  # between two copies of the same starts


# Ways in which the attempt ends on its machine


async def _finish(deployment: Deployment, worker: FakeWorker, number: int, why: str) -> None:
    if why == "stopped":
        for leader in deployment.controllers[
            deployment.acting_shard_leader()
        ].shard_leaders.values():
            if JOB in leader.shard.job_states:
                for attempt in list(leader.shard.job_states[JOB].live.values()):
                    leader.shard.stop(attempt, 0.0)
        return
    if why == "done" and deployment.jobs[JOB]["Shape"] == "group":
        deployment.end_gang(TASK, number)
        return
    if why == "done":
        deployment.rule_checker.task_completed(TASK)
    worker.finish((TASK, number), why)


ENDS = ["done", "error", "stopped", "peers", "incomplete"]
REFUSALS = ["full", "in_use", "no_such"]


# What happens once its machine has forgotten it


async def _nothing(deployment: Deployment) -> None:
    await asyncio.sleep(1.0)


async def _cancelled(deployment: Deployment) -> None:
    await deployment.cancel(JOB)


async def _leader_back_within_a_second(deployment: Deployment) -> None:
    name = deployment.acting_shard_leader()
    await deployment.restart(name, 0.3)


async def _leader_replaced(deployment: Deployment) -> None:
    name = deployment.acting_shard_leader()
    deployment.crash(name)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, name))
    deployment.start_controller(name)


async def _leader_replaced_twice(deployment: Deployment) -> None:
    await _leader_replaced(deployment)
    await asyncio.sleep(1.0)
    await _leader_replaced(deployment)


async def _all_controllers_away(deployment: Deployment) -> None:
    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(1.0)
    for name in deployment.nodes:
        deployment.start_controller(name)


async def _machines_hang(deployment: Deployment) -> None:
    """Copies that arrive meanwhile are carried out when the machines go on."""
    machines = list(deployment.cloud.machines.values())
    for machine in machines:
        machine.hung = True
    await asyncio.sleep(2.0)
    for machine in machines:
        machine.hung = False


async def _machines_begin_a_new_epoch(deployment: Deployment) -> None:
    for machine in deployment.cloud.machines.values():
        machine.begin_next_epoch()
    await asyncio.sleep(1.0)


EVENTS = [
    _nothing,
    _cancelled,
    _leader_back_within_a_second,
    _leader_replaced,
    _leader_replaced_twice,
    _all_controllers_away,
    _machines_hang,
    _machines_begin_a_new_epoch,
]
SHAPES: dict[str, dict[str, Any]] = {
    "array": {"Pieces": 2},
    "gang": {"Shape": "group", "Pieces": 2},
    "service": {"Shape": "service", "Pieces": 2, "GuessS": 0.0},
}


def _name(function: Callable[..., Any]) -> str:
    return function.__name__.strip("_")


def _machine_of(deployment: Deployment, task: str) -> FakeWorker:
    """Return the machine that runs a task."""
    worker: FakeWorker = deployment.rule_checker.running_on[task]
    return worker


def _attempts(worker: FakeWorker) -> list[int]:
    """Return the attempts of the task that a worker lists."""
    return [number for task, number in worker.tasks if task == TASK]


async def _start_machines(deployment: Deployment) -> None:
    await deployment.start()
    await deployment.submit(deployment.job(900, Pieces=8, RunS=1.0, Grades=["small"]))
    await deployment.wait_until_done("req-000900")


async def _start_pushed_task(deployment: Deployment, **job: Any) -> tuple[FakeWorker, int]:
    """Start the task by a pushed command; return its machine and its attempt number."""
    await _start_machines(deployment)
    await deployment.submit(deployment.job(1, **({"RunS": LONG_RUN_S, "Grades": ["small"]} | job)))
    pieces = deployment.jobs[JOB]["Pieces"]
    await deployment.wait_until(lambda: len(deployment.running_tasks(JOB)) == pieces)
    worker = _machine_of(deployment, TASK)
    (number,) = _attempts(worker)
    assert _pushed_starts(worker)
    return worker, number


async def _start_refused_task(deployment: Deployment, why: str) -> tuple[FakeWorker, int]:
    """Have a pushed start refused; return its machine and its attempt number."""
    await _start_machines(deployment)
    workers = list(deployment.cloud.machines.values())
    for worker in workers:
        worker.refused_reason = why
    await deployment.submit(deployment.job(1, RunS=LONG_RUN_S, Grades=["small"]))
    await deployment.wait_until(lambda: any(_attempts(worker) for worker in workers))
    for worker in workers:
        worker.refused_reason = None
    refusing = next(worker for worker in workers if _attempts(worker))
    assert _pushed_starts(refusing)
    return refusing, _attempts(refusing)[0]


def _pushed_starts(worker: FakeWorker) -> list[Request]:
    """Return the pushed commands with a start of the task that a worker has carried out."""
    name = f'"{TASK}"'.encode()
    return [request for request in worker.executed_starts if name in request.body]


async def _receive_copies(worker: FakeWorker) -> None:
    """Have a worker receive its starts of the task again and again; never returns."""
    while True:
        for request in _pushed_starts(worker):
            await worker.receive_again(request)
        await asyncio.sleep(COPY_INTERVAL_S)


async def _check_copies_start_nothing(
    deployment: Deployment,
    worker: FakeWorker,
    number: int,
    event: Callable[[Deployment], Awaitable[None]],
) -> None:
    """Copies of the start arrive from before its machine forgets it until well after the event."""
    copies = deployment.loop.create_task(_receive_copies(worker))
    await deployment.wait_until(lambda: number not in _attempts(worker))
    await event(deployment)
    await asyncio.sleep(3.0)
    copies.cancel()
    deployment.assert_no_violation()


@pytest.mark.parametrize("event", EVENTS, ids=_name)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("shape", SHAPES)
@simulated
async def test_copy_of_a_start_is_not_carried_out_after_its_attempt_has_ended(
    loop: Loop, shape: str, end: str, event: Callable[[Deployment], Awaitable[None]]
) -> None:
    # Guards against a second start of an attempt that its machine has forgotten.
    deployment = Deployment(loop)
    worker, number = await _start_pushed_task(deployment, **SHAPES[shape])
    await _finish(deployment, worker, number, end)
    await _check_copies_start_nothing(deployment, worker, number, event)


@pytest.mark.parametrize("event", EVENTS, ids=_name)
@pytest.mark.parametrize("refusal", REFUSALS)
@simulated
async def test_copy_of_a_start_is_not_carried_out_after_it_was_refused(
    loop: Loop, refusal: str, event: Callable[[Deployment], Awaitable[None]]
) -> None:
    # Guards against a start that takes effect after the controllers know that it was refused.
    deployment = Deployment(loop)
    worker, number = await _start_refused_task(deployment, refusal)
    await _check_copies_start_nothing(deployment, worker, number, event)


@pytest.mark.parametrize("event", EVENTS, ids=_name)
@simulated
async def test_copy_of_a_start_is_not_carried_out_with_several_shards(
    loop: Loop, event: Callable[[Deployment], Awaitable[None]]
) -> None:
    # Guards against a second start of an attempt that its machine has forgotten.
    deployment = Deployment(loop, operator={"blocks": 3})
    worker, number = await _start_pushed_task(deployment, Pieces=6)
    await _finish(deployment, worker, number, "error")
    await _check_copies_start_nothing(deployment, worker, number, event)


@simulated
async def test_copy_of_a_start_does_not_run_a_task_twice_while_controllers_restart(
    loop: Loop,
) -> None:
    # Guards against a task on two machines after all controllers ended at once.
    deployment = Deployment(loop)
    worker, number = await _start_pushed_task(deployment)
    worker.finish((TASK, number), "error")
    await deployment.wait_until(lambda: number not in _attempts(worker))
    await deployment.wait_until(lambda: deployment.running_tasks(JOB) != [])
    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(0.5)

    for request in _pushed_starts(worker):
        await worker.receive_again(request)
    await asyncio.sleep(1.0)

    assert _machine_of(deployment, TASK) is not worker
    deployment.assert_no_violation()


@simulated
async def test_push_has_the_token_for_which_it_was_decided(loop: Loop) -> None:
    # Guards against a start under a token that a later forget doesn't raise its machine above.
    deployment = Deployment(loop)
    await _start_machines(deployment)
    leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    push_all = leader.dispatcher.push_all
    raised: list[FakeWorker] = []

    def push_all_and_forget(now: int) -> None:
        """A machine is told to forget attempts between the decision to push and the push."""
        push_all(now)
        for machine in leader.shard.machines.values():
            if machine.push_in_flight and not raised:
                raised.append(deployment.cloud.machines[machine.name])
                assert leader.shard.tokens.allow_forget(machine)

    leader.dispatcher.push_all = push_all_and_forget
    await deployment.submit(deployment.job(1, RunS=LONG_RUN_S, Grades=["small"]))
    await deployment.wait_until(lambda: bool(deployment.running_tasks(JOB)))

    (request,) = _pushed_starts(raised[0])
    machine = leader.shard.machines[raised[0].name]
    assert json.loads(request.body)["Baton"] == machine.push_token
    assert leader.shard.tokens.of(machine) > machine.push_token
