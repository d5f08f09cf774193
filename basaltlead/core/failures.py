"""When a job, and when a machine, is taken to be the cause of failed attempts."""

from collections.abc import Mapping

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import STABLE_RUN_US, US
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.signals import Log
from basaltlead.core.task_states import ExitReason

# A job that failed in so many trials, and never succeeded, is itself considered faulty.
TRIALS_UNTIL_JOB_IS_BLAMED = 2
TRIALS_BEFORE_PAUSE = 3  # after so many a job that only fails waits between two trials
MAX_PAUSE_S = 60
MAX_LOOKUP_PAUSE_S = 30  # between two trials of a job that workers can't fetch
CORDON_US = 4 * US  # for each job that failed on a machine
# A machine that refused a task is cordoned for long enough to show in heartbeats what is on it.
FULL_CORDON_US = 2 * US
IN_USE_CORDON_US = 1 * US
PROVEN_JOBS_OF_FAULTY = 2  # a machine is faulty if so many jobs failed there that ran elsewhere,
JOBS_OF_FAULTY = 4  # or so many of any


def retry_pause_us(trials: int) -> int:
    """How long a job that failed so often waits: doubled each time, a minute at most."""
    return min(MAX_PAUSE_S, 1 << min(trials, 6)) * US


class FailurePolicy:
    """Decides what a failed attempt means for its job and for its machine."""

    def __init__(self, jobs: OpenJobs, machines: Mapping[str, Machine], log: Log) -> None:
        self._jobs = jobs
        self._machines = machines
        self._log = log

    def record_exit(self, machine: Machine, job_state: JobState, reason: str, now: int) -> None:
        """An attempt ended without a result, and its job is still wanted."""
        match reason:
            case ExitReason.ERROR:
                self._record_error(machine, job_state, now)
            case ExitReason.FULL:
                machine.cordoned_until = now + FULL_CORDON_US
            case ExitReason.IN_USE:
                machine.cordoned_until = now + IN_USE_CORDON_US
            case ExitReason.NO_SUCH:
                # The user may still be uploading the job; if not, asking often helps nobody.
                job_state.history.record_failure()
                pause_s = min(MAX_LOOKUP_PAUSE_S, 1 << min(job_state.history.failures, 5))
                job_state.retry_at = now + pause_s * US

    def record_replica_end(self, attempt: Attempt, reason: str, now: int) -> bool:
        """A replica ended; True if it had run for long: then it is simply started anew, and neither
        its machine nor its job is blamed. One that ends by itself soon after its start, again and
        again, is started at growing intervals, as one that fails is."""
        job_state = attempt.job_state
        history = job_state.history
        ran_us = now - attempt.running_since if attempt.running_since else 0
        if ran_us >= STABLE_RUN_US:
            history.lasted = True
            history.trials = 0
            return True
        if reason == ExitReason.DONE:
            history.record_trial(attempt.machine.name, now)
            if history.trials >= TRIALS_BEFORE_PAUSE:
                job_state.retry_at = now + retry_pause_us(history.trials)
        return False

    def clear(self, job_state: JobState) -> None:
        """The machines on which a job failed are not to blame for that."""
        for name in job_state.history.failed_on:
            if name in self._machines:
                self._machines[name].failed_jobs.discard(job_state.job.ref)

    def _record_error(self, machine: Machine, job_state: JobState, now: int) -> None:
        """Mostly the machine is faulty. But a job that has only ever failed, and on another machine
        too or again on this one after a while, is more likely at fault itself: no machine is
        to blame for it, and after a third time it waits for longer and longer."""
        history = job_state.history
        history.record_trial(machine.name, now)
        history.record_failure()
        if history.trials < TRIALS_UNTIL_JOB_IS_BLAMED or job_state.done_count:
            self._blame_machine(machine, job_state, now)
            return
        self.clear(job_state)
        if history.trials >= TRIALS_BEFORE_PAUSE:
            # A service's replicas fail together: only its trials tell how often it was tried.
            tried = history.trials if job_state.job.service else history.failures
            job_state.retry_at = now + retry_pause_us(tried)

    def _blame_machine(self, machine: Machine, job_state: JobState, now: int) -> None:
        """Start nothing on it for a while, and drain it if it is faulty beyond doubt: jobs that ran
        elsewhere speak against it, of others it takes more."""
        machine.failed_jobs.add(job_state.job.ref)
        machine.cordoned_until = now + CORDON_US * len(machine.failed_jobs)
        others = (self._jobs.by_ref.get(ref) for ref in machine.failed_jobs)
        proven = sum(1 for other in others if other is None or other.proven)
        if proven >= PROVEN_JOBS_OF_FAULTY or len(machine.failed_jobs) >= JOBS_OF_FAULTY:
            machine.draining = True
            self._log(
                f"machine {machine.name} is faulty: {sorted(machine.failed_jobs)} failed on it"
            )
