"""How often a job failed, and where."""

from basaltlead.core.jobs import US

FAILED_AVOIDANCE_US = 30 * US  # for how long a job keeps off a machine on which it failed


class FailureHistory:
    """What the failed attempts of one job say about the job and its machines."""

    def __init__(self) -> None:
        self.failures = 0
        # Failures on other machines, or on the same one after a while: these tell whether the job
        # itself is at fault, while several tasks may fail at once on one faulty machine.
        self.trials = 0
        self.replica_ran_long = False  # a replica of it has run for long
        self.stragglers_stopped = 0  # how often a task was taken off a machine for being slow
        self.failed_on: dict[str, int] = {}  # machines to keep it off, until when

    def record_failure(self) -> None:
        """An attempt failed."""
        self.failures += 1

    def record_straggler(self, machine: str, until: int) -> None:
        """A task was taken off this machine for being slow: the job keeps off it until then."""
        self.stragglers_stopped += 1
        self.failed_on[machine] = until

    def record_trial(self, machine: str, now: int) -> None:
        """An attempt failed on this machine; it is one more trial unless the job failed there just
        before."""
        if now >= self.failed_on.get(machine, 0):
            self.trials += 1
        self.failed_on[machine] = now + FAILED_AVOIDANCE_US
