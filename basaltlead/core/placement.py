"""Which machine a task goes to: worst fit by booked bids, among the machines that suit it best."""

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import Job, Resources
from basaltlead.core.task_states import BEFORE_FIRST_RUN

REPLICA_LOSS_S = 30.0  # what stopping a replica of lower rank is reckoned to cost


def zones_open(
    job_state: JobState, zones: Iterable[str], leaving: Attempt | None = None
) -> set[str]:
    """Zones in which one more task of the job may start, given the tasks it has anywhere, but for
    one that is to leave its place first."""
    job = job_state.job
    if not (job.one_zone or job.apart):
        return set(zones)
    held = Counter(a.machine.zone for a in job_state.live.values() if a is not leaving)
    if job.one_zone and held:  # a job may ask for both: then half of it at a time, in one zone
        zones = set(held) if len(held) == 1 else set()
    return {zone for zone in zones if held[zone] < job.zone_cap}


def tier(job: Job, machine: Machine) -> tuple[int, int, int, int]:
    """Lower is better. A machine the fleet does not need is left to empty; spot machines are
    filled before ordinary ones, so that the dear ones empty first when there is less to do; one
    that has the image starts the task at once; one that has work stays rented anyway. A gang
    fills machines and waits as a whole for the slowest fetch: for it the image comes first."""
    image = 0 if job.image in machine.images else 1
    wanted = 0 if machine.needed else 1
    dear = 0 if machine.spot else 1
    busy = 0 if machine.attempts else 1
    return (image, wanted, dear, busy) if job.gang else (wanted, dear, image, busy)


def fetch_cost(job: Job, machine: Machine) -> float:
    """CPU seconds that a task would stand idle for its image."""
    if job.image in machine.images:
        return 0.0
    return machine.machine_type.fetch_s(job) * job.size


class Ranking:
    """The machines that suit a job, best first: the least booked bids within the best tier (the
    paper's worst fit). Made in one pass; each task then costs no more than a step in a heap."""

    def __init__(
        self, job: Job, machines: Iterable[Machine], trial: dict[str, Resources] | None = None
    ) -> None:
        """`trial` holds rooms to reckon with instead of what is free."""
        self.job = job
        self.trial = trial
        self.heap = [
            (tier(job, m), m.booked, m.name, m)
            for m in machines
            if self._room(m).fits(job) and not m.is_full
        ]
        heapify(self.heap)

    def _room(self, machine: Machine) -> Resources:
        return machine.free if self.trial is None else self.trial[machine.name]

    def best(self, zones: set[str]) -> Machine | None:
        """The machine for the next task. Zones only close while a job's tasks are placed, so
        machines elsewhere are dropped for good."""
        while self.heap and self.heap[0][3].zone not in zones:
            heappop(self.heap)
        return self.heap[0][3] if self.heap else None

    def again(self, machine: Machine) -> None:
        """A task was bound to it: rank it anew while it holds another."""
        if self.heap and self.heap[0][3] is machine:
            heappop(self.heap)
        if self._room(machine).fits(self.job) and not machine.is_full:
            heappush(self.heap, (tier(self.job, machine), machine.booked, machine.name, machine))


def loss(attempt: Attempt, now: int) -> float:
    """What stopping an attempt would waste, in CPU seconds."""
    job = attempt.job_state.job
    if attempt.stage in BEFORE_FIRST_RUN:
        return 0.0
    if job.service:  # it only stands still until it runs elsewhere
        return REPLICA_LOSS_S * job.size
    lost_us = (
        now - attempt.running_since
        if not job.checkpoint_interval_us
        else int(job.checkpoint_duration_s * 1e6)
    )
    return max(0, lost_us) / 1e6 * job.size


def preemption_candidates(
    job: Job, machine: Machine, now: int, may_stop: Callable[[JobState], bool]
) -> tuple[float, list[Attempt]] | None:
    """The attempts to stop so that a task of the job fits on the machine, and the loss."""
    if machine.free.fits(job):
        return 0.0, []
    room = machine.free.copy()
    chosen: list[Attempt] = []
    total = 0.0
    lower = [
        a for a in machine.attempts.values() if a.stop_grace_s is None and may_stop(a.job_state)
    ]
    lower.sort(key=lambda a: (a.job_state.job.rank, loss(a, now)))
    for attempt in lower:
        if room.fits(job):
            break
        room.take(attempt.job_state.job, -1)
        chosen.append(attempt)
        total += loss(attempt, now)
    return (total, chosen) if room.fits(job) else None
