"""Which machine a task goes to: worst fit by booked bids, among the machines that suit it best."""

from collections import Counter
from collections.abc import Iterable
from heapq import heapify, heappop, heappush

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import Job, Resources

# Lower is better; see `tier`.
Tier = tuple[int, int, int, int]
# A machine in order of preference: tier, booked bids, name, machine. A plain tuple for speed, since
# a plan makes thousands of them. Names are unique, so the machines themselves are never compared.
RankedMachine = tuple[Tier, float, str, Machine]


def eligible_zones(
    job_state: JobState, zones: Iterable[str], leaving: Attempt | None = None
) -> set[str]:
    """Zones in which one more task of the job may start, given where its other tasks are.

    `leaving` is not counted: that attempt ends before the new one starts.
    """
    job = job_state.job
    if not (job.one_zone or job.spread_zones):
        return set(zones)
    tasks_by_zone = Counter(a.machine.zone for a in job_state.live.values() if a is not leaving)
    if job.one_zone and tasks_by_zone:  # a job may ask for both: half of it at a time, in one zone
        zones = set(tasks_by_zone) if len(tasks_by_zone) == 1 else set()
    return {zone for zone in zones if tasks_by_zone[zone] < job.zone_cap}


def tier(job: Job, machine: Machine) -> Tier:
    """How well a machine with room suits a job; lower is better.

    Machines that the fleet does not need are left to empty. Spot machines are filled before
    on-demand ones, so that the expensive machines empty first when there is less work. A machine
    that has the image starts the task at once, and one that has work stays rented anyway. A gang
    fills machines and waits as a whole for the slowest fetch, so for a gang the image comes first.
    """
    image = 0 if job.image in machine.images else 1
    needed = 0 if machine.needed else 1
    price = 0 if machine.spot else 1
    busy = 0 if machine.attempts else 1
    return (image, needed, price, busy) if job.gang else (needed, price, image, busy)


def fetch_cost(job: Job, machine: Machine) -> float:
    """What a task wastes while it waits for its image, in CPU seconds."""
    if job.image in machine.images:
        return 0.0
    return machine.machine_type.fetch_s(job) * job.size


class Ranking:
    """The machines on which a task of a job fits, best first: the best tier, and within it the
    least booked bids (the paper's worst fit).

    Building it takes one pass over the machines; after that, each task costs only heap operations.
    """

    def __init__(
        self,
        job: Job,
        machines: Iterable[Machine],
        trial_rooms: dict[str, Resources] | None = None,
    ) -> None:
        """`trial_rooms`, by machine name, replaces the free resources of the machines; the caller
        takes from it what it places on trial."""
        self._job = job
        self._trial_rooms = trial_rooms
        self._heap: list[RankedMachine] = [
            (tier(job, machine), machine.booked, machine.name, machine)
            for machine in machines
            if self._room(machine).fits(job) and not machine.is_full
        ]
        heapify(self._heap)

    def _room(self, machine: Machine) -> Resources:
        return machine.free if self._trial_rooms is None else self._trial_rooms[machine.name]

    def best(self, zones: set[str]) -> Machine | None:
        """The best machine in these zones for the next task; None if there is none.

        While the tasks of a job are placed, `zones` only shrinks, so machines in other zones are
        dropped for good.
        """
        while self._heap:
            _, _, _, machine = self._heap[0]
            if machine.zone in zones:
                return machine
            heappop(self._heap)
        return None

    def rerank(self, machine: Machine) -> None:
        """Rank a machine again after a task was bound to it; drop it if no further task fits."""
        if self._heap and self._heap[0][3] is machine:
            heappop(self._heap)
        if self._room(machine).fits(self._job) and not machine.is_full:
            heappush(self._heap, (tier(self._job, machine), machine.booked, machine.name, machine))
