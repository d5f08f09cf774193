"""How many tasks of each open job should run now so that all are done in time.

Jobs are looked at in the order in which they are due. For every due time, the work due by then
over the time left is the rate the fleet must have; the greatest of these is what is wanted, and
it is given to the jobs in the same order. Work that can wait for room already rented so waits.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from basaltlead.core.model import US, Job, Machine, Shape, Work, allowed

MARGIN = 0.85  # of the time left: guesses are often wrong by half
BEGIN_US = 60 * US  # a job that has waited for so long is to begin, however late it is due
LATE_US = 120 * US  # a job that can't be in time any more is to be done within that


class Due(NamedTuple):
    """When a job should be done, if it was promised that; late if it can't be any more."""

    at: int | None
    late: bool = False


NO_DUE = Due(None)


def counts(
    works: Iterable[Work],
    now: int,
    due_of: Callable[[Work, int], Due],
    guess_us: Callable[[Work], int],
    lead_us: int,
    loads: dict[str, float],
) -> dict[str, int]:
    """Wanted tasks by job, those that run already included."""
    out: dict[str, int] = {}
    dated: list[tuple[int, Work]] = []
    for work in works:
        due = due_of(work, now)
        if work.job.gang or due == NO_DUE:
            out[work.job.ref] = work.remaining
        else:  # no hurry is worth its price to a job that is late
            each = guess_us(work)
            at = due.at if due.at is not None else now + max(2 * each, LATE_US)
            dated.append((at, work))
    dated.sort(key=lambda pair: (pair[0], pair[1].asked_at))
    total = 0.0
    rate = 0.0
    for at, work in dated:
        each = guess_us(work)
        total += loads[work.job.ref]
        left = int((at - now) * MARGIN) - (0 if work.live else lead_us)
        rate = max(rate, total / max(left, each, US))
    for _, work in dated:
        size = work.job.size
        live = sum(1 for a in work.live.values() if a.grace is None)
        if now - work.asked_at > BEGIN_US:
            live = max(live, 1)  # nobody waits for ever: it takes part in the auction from now on
        count = min(work.remaining, max(live, int(rate / size + 0.999)))
        out[work.job.ref] = count
        rate = max(0.0, rate - count * size)
    return out


def load(work: Work, each: int, now: int) -> float:
    """What is left of a job, in CPU microseconds."""
    left = work.waiting * each
    for attempt in work.live.values():
        ran = now - attempt.ran_at if attempt.ran_at else 0
        left += max(each - ran, each // 4)
    return left * work.job.size


def loads_of(works: Iterable[Work], now: int, guess_us: Callable[[Work], int]) -> dict[str, float]:
    """What is left of each open array: a look at every running task, so once a pass."""
    arrays = [work for work in works if work.job.shape is Shape.ARRAY]
    return {work.job.ref: load(work, guess_us(work), now) for work in arrays}


class Rented:
    """CPUs that arrays may use, by what decides whether a job may: counted once for all jobs."""

    def __init__(self, machines: Iterable[Machine]) -> None:
        self.room: dict[tuple[str, str, bool], float] = {}
        for machine in machines:
            jobs = [attempt.work.job for attempt in machine.attempts.values()]
            taken = sum(job.cpus for job in jobs if job.shape is not Shape.ARRAY)
            key = (machine.kind.name, machine.zone, machine.spot)
            self.room[key] = self.room.get(key, 0.0) + machine.kind.cpus - taken

    def drain_us(self, job: Job, left: float) -> float:
        """How long the machines that a job may use, booting ones included, need for a backlog.

        A machine that boots for longer than this comes up when there is nothing left for it.
        """
        room = sum(cpus for key, cpus in self.room.items() if allowed(job, *key))
        return left / room if room > 0 else float("inf")
