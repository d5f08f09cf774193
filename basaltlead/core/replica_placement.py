"""Where a replica of a service is started: where it will run soonest.

Users notice every second without a replica, so the time until one runs outweighs what is wasted by
stopping others for it. That time is the fetch of its image, and the saving of tasks that give way.
"""

from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from basaltlead.core import placement
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import Job

# A second without the replica weighs as much as so many seconds of other work of its size.
DELAY_WEIGHT = 20.0


class Place(NamedTuple):
    """A machine for one replica, and the tasks that give way to it there."""

    machine: Machine
    stops: list[Attempt]


class Ranked(NamedTuple):
    """A machine in the order of preference: cost, tier, booked bids, name."""

    cost: float
    tier: tuple[int, int, int, int]
    booked: float
    name: str
    machine: Machine


def delay_s(job: Job, machine: Machine, stops: Iterable[Attempt]) -> float:
    """How long a replica waits on a machine until it runs: for its image, and for its room."""
    fetch = 0.0 if job.image in machine.images else machine.machine_type.fetch_s(job)
    saving = max(
        (
            a.job_state.job.checkpoint_duration_s
            for a in stops
            if a.job_state.job.checkpoint_interval_us
        ),
        default=0.0,
    )
    return fetch + saving


class ReplicaChoice:
    """The machines that suit a service, best first, looked at anew as replicas are bound."""

    def __init__(
        self,
        job_state: JobState,
        machines: Iterable[Machine],
        may_stop: Callable[[JobState], bool],
        now: int,
    ) -> None:
        self.job_state = job_state
        self.may_stop = may_stop
        self.now = now
        ranked = (self._ranked(machine) for machine in machines)
        self.heap = [one for one in ranked if one is not None]
        heapify(self.heap)

    def _preemption_candidates(self, machine: Machine) -> tuple[float, list[Attempt]] | None:
        if machine.is_full:
            return None
        return placement.preemption_candidates(self.job_state.job, machine, self.now, self.may_stop)

    def _ranked(self, machine: Machine) -> Ranked | None:
        found = self._preemption_candidates(machine)
        if found is None:
            return None
        loss, stops = found
        job = self.job_state.job
        cost = loss + DELAY_WEIGHT * delay_s(job, machine, stops) * job.size
        tier = placement.tier(job, machine)
        return Ranked(round(cost, 3), tier, machine.booked, machine.name, machine)

    def best(self, zones: set[str]) -> Place | None:
        """The place for the next replica. What was ranked before the last one was bound is checked
        again; zones only close meanwhile, so machines elsewhere are dropped for good."""
        while self.heap:
            first = heappop(self.heap)
            if first.machine.zone not in zones:
                continue
            again = self._ranked(first.machine)
            if again is None:
                continue
            if self.heap and again[:4] > self.heap[0][:4]:
                heappush(self.heap, again)
                continue
            found = self._preemption_candidates(first.machine)
            assert found is not None  # it was ranked just now
            heappush(self.heap, again)
            return Place(first.machine, found[1])
        return None
