"""Tasks that take far longer than their siblings, and the machines that are slow."""

from collections.abc import Mapping

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, JobState
from basaltlead.core.jobs import US
from basaltlead.core.run_times import MIN_SAMPLES, RunTimes
from basaltlead.core.signals import Log
from basaltlead.core.task_states import RUNNING

CHECK_INTERVAL_US = US
SLOW_FACTOR = 6  # a machine is slow if a task takes that many times what others took
SLOW_MARGIN_US = 30 * US  # and so much longer
MAX_STOPPED = 4  # tasks of one job that are taken off slow machines
SLOW_JOBS_OF_FAULTY = 2  # a machine on which tasks of so many jobs were slow is drained
# For how long a job keeps off a machine that was slow for it. It may be the only one that fits,
# and no job is to wait for 90 s while there is room for it.
STRAGGLER_KEEP_OFF_US = 60 * US


class StragglerDetector:
    """Takes tasks off machines that are much slower than others of their type."""

    def __init__(self, attempts: AttemptTable, run_times: RunTimes, log: Log) -> None:
        self._attempts = attempts
        self._run_times = run_times
        self._log = log
        self._checked_at = 0

    def check(self, job_states: Mapping[str, JobState], now: int) -> None:
        """Look for stragglers of all jobs, once a second at most."""
        if now < self._checked_at + CHECK_INTERVAL_US:
            return
        self._checked_at = now
        for job_state in list(job_states.values()):
            if job_state.live and not job_state.closed:
                self.stop_stragglers(job_state, now)

    def stop_stragglers(self, job_state: JobState, now: int) -> None:
        """Stop the tasks of a job that take many times as long as its other tasks did, or as its
        class was guessed to take. A job that is slow everywhere is left alone after a few tries,
        and one without a guess from the start."""
        if (
            job_state.history.stragglers_stopped >= MAX_STOPPED
            or job_state.job.estimated_run_us <= 0
            or job_state.job.service
        ):
            return
        limit_us = SLOW_FACTOR * self._run_times.estimated_run_us(job_state) + SLOW_MARGIN_US
        if job_state.ran_count < MIN_SAMPLES:
            limit_us *= 2  # a guess is worth less than what was measured
        for attempt in list(job_state.live.values()):
            if _is_straggler(attempt, limit_us, now):
                self._stop(attempt, now)

    def _stop(self, attempt: Attempt, now: int) -> None:
        machine, job_state = attempt.machine, attempt.job_state
        job_state.history.record_straggler(machine.name, now + STRAGGLER_KEEP_OFF_US)
        machine.straggler_jobs.add(job_state.job.ref)
        self._log(
            f"machine {machine.name} is slow: "
            f"{job_state.job.ref}/{attempt.index} is stopped there as a straggler"
        )
        if len(machine.straggler_jobs) >= SLOW_JOBS_OF_FAULTY:
            machine.draining = True
        self._attempts.stop_gracefully(attempt)


def _is_straggler(attempt: Attempt, limit_us: int, now: int) -> bool:
    """Has it run for longer than the limit? On a machine that may not hear us, stopping it would
    bring nothing."""
    return bool(
        attempt.stage == RUNNING
        and attempt.stop_grace_s is None
        and attempt.running_since
        and now - attempt.running_since > limit_us
        and not attempt.machine.unreachable_since
        and not attempt.machine.lost
    )
