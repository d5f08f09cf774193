"""What changes while the scheduler runs: attempts, machines, jobs. Times are microseconds."""

from basaltlead.core.jobs import Job, MachineType, Resources

MAX_TASKS_PER_MACHINE = 400  # on one machine


class Attempt:
    """One start of one task on one machine, from the decision until it is provably gone."""

    __slots__ = (
        "adopted",
        "attempt_number",
        "bid",
        "created_at",
        "index",
        "job_state",
        "machine",
        "pushed_grace_s",
        "running_since",
        "sent_sequence",
        "stage",
        "start_in_flight",
        "start_unacknowledged",
        "stop_grace_s",
    )

    def __init__(
        self, job_state: "JobState", index: int, machine: "Machine", attempt_number: int, now: int
    ) -> None:
        self.job_state = job_state
        self.index = index
        self.machine = machine
        self.attempt_number = attempt_number
        self.stage = "planned"  # planned, sent, then what the worker reports
        self.stop_grace_s: float | None = None  # not None: it is to stop
        self.pushed_grace_s: float | None = None  # the grace it was told directly
        # Reports up to this one say nothing about it: the answer to this one carried the order,
        # or this one is the worker's answer to a direct order.
        self.sent_sequence = 0
        self.start_in_flight = False  # a direct order is unanswered so far
        self.start_unacknowledged = (
            False  # a direct order was never answered: a copy may still arrive
        )
        self.created_at = now
        self.running_since = 0
        # It was running when this shard leader first heard of it: since when is not known, and its
        # run time teaches nothing.
        self.adopted = False
        self.bid = 0.0  # what is booked for it on its machine

    @property
    def key(self) -> tuple[str, int]:
        return (self.job_state.job.ref, self.index)

    @property
    def may_be_on_machine(self) -> bool:
        """May it be on its machine?"""
        return self.stage != "planned"


class OrphanedAttempt:
    """An attempt that is over, or that nobody wants, still listed by its worker."""

    __slots__ = ("ended", "forgettable", "start_unacknowledged")

    def __init__(self, ended: bool, forgettable: bool, start_unacknowledged: bool = False) -> None:
        self.ended = ended
        self.forgettable = forgettable
        self.start_unacknowledged = start_unacknowledged


class Machine:
    """A rented machine as its shard leader sees it."""

    def __init__(
        self, name: str, machine_type: MachineType, zone: str, spot: bool, now: int
    ) -> None:
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = ""
        self.epoch = 0
        self.sequence = 0  # of the newest message
        self.heartbeat_sequence = 0  # of the newest report
        self.min_epoch = 0  # older sessions are over
        self.synced = False  # has shown that it knows our fencing token
        self.unsynced_since = (
            0  # since when we have answered it without its showing our fencing token
        )
        self.epoch_started_at = 0  # the first report of its session
        self.unreachable_since = 0  # since when there is doubt whether our orders reach it; 0: none
        self.back_at = 0  # when it was last heard again after it had been lost
        self.recorded = False  # stands in the key-value store: tasks may be started
        self.up = False
        self.lost = False
        self.draining = False
        self.terminating = False
        self.made_at = now
        self.heard_at = 0
        self.answered_at = now
        self.preemption_at: int | None = None
        self.idle_since = now
        self.cordoned_until = 0
        self.push_backoff_until = 0  # no direct orders until then
        self.up_at = 0
        self.useful = 0.0  # share-seconds of tasks that completed here, and of those that did not
        self.wasted = 0.0
        self.fetched = 0.0  # the same for tasks between their start and their first run
        self.failed_jobs: set[str] = set()  # jobs that failed here since the last success
        self.straggler_jobs: set[str] = set()  # jobs of which a task took far too long here
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.orphaned_attempts: dict[tuple[str, int, int], OrphanedAttempt] = {}
        self.images: dict[str, float] = {}
        self.needed = True  # the fleet needs it: one it does not need is left to empty
        # Kept up to date with each attempt, since plans ask for them for hundreds of machines:
        # what is free beside the attempts that stay, and the sum of the bids of those.
        self.free = Resources.of(machine_type)
        self.booked = 0.0

    def usable(self, now: int) -> bool:
        return (
            self.synced
            and self.recorded
            and not self.lost
            and not self.draining
            and not self.terminating
            and not self.unreachable_since
            and self.preemption_at is None
            and now >= self.cordoned_until
        )

    def book(self, attempt: Attempt) -> None:
        """Give an attempt its place."""
        attempt.bid = attempt.job_state.bid
        self.free.take(attempt.job_state.job)
        self.booked += attempt.bid

    def unbook(self, attempt: Attempt) -> None:
        """It is to stop, or gone."""
        self.free.take(attempt.job_state.job, -1)
        self.booked -= attempt.bid

    def rebook(self) -> None:
        """Book anew, after bids have moved. Also takes out what rounding has left behind."""
        self.free = Resources.of(self.machine_type)
        self.booked = 0.0
        for attempt in self.attempts.values():
            if attempt.stop_grace_s is None:
                self.book(attempt)

    def room(self) -> Resources:
        """What is free beside all that may be there, commands apart."""
        room = Resources.of(self.machine_type)
        for attempt in self.attempts.values():
            if attempt.may_be_on_machine:
                room.take(attempt.job_state.job)
        return room

    def share(self, job: Job) -> float:
        """The part of the machine that a task takes."""
        machine_type = self.machine_type
        return max(
            job.cpus / machine_type.cpus if machine_type.cpus else 0.0,
            job.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
            job.gpus / machine_type.gpus if machine_type.gpus else 0.0,
        )

    @property
    def is_full(self) -> bool:
        """A worker's report must fit into 64 KiB, and so must the tasks that it lists."""
        return len(self.attempts) + len(self.orphaned_attempts) >= MAX_TASKS_PER_MACHINE

    def busy_with(self, key: tuple[str, int]) -> bool:
        """Is another attempt of the task still there? One that has ended does not count, not
        even one whose order may arrive again: the worker knows its number while it lists it."""
        return any(
            known[:2] == key and not rest.ended for known, rest in self.orphaned_attempts.items()
        )

    def keep_image(self, image: str, size_gb: float) -> None:
        """Note an image as the most recently used, as the worker's cache does."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        while sum(self.images.values()) > self.machine_type.cache_gb and len(self.images) > 1:
            del self.images[next(iter(self.images))]


class JobState:
    """An open job as its shard leader sees it."""

    def __init__(self, job: Job, version: int, now: int, age_us: int) -> None:
        self.job = job
        self.version = version
        self.submitted_at = now - age_us
        self.done = bytearray((job.tasks + 7) // 8)
        self.done_count = 0
        self.own = bytearray(len(self.done))  # of these, results that this shard recorded
        # The tasks that are leased to this shard, as ranges; all of them if there is but one.
        self.ranges: list[tuple[int, int]] = [(0, job.tasks)]
        self.size = job.tasks
        self.part_done = 0  # how many of them are done
        self.unstored: set[int] = set()
        self.fresh = (0, 0)  # the range, and the task in it, from which none was looked at
        self.again: list[int] = []
        self.live: dict[int, Attempt] = {}
        self.live_open = 0  # of these, tasks that are not done
        self.started_at = 0
        self.closed = False  # cancelled or over: nothing may start
        self.retry_at = 0
        self.failures = 0
        self.trials = 0  # failures on other machines, or on the same one after a while
        self.lasted = False  # has a replica of it run for long?
        self.given_up = 0  # how often a task was taken off a machine for being slow
        self.failed_on: dict[str, int] = {}  # machines to keep it off, until when
        self.bid = 0.0
        self.slots: int | None = None  # what the auction gave it; None before its first round
        self.need: int | None = None  # what must run now for it to be done in time
        # Has it a deadline or a promise of its class, even if it is late by now? Arrays only.
        self.has_objective = True
        self.finished_recent = 0
        self.ran_us = 0  # run time of its tasks that completed, and how many those were
        self.ran_count = 0
        self.rate = 0.0

    def is_done(self, index: int) -> bool:
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def holds(self, index: int) -> bool:
        return any(low <= index < high for low, high in self.ranges)

    def note(self, index: int, own: bool) -> bool:
        """Take in a result, ours or one that another shard recorded; True if it is news."""
        if index >= self.job.tasks:
            return False
        bit = 1 << (index & 7)
        if own:
            self.own[index >> 3] |= bit
        if self.is_done(index):
            return False
        self.done[index >> 3] |= bit
        self.done_count += 1
        self.live_open -= index in self.live
        self.part_done += self.holds(index)
        return True

    def finish(self, index: int) -> None:
        """A task of ours has completed."""
        if self.note(index, own=True):
            self.finished_recent += 1
            self.unstored.add(index)

    def assign(self, ranges: list[tuple[int, int]]) -> None:
        """From now on these tasks are this shard's to start."""
        self.ranges = ranges
        self.size = sum(high - low for low, high in ranges)
        self.part_done = sum(
            1 for low, high in ranges for index in range(low, high) if self.is_done(index)
        )
        self.fresh = (0, 0)
        self.again.clear()

    def rewind(self) -> None:
        """Look at all tasks again."""
        self.fresh = (0, 0)
        self.again.clear()

    def bind(self, attempt: Attempt) -> None:
        self.live[attempt.index] = attempt
        self.live_open += not self.is_done(attempt.index)

    def unbind(self, index: int) -> bool:
        """False if it was not bound."""
        if self.live.pop(index, None) is None:
            return False
        self.live_open -= not self.is_done(index)
        return True

    @property
    def complete(self) -> bool:
        return self.done_count >= self.job.tasks

    @property
    def proven(self) -> bool:
        """Has it shown that it can run?"""
        return bool(self.done_count) or self.lasted

    @property
    def remaining(self) -> int:
        """Tasks of this shard's ranges that are not done."""
        return self.size - self.part_done

    @property
    def waiting(self) -> int:
        """Tasks neither done nor on a machine nor bound to one."""
        return self.remaining - self.live_open

    @property
    def running(self) -> int:
        return sum(1 for attempt in self.live.values() if attempt.stage == "running")

    def next_index(self) -> int | None:
        """A task to start next; repeated ones first."""
        while self.again:
            index = self.again.pop()
            if index not in self.live and not self.is_done(index) and self.holds(index):
                return index
        part, at = self.fresh
        while part < len(self.ranges):
            low, high = self.ranges[part]
            for index in range(max(low, at), high):
                if index not in self.live and not self.is_done(index):
                    self.fresh = (part, index + 1)
                    return index
            part, at = part + 1, 0
        self.fresh = (part, at)
        return None

    def spare_tail(self) -> tuple[int, int] | None:
        """The later half of the last range, as far as no task of it was ever looked at here."""
        if not self.ranges or self.fresh[0] >= len(self.ranges):
            return None
        low, high = self.ranges[-1]
        if self.fresh[0] == len(self.ranges) - 1:
            low = max(low, self.fresh[1])
        middle = (low + high + 1) // 2
        clear = not any(middle <= i < high for i in (*self.live, *self.unstored, *self.again))
        return (middle, high) if middle < high and clear else None
