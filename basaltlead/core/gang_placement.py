"""Placement of gangs: all tasks of a gang find a machine, or none is started."""

from collections.abc import Sequence
from typing import NamedTuple

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import US, Job
from basaltlead.core.placement import Ranking, eligible_zones, fetch_cost
from basaltlead.core.plan_context import PlanContext, requirements
from basaltlead.core.preemption import Preemption, preemption_cost, stoppable
from basaltlead.core.task_states import EXECUTING

RESERVE_AFTER_US = 20 * US  # the wait after which machines are reserved for a gang
# Machines are reserved only if they are expected to be empty within this time. Most tasks run for a
# minute or two; what is left for longer may run for ever, such as replicas of services.
RESERVATION_HORIZON_US = 300 * US


class GangCandidate(NamedTuple):
    """Room for tasks of a gang on one machine."""

    cost: float  # per task
    machine: Machine
    capacity: int
    preempted: list[Attempt]  # attempts to stop to make all of this room


class GangPart(NamedTuple):
    """The tasks of a gang that go to one machine."""

    machine: Machine
    tasks: int
    preempted: list[Attempt]  # stopped one by one until the tasks fit


class GangSplit(NamedTuple):
    """A distribution of a whole gang over machines."""

    cost: float
    parts: list[GangPart]


def place(job_state: JobState, machines: Sequence[Machine]) -> list[Machine] | None:
    """A machine for each task of the gang among those with room; None if they don't all fit."""
    job = job_state.job
    for zones in _zone_choices(job, eligible_zones(job_state, {m.zone for m in machines})):
        usable = [machine for machine in machines if machine.zone in zones]
        if sum(machine.free.capacity_for(job) for machine in usable) < job.tasks:
            continue
        chosen = _place_in(job, zones, usable)
        if chosen is not None:
            return chosen
    return None


def _zone_choices(job: Job, zones: set[str]) -> list[set[str]]:
    """The sets of zones to try in turn: each zone alone for a gang in one zone, else all."""
    return [{zone} for zone in sorted(zones)] if job.one_zone else [zones]


def _place_in(job: Job, zones: set[str], machines: Sequence[Machine]) -> list[Machine] | None:
    """A machine for each task, all in these zones; None if they don't all fit."""
    trial_rooms = {machine.name: machine.free.copy() for machine in machines}
    ranking = Ranking(job, machines, trial_rooms)
    tasks_by_zone = dict.fromkeys(zones, 0)
    chosen: list[Machine] = []
    for _ in range(job.tasks):
        machine = ranking.best({zone for zone in zones if tasks_by_zone[zone] < job.zone_cap})
        if machine is None:
            return None
        trial_rooms[machine.name].take(job)
        tasks_by_zone[machine.zone] += 1
        chosen.append(machine)
        ranking.rerank(machine)
    return chosen


def cheapest_split(
    job: Job, zones: set[str], candidates: Sequence[GangCandidate]
) -> GangSplit | None:
    """The cheapest distribution of the gang over these candidates, in a single zone if the job
    requires that; None if they have too little room."""
    by_cost = sorted(candidates, key=lambda candidate: (candidate.cost, candidate.machine.name))
    splits = [_split(job, choice, by_cost) for choice in _zone_choices(job, zones)]
    return min(
        (split for split in splits if split is not None),
        key=lambda split: split.cost,
        default=None,
    )


def _split(job: Job, zones: set[str], by_cost: Sequence[GangCandidate]) -> GangSplit | None:
    """The cheapest distribution of the gang over the candidates in these zones; None if they have
    too little room."""
    left = job.tasks
    tasks_by_zone = dict.fromkeys(zones, 0)
    cost = 0.0
    parts = []
    for candidate in by_cost:
        zone = candidate.machine.zone
        if zone in zones:
            tasks = min(candidate.capacity, left, job.zone_cap - tasks_by_zone[zone])
            if tasks > 0:
                tasks_by_zone[zone] += tasks
                left -= tasks
                cost += candidate.cost * tasks
                parts.append(GangPart(candidate.machine, tasks, candidate.preempted))
    return GangSplit(cost, parts) if left == 0 else None


class GangPlacement:
    """Starts gangs in one plan, and reserves machines for one that has waited for long."""

    def __init__(self, context: PlanContext, preemption: Preemption) -> None:
        self._context = context
        self._preemption = preemption

    def start(self, job_state: JobState) -> None:
        """Start all tasks of the gang or none; replace tasks that it lost before it ran."""
        if job_state.live:
            self._replace_lost(job_state)
            return
        context = self._context
        job = job_state.job
        required = requirements(job_state, context.machines)
        if context.is_unplaceable(required) or not context.limits.allow(job, job.tasks):
            return
        machines = context.machines.for_job(job_state)
        if job.tasks == 1:
            chosen = self._machine_for_one(job_state, machines)
        else:
            with_room = context.machines.with_room_for(job_state)
            chosen = place(job_state, with_room) or self._machines_by_preemption(
                job_state, machines
            )
        if chosen is None:
            context.note_unplaceable(required)
            self._reserve(job_state, machines)
            return
        attempt_number = context.shard.next_attempt_number()
        job_state.rewind()
        for index, machine in enumerate(chosen):
            context.shard.start(job_state, index, machine, attempt_number, context.now)

    def _replace_lost(self, job_state: JobState) -> None:
        """Replace lost tasks of a gang that does not run yet, under the same attempt number.

        Once a task has run, or is to stop now or after its fetch, the others end as well and the
        gang is placed anew.
        """
        live = list(job_state.live.values())
        attempt_number = live[0].attempt_number
        if any(
            a.stop_grace_s is not None
            or a.stops_after_fetch
            or a.attempt_number != attempt_number
            or a.stage in EXECUTING
            for a in live
        ):
            return
        context = self._context
        machines = context.machines.with_room_for(job_state)
        for index in range(job_state.job.tasks):
            if index in job_state.live:
                continue
            if not context.limits.allow(job_state.job):
                return
            zones = eligible_zones(job_state, context.machines.zones)
            machine = Ranking(job_state.job, machines).best(zones)
            if machine is None:
                return
            context.shard.start(job_state, index, machine, attempt_number, context.now)

    def _machine_for_one(
        self, job_state: JobState, machines: Sequence[Machine]
    ) -> list[Machine] | None:
        """The machine for a gang of one task; None if there is none. Stops the attempts on it that
        are in the way."""
        option = self._preemption.for_gang_of_one(job_state, machines)
        if option is None:
            return None
        for attempt in option.preempted:
            self._context.shard.stop_gracefully(attempt)
        return [option.machine]

    def _machines_by_preemption(
        self, job_state: JobState, machines: Sequence[Machine]
    ) -> list[Machine] | None:
        """Make room for a whole gang by preemption where that wastes least; nothing is stopped
        unless the whole gang fits."""
        job = job_state.job
        may_stop = self._preemption.may_stop_for(job_state)
        candidates: list[GangCandidate] = []
        for machine in machines:
            preempted = stoppable(machine, may_stop)
            room = machine.free.copy()
            for attempt in preempted:
                room.take(attempt.job_state.job, -1)
            capacity = room.capacity_for(job)
            if capacity:
                wasted = sum(preemption_cost(attempt, self._context.now) for attempt in preempted)
                cost = (wasted + fetch_cost(job, machine)) / capacity
                candidates.append(GangCandidate(cost, machine, capacity, preempted))
        zones = eligible_zones(job_state, self._context.machines.zones)
        split = cheapest_split(job, zones, candidates)
        if split is None:
            return None
        chosen: list[Machine] = []
        for part in split.parts:
            self._preemption.make_room(part.machine, job, part.tasks, part.preempted)
            chosen += [part.machine] * part.tasks
        return chosen

    def _reserve(self, job_state: JobState, machines: Sequence[Machine]) -> None:
        """Reserve the machines that will be empty soonest for a gang that has waited for long.

        Otherwise single tasks would be started wherever room becomes free, and a large gang would
        wait forever. Only one gang at a time has a reservation, the first in start order for which
        enough machines are expected to be empty in time.
        """
        context = self._context
        waited_us = context.now - job_state.submitted_at
        if context.machines.has_reservation or waited_us < RESERVE_AFTER_US:
            return
        job = job_state.job
        busy_us = {machine.name: self._busy_us(machine) for machine in machines}
        candidates = [
            GangCandidate(
                float(busy_us[machine.name]), machine, machine.machine_type.capacity_for(job), []
            )
            for machine in machines
            if busy_us[machine.name] <= RESERVATION_HORIZON_US
        ]
        split = cheapest_split(job, eligible_zones(job_state, context.machines.zones), candidates)
        if split is not None:
            context.machines.reserve(part.machine.name for part in split.parts)

    def _busy_us(self, machine: Machine) -> int:
        """The estimated time until all tasks on a machine are done."""
        return max((self._left_us(attempt) for attempt in machine.attempts.values()), default=0)

    def _left_us(self, attempt: Attempt) -> int:
        estimated_run_us = self._context.shard.estimated_run_us(attempt.job_state)
        if attempt.job_state.job.service:
            return estimated_run_us
        now = self._context.now
        ran_us = now - (attempt.running_since or now)
        # A task that has outrun its estimate is expected to run for as long again beyond it.
        return max(abs(estimated_run_us - ran_us), US)
