"""Messages to machines stay below the protocol's limit, whatever they carry."""

from collections.abc import Callable, Iterator

import pytest

from basaltlead.clients.codec import encode
from basaltlead.core.command_message import CommandMessage, MessageLimit, TaskCommand
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.jobs import MAX_TASKS_PER_MACHINE, MachineType
from basaltlead.core.shard import Shard, ShardOutput
from basaltlead.core.task_states import FORGET, HALT, RUN, SENT
from basaltlead.net.http.messages import MAX_BODY_BYTES
from basaltlead.shard.worker_commands import MAX_NUMBER, MESSAGE_LIMIT, to_worker_command
from basaltlead.wire.workers import DirectCommand, HeartbeatResponse
from tests.builders import TIMING, ShardHarness, make_job, task_status

TASKS = 3000
LARGE = MachineType("k", 4000.0, 0.0, 4000.0, 1.0, None, 1, 50.0, 1.0, ("a",))
LONGEST_REF = 999_999_999_999_999  # 15 digits
LONGEST_TASK = 99_999
HIGHEST_TOKENS = range(2**39, 2**40)  # attempt numbers then take 63 bits


class LargeMachineHarness(ShardHarness):
    """A shard with one large machine, whose names and numbers are as long as they can be."""

    def __init__(self, limit: MessageLimit = MESSAGE_LIMIT) -> None:
        super().__init__(machines=0)
        output = ShardOutput(message_limit=limit)
        tokens = FencingTokens(HIGHEST_TOKENS)
        self.shard = Shard(tokens, 100, self.now, TIMING, self.shard.teams, output)
        self.machine = Machine("m-0", LARGE, "a", False, self.now)
        self.machine.recorded = True
        self.shard.add_machine(self.machine)
        self.report()

    def report(self, *tasks: object) -> list[TaskCommand]:
        """Report the machine's tasks; return the commands in the answer."""
        heartbeat = self.make_heartbeat("m-0", *tasks, fencing_token=HIGHEST_TOKENS.start)  # type: ignore[arg-type]
        commands = self.shard.heartbeat(heartbeat, self.now)
        assert commands is not None
        self.check(commands)
        return commands

    def push(self) -> list[TaskCommand]:
        """Return the commands that are pushed, and have the starts among them executed."""
        commands, starts = self.shard.take_push_commands(self.machine)
        self.shard.acknowledge_starts(starts, True)
        self.check(commands)
        return commands

    def bind(self, count: int = TASKS) -> JobState:
        """Bind this many tasks of a job with the longest names to the machine."""
        job = make_job(LONGEST_REF, tasks=LONGEST_TASK + 1, cpus=0.001, memory_gb=0.001)
        job_state = self.shard.add_job(job, 200, self.now)
        for index in range(LONGEST_TASK + 1 - count, LONGEST_TASK + 1):
            number = self.shard.next_attempt_number()
            self.shard.start(job_state, index, self.machine, number, self.now)
        return job_state

    @staticmethod
    def check(commands: list[TaskCommand]) -> None:
        """Check the messages with these commands as they are sent."""
        sent = [to_worker_command(command) for command in commands]
        pushed = DirectCommand(MAX_NUMBER, MAX_NUMBER, sent)
        assert len(encode(pushed)) <= MAX_BODY_BYTES
        assert len(encode(HeartbeatResponse(MAX_NUMBER, sent))) <= MAX_BODY_BYTES


def _messages(take: Callable[[], list[TaskCommand]]) -> Iterator[list[TaskCommand]]:
    """The messages until one is empty."""
    while commands := take():
        yield commands


def _tasks_of(messages: list[list[TaskCommand]], verb: str) -> list[int]:
    return [command.index for message in messages for command in message if command.verb == verb]


# Of the starts that a machine may be sent at once, some do not fit.
SMALL_LIMIT = MessageLimit(MESSAGE_LIMIT.max_bytes // 4, MESSAGE_LIMIT.size_of)


def test_pushed_starts_are_divided_over_messages() -> None:
    # Guards against requests that a worker refuses, with all the starts that they carry.
    harness = LargeMachineHarness(SMALL_LIMIT)
    job_state = harness.bind(MAX_TASKS_PER_MACHINE)
    messages = [harness.push()]
    assert messages[0]
    sent = {attempt.index for attempt in job_state.live.values() if attempt.stage == SENT}
    assert sent == set(_tasks_of(messages, RUN))
    assert harness.shard.has_pending_commands(harness.machine)

    messages += _messages(harness.push)

    assert sorted(_tasks_of(messages, RUN)) == sorted(job_state.live)
    assert not harness.shard.has_pending_commands(harness.machine)


def test_starts_in_answers_are_divided_and_only_those_sent_count_as_sent() -> None:
    harness = LargeMachineHarness(SMALL_LIMIT)
    job_state = harness.bind(MAX_TASKS_PER_MACHINE)

    commands = harness.report()

    assert 0 < len(commands) < MAX_TASKS_PER_MACHINE
    sent = {attempt.index for attempt in job_state.live.values() if attempt.stage == SENT}
    assert sent == {command.index for command in commands}


def test_halts_are_divided_over_messages() -> None:
    harness = LargeMachineHarness()
    job_state = harness.bind()
    for _ in _messages(harness.push):
        pass
    running = [task_status(attempt, "running") for attempt in job_state.live.values()]
    harness.report(*running)
    harness.shard.close_job(job_state.job.ref)

    assert harness.report(*running)  # the same in the answers
    messages = list(_messages(harness.push))

    assert sorted(_tasks_of(messages, HALT)) == sorted(job_state.live)


def test_attempts_to_forget_are_divided_over_messages() -> None:
    harness = LargeMachineHarness()
    job_state = harness.bind()
    attempts = list(job_state.live.values())
    for _ in _messages(harness.push):
        pass
    ended = [task_status(attempt, "ended", "error") for attempt in attempts]
    forgotten: set[int] = set()
    while ended:
        commands = harness.report(*ended)
        forgotten |= {command.index for command in commands if command.verb == FORGET}
        ended = [s for s in ended if int(s.task.partition("/")[2]) not in forgotten]

    assert forgotten == {attempt.index for attempt in attempts}


@pytest.mark.parametrize(
    ("sizes", "added"),
    [
        ([[4], [6]], [True, True]),
        ([[4], [7]], [True, False]),
        ([[11], [1]], [False, False]),  # nothing follows what did not fit
        ([[4, 7], [1]], [False, False]),  # commands that belong together
        ([[4, 6]], [True]),
        ([[]], [True]),
    ],
)
def test_message_takes_commands_in_order_until_one_does_not_fit(
    sizes: list[list[int]], added: list[bool]
) -> None:
    message = CommandMessage(MessageLimit(10, lambda command: command.index))

    for together, fits in zip(sizes, added, strict=True):
        commands = [TaskCommand(HALT, "req-000001", size, 1) for size in together]
        assert message.add(*commands) == fits

    assert sum(command.index for command in message.commands) <= 10
