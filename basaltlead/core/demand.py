"""How many tasks of each open job should run now so that all jobs are done in time.

Jobs are considered in the order in which they are due. For every due time, the work due by then
over the time left is the rate that the fleet must have; the greatest of these is what is wanted,
and it is given to the jobs in the same order. Work that can wait for machines that are rented
already waits for them.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import US, Job, Shape
from basaltlead.core.offers import Offer

USABLE_TIME_FRACTION = 0.85  # of the time left, since guesses are often wrong by half
MAX_INITIAL_WAIT_US = (
    60 * US
)  # a job that has waited for so long is to begin, however late it is due
LATE_JOB_SPAN_US = 120 * US  # a job that can't be in time any more is to be done within that
MIN_REMAINING_DIVISOR = 4  # a task that outlasts its guess has this part of the guess left
ROUND_UP_OFFSET = 0.999  # rounds a number of tasks up, but for what rounding errors add


class Due(NamedTuple):
    """When a job should be done, if it has an objective; late if it can't meet any of them."""

    at: int | None
    late: bool = False


NO_DUE = Due(None)


class DueJob(NamedTuple):
    """A job that should be done by some time."""

    due_at: int
    run_us: int  # of one task
    job_state: JobState


def wanted_tasks(
    job_states: Iterable[JobState],
    now: int,
    due_of: Callable[[JobState, int], Due],
    estimated_run_us: Callable[[JobState], int],
    lead_us: int,
    cpu_us_left: dict[str, float],
) -> dict[str, int]:
    """How many tasks of each job should run, by job; those that run already count.

    `estimated_run_us` tells how long a task of a job runs, `lead_us` how long a machine takes to boot, and
    `cpu_us_left` what is left of each array (see `remaining_cpu_us`).
    """
    wanted: dict[str, int] = {}
    due_jobs: list[DueJob] = []
    for job_state in job_states:
        due = due_of(job_state, now)
        if job_state.job.gang or due == NO_DUE:
            wanted[job_state.job.ref] = job_state.remaining
        else:
            run_us = estimated_run_us(job_state)
            # No hurry is worth its price to a job that is late.
            due_at = due.at if due.at is not None else now + max(2 * run_us, LATE_JOB_SPAN_US)
            due_jobs.append(DueJob(due_at, run_us, job_state))
    due_jobs.sort(key=lambda job: (job.due_at, job.job_state.submitted_at))
    rate = _needed_rate(due_jobs, now, lead_us, cpu_us_left)
    for _, _, job_state in due_jobs:
        size = job_state.job.size
        running = sum(1 for a in job_state.live.values() if a.stop_grace_s is None)
        if now - job_state.submitted_at > MAX_INITIAL_WAIT_US:
            running = max(running, 1)  # no job waits for ever: it takes part in the auction
        count = min(job_state.remaining, max(running, int(rate / size + ROUND_UP_OFFSET)))
        wanted[job_state.job.ref] = count
        rate = max(0.0, rate - count * size)
    return wanted


def _needed_rate(
    due_jobs: Iterable[DueJob], now: int, lead_us: int, cpu_us_left: dict[str, float]
) -> float:
    """The CPUs that must work at once for these jobs, in the order in which they are due."""
    total = 0.0
    rate = 0.0
    for due_at, run_us, job_state in due_jobs:
        total += cpu_us_left[job_state.job.ref]
        left_us = int((due_at - now) * USABLE_TIME_FRACTION) - (0 if job_state.live else lead_us)
        rate = max(rate, total / max(left_us, run_us, US))
    return rate


def remaining_cpu_us(
    job_states: Iterable[JobState], now: int, estimated_run_us: Callable[[JobState], int]
) -> dict[str, float]:
    """What is left of each array, in CPU microseconds. It passes over every running task, so it is
    computed once a pass over the demand."""
    return {
        job_state.job.ref: _cpu_us_left(job_state, estimated_run_us(job_state), now)
        for job_state in job_states
        if job_state.job.shape is Shape.ARRAY
    }


def _cpu_us_left(job_state: JobState, run_us: int, now: int) -> float:
    left_us = job_state.waiting * run_us
    for attempt in job_state.live.values():
        ran_us = now - attempt.running_since if attempt.running_since else 0
        left_us += max(run_us - ran_us, run_us // MIN_REMAINING_DIVISOR)
    return left_us * job_state.job.size


class RentedCapacity:
    """CPUs that arrays may use, by what decides whether a job may: counted once for all jobs."""

    def __init__(self, machines: Iterable[Machine]) -> None:
        self._cpus: dict[Offer, float] = {}
        for machine in machines:
            jobs = [attempt.job_state.job for attempt in machine.attempts.values()]
            taken = sum(job.cpus for job in jobs if job.shape is not Shape.ARRAY)
            offer = Offer(machine.machine_type.name, machine.zone, machine.spot)
            self._cpus[offer] = self._cpus.get(offer, 0.0) + machine.machine_type.cpus - taken

    def drain_us(self, job: Job, backlog: float) -> float:
        """How long the machines that a job may use, booting ones included, need for a backlog in
        CPU microseconds.

        A machine that boots for longer than this comes up when there is nothing left for it.
        """
        cpus = sum(cpus for offer, cpus in self._cpus.items() if offer.allows(job))
        return backlog / cpus if cpus > 0 else float("inf")
