"""The facade through which a shard leader uses a shard: reports, decisions and commands."""

from collections.abc import Iterable
from typing import NamedTuple

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.command_message import UNLIMITED, MessageLimit, TaskCommand
from basaltlead.core.commands import CommandGenerator, has_pending_commands
from basaltlead.core.draining import Drainer
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import FailurePolicy
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.fleet import Fleet
from basaltlead.core.jobs import Job
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.reconciliation import OUTDATED, REFUSED, UNPROVEN, HeartbeatReconciler
from basaltlead.core.reports import WorkerReport
from basaltlead.core.run_times import RunTimes
from basaltlead.core.signals import Log, ShardSignals
from basaltlead.core.stragglers import StragglerDetector
from basaltlead.core.task_reports import TaskReports
from basaltlead.core.teams import TeamQuota, TeamUsage
from basaltlead.core.timing import Timing


def _no_log(text: str) -> None:
    """Discard a log line."""


class ShardOutput(NamedTuple):
    """Where log lines of a shard go, and how much fits into a message to a machine."""

    log: Log = _no_log
    message_limit: MessageLimit = UNLIMITED


NO_OUTPUT = ShardOutput()


class Shard:
    """The state of a shard as its leader uses it: its jobs, attempts and machines.

    It does no input or output, and each method is passed the time in microseconds, so the state
    depends on the calls alone.
    """

    def __init__(
        self,
        tokens: FencingTokens,
        version: int,
        now: int,
        timing: Timing,
        teams: dict[str, TeamQuota],
        output: ShardOutput = NO_OUTPUT,
    ) -> None:
        log = output.log
        self.tokens = tokens
        self.version = version  # of the grant: no other leader has started jobs accepted later
        self.acquired_at = now
        self.timing = timing
        self.teams = teams
        self._signals = ShardSignals()
        self._jobs = OpenJobs(self._signals)
        self._attempts = AttemptTable(tokens.first, self._jobs, self._signals)
        self._fleet = Fleet(tokens.first, self._attempts, self._signals, log)
        self._failures = FailurePolicy(self._jobs, self._fleet.machines, log)
        self._run_times = RunTimes()
        self._stragglers = StragglerDetector(self._attempts, self._run_times, log)
        self._drainer = Drainer(self._attempts, timing)
        self._commands = CommandGenerator(self._jobs, tokens, output.message_limit)
        task_reports = TaskReports(self._jobs, self._attempts, self._failures, self._run_times, log)
        self._reconciler = HeartbeatReconciler(
            tokens, timing, self._fleet, self._attempts, task_reports
        )
        # Direct references, since planning and fleet sizing iterate over these often.
        self.job_states = self._jobs.by_ref
        self.machines = self._fleet.machines
        self.unsynced = self._fleet.unsynced
        self.deleted_machines = self._fleet.deleted_machines
        self.push_queue = self._signals.push_queue
        self.team_used = self._attempts.team_used
        self.class_ratios = self._run_times.class_ratios

    @property
    def plan_needed(self) -> bool:
        """Whether a plan may be able to bind tasks that the last one could not."""
        return self._signals.plan_needed

    def request_plan(self) -> None:
        """Request a plan in the next iteration of the planning loop."""
        self._signals.plan_needed = True

    def begin_plan(self) -> None:
        """Clear the request for a plan; changes from now on request the next one."""
        self._signals.plan_needed = False

    # Jobs

    def add_job(self, job: Job, version: int, now: int, age_us: int = 0) -> JobState:
        """Add an open job whose record has this version; a known one stays as it is."""
        return self._jobs.add(job, version, now, age_us)

    def close_job(self, ref: str) -> None:
        """Close a job that is cancelled or completed: stop its attempts, and start no others."""
        job_state = self.job_states.get(ref)
        if job_state is None:
            return
        job_state.closed = True
        if not (job_state.failure_history.replica_ran_long or job_state.complete):
            self._failures.withdraw_failures(job_state)  # the job itself may have been faulty
        self._attempts.stop_all(job_state)
        self._jobs.discard_if_closed(job_state)
        self._signals.plan_needed = True

    def confirm_stored(self, job_state: JobState, indices: Iterable[int]) -> None:
        """Record that these results are in the key-value store, so that workers may forget them."""
        self._jobs.confirm_stored(job_state, indices)

    def is_blocked(self, job_state: JobState, now: int) -> bool:
        """Whether no task of the job may be started now. Until every machine that may hold tasks of
        an earlier shard leader has sent our fencing token, only jobs that no such leader can have
        started are not blocked
        (test_jobs_accepted_after_the_grant_do_not_wait_for_silent_machines)."""
        return (
            job_state.closed
            or now < job_state.retry_at
            or (job_state.version <= self.version and bool(self.unsynced))
        )

    def estimated_run_us(self, job_state: JobState) -> int:
        """The expected run time of a task of the job, in microseconds."""
        return self._run_times.estimated_run_us(job_state)

    # Attempts

    def next_attempt_number(self) -> int:
        """The number of a new attempt, unique across all shard leaders."""
        return self._attempts.next_attempt_number()

    def used(self, team: str) -> TeamUsage:
        """What a team's tasks use, including those that only may be on their machines."""
        return self._attempts.used(team)

    def start(
        self, job_state: JobState, index: int, machine: Machine, attempt_number: int, now: int
    ) -> Attempt:
        """Bind a task to a machine; its start command is sent once there is capacity for it."""
        return self._attempts.start(job_state, index, machine, attempt_number, now)

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Stop an attempt, with `grace_s` to save a checkpoint."""
        self._attempts.stop(attempt, grace_s)

    def stop_gracefully(self, attempt: Attempt) -> None:
        """Stop an attempt, with time to save its progress if it can; a gang is stopped as a
        whole."""
        self._attempts.stop_gracefully(attempt)

    # Machines

    def load_machine(self, machine: Machine, answered_at: int | None = None) -> None:
        """Add a machine that is recorded as in use when we acquire the shard. `answered_at` is when
        we last answered it before it was loaded; None if we did not."""
        machine.lease.count_from_grant(self.acquired_at, answered_at)
        self._fleet.load(machine)

    def add_machine(self, machine: Machine) -> None:
        """Add a machine that can't hold any task yet, unless it is known."""
        self._fleet.add(machine)

    def drop_machine(self, name: str, now: int) -> None:
        """Drop a deleted machine, with all its attempts."""
        self._fleet.drop(name, now)

    def mark_unreachable(self, machine: Machine, now: int) -> None:
        """Start nothing on a machine that did not answer a command, until something proves that our
        commands reach it."""
        self._fleet.mark_unreachable(machine, now)

    def is_returnable(self, machine: Machine) -> bool:
        """Whether the machine can be returned without losing work or results."""
        return self._commands.is_returnable(machine)

    @property
    def has_unaccounted_tasks(self) -> bool:
        """Whether some machine has, or may have, a task that is not in the usage of its team."""
        return self._fleet.has_unaccounted_tasks

    # Reports and commands

    def heartbeat(self, heartbeat: WorkerReport, now: int) -> list[TaskCommand] | None:
        """Apply a heartbeat and return the commands for its answer. None if it must not be answered
        with 200, since that would renew the worker's lease."""
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            return None
        outcome = self._reconciler.receive(machine, heartbeat, now)
        if outcome is REFUSED:
            return None
        if outcome is OUTDATED:
            return []
        if outcome is UNPROVEN:
            return self.halts_for_closed_jobs(heartbeat)
        self._drainer.drain(machine, now)
        machine.lease.answer(now)
        if not machine.synced:
            return self.halts_for_closed_jobs(heartbeat)
        return self._commands.for_heartbeat(machine, machine.messages.heartbeat_sequence)

    def halts_for_closed_jobs(self, heartbeat: WorkerReport) -> list[TaskCommand]:
        """Halts for tasks of closed jobs, on a machine that is not synced."""
        return self._commands.halts_for_closed_jobs(heartbeat)

    def take_push_commands(self, machine: Machine) -> tuple[list[TaskCommand], list[Attempt]]:
        """The commands to push now, and the starts among them, which are then in flight."""
        return self._commands.take_push_commands(machine)

    def has_pending_commands(self, machine: Machine) -> bool:
        """Whether the machine has halts that were not pushed, or starts that were not sent."""
        return has_pending_commands(machine)

    def receive_push_response(
        self, heartbeat: WorkerReport, now: int, pushed_starts: Iterable[Attempt] = ()
    ) -> None:
        """Apply the answer to pushed commands. `pushed_starts` are the starts that it proves to be
        executed."""
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            self._reconciler.receive_push_response(machine, heartbeat, now, pushed_starts)

    def acknowledge_starts(self, pushed_starts: Iterable[Attempt], executed: bool | None) -> None:
        """Record whether pushed starts were executed; None if that is unknown."""
        self._attempts.acknowledge_starts(pushed_starts, executed)

    # Time

    def advance(self, now: int) -> None:
        """Apply what is due by now: expired leases, draining of machines, stopping of
        stragglers."""
        # Called ten times a second with thousands of machines, most of which need nothing done.
        silent_before = now - self.timing.lease_expiry_us
        due = [
            m
            for m in self.machines.values()
            if m.lease.counted_from < silent_before or m.preemption_at is not None or m.faulty
        ]
        for machine in due:
            if machine.lost or not machine.lease.has_expired(now, self.timing):
                self._drainer.drain(machine, now)
            elif machine.up or machine.name in self.unsynced:
                self._fleet.mark_lost(machine, now)
        self._stragglers.check(self.job_states, now)
