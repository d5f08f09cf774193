"""Decides whether failed attempts are attributed to the job or to the machine."""

from collections.abc import Mapping

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import STABLE_RUN_US, US
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.signals import Log
from basaltlead.core.task_states import ExitReason

# A job that failed in this many trials (see `FailureHistory`) and never succeeded is itself
# considered faulty.
TRIALS_UNTIL_JOB_IS_FAULTY = 2
TRIALS_BEFORE_PAUSE = 3  # from then on a job that never succeeded waits between trials
MAX_RETRY_PAUSE_S = 60
MAX_LOOKUP_PAUSE_S = 30  # between starts for a job that the worker did not find (NO_SUCH)
CORDON_PER_FAILED_JOB_US = 4 * US
# A machine that refused a task is cordoned for long enough to list its tasks in a heartbeat.
FULL_CORDON_US = 2 * US
IN_USE_CORDON_US = 1 * US
# A machine is faulty if this many jobs failed on it that are proven (see `JobState.proven`) or no
# longer open, or this many jobs in all.
FAULTY_MACHINE_PROVEN_JOBS = 2
FAULTY_MACHINE_JOBS = 4


def retry_pause_us(trials: int) -> int:
    """The pause after this many failed trials: doubled each time, up to `MAX_RETRY_PAUSE_S`."""
    return min(MAX_RETRY_PAUSE_S, 1 << min(trials, 6)) * US


class FailurePolicy:
    """Applies the consequences of a failed attempt to its job and its machine."""

    def __init__(self, jobs: OpenJobs, machines: Mapping[str, Machine], log: Log) -> None:
        self._jobs = jobs
        self._machines = machines
        self._log = log

    def record_exit(self, machine: Machine, job_state: JobState, reason: str, now: int) -> None:
        """Record that an attempt of an open job ended without a result."""
        match reason:
            case ExitReason.ERROR:
                self._record_error(machine, job_state, now)
            case ExitReason.FULL:
                machine.cordoned_until = now + FULL_CORDON_US
            case ExitReason.IN_USE:
                machine.cordoned_until = now + IN_USE_CORDON_US
            case ExitReason.NO_SUCH:
                # The user may still be uploading the job; if not, frequent retries are useless.
                job_state.failure_history.record_failure()
                pause_s = min(MAX_LOOKUP_PAUSE_S, 1 << min(job_state.failure_history.failures, 5))
                job_state.retry_at = now + pause_s * US

    def record_replica_end(self, attempt: Attempt, reason: str, now: int) -> bool:
        """Record the end of a replica. True if it had run for long: an error then counts against
        neither its machine nor its job, and the replica is started again. A replica that repeatedly
        ends by itself soon after its start is restarted at growing intervals, like one that
        fails."""
        job_state = attempt.job_state
        history = job_state.failure_history
        ran_us = now - attempt.running_since if attempt.running_since else 0
        if ran_us >= STABLE_RUN_US:
            history.replica_ran_long = True
            history.trials = 0
            history.record_success()
            return True
        if reason == ExitReason.DONE:
            history.record_trial(attempt.machine.name, now)
            if history.trials >= TRIALS_BEFORE_PAUSE:
                _pause(job_state, attempt.machine, now + retry_pause_us(history.trials))
        return False

    def withdraw_failures(self, job_state: JobState) -> None:
        """Withdraw the failures of a job from the machines on which it failed. The failure history
        of the job is kept."""
        for name in job_state.failure_history.avoided_until:
            if name in self._machines:
                self._machines[name].failed_jobs.discard(job_state.job.ref)

    def _record_error(self, machine: Machine, job_state: JobState, now: int) -> None:
        """Attribute an error to the machine, unless the job is more likely faulty: it has never
        succeeded, and failed on another machine too, or again on this one after a while. Then the
        error counts against no machine, and from the third trial on the job waits increasingly
        long."""
        history = job_state.failure_history
        history.record_trial(machine.name, now)
        history.record_failure()
        if history.trials < TRIALS_UNTIL_JOB_IS_FAULTY or job_state.done_count:
            self._record_machine_failure(machine, job_state, now)
            return
        self.withdraw_failures(job_state)
        if history.trials >= TRIALS_BEFORE_PAUSE:
            # A service's replicas fail together, so its failures overstate how often it was tried.
            tried = history.trials if job_state.job.service else history.failures
            _pause(job_state, machine, now + retry_pause_us(tried))

    def _record_machine_failure(self, machine: Machine, job_state: JobState, now: int) -> None:
        """Cordon the machine for a while, and drain it once enough jobs have failed there: fewer
        suffice if they are proven (see `JobState.proven`) or no longer open."""
        machine.failed_jobs.add(job_state.job.ref)
        machine.cordoned_until = now + CORDON_PER_FAILED_JOB_US * len(machine.failed_jobs)
        others = (self._jobs.by_ref.get(ref) for ref in machine.failed_jobs)
        proven = sum(1 for other in others if other is None or other.proven)
        if proven >= FAULTY_MACHINE_PROVEN_JOBS or len(machine.failed_jobs) >= FAULTY_MACHINE_JOBS:
            machine.faulty = True
            self._log(
                f"machine {machine.name} is faulty: jobs {sorted(machine.failed_jobs)} failed on it"
            )


def _pause(job_state: JobState, machine: Machine, until: int) -> None:
    """Start nothing of the job until then, after it failed on this machine."""
    job_state.retry_at = until
    job_state.failure_history.record_pause(machine.name, until)
