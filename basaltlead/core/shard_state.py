"""The observed state of a block: which tasks are bound to which machines, by the workers' reports.

The list of a machine's tasks is trusted only from reports that show our fencing token: the worker
then drops every command of an earlier owner, so its list is complete but for our own commands.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Struct

from basaltlead.core.model import (
    LASTING_US,
    STANDING_US,
    US,
    Attempt,
    Job,
    ListedAttempt,
    Machine,
    Work,
)

KEEP_OFF_US = 30 * US  # for how long a job keeps off a machine on which it failed
TRIALS_OF_ITS_OWN = 2  # after so many a job that only fails is itself at fault
TRIALS_BEFORE_PAUSE = 3  # after so many a job that only fails waits between two tries
# Names of machines that are gone, or hired, are kept for as long as lists and late reports may
# show them. Three fleets of 6,000: some 2 MB.
NAMES_KEPT = 18_000
TOKEN_BITS = 24  # attempts an owner can start under one fencing token: 16 million


class Timing(Struct, frozen=True):
    """Spans that the platform's settings prescribe."""

    lease_us: int
    report_us: int

    @property
    def lease_expiry_us(self) -> int:
        """After this long without an answer of ours a worker's lease is over for sure: the
        lease, the drift of both clocks, and a margin for the resolution of timers."""
        return self.lease_us + self.lease_us // 500 + 250_000


class Limits(Struct, frozen=True):
    """A team's guarantee and limit; 0: none."""

    cpus: float = 0.0
    gpus: float = 0.0
    cpus_max: float = 0.0
    gpus_max: float = 0.0

    @property
    def counted(self) -> bool:
        """Must the tasks of the team be counted together at every instant?"""
        return bool(self.cpus or self.gpus or self.cpus_max or self.gpus_max)


class Seen(Protocol):
    """A task in a worker's report."""

    task: str
    token: int
    stage: str
    why: str | None


class Message(Protocol):
    """A worker's report."""

    machine: str
    address: str
    session: int
    tick: int
    fencing_token: int
    recall_s: float | None
    tasks: list  # type: ignore[type-arg]


def retry_pause_us(tries: int) -> int:
    """How long a job that failed so often waits: doubled each time, a minute at most."""
    return min(60, 1 << min(tries, 6)) * US


class BlockState:
    """Jobs, attempts and machines of a block, and what reports say of them."""

    def __init__(
        self, fencing_token: int, version: int, now: int, timing: Timing, teams: dict[str, Limits]
    ) -> None:
        self.fencing_token = fencing_token
        self.version = version  # of the grant: jobs accepted later were never started by others
        self.took_at = now
        self.timing = timing
        self.teams = teams
        self.sequence = 0
        self.machines: dict[str, Machine] = {}
        self.unsynced: set[str] = set()  # machines that may hold tasks we do not know of
        # Machines that may have orders which need not wait for a report, in the order of coming.
        self.urgent: dict[str, None] = {}
        self.works: dict[str, Work] = {}
        self.team_used: dict[str, list[float]] = {}
        self.ratio: dict[str, float] = {}  # measured run time over the guess, by class
        self.slow_checked_at = 0  # when slow tasks were last looked for
        self.dirty = True
        self.gone: dict[str, None] = {}  # names of machines that are deleted (bounded)
        self.log: Callable[[str], None] = lambda text: None

    # Jobs

    def add_job(self, job: Job, version: int, now: int, age_us: int = 0) -> Work:
        work = self.works.get(job.ref)
        if work is None:
            work = self.works[job.ref] = Work(job, version, now, age_us)
            self.dirty = True
        return work

    def close_job(self, ref: str, now: int) -> None:
        """Cancelled, or over: nothing of it may start, and what is there must go."""
        work = self.works.get(ref)
        if work is None:
            return
        work.closed = True
        if not (work.lasted or work.complete):
            self._clear_failures(work)  # it never showed that it can run
        for attempt in list(work.live.values()):
            self.stop(attempt, 0.0)
        self._prune(work)
        self.dirty = True

    def _prune(self, work: Work) -> None:
        if work.closed and not work.live:
            self.works.pop(work.job.ref, None)

    def stored(self, work: Work, indices: Iterable[int]) -> None:
        """These results are in the state service: their workers may forget them."""
        work.unstored.difference_update(indices)

    # Attempts

    def start(self, work: Work, index: int, machine: Machine, token: int, now: int) -> Attempt:
        attempt = Attempt(work, index, machine, token, now)
        self._enlist(attempt)
        return attempt

    def _enlist(self, attempt: Attempt) -> None:
        work = attempt.work
        work.bind(attempt)
        attempt.machine.attempts[attempt.key] = attempt
        attempt.machine.book(attempt)
        self.urgent[attempt.machine.name] = None
        used = self.team_used.setdefault(work.job.team, [0.0, 0.0])
        used[0] += work.job.cpus
        used[1] += work.job.gpus

    def _remove(self, attempt: Attempt, now: int) -> None:
        """It is provably not on its machine (any more)."""
        work = attempt.work
        machine = attempt.machine
        if not work.unbind(attempt.index):
            return
        machine.attempts.pop(attempt.key, None)
        if attempt.grace is None:
            machine.unbook(attempt)
        if attempt.ran_at:
            spent = machine.share(work.job) * (now - attempt.ran_at) / US
            if work.is_done(attempt.index) or work.job.mark_every_us or work.job.service:
                machine.useful += spent
            else:
                machine.wasted += spent
        if not machine.attempts:
            machine.idle_since = now
        used = self.team_used[work.job.team]
        used[0] -= work.job.cpus
        used[1] -= work.job.gpus
        if not work.closed and not work.is_done(attempt.index):
            work.again.append(attempt.index)
        self._prune(work)
        self.dirty = True

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Want it gone. One that was never sent is gone at once."""
        if attempt.stage == "planned" and not attempt.flying:
            self._remove(attempt, attempt.machine.idle_since)
        elif attempt.grace is None or grace_s < attempt.grace:
            if attempt.grace is None:
                attempt.machine.unbook(attempt)
            attempt.grace = grace_s
            self.urgent[attempt.machine.name] = None
        self.dirty = True

    def stop_softly(self, attempt: Attempt) -> None:
        """Stop it so that its progress is saved if that can be; a gang's tasks go together."""
        job = attempt.work.job
        together = list(attempt.work.live.values()) if job.gang else [attempt]
        running = job.mark_every_us > 0 and all(a.stage == "running" for a in together)
        for one in together:
            self.stop(one, job.mark_s if running else 0.0)

    # Machines

    def load_machine(self, machine: Machine) -> None:
        """One that the state service lists as in use when we take the block."""
        machine.recorded = True
        self.machines[machine.name] = machine
        self.unsynced.add(machine.name)

    def add_machine(self, machine: Machine) -> None:
        """One that can't hold any task yet."""
        self.machines.setdefault(machine.name, machine)

    def drop_machine(self, name: str, now: int) -> None:
        """It is deleted: everything on it is gone."""
        machine = self.machines.pop(name, None)
        self.gone[name] = None
        if machine is not None:
            age = max(1, now - machine.made_at) / US
            up = (now - machine.up_at) / US if machine.up_at else 0.0
            self.log(
                f"machine {name} ({machine.kind.name}{', spot' if machine.spot else ''}) returned: "
                f"{age:.0f} s old, {up:.0f} s up, {machine.useful:.0f} s of use, "
                f"{machine.wasted:.0f} s wasted, {machine.fetched:.0f} s of fetches"
            )
        while len(self.gone) > NAMES_KEPT:
            del self.gone[next(iter(self.gone))]
        if machine is not None:
            self._empty(machine, now)

    def _empty(self, machine: Machine, now: int) -> None:
        for attempt in list(machine.attempts.values()):
            self._remove(attempt, now)
        machine.listed_attempts.clear()
        self.unsynced.discard(machine.name)
        self.urgent.pop(machine.name, None)
        self.dirty = True

    def _lose(self, machine: Machine, now: int) -> None:
        """Its lease has run out, so it has killed all its tasks. Reports of that session that
        were held up on their way prove nothing any more."""
        machine.lost = True
        machine.synced = False
        self.suspect(machine, now)
        machine.asked_at = 0
        machine.min_session = machine.session + 1 if machine.session else 0
        machine.images.clear()
        self._empty(machine, now)
        self.log(f"machine {machine.name} lost")

    @property
    def strangers(self) -> bool:
        """Is there, or may there be, a task on some machine that we do not account for?"""
        return bool(self.unsynced) or any(
            not rest.over
            for machine in self.machines.values()
            for rest in machine.listed_attempts.values()
        )

    # Reports

    def confirm_reachable(self, machine: Machine) -> None:
        """Something proves that our orders reach it."""
        if machine.unreachable_since:
            machine.unreachable_since = 0
            self.dirty = True

    def suspect(self, machine: Machine, now: int) -> None:
        """An order went unanswered, or its lease ran out although we answered: until something
        proves that it hears us, nothing new is given to it, and nobody counts on it."""
        machine.unreachable_since = machine.unreachable_since or now

    def _new_session(self, machine: Machine, session: int, now: int) -> None:
        known = machine.session
        if known:  # what ran in the old session was killed when it ended
            self.log(f"machine {machine.name}: lease over, {len(machine.attempts)} tasks lost")
            for attempt in list(machine.attempts.values()):
                if attempt.there or attempt.flying:
                    self._remove(attempt, now)
            machine.listed_attempts.clear()
            machine.images.clear()
            self.suspect(machine, now)
        if machine.lost:
            machine.back_at = now
        machine.session = session
        machine.session_at = now
        machine.min_session = max(machine.min_session, session)
        machine.tick = machine.beat_tick = 0
        machine.lost = False
        machine.synced = False
        machine.up = True

    def _apply(
        self, machine: Machine, report: Message, now: int, newest: bool, settles: bool
    ) -> None:
        """Take in a list of tasks from a report that shows our fencing token."""
        listed: set[tuple[str, int, int]] = set()
        for seen in report.tasks:
            ref, _, number = seen.task.rpartition("/")
            listed.add((ref, int(number), seen.token))
            if newest:
                self._take_seen(machine, ref, int(number), seen, now)
        if settles:
            for attempt in list(machine.attempts.values()):
                if (*attempt.key, attempt.token) not in listed:
                    self._unlisted(attempt, report.tick, now)
        if newest:
            for key in [key for key in machine.listed_attempts if key not in listed]:
                del machine.listed_attempts[key]
        if not machine.synced:
            self._synced(machine, now)

    def _take_seen(self, machine: Machine, ref: str, index: int, seen: Seen, now: int) -> None:
        """Take in one task of the newest report."""
        attempt = machine.attempts.get((ref, index))
        if attempt is None or attempt.token != seen.token:
            self._stranger(machine, ref, index, seen, now)
            return
        if attempt.stage == "sent":
            self.confirm_reachable(machine)
        self._progress(attempt, seen, now)

    def _synced(self, machine: Machine, now: int) -> None:
        """It has shown all that is on it."""
        machine.synced = True
        machine.up = True
        machine.up_at = machine.up_at or now
        self.unsynced.discard(machine.name)
        self.dirty = True

    def _unlisted(self, attempt: Attempt, tick: int, now: int) -> None:
        """A report without an attempt of ours."""
        if attempt.flying or attempt.loose or not attempt.there:
            return  # an unanswered direct order binds its task to the machine
        if attempt.sent_tick and attempt.sent_tick >= tick:
            return  # the answer that carried the order came after this report
        if attempt.stage == "sent" and attempt.grace is None:
            attempt.stage = "planned"  # the answer was lost: the order goes out again
            self.urgent[attempt.machine.name] = None
            return
        self._remove(attempt, now)

    def _progress(self, attempt: Attempt, seen: Seen, now: int) -> None:
        if seen.stage == "ended":
            self._ended(attempt, seen, now)
            return
        if seen.stage in ("running", "saving", "gathering") and attempt.stage not in (
            "running", "saving", "gathering",
        ):  # fmt: skip
            attempt.machine.keep_image(attempt.work.job.image, attempt.work.job.image_gb)
        if seen.stage == "running" and not attempt.ran_at:
            attempt.ran_at = now
            work, machine = attempt.work, attempt.machine
            machine.fetched += machine.share(work.job) * (now - attempt.since) / US
            if not work.started_at:
                work.started_at = now
                self.log(
                    f"job {work.job.ref} ({work.job.job_class}, {work.job.tasks} tasks) runs after "
                    f"{(now - work.asked_at) / US:.1f} s on {attempt.machine.name}"
                )
        attempt.stage = seen.stage

    def _ended(self, attempt: Attempt, seen: Seen, now: int) -> None:
        machine, work, why = attempt.machine, attempt.work, seen.why or "error"
        job = work.job
        result = why == "done" and not job.service  # what a replica returns means nothing
        rest = ListedAttempt(
            over=True, forgettable=not result, loose=attempt.loose or attempt.flying
        )
        machine.listed_attempts[(*attempt.key, attempt.token)] = rest
        lasted = job.service and self._replica_ended(attempt, why, now)
        if result:
            machine.faults.clear()
            known = attempt.ran_at and not attempt.adopted
            if known and not work.closed and not (job.gang and work.done_count):
                self._learn(work, now - attempt.ran_at)
            self._result(work, attempt.index)
        self._remove(attempt, now)
        if result or work.closed:
            return
        if why == "error" and not lasted:
            self._failed(machine, work, now)
        elif why == "full":
            machine.avoid_until = now + 2 * US
        elif why == "no_such":
            # The user may still be uploading the job; if not, asking often helps nobody.
            work.failures += 1
            work.retry_at = now + min(30, 1 << min(work.failures, 5)) * US
        elif why == "in_use":
            machine.avoid_until = now + 1 * US
        if job.gang and why in ("peers", "incomplete", "error", "full", "no_such", "in_use"):
            for other in list(work.live.values()):  # the attempt is lost: clear it away
                self.stop(other, 0.0)

    def _replica_ended(self, attempt: Attempt, why: str, now: int) -> bool:
        """One that had run for long (True) is simply started anew, and no machine is blamed. One
        that ends by itself soon after its start, again and again, is started at growing intervals,
        as one that fails is."""
        work = attempt.work
        ran_us = now - attempt.ran_at if attempt.ran_at else 0
        if ran_us >= LASTING_US:
            work.lasted = True
            work.trials = 0
            return True
        if why == "done":
            self._tried(work, attempt.machine, now)
            if work.trials >= TRIALS_BEFORE_PAUSE:
                work.retry_at = now + retry_pause_us(work.trials)
        return False

    @staticmethod
    def _tried(work: Work, machine: Machine, now: int) -> None:
        """A failure counts as a trial on another machine, or on the same one after a while."""
        if now >= work.failed_on.get(machine.name, 0):
            work.trials += 1
        work.failed_on[machine.name] = now + KEEP_OFF_US

    def _result(self, work: Work, index: int) -> None:
        """A gang's tasks complete together: one result is everybody's."""
        for one in range(work.job.tasks) if work.job.gang else (index,):
            work.finish(one)

    def _failed(self, machine: Machine, work: Work, now: int) -> None:
        """Mostly the machine is faulty. But a job that has only ever failed, and on another machine
        too or again on this one after a while, is more likely at fault itself: no machine is
        to blame for it, and after a third time it waits for longer and longer."""
        self._tried(work, machine, now)
        work.failures += 1
        if work.trials >= TRIALS_OF_ITS_OWN and not work.done_count:
            self._clear_failures(work)
            if work.trials >= TRIALS_BEFORE_PAUSE:
                # A service's replicas fail together: only its trials tell how often it was tried.
                tried = work.trials if work.job.service else work.failures
                work.retry_at = now + retry_pause_us(tried)
            return
        machine.faults.add(work.job.ref)
        machine.avoid_until = now + 4 * US * len(machine.faults)
        # Jobs that ran elsewhere speak against it; of others it takes more.
        others = (self.works.get(ref) for ref in machine.faults)
        sure = sum(1 for other in others if other is None or other.proven)
        if sure >= 2 or len(machine.faults) >= 4:
            machine.draining = True
            self.log(f"machine {machine.name} is faulty: {sorted(machine.faults)} failed on it")

    def _clear_failures(self, work: Work) -> None:
        """The machines on which a job failed are not to blame for that."""
        for name in work.failed_on:
            if name in self.machines:
                self.machines[name].faults.discard(work.job.ref)

    def _learn(self, work: Work, ran_us: int) -> None:
        job = work.job
        work.ran_us += ran_us
        work.ran_count += 1
        if job.guess_us > 0:
            ratio = min(8.0, max(0.1, ran_us / job.guess_us))
            old = self.ratio.get(job.job_class)
            self.ratio[job.job_class] = ratio if old is None else old * 0.95 + ratio * 0.05

    def _stranger(self, machine: Machine, ref: str, index: int, seen: Seen, now: int) -> None:
        """A listed attempt that we did not start, or no longer want."""
        key = (ref, index, seen.token)
        work = self.works.get(ref)
        over = seen.stage == "ended"
        rest = machine.listed_attempts.get(key)
        if rest is None:
            rest = machine.listed_attempts[key] = ListedAttempt(over, False)
        rest.over = over
        if work is None or work.closed or index >= work.job.tasks:
            rest.forgettable = over
            return
        if over:
            if seen.why == "done" and not work.job.service:
                self._result(work, index)
            else:
                rest.forgettable = True
            return
        if (
            index not in work.live
            and not work.is_done(index)
            and not machine.synced
            and work.holds(index)
        ):
            # Started by the block's last owner, and still wanted: it goes on under its number.
            del machine.listed_attempts[key]
            attempt = Attempt(work, index, machine, seen.token, now)
            attempt.stage = "sent"
            attempt.adopted = seen.stage in ("running", "saving")
            self._enlist(attempt)
            self._progress(attempt, seen, now)

    # For planning

    def used(self, team: str) -> list[float]:
        """CPUs and GPUs of a team's tasks, those counted that only may be there."""
        return self.team_used.get(team, [0.0, 0.0])

    def blocked(self, work: Work, now: int) -> bool:
        """May none of its tasks be started now? Until every machine that might hold a task
        has shown our fencing token, only jobs that no earlier owner can have started are free."""
        return (
            work.closed
            or now < work.retry_at
            or (work.version <= self.version and bool(self.unsynced))
        )

    def token(self) -> int:
        """A fresh attempt's number, unique without a write."""
        self.sequence += 1
        return (self.fencing_token << TOKEN_BITS) | self.sequence

    # For the market and the fleet

    def guess_us(self, work: Work) -> int:
        """How long a task of the job will run: as its first ones did; before that by the
        owner's guess and what guesses of its class have been worth. A replica never ends."""
        if work.job.service:
            return STANDING_US
        if work.ran_count >= 3:
            return max(US, work.ran_us // work.ran_count)
        return max(US, int(work.job.guess_us * self.ratio.get(work.job.job_class, 1.0)))
