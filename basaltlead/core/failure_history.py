"""The failures of a job."""

from basaltlead.core.jobs import US

FAILED_AVOIDANCE_US = 30 * US  # how long a job avoids a machine on which it failed


class FailureHistory:
    """How often, and on which machines, attempts of a job failed. Times are microseconds."""

    def __init__(self) -> None:
        self.failures = 0
        # Failures on different machines, or on the same one after a while. Only these indicate a
        # faulty job: on a faulty machine several tasks may fail at the same time.
        self.trials = 0
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
        self.avoided_until[machine] = now + FAILED_AVOIDANCE_US
