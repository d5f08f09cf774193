"""Allocation of the slots of a shard's present capacity to arrays."""

from collections.abc import Sequence
from math import ceil
from typing import NamedTuple

from basaltlead.core.auction import Bid, allocate, price
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Shape
from basaltlead.core.shard import Shard

# The part of the capacity that is reserved for jobs without an objective. Otherwise these would get
# no slots for as long as jobs with an objective need all capacity.
SHARE_WITHOUT_OBJECTIVE = 0.25


class AuctionResult(NamedTuple):
    """Slots by job, and the price per CPU."""

    slots: dict[str, int]
    price: float


class SlotAuction:
    """One auction among the arrays of a shard.

    Jobs with an objective first get the slots that keep them on time; all others share what is
    left. In a single auction for all, a team with much work that has to be on time would use up its
    budget, and its jobs would then be outbid by jobs with long tasks and no objective.
    """

    def __init__(self, shard: Shard, reserve_price: float) -> None:
        """`reserve_price` is the lowest bid."""
        self._shard = shard
        self._reserve_price = reserve_price

    def run(self, arrays: Sequence[JobState]) -> AuctionResult:
        """Allocate the present capacity. Jobs with an objective want the slots that keep them on
        time, others want slots for all their tasks."""
        with_objective = [self._bid(job_state) for job_state in arrays if job_state.has_objective]
        others = [job_state for job_state in arrays if not job_state.has_objective]
        capacity = self._capacity()
        reserved_cpus = capacity * SHARE_WITHOUT_OBJECTIVE if others else 0.0
        slots = allocate(with_objective, capacity - reserved_cpus)
        allocated_cpus = sum(slots[bid.key] * bid.size for bid in with_objective)
        slots |= self._share_remainder(others, capacity - allocated_cpus)
        all_bids = [*with_objective, *map(self._bid, others)]
        return AuctionResult(slots, price(all_bids, capacity))

    def _share_remainder(self, job_states: list[JobState], capacity: float) -> dict[str, int]:
        """Slots for jobs without an objective: each team's share is in proportion to the sum of its
        bids.

        Within a team, every job first gets one slot, even beyond the team's share, so that it
        begins. Then the job with the least work left gets all of the rest that it can use, then the
        next job: with even shares, long jobs of the same size would all end late.
        """
        teams: dict[str, list[JobState]] = {}
        for job_state in job_states:
            teams.setdefault(job_state.job.team, []).append(job_state)
        bids = {job_state.job.ref: self._bid(job_state) for job_state in job_states}
        team_bids = [
            _team_bid(team, [bids[member.job.ref] for member in members])
            for team, members in teams.items()
        ]
        shares = allocate(team_bids, capacity)
        slots: dict[str, int] = {}
        for team, members in teams.items():
            left = float(shares[team])
            for bid in (bids[member.job.ref] for member in members):
                slots[bid.key] = min(1, bid.max_slots)
                left -= slots[bid.key] * bid.size
            for job_state in sorted(members, key=self._remaining_cpu_us):
                bid = bids[job_state.job.ref]
                more = min(bid.max_slots - slots[bid.key], max(0, int(left / bid.size)))
                slots[bid.key] += more
                left -= more * bid.size
        return slots

    def _remaining_cpu_us(self, job_state: JobState) -> float:
        return job_state.remaining * job_state.job.size * self._shard.estimated_run_us(job_state)

    def _bid(self, job_state: JobState) -> Bid[str]:
        max_slots = job_state.remaining
        if job_state.need is not None:
            max_slots = min(job_state.need, max_slots)
        job = job_state.job
        return Bid(job.ref, max(job_state.bid, self._reserve_price), job.size, max_slots)

    def _capacity(self) -> float:
        """CPUs that the auction allocates.

        Gangs and services are placed by rank and take no part. If the CPUs they use were allocated
        as well, jobs that come last in start order could not use their shares.
        """
        up = [
            machine
            for machine in self._shard.machines.values()
            if machine.up and not machine.lost and not machine.unreachable_since
        ]
        placed = sum(
            len(job_state.live) * job_state.job.size
            for job_state in self._shard.job_states.values()
            if job_state.job.shape is not Shape.ARRAY and not job_state.closed
        )
        return max(0.0, sum(machine.machine_type.cpus for machine in up) - placed)


def _team_bid(team: str, bids: list[Bid[str]]) -> Bid[str]:
    """The bid of a team for all its jobs, with slots of one CPU."""
    cpus = ceil(sum(bid.max_slots * bid.size for bid in bids))
    return Bid(team, sum(bid.amount for bid in bids), 1.0, cpus)
