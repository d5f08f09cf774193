"""Pushed starts: each way in which one can end, against what may happen to its attempt meanwhile.

`ENDS` and `EVENTS` are the rows and columns of the table. Two meetings are not in it. A start of
which nothing was sent, or that the worker has refused, can't have been reported by it before, since
it was never executed. And after a release of the shard its leader decides nothing any more; the
next one learns of the attempt from the worker's reports.
"""

from collections.abc import Callable

import pytest

from basaltlead.core.command_message import TaskCommand
from basaltlead.core.entities import Attempt
from basaltlead.core.jobs import US, Shape
from basaltlead.core.planning import plan
from basaltlead.core.task_states import FORGET, HALT, RUN
from basaltlead.core.teams import TeamQuota
from basaltlead.wire.workers import Heartbeat, TaskStatus
from tests.builders import TIMING, ShardHarness

RUN_REPORTS = 3  # reports that list a task as running before it is done
ROUNDS = 40  # of a second each, more than two leases
LATE_ROUNDS = 3  # after so many rounds a late start arrives


class Worker:
    """A machine that executes commands as the protocol says."""

    def __init__(self, harness: ShardHarness, name: str) -> None:
        self.harness = harness
        self.name = name
        self.epoch = 1
        self.tasks: dict[tuple[str, int, int], TaskStatus] = {}
        self.reports: dict[tuple[str, int, int], int] = {}

    def begin_epoch(self) -> None:
        """Lose all tasks, as after the end of a lease."""
        self.epoch += 1
        self.tasks.clear()
        self.reports.clear()
        self.harness.sequences[self.name] = 0

    def execute(self, commands: list[TaskCommand]) -> None:
        """Execute commands in order; each can be repeated."""
        for command in commands:
            key = (command.ref, command.index, command.attempt_number)
            if command.verb == RUN and key not in self.tasks:
                task = f"{command.ref}/{command.index}"
                self.tasks[key] = TaskStatus(task, command.attempt_number, "running", None)
            elif command.verb == HALT and key in self.tasks:
                self._end(key, "stopped")
            elif command.verb == FORGET:
                self.tasks.pop(key, None)

    def _end(self, key: tuple[str, int, int], why: str) -> None:
        if self.tasks[key].stage != "ended":
            self.tasks[key] = TaskStatus(self.tasks[key].task, key[2], "ended", why)

    def report(self) -> Heartbeat:
        """Return a report; tasks that were reported often enough are done."""
        for key, status in list(self.tasks.items()):
            self.reports[key] = self.reports.get(key, 0) + 1
            if status.stage == "running" and self.reports[key] > RUN_REPORTS:
                self._end(key, "done")
        return self.harness.make_heartbeat(self.name, *self.tasks.values(), epoch=self.epoch)

    def heartbeat(self) -> None:
        """Send a heartbeat, and execute the commands in its answer."""
        self.execute(self.harness.shard.heartbeat(self.report(), self.harness.now) or [])


class Scene:
    """A job whose start has been pushed to machine m-0 and is not answered yet."""

    def __init__(self, machines: int = 1, **job: object) -> None:
        self.harness = ShardHarness(machines, {"red": TeamQuota(cpus_max=16.0)})
        self.shard = self.harness.shard
        self.workers = {name: Worker(self.harness, name) for name in self.shard.machines}
        self.job_state = self.harness.submit(
            1, cpus=4.0, checkpoint_interval_us=US, checkpoint_duration_s=1.0, **job
        )
        self.late: list[TaskCommand] = []
        self.rounds = 0
        self.commands, self.starts = self.take("m-0")
        assert len(self.starts) == 1

    @property
    def worker(self) -> Worker:
        """The machine of the start in flight."""
        return self.workers["m-0"]

    @property
    def attempt(self) -> Attempt:
        """The attempt whose start is in flight."""
        return self.starts[0]

    def take(self, name: str) -> tuple[list[TaskCommand], list[Attempt]]:
        """Take the commands that are to be pushed to a machine."""
        machine = self.shard.machines[name]
        machine.address = "10.1.0.1:9"
        return self.shard.take_push_commands(machine)

    def add_machine(self) -> None:
        """Add another machine, so that there is room whatever has become of the first."""
        name = f"m-{len(self.workers)}"
        self.harness.add(name)
        self.workers[name] = Worker(self.harness, name)

    def settle(self) -> None:
        """Let plans, pushes that are answered at once, and heartbeats go on."""
        for _ in range(ROUNDS):
            self.rounds += 1
            self.harness.now += US
            if self.rounds == LATE_ROUNDS and self.worker.epoch == 1:
                self.worker.execute(self.late)  # the worker refuses it in a later epoch
            self.shard.advance(self.harness.now)
            plan(self.shard, self.harness.now)
            for name, worker in self.workers.items():
                self.push(name)
                worker.heartbeat()
            self.check_on_one_machine()
            for job_state in list(self.shard.job_states.values()):
                self.shard.confirm_stored(job_state, list(job_state.unstored))
                if job_state.complete:
                    self.shard.close_job(job_state.job.ref)

    def push(self, name: str) -> None:
        """Push what waits for a machine; it executes and answers it at once."""
        commands, starts = self.take(name)
        worker = self.workers[name]
        if commands:
            worker.execute(commands)
            self.shard.receive_push_response(worker.report(), self.harness.now, starts)
            self.shard.acknowledge_starts(starts, True)

    def check_on_one_machine(self) -> None:
        """The rule `ran_twice`."""
        running = [
            key[:2]
            for worker in self.workers.values()
            for key, status in worker.tasks.items()
            if status.stage != "ended"
        ]
        assert len(running) == len(set(running))


# How the push ends.


def _executed(scene: Scene) -> None:
    scene.worker.execute(scene.commands)
    scene.shard.receive_push_response(scene.worker.report(), scene.harness.now, scene.starts)
    scene.shard.acknowledge_starts(scene.starts, True)


def _refused(scene: Scene) -> None:
    """The machine has begun a new epoch, and its answer shows it."""
    if scene.worker.epoch == 1:
        scene.worker.begin_epoch()
    scene.shard.receive_push_response(scene.worker.report(), scene.harness.now, ())
    scene.shard.acknowledge_starts(scene.starts, False)


def _nothing_sent(scene: Scene) -> None:
    scene.shard.acknowledge_starts(scene.starts, False)


def _unanswered(scene: Scene) -> None:
    """It is lost on its way."""
    scene.shard.acknowledge_starts(scene.starts, None)
    if "m-0" in scene.shard.machines:
        scene.shard.mark_unreachable(scene.shard.machines["m-0"], scene.harness.now)


def _answer_lost(scene: Scene) -> None:
    if scene.worker.epoch == 1:
        scene.worker.execute(scene.commands)
    _unanswered(scene)


def _late(scene: Scene) -> None:
    scene.late = scene.commands
    _unanswered(scene)


ENDS = [_executed, _refused, _nothing_sent, _unanswered, _answer_lost, _late]

# What happens to the attempt while its start is in flight.


def _nothing(scene: Scene) -> None:
    pass


def _stopped(scene: Scene) -> None:
    scene.shard.stop(scene.attempt, 0.0)


def _stopped_with_grace(scene: Scene) -> None:
    scene.shard.stop(scene.attempt, 5.0)


def _stopped_twice(scene: Scene) -> None:
    scene.shard.stop(scene.attempt, 5.0)
    scene.shard.stop(scene.attempt, 0.0)


def _cancelled(scene: Scene) -> None:
    scene.shard.close_job(scene.job_state.job.ref)


def _new_epoch(scene: Scene) -> None:
    scene.worker.begin_epoch()
    scene.worker.heartbeat()


def _stopped_in_an_earlier_epoch(scene: Scene) -> None:
    """The task is started on another machine before the push ends."""
    scene.shard.stop(scene.attempt, 0.0)
    _new_epoch(scene)
    scene.add_machine()
    scene.workers["m-1"].heartbeat()
    plan(scene.shard, scene.harness.now)
    assert scene.job_state.live


def _drained(scene: Scene) -> None:
    scene.shard.machines["m-0"].faulty = True
    scene.shard.machines["m-0"].failed_jobs.add("req-000009")
    scene.shard.advance(scene.harness.now)
    assert scene.attempt.stop_grace_s is not None


def _lost(scene: Scene) -> None:
    scene.harness.now += TIMING.lease_expiry_us + US
    scene.shard.advance(scene.harness.now)
    assert scene.shard.machines["m-0"].lost
    scene.worker.begin_epoch()


EVENTS = [
    _nothing,
    _stopped,
    _stopped_with_grace,
    _stopped_twice,
    _cancelled,
    _new_epoch,
    _stopped_in_an_earlier_epoch,
    _drained,
    _lost,
]


def _has_begun_a_new_epoch(event: Callable[[Scene], None]) -> bool:
    return event in (_new_epoch, _stopped_in_an_earlier_epoch, _lost)


def _name(function: Callable[[Scene], None]) -> str:
    return function.__name__.strip("_")


def _assert_nothing_is_left(scene: Scene) -> None:
    assert scene.shard.used("red").cpus == 0.0
    for machine in scene.shard.machines.values():
        assert not machine.attempts
        assert scene.shard.is_returnable(machine)
    for worker in scene.workers.values():
        assert not [status for status in worker.tasks.values() if status.stage != "ended"]


@pytest.mark.parametrize("event", EVENTS, ids=_name)
@pytest.mark.parametrize("end", ENDS, ids=_name)
def test_attempt_whose_start_is_in_flight_never_stays_bound(
    end: Callable[[Scene], None], event: Callable[[Scene], None]
) -> None:
    # Guards against jobs that wait for good, and usage that is never given back: an attempt to be
    # stopped stayed bound when nothing of its pushed start had been sent.
    if end is _executed and _has_begun_a_new_epoch(event):
        end = _refused  # the worker executes no command of an earlier epoch
    scene = Scene()

    event(scene)
    end(scene)
    scene.add_machine()
    scene.settle()

    if event is _cancelled:
        assert scene.shard.job_states == {}
    else:
        assert scene.job_state.is_done(0)
    _assert_nothing_is_left(scene)


@pytest.mark.parametrize("end", [_executed, _nothing_sent, _unanswered, _answer_lost], ids=_name)
def test_gang_is_placed_again_if_one_of_its_tasks_is_stopped_with_its_start_in_flight(
    end: Callable[[Scene], None],
) -> None:
    # Guards against gangs that wait for good for one task whose start was never sent.
    scene = Scene(machines=2, shape=Shape.GANG, tasks=2)
    job_state = scene.job_state
    scene.push("m-1")

    for attempt in list(job_state.live.values()):
        scene.shard.stop(attempt, 0.0)
    end(scene)
    scene.settle()

    assert job_state.is_done(0)
    assert job_state.is_done(1)
    _assert_nothing_is_left(scene)
