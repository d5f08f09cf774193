"""Recent arrivals of jobs by class, from which the autoscaler derives warm spares."""

from collections import deque
from typing import NamedTuple

from basaltlead.core.jobs import Job

MAX_ARRIVALS_PER_CLASS = 200


class Arrival(NamedTuple):
    """A submitted job: when, with which image, and for how many tasks to keep capacity."""

    at: int
    image: str
    tasks: int


class ClassArrivals:
    """The recent arrivals of a class."""

    def __init__(self, job: Job) -> None:
        self.last_job = job
        self.recent: deque[Arrival] = deque(maxlen=MAX_ARRIVALS_PER_CLASS)


class ArrivalHistory:
    """Recent arrivals by job class."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassArrivals] = {}

    def note(self, job: Job, at: int) -> None:
        """Record a job that was submitted at `at`, a time of the monotonic clock."""
        arrivals = self._classes.setdefault(job.job_class, ClassArrivals(job))
        arrivals.last_job = job
        arrivals.recent.append(Arrival(at, job.image, job.tasks if job.service else 1))

    def of_class(self, job_class: str) -> ClassArrivals | None:
        """The arrivals of a class; None if no job of it was seen."""
        return self._classes.get(job_class)
