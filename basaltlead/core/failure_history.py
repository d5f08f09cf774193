"""The failures of a job."""

from collections import Counter

from basaltlead.core.jobs import US

FAILED_AVOIDANCE_US = 30 * US  # how long a job avoids a machine on which it failed
# After a pause between tries, how long a job still avoids the machine of the last one. Any other
# machine with room is taken at once.
AVOIDANCE_AFTER_PAUSE_US = 5 * US
MIN_TRIALS_ON_ONE_MACHINE = 2  # then another machine is needed to tell whether the job is faulty


class FailureHistory:
    """How often, and on which machines, attempts of a job failed. Times are microseconds."""

    def __init__(self) -> None:
        self.failures = 0
        # Failures on different machines, or on the same one after a while. Only these indicate a
        # faulty job: on a faulty machine several tasks may fail at the same time.
        self.trials = 0
        self._trials_since_success: Counter[str] = Counter()  # by machine
        self.replica_ran_long = False  # so the job is known to be able to run
        self.stragglers_stopped = 0  # how often a task was stopped for being slow
        self.avoided_until: dict[str, int] = {}  # by machine on which it failed or was slow

    def record_failure(self) -> None:
        """Record that an attempt failed."""
        self.failures += 1

    def record_straggler(self, machine: str, until: int) -> None:
        """Record a task stopped on this machine for being slow; the job avoids it until then."""
        self.stragglers_stopped += 1
        self.avoided_until[machine] = until

    def record_trial(self, machine: str, now: int) -> None:
        """Record a failed attempt on this machine. It counts as a trial unless the job failed there
        within the last `FAILED_AVOIDANCE_US`."""
        if now >= self.avoided_until.get(machine, 0):
            self.trials += 1
            self._trials_since_success[machine] += 1
        self.avoided_until[machine] = now + FAILED_AVOIDANCE_US

    def record_pause(self, machine: str, until: int) -> None:
        """Record that the job pauses after it failed on this machine, and is tried again then."""
        avoided_until = max(self.avoided_until.get(machine, 0), until + AVOIDANCE_AFTER_PAUSE_US)
        self.avoided_until[machine] = avoided_until

    def record_success(self) -> None:
        """Record that a task has completed, or that a replica has run for long."""
        self._trials_since_success.clear()

    @property
    def only_failed_on(self) -> str | None:
        """The machine on which all trials since the last success failed, if there were enough of
        them: the machine may be faulty, and only a trial on another one can tell."""
        if len(self._trials_since_success) != 1:
            return None
        ((machine, trials),) = self._trials_since_success.items()
        return machine if trials >= MIN_TRIALS_ON_ONE_MACHINE else None
