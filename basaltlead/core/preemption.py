"""Preemption: which tasks may be stopped to make room for others, and where that wastes least."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from basaltlead.core import placement
from basaltlead.core.candidate_machines import CandidateMachines
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import TRIALS_UNTIL_JOB_IS_FAULTY
from basaltlead.core.jobs import RANKS, Job
from basaltlead.core.shard import Shard
from basaltlead.core.task_states import BEFORE_FIRST_RUN
from basaltlead.core.team_limits import exceeds_guarantee, fits_guarantee

REPLICA_PREEMPTION_COST_S = 30.0  # the assumed cost of stopping a replica, in seconds of its CPUs
# From this rank on, arrays and services preempt any lower rank, as gangs of every rank do.
HIGH_RANK = RANKS["high"]

# Tells whether tasks of a job may be stopped.
MayStop = Callable[[JobState], bool]


class PlacementOption(NamedTuple):
    """A machine on which one task fits once the attempts in `preempted` are stopped."""

    preemption_cost: float  # what stopping them wastes, in CPU seconds
    machine: Machine
    preempted: list[Attempt]


def preemption_cost(attempt: Attempt, now: int) -> float:
    """What stopping an attempt would waste, in CPU seconds. Of a task with checkpoints, this is
    only the time to save one."""
    job = attempt.job_state.job
    if attempt.stage in BEFORE_FIRST_RUN:
        return 0.0
    if job.service:  # no work is repeated: it is only missing until it runs elsewhere
        return REPLICA_PREEMPTION_COST_S * job.size
    lost_us = (
        now - attempt.running_since
        if not job.checkpoint_interval_us
        else int(job.checkpoint_duration_s * 1e6)
    )
    return max(0, lost_us) / 1e6 * job.size


def placement_option(
    job: Job, machine: Machine, now: int, may_stop: MayStop
) -> PlacementOption | None:
    """The attempts to stop so that a task of the job fits on the machine: lowest rank first, then
    those that waste least. None if it does not fit even then."""
    if machine.free.fits(job):
        return PlacementOption(0.0, machine, [])
    candidates = stoppable(machine, may_stop)
    if not candidates:
        return None
    room = machine.free.copy()
    preempted: list[Attempt] = []
    total = 0.0
    for attempt in preemption_order(candidates, now):
        if room.fits(job):
            break
        room.take(attempt.job_state.job, -1)
        preempted.append(attempt)
        total += preemption_cost(attempt, now)
    return PlacementOption(total, machine, preempted) if room.fits(job) else None


def stoppable(machine: Machine, may_stop: MayStop) -> list[Attempt]:
    """The attempts on a machine that may be stopped and are not stopping already."""
    return [
        attempt
        for attempt in machine.attempts.values()
        if attempt.stop_grace_s is None and may_stop(attempt.job_state)
    ]


def preemption_order(attempts: Iterable[Attempt], now: int) -> list[Attempt]:
    """The attempts in the order in which they are stopped."""
    return sorted(
        attempts, key=lambda attempt: (attempt.job_state.job.rank, preemption_cost(attempt, now))
    )


def is_preemptible_by_any_array(job_state: JobState) -> bool:
    """Whether arrays of any higher rank may preempt it, even below HIGH_RANK and outside their
    team's guarantee: it has no objective, and its tasks save checkpoints."""
    return not job_state.has_objective and job_state.job.checkpoint_interval_us > 0


class Preemption:
    """During one plan, makes room by stopping tasks of lower rank or of teams above their
    guarantee."""

    def __init__(self, shard: Shard, machines: CandidateMachines, now: int) -> None:
        self._shard = shard
        self._machines = machines
        self._now = now

    def may_stop_for(self, job_state: JobState) -> MayStop:
        """The rule that tells whose tasks may be stopped to make room for the job.

        These are tasks of lower rank and, for a job within its team's guarantee, also tasks of
        other teams that use more than their own guarantee. Arrays and services that are below
        HIGH_RANK and outside their team's guarantee are restricted: arrays stop only tasks of jobs
        that are preemptible by any array, and services stop none.
        """
        job = job_state.job
        guaranteed = fits_guarantee(self._shard, job_state)
        restricted = not job.gang and job.rank < HIGH_RANK and not guaranteed
        # A service that always fails would preempt other work with each of its attempts.
        if job.service and (
            restricted or job_state.failure_history.trials >= TRIALS_UNTIL_JOB_IS_FAULTY
        ):
            return lambda _: False

        def may_stop(other: JobState) -> bool:
            """Whether tasks of the other job may be stopped."""
            if other.job.rank >= job.rank and (
                not guaranteed
                or other.job.team == job.team
                or not exceeds_guarantee(self._shard, other.job.team)
            ):
                return False
            return not restricted or is_preemptible_by_any_array(other)

        return may_stop

    def for_array_task(self, job_state: JobState, zones: set[str]) -> PlacementOption | None:
        """The machine on which preemption for a task of an array wastes least; None if there is
        none.

        Below HIGH_RANK and outside a guarantee a task waits for machines that are rented for it,
        unless the job has an objective and fewer tasks than the slots from the auction.
        """
        below_slots = job_state.slots is not None and len(job_state.live) < job_state.slots
        if (
            job_state.job.rank < HIGH_RANK
            and not (job_state.has_objective and below_slots)
            and not fits_guarantee(self._shard, job_state)
        ):
            return None
        options = self._placement_options(job_state, self._machines.for_job(job_state))
        return min(
            (option for option in options if option.machine.zone in zones),
            key=lambda option: (option.preemption_cost, option.machine.name),
            default=None,
        )

    def for_gang_of_one(
        self, job_state: JobState, machines: Sequence[Machine]
    ) -> PlacementOption | None:
        """The machine for a gang of one task: where preemption and the wait for the image together
        cost least. Such a task often needs a whole machine."""
        job = job_state.job

        def preference(option: PlacementOption) -> tuple[object, ...]:
            """Sort key, best first."""
            machine = option.machine
            cost = option.preemption_cost + placement.fetch_cost(job, machine)
            return (cost, placement.tier(job, machine), machine.booked, machine.name)

        return min(self._placement_options(job_state, machines), key=preference, default=None)

    def make_room(
        self, machine: Machine, job: Job, count: int, preempted: Iterable[Attempt]
    ) -> None:
        """Stop attempts on a machine until this many tasks of the job fit there."""
        for attempt in preemption_order(preempted, self._now):
            if machine.free.capacity_for(job) >= count:
                return
            if attempt.stop_grace_s is None:  # it may have been stopped with the rest of its gang
                self._shard.stop_gracefully(attempt)

    def _placement_options(
        self, job_state: JobState, machines: Iterable[Machine]
    ) -> Iterator[PlacementOption]:
        may_stop = self.may_stop_for(job_state)
        for machine in machines:
            option = placement_option(job_state.job, machine, self._now, may_stop)
            if option is not None:
                yield option
