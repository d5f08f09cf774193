"""Generates the commands for a machine from the state that it last reported."""

from basaltlead.core.command_message import CommandMessage, MessageLimit, TaskCommand
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.orphaned_attempt import OrphanedAttempt
from basaltlead.core.reports import WorkerReport
from basaltlead.core.task_keys import AttemptKey, parse_task
from basaltlead.core.task_states import (
    BEFORE_FIRST_REPORT,
    ENDED,
    FORGET,
    HALT,
    PLANNED,
    RUN,
    SAVING,
    SENT,
    CommandVerb,
)

# While commands are in flight, a machine is not told to forget attempts, since the higher token
# would have it refuse them. With more ended attempts than this it is: its report, at about 100
# bytes for an attempt, must stay far below 64 KiB.
MAX_DEFERRED_FORGETS = 100


class CommandGenerator:
    """Generates the commands that answer heartbeats and those that are pushed."""

    def __init__(self, jobs: OpenJobs, tokens: FencingTokens, limit: MessageLimit) -> None:
        self._jobs = jobs
        self._tokens = tokens
        self._limit = limit

    # Answers to heartbeats

    def for_heartbeat(self, machine: Machine, sequence: int) -> list[TaskCommand]:
        """The commands for the answer to the heartbeat with this sequence number. A command is
        repeated until the machine's reports show that it was executed."""
        if not machine.synced or machine.terminating:
            return []
        message = CommandMessage(self._limit)
        self._add_orphan_commands(message, machine)
        _add_stop_commands(message, machine)
        for attempt in _startable(machine):
            if not message.add(_task_command(RUN, attempt)):
                break
            attempt.stage = SENT
            attempt.sent_sequence = sequence
        return message.commands

    def _add_orphan_commands(self, message: CommandMessage, machine: Machine) -> None:
        """Add HALT for orphaned attempts that have not ended, and FORGET for ended ones whose
        result would not be lost."""
        forgets: list[TaskCommand] = []
        for key, orphan in machine.orphaned_attempts.items():
            if not orphan.ended:
                message.add(TaskCommand(HALT, *key, 0.0))
            elif self._is_forgettable(key, orphan):
                forgets.append(TaskCommand(FORGET, *key))
        if forgets and not _defers_forgets(machine) and self._tokens.allow_forget(machine):
            for forget in forgets:
                message.add(forget)

    def halts_for_closed_jobs(self, heartbeat: WorkerReport) -> list[TaskCommand]:
        """Halts for tasks of closed jobs, on a machine that has not sent our fencing token.

        The answer renews the worker's lease and may be the last that the worker receives, so it
        must contain the halt for a job that was cancelled long before our grant."""
        message = CommandMessage(self._limit)
        for reported in heartbeat.tasks:
            ref, index = parse_task(reported.task)
            if reported.stage != ENDED and self._jobs.is_closed(ref):
                message.add(TaskCommand(HALT, ref, index, reported.attempt_number, 0.0))
        return message.commands

    # Commands that are pushed

    def take_push_commands(self, machine: Machine) -> tuple[list[TaskCommand], list[Attempt]]:
        """The commands to push now, and the starts among them. While a pushed start is in flight,
        answers to heartbeats do not contain it. Its task stays bound to the machine until the start
        is acknowledged. What does not fit into the message is pushed after it."""
        if not machine.synced or machine.terminating or machine.lost or not machine.address:
            return [], []
        message = CommandMessage(self._limit)
        for attempt in machine.attempts.values():
            if (
                attempt.stop_grace_s is None
                or attempt.pushed_grace_s == attempt.stop_grace_s
                or attempt.stage in BEFORE_FIRST_REPORT
            ):
                continue
            if message.add(_task_command(HALT, attempt, attempt.stop_grace_s)):
                attempt.pushed_grace_s = attempt.stop_grace_s
        if not self._tokens.allow_push(machine):
            return message.commands, []  # the answer to the next heartbeat carries the starts
        pushed_starts = [
            attempt
            for attempt in _startable(machine)
            if attempt.stage == PLANNED and message.add(_task_command(RUN, attempt))
        ]
        if pushed_starts:
            self._tokens.note_pushed_starts(machine)
        for attempt in pushed_starts:
            attempt.stage = SENT
            attempt.start_in_flight = True
        return message.commands, pushed_starts

    # Returning machines

    def is_returnable(self, machine: Machine) -> bool:
        """Whether the machine can be returned without losing work or results."""
        return not machine.attempts and all(
            orphan.ended and self._is_forgettable(key, orphan)
            for key, orphan in machine.orphaned_attempts.items()
        )

    def _is_forgettable(self, key: AttemptKey, orphan: OrphanedAttempt) -> bool:
        """Whether the worker can drop its record of an ended attempt without losing a result."""
        return orphan.forgettable or self._jobs.is_result_stored(key.ref, key.task_index)


def has_pending_commands(machine: Machine) -> bool:
    """Whether the machine has halts that were not pushed, or starts that were not sent. They may be
    waiting for free capacity or for an answer."""
    return any(
        attempt.pushed_grace_s != attempt.stop_grace_s
        if attempt.stop_grace_s is not None
        else attempt.stage == PLANNED
        for attempt in machine.attempts.values()
    )


def _defers_forgets(machine: Machine) -> bool:
    """Whether FORGET waits for the answer to commands in flight."""
    return machine.push_in_flight and len(machine.orphaned_attempts) <= MAX_DEFERRED_FORGETS


def _add_stop_commands(message: CommandMessage, machine: Machine) -> None:
    """Add halts for attempts that are to stop. A start that was never acknowledged is sent again
    before its halt: the worker then lists the attempt, and ignores a copy of the start that arrives
    later."""
    for attempt in machine.attempts.values():
        if attempt.stop_grace_s is None:
            continue
        commands = []
        if attempt.stage == SENT and attempt.start_unacknowledged:
            commands.append(_task_command(RUN, attempt))
        if attempt.stage == SAVING and attempt.stop_grace_s > 0:
            continue
        if attempt.stage != SENT or attempt.start_unacknowledged:
            commands.append(_task_command(HALT, attempt, attempt.stop_grace_s))
        message.add(*commands)


def _startable(machine: Machine) -> list[Attempt]:
    """Attempts whose start may be sent now, highest rank first: they fit in addition to everything
    that may be on the machine."""
    waiting = [
        attempt
        for attempt in machine.attempts.values()
        if attempt.stop_grace_s is None
        and attempt.stage in BEFORE_FIRST_REPORT
        and not attempt.start_in_flight
    ]
    if not waiting or machine.lost or not machine.recorded:
        return []
    room = machine.room()
    startable = []
    for attempt in sorted(waiting, key=lambda attempt: -attempt.job_state.job.rank):
        if attempt.stage == SENT:
            startable.append(attempt)
        elif room.fits(attempt.job_state.job) and not machine.has_other_attempt(attempt.key):
            room.take(attempt.job_state.job)
            startable.append(attempt)
    return startable


def _task_command(verb: CommandVerb, attempt: Attempt, grace_s: float | None = None) -> TaskCommand:
    return TaskCommand(verb, *attempt.attempt_key, grace_s)
