"""Detects tasks that take far longer than others of their job, and slow machines."""

from collections.abc import Mapping

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, JobState
from basaltlead.core.jobs import US
from basaltlead.core.run_times import MIN_SAMPLES, RunTimes
from basaltlead.core.signals import Log
from basaltlead.core.task_states import RUNNING

CHECK_INTERVAL_US = US
# A task is a straggler if it runs for this many times as long as expected, and this much longer.
SLOW_FACTOR = 6
SLOW_MARGIN_US = 30 * US
MAX_STOPPED = 4  # stragglers stopped per job
FAULTY_MACHINE_SLOW_JOBS = 2  # a machine with stragglers of this many jobs is drained
# How long a job avoids a machine that was slow for it. That may be the only machine with room for
# the job, and a job must start within 90 s if a suitable machine has room for it.
STRAGGLER_AVOIDANCE_US = 60 * US


class StragglerDetector:
    """Stops tasks on machines where they run far longer than expected."""

    def __init__(self, attempts: AttemptTable, run_times: RunTimes, log: Log) -> None:
        self._attempts = attempts
        self._run_times = run_times
        self._log = log
        self._checked_at = 0

    def check(self, job_states: Mapping[str, JobState], now: int) -> None:
        """Stop the stragglers of all jobs, at most once a second."""
        if now < self._checked_at + CHECK_INTERVAL_US:
            return
        self._checked_at = now
        for job_state in list(job_states.values()):
            if job_state.live and not job_state.closed:
                self.stop_stragglers(job_state, now)

    def stop_stragglers(self, job_state: JobState, now: int) -> None:
        """Stop the stragglers of a job. The expected run time is that of its completed tasks or, in
        their absence, the user's estimate, corrected by the experience with its job class. A job
        that is slow everywhere is left alone after `MAX_STOPPED` stops; one without an estimate is
        never checked."""
        if (
            job_state.failure_history.stragglers_stopped >= MAX_STOPPED
            or job_state.job.estimated_run_us <= 0
            or job_state.job.service
        ):
            return
        limit_us = SLOW_FACTOR * self._run_times.estimated_run_us(job_state) + SLOW_MARGIN_US
        if job_state.ran_count < MIN_SAMPLES:
            limit_us *= 2  # an estimate is less reliable than measured run times
        for attempt in list(job_state.live.values()):
            if _is_straggler(attempt, limit_us, now):
                self._stop(attempt, now)

    def _stop(self, attempt: Attempt, now: int) -> None:
        machine, job_state = attempt.machine, attempt.job_state
        job_state.failure_history.record_straggler(machine.name, now + STRAGGLER_AVOIDANCE_US)
        machine.straggler_jobs.add(job_state.job.ref)
        self._log(
            f"machine {machine.name} is slow: "
            f"stopping straggler {job_state.job.ref}/{attempt.index} on it"
        )
        if len(machine.straggler_jobs) >= FAULTY_MACHINE_SLOW_JOBS:
            machine.faulty = True
        self._attempts.stop_gracefully(attempt)


def _is_straggler(attempt: Attempt, limit_us: int, now: int) -> bool:
    """Whether it has run for longer than the limit, on a machine that our commands reach: on
    another one, it could not be stopped."""
    return bool(
        attempt.stage == RUNNING
        and attempt.stop_grace_s is None
        and attempt.running_since
        and now - attempt.running_since > limit_us
        and not attempt.machine.unreachable_since
        and not attempt.machine.lost
    )
