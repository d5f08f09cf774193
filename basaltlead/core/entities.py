"""What changes while a shard is led: attempts, machines and jobs. Times are microseconds.

The three refer to each other: an attempt binds a task of a job to a machine, and both list it.
"""

from basaltlead.core.failure_history import FailureHistory
from basaltlead.core.jobs import US, Job, MachineType, Resources
from basaltlead.core.machine_state import MachineState
from basaltlead.core.machine_usage import MachineUsage
from basaltlead.core.message_order import MessageOrder
from basaltlead.core.task_keys import AttemptKey, TaskKey
from basaltlead.core.task_queue import TaskQueue, TaskRange
from basaltlead.core.task_states import PLANNED, RUNNING
from basaltlead.core.worker_lease import WorkerLease

# A worker's report must fit into 64 KiB, and so must the tasks that it lists.
MAX_TASKS_PER_MACHINE = 400


class Attempt:
    """One start of one task on one machine, from the decision until it is provably gone."""

    __slots__ = (
        "adopted",
        "attempt_key",
        "attempt_number",
        "bid",
        "created_at",
        "index",
        "job_state",
        "key",
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
        # Looked up for each heartbeat, so they are made once.
        self.key = TaskKey(job_state.job.ref, index)
        self.attempt_key = AttemptKey(job_state.job.ref, index, attempt_number)
        # A TaskState, or the word that the worker reports if this version does not know it.
        self.stage: str = PLANNED
        # Not None: it is to stop, and may take so many seconds to save a checkpoint.
        self.stop_grace_s: float | None = None
        self.pushed_grace_s: float | None = None  # the grace of the halt that was pushed
        # Heartbeats up to this one say nothing about it: the answer to this one carried the start
        # command, or this one is the worker's answer to a pushed start.
        self.sent_sequence = 0
        self.start_in_flight = False  # a start was pushed and is not answered so far
        # A pushed start was never answered: a copy of it may still arrive at the worker.
        self.start_unacknowledged = False
        self.created_at = now
        self.running_since = 0  # 0: no report said that it runs
        # It was running when this shard leader first heard of it: since when is not known, and its
        # run time says nothing about that of others.
        self.adopted = False
        self.bid = 0.0  # what is booked for it on its machine

    @property
    def may_be_on_machine(self) -> bool:
        """Was a start command sent, so that it may be on its machine?"""
        return self.stage != PLANNED


class OrphanedAttempt:
    """An attempt that is over, or that nobody wants, still listed by its worker."""

    __slots__ = ("ended", "forgettable", "start_unacknowledged")

    def __init__(self, ended: bool, forgettable: bool, start_unacknowledged: bool = False) -> None:
        self.ended = ended
        self.forgettable = forgettable  # its end means nothing that must be stored first
        # A start command may still arrive. The worker must go on listing the attempt: it refuses
        # a start of an attempt that it knows, and would execute one that it has forgotten.
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
        self.made_at = now
        self.address = ""

        # The facts that `state` is computed from.
        self.up = False  # it has been heard
        self.synced = False  # has shown our fencing token in this agent epoch
        self.recorded = False  # stands in the key-value store: tasks may be started
        self.lost = False  # its lease has expired without an answer of ours
        self.draining = False  # taken to be faulty or slow
        self.terminating = False  # to be returned to the cloud
        self.preemption_at: int | None = None  # when the cloud takes it back
        self.cordoned_until = 0  # nothing is started on it until then
        self.unreachable_since = 0  # since when our commands may not reach it; 0: no doubt

        # When it was heard, and answered.
        self.messages = MessageOrder()
        self.heard_at = 0
        self.lease = WorkerLease(now)
        self.back_at = 0  # when it was last heard again after it had been lost
        self.push_backoff_until = 0  # no commands are pushed until then

        # What is on it.
        self.attempts: dict[TaskKey, Attempt] = {}
        self.orphaned_attempts: dict[AttemptKey, OrphanedAttempt] = {}
        self.images: dict[str, float] = {}  # sizes in GB; the most recently used last
        self.idle_since = now
        self.needed = True  # the fleet needs it: one it does not need is left to empty
        self.free = Resources.of(machine_type)  # what the attempts that stay leave; see book
        self.booked = 0.0  # the sum of the bids of those

        self.usage = MachineUsage()
        self.failed_jobs: set[str] = set()  # jobs that failed here since the last success
        self.straggler_jobs: set[str] = set()  # jobs of which a task took far too long here

    # State

    def state(self, now: int) -> MachineState:
        """Whether it takes tasks, and if not, why: see `MachineState` for the transitions."""
        if self.usable(now):
            return MachineState.READY
        if self.terminating:
            return MachineState.TERMINATING
        if self.lost:
            return MachineState.LOST
        if self.is_draining:
            return MachineState.DRAINING
        if not (self.synced and self.recorded):
            return MachineState.SYNCING if self.up or self.recorded else MachineState.PROVISIONING
        return MachineState.CORDONED

    def usable(self, now: int) -> bool:
        """May a task be started there, that is, is it READY? Asked of each machine in each plan,
        so it is one expression."""
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

    @property
    def is_draining(self) -> bool:
        """Is work to be moved off it?"""
        return self.draining or self.preemption_at is not None

    @property
    def epoch(self) -> int:
        """The agent epoch in which it was last heard; 0: it was never heard."""
        return self.messages.epoch

    def begin_epoch(self, epoch: int, now: int) -> None:
        """Its agent is heard in a new epoch: what is on it must be shown anew."""
        if self.lost:
            self.back_at = now
        self.messages.begin(epoch, now)
        self.lease.begin_epoch(now)
        self.lost = False
        self.synced = False
        self.up = True

    def confirm_synced(self, now: int) -> None:
        """It has shown our fencing token, and so all that is on it."""
        self.synced = True
        self.up = True
        self.usage.begin(now)

    def lose(self) -> None:
        """Its lease has expired, and with it its agent epoch."""
        self.lost = True
        self.synced = False
        self.messages.end()
        self.images.clear()

    # Room

    def book(self, attempt: Attempt) -> None:
        """Take the attempt's room. What is free and booked is kept up to date with each attempt,
        since each plan asks for it."""
        attempt.bid = attempt.job_state.bid
        self.free.take(attempt.job_state.job)
        self.booked += attempt.bid

    def unbook(self, attempt: Attempt) -> None:
        """Give the room of an attempt back that is to stop, or gone."""
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
        """What all attempts that may be there leave free, also those that are to stop."""
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
        """Does it list as many tasks as its report may hold?"""
        return len(self.attempts) + len(self.orphaned_attempts) >= MAX_TASKS_PER_MACHINE

    def busy_with(self, key: TaskKey) -> bool:
        """Is another attempt of the task still there? One that has ended does not count, not even
        one whose start command may arrive again: the worker knows its number while it lists it."""
        return any(
            known[:2] == key and not orphan.ended
            for known, orphan in self.orphaned_attempts.items()
        )

    def keep_image(self, image: str, size_gb: float) -> None:
        """Note an image as the most recently used, as the worker's cache does."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        while sum(self.images.values()) > self.machine_type.cache_gb and len(self.images) > 1:
            del self.images[next(iter(self.images))]

    def add_usage(self, attempt: Attempt, now: int) -> None:
        """Count the time of an attempt that is gone."""
        if not attempt.running_since:
            return
        job_state = attempt.job_state
        spent_s = self.share(job_state.job) * (now - attempt.running_since) / US
        is_useful = (
            job_state.is_done(attempt.index)
            or job_state.job.checkpoint_interval_us > 0
            or job_state.job.service
        )
        self.usage.add_run(spent_s, is_useful)


class JobState:
    """An open job as its shard leader sees it."""

    def __init__(self, job: Job, version: int, now: int, age_us: int) -> None:
        self.job = job
        self.version = version  # of its record in the key-value store
        self.submitted_at = now - age_us
        self.started_at = 0  # when its first task ran
        self.closed = False  # cancelled or over: nothing may start

        # Results, as bits by task, and those of them that this shard recorded.
        self.done = bytearray((job.tasks + 7) // 8)
        self.own = bytearray(len(self.done))
        self.done_count = 0
        self.unstored: set[int] = set()  # of our own, those not in the key-value store so far

        # Attempts.
        self.queue = TaskQueue(job.tasks)
        self.queue_done = 0  # tasks of the queue that are done
        self.live: dict[int, Attempt] = {}
        self.live_open = 0  # of these, tasks that are not done
        self.history = FailureHistory()
        self.retry_at = 0  # nothing is started until then

        # The market.
        self.bid = 0.0
        self.slots: int | None = None  # what the auction gave it; None before its first round
        self.need: int | None = None  # what must run now for it to be done in time
        # Has it a deadline or an objective of its class, even if it is late by now? Arrays only.
        self.has_objective = True
        self.finished_recent = 0  # tasks that completed since the last round
        self.ran_us = 0  # run time of its tasks that completed, and how many those were
        self.ran_count = 0
        self.rate = 0.0  # measured, in tasks a second; of a service, how many replicas run

    # Results

    def is_done(self, index: int) -> bool:
        """Has the task completed?"""
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def note(self, index: int, own: bool) -> bool:
        """Take in a result, ours or one that another shard recorded; True if it is new."""
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
        self.queue_done += self.queue.contains(index)
        return True

    def finish(self, index: int) -> None:
        """Take in that a task has completed on a machine of this shard."""
        if self.note(index, own=True):
            self.finished_recent += 1
            self.unstored.add(index)

    @property
    def complete(self) -> bool:
        """Have all tasks completed?"""
        return self.done_count >= self.job.tasks

    @property
    def proven(self) -> bool:
        """Has it shown that it can run?"""
        return bool(self.done_count) or self.history.lasted

    # The tasks of this shard

    def assign(self, ranges: list[TaskRange]) -> None:
        """From now on these tasks are this shard's to start."""
        self.queue.assign(ranges)
        self.queue_done = sum(
            1 for low, high in ranges for index in range(low, high) if self.is_done(index)
        )

    def rewind(self) -> None:
        """Pass all tasks anew when the next ones are started."""
        self.queue.rewind()

    def next_index(self) -> int | None:
        """Take the task to start next; None if there is none."""
        return self.queue.next(self.live, self.is_done)

    def spare_tail(self) -> TaskRange | None:
        """Tasks that another shard may start instead: the later half of the last range, if none
        of it was ever started here."""
        return self.queue.unstarted_tail((*self.live, *self.unstored))

    @property
    def remaining(self) -> int:
        """Tasks of this shard that are not done."""
        return self.queue.size - self.queue_done

    @property
    def waiting(self) -> int:
        """Tasks of this shard that are neither done nor bound to a machine."""
        return self.queue.size - self.queue_done - self.live_open

    # Attempts

    def bind(self, attempt: Attempt) -> None:
        """The task is bound to a machine."""
        self.live[attempt.index] = attempt
        self.live_open += not self.is_done(attempt.index)

    def unbind(self, index: int) -> bool:
        """The task is bound no more; False if it was not bound."""
        if self.live.pop(index, None) is None:
            return False
        self.live_open -= not self.is_done(index)
        return True

    @property
    def running(self) -> int:
        """How many of its tasks run."""
        return sum(1 for attempt in self.live.values() if attempt.stage == RUNNING)
