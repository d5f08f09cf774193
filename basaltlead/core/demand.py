"""How many tasks of each open job should run now so that all are done in time.

Jobs are looked at in the order in which they are due. For every due time, the work due by then
over the time left is the rate the fleet must have; the greatest of these is what is wanted, and
it is given to the jobs in the same order. Work that can wait for room already rented so waits.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import US, Job, Shape, allowed

MARGIN = 0.85  # of the time left: guesses are often wrong by half
BEGIN_US = 60 * US  # a job that has waited for so long is to begin, however late it is due
LATE_US = 120 * US  # a job that can't be in time any more is to be done within that


class Due(NamedTuple):
    """When a job should be done, if it was promised that; late if it can't be any more."""

    at: int | None
    late: bool = False


NO_DUE = Due(None)


def counts(
    job_states: Iterable[JobState],
    now: int,
    due_of: Callable[[JobState, int], Due],
    guess_us: Callable[[JobState], int],
    lead_us: int,
    loads: dict[str, float],
) -> dict[str, int]:
    """Wanted tasks by job, those that run already included."""
    out: dict[str, int] = {}
    dated: list[tuple[int, JobState]] = []
    for job_state in job_states:
        due = due_of(job_state, now)
        if job_state.job.gang or due == NO_DUE:
            out[job_state.job.ref] = job_state.remaining
        else:  # no hurry is worth its price to a job that is late
            each = guess_us(job_state)
            at = due.at if due.at is not None else now + max(2 * each, LATE_US)
            dated.append((at, job_state))
    dated.sort(key=lambda pair: (pair[0], pair[1].submitted_at))
    total = 0.0
    rate = 0.0
    for at, job_state in dated:
        each = guess_us(job_state)
        total += loads[job_state.job.ref]
        left = int((at - now) * MARGIN) - (0 if job_state.live else lead_us)
        rate = max(rate, total / max(left, each, US))
    for _, job_state in dated:
        size = job_state.job.size
        live = sum(1 for a in job_state.live.values() if a.stop_grace_s is None)
        if now - job_state.submitted_at > BEGIN_US:
            live = max(live, 1)  # nobody waits for ever: it takes part in the auction from now on
        count = min(job_state.remaining, max(live, int(rate / size + 0.999)))
        out[job_state.job.ref] = count
        rate = max(0.0, rate - count * size)
    return out


def load(job_state: JobState, each: int, now: int) -> float:
    """What is left of a job, in CPU microseconds."""
    left = job_state.waiting * each
    for attempt in job_state.live.values():
        ran = now - attempt.running_since if attempt.running_since else 0
        left += max(each - ran, each // 4)
    return left * job_state.job.size


def loads_of(
    job_states: Iterable[JobState], now: int, guess_us: Callable[[JobState], int]
) -> dict[str, float]:
    """What is left of each open array: a look at every running task, so once a pass."""
    arrays = [job_state for job_state in job_states if job_state.job.shape is Shape.ARRAY]
    return {job_state.job.ref: load(job_state, guess_us(job_state), now) for job_state in arrays}


class RentedCapacity:
    """CPUs that arrays may use, by what decides whether a job may: counted once for all jobs."""

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.room: dict[tuple[str, str, bool], float] = {}
        for machine in machines:
            jobs = [attempt.job_state.job for attempt in machine.attempts.values()]
            taken = sum(job.cpus for job in jobs if job.shape is not Shape.ARRAY)
            key = (machine.machine_type.name, machine.zone, machine.spot)
            self.room[key] = self.room.get(key, 0.0) + machine.machine_type.cpus - taken

    def drain_us(self, job: Job, left: float) -> float:
        """How long the machines that a job may use, booting ones included, need for a backlog.

        A machine that boots for longer than this comes up when there is nothing left for it.
        """
        room = sum(cpus for key, cpus in self.room.items() if allowed(job, *key))
        return left / room if room > 0 else float("inf")
