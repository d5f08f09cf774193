"""When jobs of each class arrived lately: the autoscaler derives warm spares from it."""

from collections import deque
from typing import NamedTuple

from basaltlead.core.jobs import Job

MAX_ARRIVALS_PER_CLASS = 200  # of each class


class Arrival(NamedTuple):
    """A job that was submitted: when, with which image, and for how many tasks to keep room."""

    at: int
    image: str
    tasks: int


class ClassArrivals:
    """What was lately submitted of a class."""

    def __init__(self, job: Job) -> None:
        self.last_job = job
        self.recent: deque[Arrival] = deque(maxlen=MAX_ARRIVALS_PER_CLASS)


class ArrivalHistory:
    """Recent arrivals by job class."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassArrivals] = {}

    def note(self, job: Job, at: int) -> None:
        """Note a job that was submitted at a time of the steady clock."""
        arrivals = self._classes.setdefault(job.job_class, ClassArrivals(job))
        arrivals.last_job = job
        arrivals.recent.append(Arrival(at, job.image, job.tasks if job.service else 1))

    def of_class(self, job_class: str) -> ClassArrivals | None:
        """What is known of a class, if a job of it was ever seen."""
        return self._classes.get(job_class)
