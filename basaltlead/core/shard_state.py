"""The observed state of a shard: which tasks are bound to which machines, by the workers' reports.

The list of a machine's tasks is trusted only from reports that show our fencing token: the worker
then drops every command of an earlier shard leader, so its list is complete but for our own
commands.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from basaltlead.core.entities import Attempt, JobState, Machine, OrphanedAttempt
from basaltlead.core.failures import TRIALS_OF_ITS_OWN
from basaltlead.core.fleet import NAMES_KEPT
from basaltlead.core.jobs import LASTING_US, STANDING_US, US, Job
from basaltlead.core.teams import TeamQuota
from basaltlead.core.timing import Timing

KEEP_OFF_US = 30 * US  # for how long a job keeps off a machine on which it failed
TRIALS_BEFORE_PAUSE = 3  # after so many a job that only fails waits between two tries
TOKEN_BITS = 24  # attempts a shard leader can start under one fencing token: 16 million


class ReportedTask(Protocol):
    """A task in a worker's report."""

    task: str
    attempt_number: int
    stage: str
    why: str | None


class Message(Protocol):
    """A worker's report."""

    machine: str
    address: str
    epoch: int
    sequence: int
    fencing_token: int
    preemption_notice_s: float | None
    tasks: list  # type: ignore[type-arg]


def retry_pause_us(tries: int) -> int:
    """How long a job that failed so often waits: doubled each time, a minute at most."""
    return min(60, 1 << min(tries, 6)) * US


class ShardState:
    """Jobs, attempts and machines of a shard, and what reports say of them."""

    def __init__(
        self,
        fencing_token: int,
        version: int,
        now: int,
        timing: Timing,
        teams: dict[str, TeamQuota],
    ) -> None:
        self.fencing_token = fencing_token
        self.version = version  # of the grant: jobs accepted later were never started by others
        self.took_at = now
        self.timing = timing
        self.teams = teams
        self.attempts_started = 0
        self.machines: dict[str, Machine] = {}
        self.unsynced: set[str] = set()  # machines that may hold tasks we do not know of
        # Machines that may have orders which need not wait for a report, in the order of coming.
        self.urgent: dict[str, None] = {}
        self.job_states: dict[str, JobState] = {}
        self.team_used: dict[str, list[float]] = {}
        self.ratio: dict[str, float] = {}  # measured run time over the guess, by class
        self.slow_checked_at = 0  # when slow tasks were last looked for
        self.dirty = True
        self.gone: dict[str, None] = {}  # names of machines that are deleted (bounded)
        self.log: Callable[[str], None] = lambda text: None

    # Jobs

    def add_job(self, job: Job, version: int, now: int, age_us: int = 0) -> JobState:
        job_state = self.job_states.get(job.ref)
        if job_state is None:
            job_state = self.job_states[job.ref] = JobState(job, version, now, age_us)
            self.dirty = True
        return job_state

    def close_job(self, ref: str, now: int) -> None:
        """Cancelled, or over: nothing of it may start, and what is there must go."""
        job_state = self.job_states.get(ref)
        if job_state is None:
            return
        job_state.closed = True
        if not (job_state.lasted or job_state.complete):
            self._clear_failures(job_state)  # it never showed that it can run
        for attempt in list(job_state.live.values()):
            self.stop(attempt, 0.0)
        self._prune(job_state)
        self.dirty = True

    def _prune(self, job_state: JobState) -> None:
        if job_state.closed and not job_state.live:
            self.job_states.pop(job_state.job.ref, None)

    def stored(self, job_state: JobState, indices: Iterable[int]) -> None:
        """These results are in the key-value store: their workers may forget them."""
        job_state.unstored.difference_update(indices)

    # Attempts

    def start(
        self, job_state: JobState, index: int, machine: Machine, attempt_number: int, now: int
    ) -> Attempt:
        attempt = Attempt(job_state, index, machine, attempt_number, now)
        self._enlist(attempt)
        return attempt

    def _enlist(self, attempt: Attempt) -> None:
        job_state = attempt.job_state
        job_state.bind(attempt)
        attempt.machine.attempts[attempt.key] = attempt
        attempt.machine.book(attempt)
        self.urgent[attempt.machine.name] = None
        used = self.team_used.setdefault(job_state.job.team, [0.0, 0.0])
        used[0] += job_state.job.cpus
        used[1] += job_state.job.gpus

    def _remove(self, attempt: Attempt, now: int) -> None:
        """It is provably not on its machine (any more)."""
        job_state = attempt.job_state
        machine = attempt.machine
        if not job_state.unbind(attempt.index):
            return
        machine.attempts.pop(attempt.key, None)
        if attempt.stop_grace_s is None:
            machine.unbook(attempt)
        if attempt.running_since:
            spent = machine.share(job_state.job) * (now - attempt.running_since) / US
            if (
                job_state.is_done(attempt.index)
                or job_state.job.checkpoint_interval_us
                or job_state.job.service
            ):
                machine.useful += spent
            else:
                machine.wasted += spent
        if not machine.attempts:
            machine.idle_since = now
        used = self.team_used[job_state.job.team]
        used[0] -= job_state.job.cpus
        used[1] -= job_state.job.gpus
        if not job_state.closed and not job_state.is_done(attempt.index):
            job_state.again.append(attempt.index)
        self._prune(job_state)
        self.dirty = True

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Want it gone. One that was never sent is gone at once."""
        if attempt.stage == "planned" and not attempt.start_in_flight:
            self._remove(attempt, attempt.machine.idle_since)
        elif attempt.stop_grace_s is None or grace_s < attempt.stop_grace_s:
            if attempt.stop_grace_s is None:
                attempt.machine.unbook(attempt)
            attempt.stop_grace_s = grace_s
            self.urgent[attempt.machine.name] = None
        self.dirty = True

    def stop_gracefully(self, attempt: Attempt) -> None:
        """Stop it so that its progress is saved if that can be; a gang's tasks go together."""
        job = attempt.job_state.job
        together = list(attempt.job_state.live.values()) if job.gang else [attempt]
        running = job.checkpoint_interval_us > 0 and all(a.stage == "running" for a in together)
        for one in together:
            self.stop(one, job.checkpoint_duration_s if running else 0.0)

    # Machines

    def load_machine(self, machine: Machine) -> None:
        """One that the key-value store lists as in use when we take the shard."""
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
            spot = ", spot" if machine.spot else ""
            self.log(
                f"machine {name} ({machine.machine_type.name}{spot}) returned: "
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
        machine.orphaned_attempts.clear()
        self.unsynced.discard(machine.name)
        self.urgent.pop(machine.name, None)
        self.dirty = True

    def _lose(self, machine: Machine, now: int) -> None:
        """Its lease has run out, so it has killed all its tasks. Reports of that session that
        were held up on their way prove nothing any more."""
        machine.lost = True
        machine.synced = False
        self.mark_unreachable(machine, now)
        machine.unsynced_since = 0
        machine.min_epoch = machine.epoch + 1 if machine.epoch else 0
        machine.images.clear()
        self._empty(machine, now)
        self.log(f"machine {machine.name} lost")

    @property
    def has_unaccounted_tasks(self) -> bool:
        """Is there, or may there be, a task on some machine that we do not account for?"""
        return bool(self.unsynced) or any(
            not rest.ended
            for machine in self.machines.values()
            for rest in machine.orphaned_attempts.values()
        )

    # Reports

    def confirm_reachable(self, machine: Machine) -> None:
        """Something proves that our orders reach it."""
        if machine.unreachable_since:
            machine.unreachable_since = 0
            self.dirty = True

    def mark_unreachable(self, machine: Machine, now: int) -> None:
        """An order went unanswered, or its lease ran out although we answered: until something
        proves that it hears us, nothing new is given to it, and nobody counts on it."""
        machine.unreachable_since = machine.unreachable_since or now

    def _begin_epoch(self, machine: Machine, epoch: int, now: int) -> None:
        known = machine.epoch
        if known:  # what ran in the old session was killed when it ended
            self.log(f"machine {machine.name}: lease over, {len(machine.attempts)} tasks lost")
            for attempt in list(machine.attempts.values()):
                if attempt.may_be_on_machine or attempt.start_in_flight:
                    self._remove(attempt, now)
            machine.orphaned_attempts.clear()
            machine.images.clear()
            self.mark_unreachable(machine, now)
        if machine.lost:
            machine.back_at = now
        machine.epoch = epoch
        machine.epoch_started_at = now
        machine.min_epoch = max(machine.min_epoch, epoch)
        machine.sequence = machine.heartbeat_sequence = 0
        machine.lost = False
        machine.synced = False
        machine.up = True

    def _apply(
        self, machine: Machine, heartbeat: Message, now: int, newest: bool, settles: bool
    ) -> None:
        """Take in a list of tasks from a report that shows our fencing token."""
        listed: set[tuple[str, int, int]] = set()
        for seen in heartbeat.tasks:
            ref, _, number = seen.task.rpartition("/")
            listed.add((ref, int(number), seen.attempt_number))
            if newest:
                self._take_seen(machine, ref, int(number), seen, now)
        if settles:
            for attempt in list(machine.attempts.values()):
                if (*attempt.key, attempt.attempt_number) not in listed:
                    self._unlisted(attempt, heartbeat.sequence, now)
        if newest:
            for key in [key for key in machine.orphaned_attempts if key not in listed]:
                del machine.orphaned_attempts[key]
        if not machine.synced:
            self._synced(machine, now)

    def _take_seen(
        self, machine: Machine, ref: str, index: int, seen: ReportedTask, now: int
    ) -> None:
        """Take in one task of the newest report."""
        attempt = machine.attempts.get((ref, index))
        if attempt is None or attempt.attempt_number != seen.attempt_number:
            self._reconcile_unknown(machine, ref, index, seen, now)
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

    def _unlisted(self, attempt: Attempt, sequence: int, now: int) -> None:
        """A report without an attempt of ours."""
        if attempt.start_in_flight or attempt.start_unacknowledged or not attempt.may_be_on_machine:
            return  # an unanswered direct order binds its task to the machine
        if attempt.sent_sequence and attempt.sent_sequence >= sequence:
            return  # the answer that carried the order came after this report
        if attempt.stage == "sent" and attempt.stop_grace_s is None:
            attempt.stage = "planned"  # the answer was lost: the order goes out again
            self.urgent[attempt.machine.name] = None
            return
        self._remove(attempt, now)

    def _progress(self, attempt: Attempt, seen: ReportedTask, now: int) -> None:
        if seen.stage == "ended":
            self._ended(attempt, seen, now)
            return
        if seen.stage in ("running", "saving", "gathering") and attempt.stage not in (
            "running",
            "saving",
            "gathering",
        ):
            attempt.machine.keep_image(attempt.job_state.job.image, attempt.job_state.job.image_gb)
        if seen.stage == "running" and not attempt.running_since:
            attempt.running_since = now
            job_state, machine = attempt.job_state, attempt.machine
            machine.fetched += machine.share(job_state.job) * (now - attempt.created_at) / US
            if not job_state.started_at:
                job_state.started_at = now
                job = job_state.job
                self.log(
                    f"job {job.ref} ({job.job_class}, {job.tasks} tasks) runs after "
                    f"{(now - job_state.submitted_at) / US:.1f} s on {attempt.machine.name}"
                )
        attempt.stage = seen.stage

    def _ended(self, attempt: Attempt, seen: ReportedTask, now: int) -> None:
        machine, job_state, why = attempt.machine, attempt.job_state, seen.why or "error"
        job = job_state.job
        result = why == "done" and not job.service  # what a replica returns means nothing
        rest = OrphanedAttempt(
            ended=True,
            forgettable=not result,
            start_unacknowledged=attempt.start_unacknowledged or attempt.start_in_flight,
        )
        machine.orphaned_attempts[(*attempt.key, attempt.attempt_number)] = rest
        lasted = job.service and self._replica_ended(attempt, why, now)
        if result:
            machine.failed_jobs.clear()
            known = attempt.running_since and not attempt.adopted
            if known and not job_state.closed and not (job.gang and job_state.done_count):
                self._learn(job_state, now - attempt.running_since)
            self._result(job_state, attempt.index)
        self._remove(attempt, now)
        if result or job_state.closed:
            return
        if why == "error" and not lasted:
            self._failed(machine, job_state, now)
        elif why == "full":
            machine.cordoned_until = now + 2 * US
        elif why == "no_such":
            # The user may still be uploading the job; if not, asking often helps nobody.
            job_state.failures += 1
            job_state.retry_at = now + min(30, 1 << min(job_state.failures, 5)) * US
        elif why == "in_use":
            machine.cordoned_until = now + 1 * US
        if job.gang and why in ("peers", "incomplete", "error", "full", "no_such", "in_use"):
            for other in list(job_state.live.values()):  # the attempt is lost: clear it away
                self.stop(other, 0.0)

    def _replica_ended(self, attempt: Attempt, why: str, now: int) -> bool:
        """One that had run for long (True) is simply started anew, and no machine is blamed. One
        that ends by itself soon after its start, again and again, is started at growing intervals,
        as one that fails is."""
        job_state = attempt.job_state
        ran_us = now - attempt.running_since if attempt.running_since else 0
        if ran_us >= LASTING_US:
            job_state.lasted = True
            job_state.trials = 0
            return True
        if why == "done":
            self._tried(job_state, attempt.machine, now)
            if job_state.trials >= TRIALS_BEFORE_PAUSE:
                job_state.retry_at = now + retry_pause_us(job_state.trials)
        return False

    @staticmethod
    def _tried(job_state: JobState, machine: Machine, now: int) -> None:
        """A failure counts as a trial on another machine, or on the same one after a while."""
        if now >= job_state.failed_on.get(machine.name, 0):
            job_state.trials += 1
        job_state.failed_on[machine.name] = now + KEEP_OFF_US

    def _result(self, job_state: JobState, index: int) -> None:
        """A gang's tasks complete together: one result is everybody's."""
        for one in range(job_state.job.tasks) if job_state.job.gang else (index,):
            job_state.finish(one)

    def _failed(self, machine: Machine, job_state: JobState, now: int) -> None:
        """Mostly the machine is faulty. But a job that has only ever failed, and on another machine
        too or again on this one after a while, is more likely at fault itself: no machine is
        to blame for it, and after a third time it waits for longer and longer."""
        self._tried(job_state, machine, now)
        job_state.failures += 1
        if job_state.trials >= TRIALS_OF_ITS_OWN and not job_state.done_count:
            self._clear_failures(job_state)
            if job_state.trials >= TRIALS_BEFORE_PAUSE:
                # A service's replicas fail together: only its trials tell how often it was tried.
                tried = job_state.trials if job_state.job.service else job_state.failures
                job_state.retry_at = now + retry_pause_us(tried)
            return
        machine.failed_jobs.add(job_state.job.ref)
        machine.cordoned_until = now + 4 * US * len(machine.failed_jobs)
        # Jobs that ran elsewhere speak against it; of others it takes more.
        others = (self.job_states.get(ref) for ref in machine.failed_jobs)
        sure = sum(1 for other in others if other is None or other.proven)
        if sure >= 2 or len(machine.failed_jobs) >= 4:
            machine.draining = True
            self.log(
                f"machine {machine.name} is faulty: {sorted(machine.failed_jobs)} failed on it"
            )

    def _clear_failures(self, job_state: JobState) -> None:
        """The machines on which a job failed are not to blame for that."""
        for name in job_state.failed_on:
            if name in self.machines:
                self.machines[name].failed_jobs.discard(job_state.job.ref)

    def _learn(self, job_state: JobState, ran_us: int) -> None:
        job = job_state.job
        job_state.ran_us += ran_us
        job_state.ran_count += 1
        if job.guess_us > 0:
            ratio = min(8.0, max(0.1, ran_us / job.guess_us))
            old = self.ratio.get(job.job_class)
            self.ratio[job.job_class] = ratio if old is None else old * 0.95 + ratio * 0.05

    def _reconcile_unknown(
        self, machine: Machine, ref: str, index: int, seen: ReportedTask, now: int
    ) -> None:
        """A listed attempt that we did not start, or no longer want."""
        key = (ref, index, seen.attempt_number)
        job_state = self.job_states.get(ref)
        over = seen.stage == "ended"
        rest = machine.orphaned_attempts.get(key)
        if rest is None:
            rest = machine.orphaned_attempts[key] = OrphanedAttempt(over, False)
        rest.ended = over
        if job_state is None or job_state.closed or index >= job_state.job.tasks:
            rest.forgettable = over
            return
        if over:
            if seen.why == "done" and not job_state.job.service:
                self._result(job_state, index)
            else:
                rest.forgettable = True
            return
        if (
            index not in job_state.live
            and not job_state.is_done(index)
            and not machine.synced
            and job_state.holds(index)
        ):
            # Started by the shard's last shard leader, and still wanted: it goes on under its
            # number.
            del machine.orphaned_attempts[key]
            attempt = Attempt(job_state, index, machine, seen.attempt_number, now)
            attempt.stage = "sent"
            attempt.adopted = seen.stage in ("running", "saving")
            self._enlist(attempt)
            self._progress(attempt, seen, now)

    # For planning

    def used(self, team: str) -> list[float]:
        """CPUs and GPUs of a team's tasks, those counted that only may be there."""
        return self.team_used.get(team, [0.0, 0.0])

    def blocked(self, job_state: JobState, now: int) -> bool:
        """May none of its tasks be started now? Until every machine that might hold a task
        has shown our fencing token, only jobs that no earlier shard leader can have started are
        free."""
        return (
            job_state.closed
            or now < job_state.retry_at
            or (job_state.version <= self.version and bool(self.unsynced))
        )

    def next_attempt_number(self) -> int:
        """A fresh attempt's number, unique without a write."""
        self.attempts_started += 1
        return (self.fencing_token << TOKEN_BITS) | self.attempts_started

    # For the market and the fleet

    def guess_us(self, job_state: JobState) -> int:
        """How long a task of the job will run: as its first ones did; before that by the
        owner's guess and what guesses of its class have been worth. A replica never ends."""
        if job_state.job.service:
            return STANDING_US
        if job_state.ran_count >= 3:
            return max(US, job_state.ran_us // job_state.ran_count)
        return max(US, int(job_state.job.guess_us * self.ratio.get(job_state.job.job_class, 1.0)))
