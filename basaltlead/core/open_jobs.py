"""The open jobs of a shard."""

from collections.abc import Iterable

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Job
from basaltlead.core.signals import ShardSignals


class OpenJobs:
    """All open jobs, and closed ones until their last attempt is removed."""

    def __init__(self, signals: ShardSignals) -> None:
        self.by_ref: dict[str, JobState] = {}
        self._signals = signals

    def add(self, job: Job, version: int, now: int, age_us: int) -> JobState:
        """Return the state of a job, creating it if the job is new."""
        job_state = self.by_ref.get(job.ref)
        if job_state is None:
            job_state = self.by_ref[job.ref] = JobState(job, version, now, age_us)
            self._signals.plan_needed = True
        return job_state

    def discard_if_closed(self, job_state: JobState) -> None:
        """Forget a job that is closed and has no attempts left."""
        if job_state.closed and not job_state.live:
            self.by_ref.pop(job_state.job.ref, None)

    def is_closed(self, ref: str) -> bool:
        """Whether a job is closed or not known."""
        job_state = self.by_ref.get(ref)
        return job_state is None or job_state.closed

    def confirm_stored(self, job_state: JobState, indices: Iterable[int]) -> None:
        """Record that these results are in the key-value store, so that workers may forget them."""
        job_state.unstored.difference_update(indices)

    def is_result_stored(self, ref: str, index: int) -> bool:
        """Whether the result of a task is in the key-value store, or need not be since its job is
        closed."""
        job_state = self.by_ref.get(ref)
        return (
            job_state is None
            or job_state.closed
            or (
                index < job_state.job.tasks
                and job_state.is_done(index)
                and index not in job_state.unstored
            )
        )
