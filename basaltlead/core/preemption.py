"""Which tasks may be stopped to make room for others, and where stopping them wastes least."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from basaltlead.core import placement
from basaltlead.core.candidate_machines import CandidateMachines
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import TRIALS_UNTIL_JOB_IS_BLAMED
from basaltlead.core.jobs import RANKS, Job
from basaltlead.core.shard import Shard
from basaltlead.core.task_states import BEFORE_FIRST_RUN
from basaltlead.core.team_limits import exceeds_guarantee, fits_guarantee

REPLICA_PREEMPTION_COST_S = (
    30.0  # what stopping a replica is reckoned to cost, in seconds of its CPUs
)
HIGH_RANK = RANKS["high"]  # from this rank on, jobs take the place of any lower one

# Whether tasks of a job may be stopped.
MayStop = Callable[[JobState], bool]


class PlacementOption(NamedTuple):
    """A machine on which one task fits once others there are stopped."""

    preemption_cost: float  # what stopping them wastes, in CPU seconds
    machine: Machine
    preempted: list[Attempt]


def preemption_cost(attempt: Attempt, now: int) -> float:
    """What stopping an attempt would waste, in CPU seconds."""
    job = attempt.job_state.job
    if attempt.stage in BEFORE_FIRST_RUN:
        return 0.0
    if job.service:  # nothing is repeated: it is only away until it runs elsewhere
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
    """The attempts to stop so that a task of the job fits on the machine: of the lowest rank first,
    then those that waste least. None if it does not fit even then."""
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
    """The attempts on a machine that may be stopped, and are not stopping already."""
    return [
        attempt
        for attempt in machine.attempts.values()
        if attempt.stop_grace_s is None and may_stop(attempt.job_state)
    ]


def preemption_order(attempts: Iterable[Attempt], now: int) -> list[Attempt]:
    """Attempts in the order in which they are stopped."""
    return sorted(
        attempts, key=lambda attempt: (attempt.job_state.job.rank, preemption_cost(attempt, now))
    )


def is_preemptible(job_state: JobState) -> bool:
    """Whether ordinary work of a higher rank may take its place: it has no objective, and what its
    tasks have done so far is saved."""
    return not job_state.has_objective and job_state.job.checkpoint_interval_us > 0


class Preemption:
    """Makes room in one plan by stopping tasks of lower rank, or of teams above their guarantee."""

    def __init__(self, shard: Shard, machines: CandidateMachines, now: int) -> None:
        self._shard = shard
        self._machines = machines
        self._now = now

    def may_stop_for(self, job_state: JobState) -> MayStop:
        """Whose tasks may be stopped to make room for the job.

        Those of lower rank; for a job within its team's guarantee also those of other teams that
        use more than theirs. Below the high rank and outside a guarantee, arrays stop only the
        tasks of preemptible jobs, and services stop none.
        """
        job = job_state.job
        guaranteed = fits_guarantee(self._shard, job_state)
        ordinary = not job.gang and job.rank < HIGH_RANK and not guaranteed
        # A service that only fails would stop others' work with each of its attempts.
        if job.service and (ordinary or job_state.history.trials >= TRIALS_UNTIL_JOB_IS_BLAMED):
            return lambda _: False

        def may_stop(other: JobState) -> bool:
            """Whether tasks of the other job may be stopped."""
            if other.job.rank >= job.rank and (
                not guaranteed
                or other.job.team == job.team
                or not exceeds_guarantee(self._shard, other.job.team)
            ):
                return False
            return not ordinary or is_preemptible(other)

        return may_stop

    def for_array_task(self, job_state: JobState, zones: set[str]) -> PlacementOption | None:
        """The machine on which stopping others for a task of an array wastes least.

        Ordinary work waits for machines that are rented for it, unless its objective depends on a
        share that others hold.
        """
        below_share = job_state.slots is not None and len(job_state.live) < job_state.slots
        if (
            job_state.job.rank < HIGH_RANK
            and not (job_state.has_objective and below_share)
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
        """For a gang of one task, which often fills a machine: where stopping others and waiting
        for the image together waste least."""
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
        """Stop attempts on a machine until so many tasks of the job fit there."""
        for attempt in preemption_order(preempted, self._now):
            if machine.free.capacity_for(job) >= count:
                return
            if attempt.stop_grace_s is None:  # it may have been stopped with others of its gang
                self._shard.stop_gracefully(attempt)

    def _placement_options(
        self, job_state: JobState, machines: Iterable[Machine]
    ) -> Iterator[PlacementOption]:
        may_stop = self.may_stop_for(job_state)
        for machine in machines:
            option = placement_option(job_state.job, machine, self._now, may_stop)
            if option is not None:
                yield option
