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


def plan(shard: Shard, now: int) -> None:
    """Bind waiting tasks to machines in start order, and move replicas off departing machines."""
    shard.begin_plan()
    usable = usable_machines(shard, now)
    if usable:
        _bind(shard, usable, start_order(shard, now), now)


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
