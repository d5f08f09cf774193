"""What fleet sizing finds room for: tasks of open jobs, and spares for jobs to come."""

from msgspec import Struct

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Job, Shape


class TaskDemand(Struct):
    """How many tasks of a job should be on machines now, including those that are already."""

    job_state: JobState
    count: int
    backlog_us: float = float("inf")  # time until the rented machines have done all open work
    run_us: int = 0  # estimated run time of a task of the job
    # Names of machines that are no room for the job, whatever is free there.
    no_room_on: frozenset[str] = frozenset()

    @property
    def tasks_without_room(self) -> int:
        """How many tasks `no_room_on` applies to: of an array one, which the others can follow."""
        if not self.no_room_on:
            return 0
        return 1 if self.job_state.job.shape is Shape.ARRAY else self.count


class WarmSpare(Struct):
    """Capacity to keep free for tasks like those of `job`, whose class can't wait for a machine to
    boot."""

    job: Job
    count: int
    images: frozenset[str] = frozenset()  # images that such jobs have used lately
