"""Placement of arrays, task by task: each on the best machine that has room, or where preemption
wastes least."""

from basaltlead.core.entities import Attempt, JobState
from basaltlead.core.placement import Ranking, eligible_zones
from basaltlead.core.plan_context import PlanContext, requirements
from basaltlead.core.preemption import Preemption

MAX_STARTS = 2000  # of one job in one plan
MAX_PREEMPTING_STARTS = 40  # starts by preemption, of one job in one plan


class ArrayPlacement:
    """Starts tasks of arrays in one plan."""

    def __init__(self, context: PlanContext, preemption: Preemption) -> None:
        self._context = context
        self._preemption = preemption

    def start_share(self, job_state: JobState) -> None:
        """Start as many tasks as the job has slots for, all of them before its first auction."""
        if job_state.slots is None:
            self._start(job_state, job_state.waiting)
        else:
            self._start(job_state, job_state.slots - len(job_state.live))

    def start_beyond_share(self, job_state: JobState) -> None:
        """Start any waiting tasks on what the other jobs have left."""
        if job_state.slots is not None:
            self._start(job_state, job_state.waiting)

    def _start(self, job_state: JobState, limit: int) -> None:
        """Start up to `limit` tasks."""
        context = self._context
        required = requirements(job_state, context.machines)
        if limit <= 0 or context.is_unplaceable(required):
            return
        job = job_state.job
        zones = eligible_zones(job_state, context.machines.zones)
        ranking = Ranking(job, context.machines.with_room_for(job_state))
        preempting_starts = 0
        for _ in range(min(limit, MAX_STARTS)):
            if not context.limits.allow(job):
                return
            if job.single_shard:
                zones = eligible_zones(job_state, context.machines.zones)
            machine = ranking.best(zones)
            preempted: list[Attempt] = []
            if machine is None:
                if preempting_starts == MAX_PREEMPTING_STARTS:
                    return
                option = self._preemption.for_array_task(job_state, zones)
                if option is None:
                    context.note_unplaceable(required)
                    return
                preempting_starts += 1
                machine, preempted = option.machine, option.preempted
            elif not machine.needed and _can_wait(job_state):
                return
            if not context.start_next(job_state, machine, preempted):
                return
            ranking.rerank(machine)


def _can_wait(job_state: JobState) -> bool:
    """Whether the tasks that run already keep the job on time. Others then wait for machines that
    the fleet needs, and are not started on one that is left to empty."""
    return len(job_state.live) >= (job_state.need or 0)
