"""How many tasks of each open job should run now so that all jobs are done on time.

Jobs are considered in the order of their due times. For each due time, the work due by then divided
by the time left is a number of CPUs that the fleet needs. The highest of these numbers is
distributed over the jobs in the same order. Gangs and jobs without a due time want all their tasks
now. `RentedCapacity` tells how long the rented machines need for all open work, so that none are
rented for work that is done before they have booted.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import US, Resources, Shape, fitting_task_count
from basaltlead.core.offers import Offer
from basaltlead.core.placement import eligible_zones

USABLE_TIME_FRACTION = 0.85  # of the time left, since estimates are often wrong by half
MAX_INITIAL_WAIT_US = 60 * US  # after it a job should have a task, even if it is due much later
LATE_JOB_SPAN_US = 120 * US  # a late job is due after this, or after two runs if that is longer
MIN_REMAINING_DIVISOR = 4  # a task is assumed to need at least its estimate divided by this
ROOM_DIGITS = 6  # decimal places of amounts of room; the tolerance of comparisons is as fine
ROUND_UP_OFFSET = 0.999  # added before truncation: rounds up, but ignores rounding errors


class Due(NamedTuple):
    """When a job should be done. `at` is None for a job without an objective, and for a late one
    that can meet none."""

    at: int | None
    late: bool = False


NO_DUE = Due(None)


class DueJob(NamedTuple):
    """A job with the time by which it should be done."""

    due_at: int
    run_us: int  # of one task
    job_state: JobState


def wanted_tasks(
    job_states: Iterable[JobState],
    now: int,
    due_of: Callable[[JobState, int], Due],
    estimated_run_us: Callable[[JobState], int],
    lead_us: int,
    remaining_cpu_us: dict[str, float],
) -> dict[str, int]:
    """How many tasks of each job should run, by job, including those that run already.

    `estimated_run_us` estimates how long a task of a job runs, `lead_us` is how long a machine
    takes to boot, and `remaining_cpu_us` is the remaining work by job, as computed by the function
    `remaining_cpu_us`.
    """
    wanted: dict[str, int] = {}
    due_jobs: list[DueJob] = []
    for job_state in job_states:
        due = due_of(job_state, now)
        if job_state.job.gang or due == NO_DUE:
            wanted[job_state.job.ref] = job_state.remaining
        else:
            run_us = estimated_run_us(job_state)
            # A job that is late anyway gets a due time for which few machines are needed: more are
            # not worth their price.
            due_at = due.at if due.at is not None else now + max(2 * run_us, LATE_JOB_SPAN_US)
            due_jobs.append(DueJob(due_at, run_us, job_state))
    due_jobs.sort(key=lambda job: (job.due_at, job.job_state.submitted_at))
    needed_cpus = _needed_cpus(due_jobs, now, lead_us, remaining_cpu_us)
    for _, _, job_state in due_jobs:
        size = job_state.job.size
        running = sum(1 for a in job_state.live.values() if a.stop_grace_s is None)
        if now - job_state.submitted_at > MAX_INITIAL_WAIT_US:
            running = max(running, 1)  # prevents starvation: the job then bids in the auction
        count = min(job_state.remaining, max(running, int(needed_cpus / size + ROUND_UP_OFFSET)))
        wanted[job_state.job.ref] = count
        needed_cpus = max(0.0, needed_cpus - count * size)
    return wanted


def _needed_cpus(
    due_jobs: Iterable[DueJob], now: int, lead_us: int, remaining_cpu_us: dict[str, float]
) -> float:
    """The CPUs that must work at the same time for these jobs, which come in the order of their due
    times."""
    total = 0.0
    needed_cpus = 0.0
    for due_at, run_us, job_state in due_jobs:
        total += remaining_cpu_us[job_state.job.ref]
        left_us = int((due_at - now) * USABLE_TIME_FRACTION) - (0 if job_state.live else lead_us)
        needed_cpus = max(needed_cpus, total / max(left_us, run_us, US))
    return needed_cpus


def remaining_cpu_us(
    job_states: Iterable[JobState], now: int, estimated_run_us: Callable[[JobState], int]
) -> dict[str, float]:
    """The remaining work of each array, in CPU microseconds. Computing it takes a pass over all
    running tasks, so callers do it once and pass the result on."""
    return {
        job_state.job.ref: _remaining_cpu_us(job_state, estimated_run_us(job_state), now)
        for job_state in job_states
        if job_state.job.shape is Shape.ARRAY
    }


def _remaining_cpu_us(job_state: JobState, run_us: int, now: int) -> float:
    left_us = job_state.waiting * run_us
    for attempt in job_state.live.values():
        ran_us = now - attempt.running_since if attempt.running_since else 0
        left_us += max(run_us - ran_us, run_us // MIN_REMAINING_DIVISOR)
    return left_us * job_state.job.size


class Room(NamedTuple):
    """What gangs and services leave of a machine for arrays."""

    cpus: float
    gpus: float
    memory_gb: float
    tasks: int  # places in the machine's report


class RentedCapacity:
    """What arrays may use of the rented machines, counted once for all jobs.

    Machines are grouped by offer, since a job's constraints allow or exclude whole offers, and by
    their room, since a machine is capacity for a job only if a task of the job fits there.
    """

    def __init__(self, machines: Iterable[Machine]) -> None:
        self._rooms: dict[Offer, Counter[Room]] = {}  # how many machines have the same room
        for machine in machines:
            if not machine.is_leaving:
                offer = Offer(machine.machine_type.name, machine.zone, machine.spot)
                self._rooms.setdefault(offer, Counter())[_room_for_arrays(machine)] += 1
        self._zones = {offer.zone for offer in self._rooms}

    def backlog_us(self, job_state: JobState, own_cpu_us: float, backlog: float) -> float:
        """How long the machines that can hold a task of the job, booting ones included, need for
        all arrays together (`backlog`) or, if that takes longer, for the job alone (`own_cpu_us`).
        Both are in CPU microseconds. Infinite if no machine can hold a task.

        A machine that takes longer than that to boot would have no work left.
        """
        job = job_state.job
        zones = eligible_zones(job_state, self._zones)
        cpus = 0.0
        slots = 0
        for offer, rooms in self._rooms.items():
            if offer.zone not in zones or not offer.allows(job):
                continue
            for room, machines in rooms.items():
                tasks = fitting_task_count(job, *room)
                if tasks:
                    cpus += room.cpus * machines
                    slots += tasks * machines
        if not slots:
            return float("inf")
        shared_us = backlog / cpus if cpus > 0 else 0.0
        return max(shared_us, own_cpu_us / (slots * job.size))


def _room_for_arrays(machine: Machine) -> Room:
    room = Resources.of(machine.machine_type)
    for attempt in machine.attempts.values():
        if attempt.job_state.job.shape is not Shape.ARRAY:
            room.take(attempt.job_state.job)
    # Rounded, so that sums in another order give the same room.
    return Room(
        round(room.cpus, ROOM_DIGITS),
        round(room.gpus, ROOM_DIGITS),
        round(room.memory_gb, ROOM_DIGITS),
        room.tasks,
    )
