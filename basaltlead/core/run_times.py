"""Estimates of how long tasks run."""

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import SERVICE_RUN_TIME_US, US

MIN_SAMPLES = 3  # after this many completed tasks of a job their mean replaces the user's estimate
MIN_RATIO, MAX_RATIO = 0.1, 8.0  # bounds of one task's ratio, as the user's estimate may be far off
NEW_WEIGHT = 0.05  # weight of the newest task in the ratio of its class


class RunTimes:
    """How accurate users' estimates have been, and the run time expected of a job's next task."""

    def __init__(self) -> None:
        self.class_ratios: dict[str, float] = {}  # measured over estimated run time, by job class

    def record_run(self, job_state: JobState, ran_us: int) -> None:
        """Record the run time of a task that has completed."""
        job = job_state.job
        job_state.ran_us += ran_us
        job_state.ran_count += 1
        if job.estimated_run_us > 0:
            ratio = min(MAX_RATIO, max(MIN_RATIO, ran_us / job.estimated_run_us))
            old = self.class_ratios.get(job.job_class)
            self.class_ratios[job.job_class] = (
                ratio if old is None else old * (1 - NEW_WEIGHT) + ratio * NEW_WEIGHT
            )

    def estimated_run_us(self, job_state: JobState) -> int:
        """How long a task of the job is expected to run.

        This is the mean of the job's completed tasks or, before there are enough of them, the
        user's estimate corrected by the ratio of its class. A replica never ends.
        """
        if job_state.job.service:
            return SERVICE_RUN_TIME_US
        if job_state.ran_count >= MIN_SAMPLES:
            return max(US, job_state.ran_us // job_state.ran_count)
        return max(
            US,
            int(
                job_state.job.estimated_run_us * self.class_ratios.get(job_state.job.job_class, 1.0)
            ),
        )
