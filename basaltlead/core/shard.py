"""A shard as its leader acts on it: what is reported, what is decided, and the commands for it."""

from collections.abc import Iterable

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.commands import CommandGenerator, TaskCommand, has_pending_commands
from basaltlead.core.draining import Drainer
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import FailurePolicy
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
    """Used where nobody reads what a shard logs."""


class Shard:
    """The facade of a shard: joins the parts that keep its jobs, attempts and machines.

    Does no input or output. Each method takes the time, so that all that happens under one grant
    is determined by the calls.
    """

    def __init__(
        self,
        fencing_token: int,
        version: int,
        now: int,
        timing: Timing,
        teams: dict[str, TeamQuota],
        log: Log = _no_log,
    ) -> None:
        self.fencing_token = fencing_token
        self.version = version  # of the grant: jobs accepted later were never started by others
        self.acquired_at = now
        self.timing = timing
        self.teams = teams
        self._signals = ShardSignals()
        self._jobs = OpenJobs(self._signals)
        self._attempts = AttemptTable(fencing_token, self._jobs, self._signals)
        self._fleet = Fleet(fencing_token, self._attempts, self._signals, log)
        self._failures = FailurePolicy(self._jobs, self._fleet.machines, log)
        self._run_times = RunTimes()
        self._stragglers = StragglerDetector(self._attempts, self._run_times, log)
        self._drainer = Drainer(self._attempts, timing)
        self._commands = CommandGenerator(self._jobs)
        task_reports = TaskReports(self._jobs, self._attempts, self._failures, self._run_times, log)
        self._reconciler = HeartbeatReconciler(
            fencing_token, timing, self._fleet, self._attempts, task_reports
        )
        # Tables of the parts, which plans and sizing pass over again and again.
        self.job_states = self._jobs.by_ref
        self.machines = self._fleet.machines
        self.unsynced = self._fleet.unsynced
        self.gone = self._fleet.gone
        self.urgent = self._signals.urgent
        self.team_used = self._attempts.team_used
        self.class_ratios = self._run_times.class_ratios

    @property
    def dirty(self) -> bool:
        """May a plan bind tasks that the last one could not?"""
        return self._signals.dirty

    def request_plan(self) -> None:
        """Have the next pass of the planning loop make a plan."""
        self._signals.dirty = True

    def begin_plan(self) -> None:
        """A plan begins: what changes from now on is for the next one."""
        self._signals.dirty = False

    # Jobs

    def add_job(self, job: Job, version: int, now: int, age_us: int = 0) -> JobState:
        """Take in an open job whose record has this version; a known one stays as it is."""
        return self._jobs.add(job, version, now, age_us)

    def close_job(self, ref: str) -> None:
        """Cancelled, or over: nothing of it may start, and what is there must go."""
        job_state = self.job_states.get(ref)
        if job_state is None:
            return
        job_state.closed = True
        if not (job_state.history.lasted or job_state.complete):
            self._failures.clear(job_state)  # it never showed that it can run
        self._attempts.stop_all(job_state)
        self._jobs.discard_if_over(job_state)
        self._signals.dirty = True

    def stored(self, job_state: JobState, indices: Iterable[int]) -> None:
        """These results are in the key-value store: their workers may forget them."""
        self._jobs.confirm_stored(job_state, indices)

    def blocked(self, job_state: JobState, now: int) -> bool:
        """May none of its tasks be started now? Until every machine that might hold a task
        has shown our fencing token, only jobs that no earlier shard leader can have started are
        free (test_jobs_accepted_after_the_grant_do_not_wait_for_silent_machines)."""
        return (
            job_state.closed
            or now < job_state.retry_at
            or (job_state.version <= self.version and bool(self.unsynced))
        )

    def estimated_run_us(self, job_state: JobState) -> int:
        """How long a task of the job will run."""
        return self._run_times.estimated_run_us(job_state)

    # Attempts

    def next_attempt_number(self) -> int:
        """The number of a new attempt, unique among all shard leaders."""
        return self._attempts.next_attempt_number()

    def used(self, team: str) -> TeamUsage:
        """What a team's tasks take, those counted that only may be there."""
        return self._attempts.used(team)

    def start(
        self, job_state: JobState, index: int, machine: Machine, attempt_number: int, now: int
    ) -> Attempt:
        """Bind a task to a machine; its start command goes out once there is room for it."""
        return self._attempts.start(job_state, index, machine, attempt_number, now)

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Have an attempt stopped, with so long to save a checkpoint."""
        self._attempts.stop(attempt, grace_s)

    def stop_gracefully(self, attempt: Attempt) -> None:
        """Stop it so that its progress is saved if that can be; a gang's tasks go together."""
        self._attempts.stop_gracefully(attempt)

    # Machines

    def load_machine(self, machine: Machine, answered_at: int | None = None) -> None:
        """Add one that the key-value store lists as in use when we acquire the shard, and when we
        answered it before we knew it, if we did."""
        machine.lease.grant(self.acquired_at, answered_at)
        self._fleet.load(machine)

    def add_machine(self, machine: Machine) -> None:
        """Add one that can't hold any task yet, unless it is known."""
        self._fleet.add(machine)

    def drop_machine(self, name: str, now: int) -> None:
        """It is deleted: everything on it is gone."""
        self._fleet.drop(name, now)

    def mark_unreachable(self, machine: Machine, now: int) -> None:
        """A command went unanswered: nothing new is given to it until it is proven to hear us."""
        self._fleet.mark_unreachable(machine, now)

    def settled(self, machine: Machine) -> bool:
        """Would nothing be lost if the machine were returned?"""
        return self._commands.is_settled(machine)

    @property
    def has_unaccounted_tasks(self) -> bool:
        """Is there, or may there be, a task on some machine that we do not account for?"""
        return self._fleet.has_unaccounted_tasks

    # Reports and commands

    def heartbeat(self, heartbeat: WorkerReport, now: int) -> list[TaskCommand] | None:
        """Take in a heartbeat; the commands for its answer, or None when it must not be answered
        with 200, since that would renew the worker's lease."""
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            return None
        receipt = self._reconciler.receive(machine, heartbeat, now)
        if receipt is REFUSED:
            return None
        if receipt is OUTDATED:
            return []
        if receipt is UNPROVEN:
            return self.halt_orphans(heartbeat)
        self._drainer.drain(machine, now)
        machine.lease.answer(now)
        if not machine.synced:
            return self.halt_orphans(heartbeat)
        return self._commands.for_heartbeat(machine, machine.messages.heartbeat_sequence)

    def halt_orphans(self, heartbeat: WorkerReport) -> list[TaskCommand]:
        """Halts for tasks of jobs that are over, on a machine that we do not know fully."""
        return self._commands.halt_orphans(heartbeat)

    def take_push_commands(self, machine: Machine) -> tuple[list[TaskCommand], list[Attempt]]:
        """Commands worth sending at once, and the starts among them, which are in flight then."""
        return self._commands.take_push_commands(machine)

    def has_pending_commands(self, machine: Machine) -> bool:
        """Has it commands that were not sent so far?"""
        return has_pending_commands(machine)

    def answer(
        self, heartbeat: WorkerReport, now: int, pushed_starts: Iterable[Attempt] = ()
    ) -> None:
        """Take in the answer to pushed commands. `pushed_starts` are the starts that it proves to
        be executed."""
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            self._reconciler.receive_answer(machine, heartbeat, now, pushed_starts)

    def acknowledge_starts(self, pushed_starts: Iterable[Attempt], executed: bool | None) -> None:
        """Pushed starts were executed, were not, or (None) nobody knows."""
        self._attempts.acknowledge_starts(pushed_starts, executed)

    # Time

    def advance(self, now: int) -> None:
        """Take in what changes by the mere passing of time: leases expire, machines with a
        preemption notice are emptied, stragglers are stopped."""
        # Ten times a second, over thousands of machines: most have nothing to be done for.
        silent_before = now - self.timing.lease_expiry_us
        due = [
            m
            for m in self.machines.values()
            if m.lease.counted_from < silent_before or m.preemption_at is not None or m.draining
        ]
        for machine in due:
            if machine.lost or not machine.lease.has_expired(now, self.timing):
                self._drainer.drain(machine, now)
            elif machine.up or machine.name in self.unsynced:
                self._fleet.lose(machine, now)
        self._stragglers.check(self.job_states, now)
