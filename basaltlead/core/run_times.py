"""How long tasks run."""

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import SERVICE_RUN_TIME_US, US

MIN_SAMPLES = 3  # from so many tasks of a job on, their mean counts more than its owner's guess
MIN_RATIO, MAX_RATIO = 0.1, 8.0  # one job may be far off; its class is taken to be within these
NEW_WEIGHT = 0.05  # of the newest task in the ratio of its class


class RunTimes:
    """What guesses of run times have been worth, and what is expected of a job's next task."""

    def __init__(self) -> None:
        self.class_ratios: dict[str, float] = {}  # measured run time over the guess, by job class

    def record_run(self, job_state: JobState, ran_us: int) -> None:
        """A task has completed after this run time."""
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
        """How long a task of the job will run: as its first ones did; before that by the owner's
        guess and what guesses of its class have been worth. A replica never ends."""
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
