"""State that the placements of arrays, gangs and services share during one plan."""

from collections.abc import Iterable
from typing import NamedTuple

from basaltlead.core.candidate_machines import CandidateMachines
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import Shape
from basaltlead.core.shard import Shard
from basaltlead.core.team_limits import TeamLimits


class Requirements(NamedTuple):
    """The properties that decide whether a job finds room in a plan: all jobs with equal
    requirements do, or none does."""

    shape: Shape
    tasks_placed_together: int  # tasks that must be placed at the same time
    rank: int
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    spread_zones: bool
    spot: bool
    passes_reservations: bool


def requirements(job_state: JobState, machines: CandidateMachines) -> Requirements | None:
    """The job's requirements; None if its placement also depends on its own state: the job avoids
    some machines, or its running tasks decide where the others may be placed."""
    job = job_state.job
    if job_state.failure_history.avoided_until or (job.single_shard and job_state.live):
        return None
    return Requirements(
        job.shape,
        job.tasks if job.gang else 1,
        job.rank,
        job.team,
        job.cpus,
        job.gpus,
        job.memory_gb,
        job.types,
        job.zone,
        job.one_zone,
        job.spread_zones,
        job.spot,
        machines.passes_reservations(job_state),
    )


class PlanContext:
    """The shard, the machines and the limits of one plan, and the requirements that found no
    room."""

    def __init__(self, shard: Shard, machines: CandidateMachines, now: int) -> None:
        self.shard = shard
        self.machines = machines
        self.limits = TeamLimits(shard)
        self.now = now
        self._unplaceable: set[Requirements] = set()

    def is_unplaceable(self, required: Requirements | None) -> bool:
        """Whether a job with these requirements has found no room in this plan."""
        return required in self._unplaceable

    def note_unplaceable(self, required: Requirements | None) -> None:
        """Skip jobs with the same requirements for the rest of this plan."""
        if required is not None:
            self._unplaceable.add(required)

    def start_next(
        self, job_state: JobState, machine: Machine, preempted: Iterable[Attempt]
    ) -> bool:
        """Start the job's next task on a machine and stop the attempts that make room for it there;
        False if the job has no further task."""
        index = job_state.next_index()
        if index is None:
            return False
        for attempt in preempted:
            self.shard.stop_gracefully(attempt)
        number = self.shard.next_attempt_number()
        self.shard.start(job_state, index, machine, number, self.now)
        return True
