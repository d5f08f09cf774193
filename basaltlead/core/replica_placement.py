"""Placement of replicas of services: on the machine where delay and preemption cost least together.

Users notice every second without a replica, so the time until it runs counts `DELAY_WEIGHT` times
as much as work that preemption wastes. That time is the fetch of its image plus the checkpoints of
the preempted tasks.
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from basaltlead.core import placement
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import Job
from basaltlead.core.plan_context import PlanContext, requirements
from basaltlead.core.preemption import MayStop, PlacementOption, Preemption, placement_option

# A second without the replica costs as much as this many seconds of other work of its size.
DELAY_WEIGHT = 20.0


class RankedCandidate(NamedTuple):
    """A machine and its sort key, best first. `name` is unique, so `machine` is never compared."""

    cost: float
    tier: placement.Tier
    booked: float
    name: str
    machine: Machine


def delay_s(job: Job, machine: Machine, preempted: Iterable[Attempt]) -> float:
    """Seconds until a replica would run on a machine: the fetch of its image, and the checkpoints
    of the attempts that are stopped for it."""
    fetch = 0.0 if job.image in machine.images else machine.machine_type.fetch_s(job)
    saving = max(
        (
            attempt.job_state.job.checkpoint_duration_s
            for attempt in preempted
            if attempt.job_state.job.checkpoint_interval_us
        ),
        default=0.0,
    )
    return fetch + saving


class ReplicaRanking:
    """The machines that suit a service, best first, ranked again as replicas are bound."""

    def __init__(self, job: Job, machines: Iterable[Machine], may_stop: MayStop, now: int) -> None:
        self._job = job
        self._may_stop = may_stop
        self._now = now
        ranked = (self._ranked(machine) for machine in machines)
        # The attempts to stop are not kept: in a large fleet they would be most of its tasks.
        self._heap = [found[0] for found in ranked if found is not None]
        heapify(self._heap)

    def _ranked(self, machine: Machine) -> tuple[RankedCandidate, PlacementOption] | None:
        if machine.is_full:
            return None
        job = self._job
        option = placement_option(job, machine, self._now, self._may_stop)
        if option is None:
            return None
        cost = (
            option.preemption_cost
            + DELAY_WEIGHT * delay_s(job, machine, option.preempted) * job.size
        )
        tier = placement.tier(job, machine)
        return RankedCandidate(round(cost, 3), tier, machine.booked, machine.name, machine), option

    def best(self, zones: set[str]) -> PlacementOption | None:
        """The machine for the next replica, and the attempts to stop there; None if there is none.

        Machines ranked before the last replica was bound are ranked again. While the replicas of a
        job are placed, `zones` only shrinks, so machines in other zones are dropped for good.
        """
        while self._heap:
            machine = heappop(self._heap).machine
            if machine.zone not in zones:
                continue
            found = self._ranked(machine)
            if found is None:
                continue
            current, option = found
            is_still_best = not self._heap or current[:4] <= self._heap[0][:4]
            heappush(self._heap, current)
            if is_still_best:
                return option
        return None


class ReplicaPlacement:
    """Starts replicas of services in one plan, and moves replicas off departing machines."""

    def __init__(self, context: PlanContext, preemption: Preemption) -> None:
        self._context = context
        self._preemption = preemption

    def start(self, job_state: JobState) -> None:
        """Start waiting replicas, each where the weighted sum of delay and preemption cost is
        lowest."""
        context = self._context
        job = job_state.job
        required = requirements(job_state, context.machines)
        if context.is_unplaceable(required) or not context.limits.allow(job):
            return
        ranking = self._ranking(job_state)
        for _ in range(job_state.waiting):
            if not context.limits.allow(job):
                return
            option = ranking.best(placement.eligible_zones(job_state, context.machines.zones))
            if option is None:
                context.note_unplaceable(required)
                return
            if not context.start_next(job_state, option.machine, option.preempted):
                return

    def move_from_departing_machines(self) -> None:
        """Stop replicas on faulty machines and on machines with a preemption notice, each once
        another machine has room for it. A later plan places it anew, as soon as the old attempt is
        provably gone."""
        for machine in self._context.shard.machines.values():
            if machine.preemption_at is None and not machine.faulty:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.job_state.job.service and attempt.stop_grace_s is None:
                    self._move(attempt)

    def _move(self, attempt: Attempt) -> None:
        context = self._context
        zones = placement.eligible_zones(attempt.job_state, context.machines.zones, leaving=attempt)
        option = self._ranking(attempt.job_state).best(zones)
        if option is None:
            return
        context.shard.stop(attempt, 0.0)
        for stopped in option.preempted:
            context.shard.stop_gracefully(stopped)

    def _ranking(self, job_state: JobState) -> ReplicaRanking:
        machines = self._context.machines.for_job(job_state)
        may_stop = self._preemption.may_stop_for(job_state)
        return ReplicaRanking(job_state.job, machines, may_stop, self._context.now)
