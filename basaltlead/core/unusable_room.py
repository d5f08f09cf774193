"""Machines that are no room for a job although its tasks fit there, as plans and trials have shown.

Fleet sizing works with sums and estimates, which can't foresee all that keeps a plan from placing a
job: small tasks that take each piece of room that becomes free, lower ranks that the job may not
stop, a machine on which the job fails. What has happened to the job holds whatever the sums say.
"""

from collections.abc import Iterable
from functools import cached_property

from basaltlead.core.demand import MAX_INITIAL_WAIT_US
from basaltlead.core.entities import JobState, Machine

NO_MACHINES: frozenset[str] = frozenset()


class UnusableRoom:
    """Tells in one pass of fleet sizing which machines are no room for a job."""

    def __init__(self, machines: Iterable[Machine], now: int) -> None:
        """`now` is in microseconds."""
        self._machines = machines
        self._now = now

    def by(self, job_state: JobState) -> frozenset[str]:
        """Names of the machines that are no room for a job.

        If no plan has placed the job for `MAX_INITIAL_WAIT_US`, these are all machines that have
        been up for that time. If its trials failed on a single machine only, it is that machine.
        """
        if self.has_waited_in_vain(job_state):
            return self._up_for_long
        failed_on = job_state.failure_history.only_failed_on
        return NO_MACHINES if failed_on is None else frozenset((failed_on,))

    def has_waited_in_vain(self, job_state: JobState) -> bool:
        """Whether no plan has placed the job for `MAX_INITIAL_WAIT_US`, though it may start."""
        since = job_state.unplaced_since
        return bool(since) and self._now - since > MAX_INITIAL_WAIT_US

    @cached_property
    def _up_for_long(self) -> frozenset[str]:
        """The machines that every job has had time to be placed on."""
        since = self._now - MAX_INITIAL_WAIT_US
        return frozenset(m.name for m in self._machines if 0 < m.usage.up_at <= since)
