"""Applies reports of single tasks to their attempts, jobs and machines."""

from collections.abc import Mapping
from typing import Any

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import FailurePolicy
from basaltlead.core.jobs import US
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.orphaned_attempt import OrphanedAttempt
from basaltlead.core.reports import ReportedTask
from basaltlead.core.run_times import RunTimes
from basaltlead.core.signals import Log
from basaltlead.core.task_keys import AttemptKey, PlainAttemptKey
from basaltlead.core.task_states import (
    ENDED,
    EXECUTING,
    GANG_ENDING_REASONS,
    IMAGE_PRESENT,
    RUNNING,
    SENT,
    ExitReason,
)


class TaskReports:
    """Applies the tasks in the newest report of a machine, one by one."""

    def __init__(
        self,
        jobs: OpenJobs,
        attempts: AttemptTable,
        failures: FailurePolicy,
        run_times: RunTimes,
        log: Log,
    ) -> None:
        self._jobs = jobs
        self._attempts = attempts
        self._failures = failures
        self._run_times = run_times
        self._log = log

    # Our own attempts

    def apply(self, attempt: Attempt, reported: ReportedTask, now: int) -> None:
        """Apply the report of an attempt of ours."""
        stage = reported.stage
        if stage == ENDED:
            self._end(attempt, reported, now)
            return
        if stage in IMAGE_PRESENT and attempt.stage not in IMAGE_PRESENT:
            self._attempts.note_image_present(attempt)
        if stage == RUNNING and not attempt.running_since:
            self._begin_run(attempt, now)
        attempt.stage = stage

    def _begin_run(self, attempt: Attempt, now: int) -> None:
        attempt.running_since = now
        job_state, machine = attempt.job_state, attempt.machine
        starting_us = now - attempt.created_at
        machine.usage.add_start(machine.share(job_state.job) * starting_us / US)
        if not job_state.started_at:
            job_state.started_at = now
            job = job_state.job
            self._log(
                f"job {job.ref} ({job.job_class}, {job.tasks} tasks): first task running after "
                f"{(now - job_state.submitted_at) / US:.1f} s on {machine.name}"
            )

    def _end(self, attempt: Attempt, reported: ReportedTask, now: int) -> None:
        """Handle the end of an attempt. The worker lists the attempt until it receives FORGET."""
        machine, job_state = attempt.machine, attempt.job_state
        job = job_state.job
        reason = reported.why or ExitReason.ERROR
        completed = reason == ExitReason.DONE and not job.service  # replicas have no result
        machine.orphaned_attempts[attempt.attempt_key] = OrphanedAttempt(
            ended=True, forgettable=not completed
        )
        ran_long = job.service and self._failures.record_replica_end(attempt, reason, now)
        if completed:
            self._complete(attempt, now)
        self._attempts.remove(attempt, now)
        if completed or job_state.closed:
            return
        if not ran_long or reason != ExitReason.ERROR:
            self._failures.record_exit(machine, job_state, reason, now)
        if job.gang and reason == ExitReason.INCOMPLETE:
            self._log(f"gang {job.ref} was not complete in time on {machine.name}")
            self._attempts.stop_incomplete(job_state)
        elif job.gang and reason in GANG_ENDING_REASONS:
            self._attempts.stop_all(job_state)

    def _complete(self, attempt: Attempt, now: int) -> None:
        """Record a result and its run time. A gang's run time is recorded once, since its first
        result stands for all its tasks."""
        job_state = attempt.job_state
        attempt.machine.failed_jobs.clear()
        job_state.failure_history.record_success()
        run_time_known = attempt.running_since and not attempt.adopted
        if (
            run_time_known
            and not job_state.closed
            and not (job_state.job.gang and job_state.done_count)
        ):
            self._run_times.record_run(job_state, now - attempt.running_since)
        _finish(job_state, attempt.index)

    # Attempts that are not ours

    def reconcile_unknown(
        self, machine: Machine, plain_key: PlainAttemptKey, reported: ReportedTask, now: int
    ) -> None:
        """Handle a listed attempt that we did not start or no longer want."""
        ref, index, _ = plain_key
        job_state = self._jobs.by_ref.get(ref)
        has_ended = reported.stage == ENDED
        orphans: Mapping[Any, OrphanedAttempt] = machine.orphaned_attempts
        orphan = orphans.get(plain_key)
        if orphan is None:
            orphan = OrphanedAttempt(has_ended, False)
            machine.orphaned_attempts[AttemptKey(*plain_key)] = orphan
        orphan.ended = has_ended
        if job_state is None or job_state.closed or index >= job_state.job.tasks:
            orphan.forgettable = has_ended
        elif not has_ended:
            if _is_wanted(job_state, index, machine):
                key = AttemptKey(*plain_key)
                del machine.orphaned_attempts[key]
                self._adopt(job_state, key, machine, reported, now)
        elif reported.why == ExitReason.DONE and not job_state.job.service:
            _finish(job_state, index)
        else:
            orphan.forgettable = True

    def _adopt(
        self,
        job_state: JobState,
        key: AttemptKey,
        machine: Machine,
        reported: ReportedTask,
        now: int,
    ) -> None:
        """Take over an attempt of an earlier shard leader under its attempt number."""
        attempt = self._attempts.start(job_state, key.task_index, machine, key.attempt_number, now)
        attempt.stage = SENT
        attempt.adopted = reported.stage in EXECUTING
        self.apply(attempt, reported, now)


def _is_wanted(job_state: JobState, index: int, machine: Machine) -> bool:
    """Whether an attempt of an earlier shard leader may continue. False once the machine is synced:
    from then on only we start attempts there, so an attempt that we do not know is one that we have
    removed."""
    return (
        index not in job_state.live
        and not job_state.is_done(index)
        and not machine.synced
        and job_state.queue.contains(index)
    )


def _finish(job_state: JobState, index: int) -> None:
    """Record a result. A gang's tasks complete together, so the result of one stands for all."""
    for done in range(job_state.job.tasks) if job_state.job.gang else (index,):
        job_state.finish(done)
