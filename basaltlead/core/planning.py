"""Planning: binds waiting tasks to machines.

A plan costs about one pass over the machines for each job that can start a task: machines are
ranked once per job, and jobs with the same requirements as one that found no room are skipped.
"""

from collections.abc import Sequence

from basaltlead.core.array_placement import ArrayPlacement
from basaltlead.core.candidate_machines import CandidateMachines, usable_machines
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.gang_placement import GangPlacement
from basaltlead.core.jobs import Shape
from basaltlead.core.plan_context import PlanContext
from basaltlead.core.preemption import Preemption
from basaltlead.core.replica_placement import ReplicaPlacement
from basaltlead.core.shard import Shard
from basaltlead.core.start_order import start_order
from basaltlead.core.team_limits import TeamLimits, tasks_to_start


def plan(shard: Shard, now: int) -> None:
    """Bind waiting tasks to machines in start order, and move replicas off departing machines."""
    shard.begin_plan()
    usable = usable_machines(shard, now)
    job_states = start_order(shard, now)
    if usable:
        _bind(shard, usable, job_states, now)
    _record_unplaced(shard, job_states, now)


def _bind(
    shard: Shard, usable: Sequence[Machine], job_states: Sequence[JobState], now: int
) -> None:
    machines = CandidateMachines(usable, job_states, now)
    context = PlanContext(shard, machines, now)
    preemption = Preemption(shard, machines, now)
    arrays = ArrayPlacement(context, preemption)
    gangs = GangPlacement(context, preemption)
    services = ReplicaPlacement(context, preemption)
    for job_state in job_states:
        match job_state.job.shape:
            case Shape.GANG:
                gangs.start(job_state)
            case Shape.SERVICE:
                services.start(job_state)
            case Shape.ARRAY:
                arrays.start_share(job_state)
    for job_state in job_states:  # capacity beyond the shares is not left idle while tasks wait
        if job_state.job.shape is Shape.ARRAY:
            arrays.start_beyond_share(job_state)
    services.move_from_departing_machines()


def _record_unplaced(shard: Shard, job_states: Sequence[JobState], now: int) -> None:
    """Record since when the jobs that may start have found no machine; `job_states` are those that
    this plan considered."""
    limits = TeamLimits(shard)
    unplaced = {
        job_state.job.ref
        for job_state in job_states
        if _has_no_machine(job_state) and limits.allow(job_state.job, tasks_to_start(job_state.job))
    }
    for ref, job_state in shard.job_states.items():
        if ref not in unplaced:
            job_state.unplaced_since = 0
        elif not job_state.unplaced_since:
            job_state.unplaced_since = now


def _has_no_machine(job_state: JobState) -> bool:
    """Whether the job waits for a machine and nothing that it runs will ever make room: a replica
    runs for good, while the waiting tasks of other jobs can follow those that run."""
    return job_state.waiting > 0 and (job_state.job.service or not job_state.live)
