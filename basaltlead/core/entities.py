"""The mutable state of a shard: attempts, machines and jobs. Times are microseconds.

The three refer to each other: an attempt binds a task of a job to a machine, and both list it.
"""

from basaltlead.core.failure_history import FailureHistory
from basaltlead.core.jobs import MAX_TASKS_PER_MACHINE, US, Job, MachineType, Resources
from basaltlead.core.machine_state import MachineState
from basaltlead.core.machine_usage import MachineUsage
from basaltlead.core.message_order import MessageOrder
from basaltlead.core.orphaned_attempt import OrphanedAttempt
from basaltlead.core.pushed_starts import PushedStarts
from basaltlead.core.task_keys import AttemptKey, TaskKey
from basaltlead.core.task_queue import TaskQueue, TaskRange
from basaltlead.core.task_states import PLANNED, RUNNING
from basaltlead.core.worker_lease import WorkerLease


class Attempt:
    """One execution of a task on a machine, from the decision to start it until it has provably
    left the machine."""

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
        "stops_after_fetch",
    )

    def __init__(
        self, job_state: "JobState", index: int, machine: "Machine", attempt_number: int, now: int
    ) -> None:
        self.job_state = job_state
        self.index = index
        self.machine = machine
        self.attempt_number = attempt_number
        # Created once, since they are looked up for each heartbeat.
        self.key = TaskKey(job_state.job.ref, index)
        self.attempt_key = AttemptKey(job_state.job.ref, index, attempt_number)
        # A TaskState, or the reported value if this version does not know it.
        self.stage: str = PLANNED
        # The seconds that it has to save a checkpoint once it is to stop; None until then.
        self.stop_grace_s: float | None = None
        self.pushed_grace_s: float | None = None  # grace period of the last pushed halt, if any
        # Its gang is to be started anew once this attempt has fetched its image.
        self.stops_after_fetch = False
        # Messages up to this sequence number say nothing about the attempt. It is the number of the
        # heartbeat whose answer carried the start command, or of the worker's answer to the pushed
        # start.
        self.sent_sequence = 0
        self.start_in_flight = False  # a start was pushed and is not answered yet
        # A pushed start was never answered: a copy of it may still arrive at the worker.
        self.start_unacknowledged = False
        self.created_at = now
        self.running_since = 0  # 0: no report has shown it running
        # It was already running when this shard leader learned of it. Its start time is unknown,
        # so its run time must not be used to estimate that of other tasks.
        self.adopted = False
        self.bid = 0.0  # the bid that is booked for it on its machine

    @property
    def may_be_on_machine(self) -> bool:
        """Whether a start command was sent, so that it may be on its machine."""
        return self.stage != PLANNED


class Machine:
    """A rented machine, from the point of view of its shard leader."""

    def __init__(
        self, name: str, machine_type: MachineType, zone: str, spot: bool, now: int
    ) -> None:
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.created_at = now
        self.address = ""

        # The flags and times from which `state` is computed.
        self.up = False  # it has sent a message; stays set if it is lost
        self.synced = False  # a message with our fencing token has arrived in this agent epoch
        self.recorded = False  # recorded in the key-value store, so tasks may be started
        self.lost = False  # its lease has expired since our last answer
        self.faulty = False  # too many jobs failed on it or were too slow on it
        self.terminating = False  # to be returned to the cloud
        self.preemption_at: int | None = None  # when the cloud takes it back
        self.cordoned_until = 0  # nothing is started on it until then
        self.unreachable_since = 0  # since when commands may not reach it; 0: no sign of that

        # Messages.
        self.messages = MessageOrder()
        self.last_heartbeat_at = 0
        self.lease = WorkerLease(now)
        self.recovered_at = 0  # when it last reported again after it had been lost
        self.fencing_token = 0  # the highest that it was sent or has shown; 0: none
        self.push_token = 0  # the highest under which starts may have been pushed to it
        self.push_in_flight = False  # commands were pushed and are not answered yet
        self.push_backoff_until = 0  # no commands are pushed until then
        self.pushed_starts = PushedStarts()

        # Contents.
        self.attempts: dict[TaskKey, Attempt] = {}
        self.orphaned_attempts: dict[AttemptKey, OrphanedAttempt] = {}
        self.images: dict[str, float] = {}  # sizes in GB; the most recently used last
        self.idle_since = now
        # False: fleet sizing placed nothing on it. Tasks are placed on other machines first, so
        # that it can be returned once it is empty.
        self.needed = True
        self.free = Resources.of(machine_type)  # capacity not taken by attempts that are to stay
        self.booked = 0.0  # the sum of the bids of those attempts

        self.usage = MachineUsage()
        self.failed_jobs: set[str] = set()  # jobs that failed here since the last success
        self.straggler_jobs: set[str] = set()  # jobs with a straggling task here

    # State

    def state(self, now: int) -> MachineState:
        """Its state, which tells whether tasks can be started on it and, if not, why."""
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
        """Whether tasks can be started on it, that is, whether it is READY. A single expression,
        since each plan evaluates it for each machine."""
        return (
            self.synced
            and self.recorded
            and not self.lost
            and not self.faulty
            and not self.terminating
            and not self.unreachable_since
            and self.preemption_at is None
            and now >= self.cordoned_until
        )

    @property
    def is_draining(self) -> bool:
        """Whether its tasks are to be moved to other machines: it is faulty or to be preempted."""
        return self.faulty or self.preemption_at is not None

    @property
    def is_leaving(self) -> bool:
        """Whether it will take no task any more: it is lost, to be returned, or draining."""
        return self.lost or self.terminating or self.is_draining

    @property
    def epoch(self) -> int:
        """The latest known agent epoch; 0 before the first message."""
        return self.messages.epoch

    def begin_epoch(self, epoch: int, now: int) -> None:
        """Record the first message of a new agent epoch: the list of its tasks is not known yet."""
        if self.lost:
            self.recovered_at = now
        self.messages.begin_epoch(epoch, now)
        self.lease.begin_epoch(now)
        self.lost = False
        self.synced = False
        self.up = True

    def confirm_synced(self, now: int) -> None:
        """Record a report with our fencing token, whose list of tasks is complete."""
        self.synced = True
        self.up = True
        self.usage.mark_up(now)

    def mark_lost(self) -> None:
        """Record that its lease has expired and its agent epoch is over."""
        self.lost = True
        self.synced = False
        self.messages.end_epoch()
        self.images.clear()

    # Capacity

    def book(self, attempt: Attempt) -> None:
        """Reserve capacity for an attempt. `free` and `booked` are updated incrementally, since
        each plan reads them."""
        attempt.bid = attempt.job_state.bid
        self.free.take(attempt.job_state.job)
        self.booked += attempt.bid

    def unbook(self, attempt: Attempt) -> None:
        """Release the capacity of an attempt that is to stop or has been removed."""
        self.free.take(attempt.job_state.job, -1)
        self.booked -= attempt.bid

    def rebook(self) -> None:
        """Recompute the bookings after bids have changed. Also removes rounding errors."""
        self.free = Resources.of(self.machine_type)
        self.booked = 0.0
        for attempt in self.attempts.values():
            if attempt.stop_grace_s is None:
                self.book(attempt)

    def room(self) -> Resources:
        """The capacity not taken by any attempt that may be there, including those that are to
        stop. What has ended takes a place in the report until the worker has forgotten it."""
        room = Resources.of(self.machine_type)
        room.tasks -= len(self.orphaned_attempts)
        for attempt in self.attempts.values():
            if attempt.may_be_on_machine:
                room.take(attempt.job_state.job)
        return room

    def share(self, job: Job) -> float:
        """The fraction of the machine that a task of the job takes."""
        machine_type = self.machine_type
        return max(
            job.cpus / machine_type.cpus if machine_type.cpus else 0.0,
            job.memory_gb / machine_type.memory_gb if machine_type.memory_gb else 0.0,
            job.gpus / machine_type.gpus if machine_type.gpus else 0.0,
        )

    @property
    def is_full(self) -> bool:
        """Whether it lists as many tasks as its report can hold."""
        return len(self.attempts) + len(self.orphaned_attempts) >= MAX_TASKS_PER_MACHINE

    def has_other_attempt(self, key: TaskKey) -> bool:
        """Whether an orphaned attempt of the task may still run there.

        Those that have ended don't count, even if their start command may arrive again: the worker
        rejects a start of an attempt that it still lists.
        """
        return any(
            known[:2] == key and not orphan.ended
            for known, orphan in self.orphaned_attempts.items()
        )

    def cache_image(self, image: str, size_gb: float) -> None:
        """Mark an image as the most recently used, and evict images as the worker's cache does."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        while sum(self.images.values()) > self.machine_type.cache_gb and len(self.images) > 1:
            del self.images[next(iter(self.images))]

    def add_usage(self, attempt: Attempt, now: int) -> None:
        """Add the run time of a removed attempt to the usage figures."""
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
    """An open job, from the point of view of its shard leader."""

    def __init__(self, job: Job, version: int, now: int, age_us: int) -> None:
        self.job = job
        self.version = version  # of its record in the key-value store
        self.submitted_at = now - age_us
        self.started_at = 0  # when its first task ran
        # When it was submitted, or a task of it was last bound to a machine or left one.
        self.progressed_at = self.submitted_at
        # Since when no plan has found a machine for it although it may start; 0: one did.
        self.unplaced_since = 0
        self.closed = False  # cancelled or completed: nothing may start

        # Results: a bit per completed task, and the same for those that this shard recorded.
        self.done = bytearray((job.tasks + 7) // 8)
        self.own_done = bytearray(len(self.done))
        self.done_count = 0
        self.unstored: set[int] = set()  # own results that are not in the key-value store yet

        # Attempts.
        self.queue = TaskQueue(job.tasks)
        self.queue_done_count = 0  # tasks of the queue that are done
        self.live: dict[int, Attempt] = {}  # by task; every task that is bound to a machine
        self.live_unfinished_count = 0  # bound tasks without a result from this or another shard
        self.failure_history = FailureHistory()
        self.retry_at = 0  # nothing is started until then

        # The market.
        self.bid = 0.0
        self.slots: int | None = None  # allotted by the auction; None before its first round
        self.need: int | None = None  # tasks that should run now to be on time; None: not known yet
        # Whether it has a deadline or an objective of its class, even if missed; always True for
        # gangs and services.
        self.has_objective = True
        self.finished_recent = 0  # tasks that completed since the last round
        self.ran_us = 0  # total run time of the completed tasks counted in ran_count
        self.ran_count = 0
        self.rate = 0.0  # tasks finished per second or, for a service, running replicas; smoothed

    # Results

    def is_done(self, index: int) -> bool:
        """Whether the task has completed."""
        return bool(self.done[index >> 3] >> (index & 7) & 1)

    def record_result(self, index: int, is_own: bool) -> bool:
        """Record a result, `is_own` if this shard produced it. Returns whether it is new."""
        if index >= self.job.tasks:
            return False
        bit = 1 << (index & 7)
        if is_own:
            self.own_done[index >> 3] |= bit
        if self.is_done(index):
            return False
        self.done[index >> 3] |= bit
        self.done_count += 1
        self.live_unfinished_count -= index in self.live
        self.queue_done_count += self.queue.contains(index)
        return True

    def finish(self, index: int) -> None:
        """Record that a task has completed on a machine of this shard."""
        if self.record_result(index, is_own=True):
            self.finished_recent += 1
            self.unstored.add(index)

    @property
    def complete(self) -> bool:
        """Whether all tasks have completed."""
        return self.done_count >= self.job.tasks

    @property
    def proven(self) -> bool:
        """Whether it is known to be able to run: a task completed, or a replica ran for long."""
        return bool(self.done_count) or self.failure_history.replica_ran_long

    # The tasks of this shard

    def assign(self, ranges: list[TaskRange]) -> None:
        """Replace the ranges of tasks that this shard starts."""
        self.queue.assign(ranges)
        self.queue_done_count = sum(
            1 for low, high in ranges for index in range(low, high) if self.is_done(index)
        )

    def rewind(self) -> None:
        """Consider all tasks again, from the first one, when the next ones are started."""
        self.queue.rewind()

    def next_index(self) -> int | None:
        """Remove and return the task to start next; None if there is none."""
        return self.queue.next(self.live, self.is_done)

    def unstarted_tail(self) -> TaskRange | None:
        """The later half of the last range's untaken tasks, for another shard to start; None if any
        of that half has an attempt or an unstored result here, or was put back."""
        return self.queue.unstarted_tail((*self.live, *self.unstored))

    @property
    def remaining(self) -> int:
        """The number of tasks of this shard that are not done."""
        return self.queue.size - self.queue_done_count

    @property
    def waiting(self) -> int:
        """The number of tasks of this shard that are neither done nor bound to a machine."""
        return self.queue.size - self.queue_done_count - self.live_unfinished_count

    # Attempts

    def bind(self, attempt: Attempt) -> None:
        """Add the attempt that binds a task to a machine."""
        self.live[attempt.index] = attempt
        self.live_unfinished_count += not self.is_done(attempt.index)

    def unbind(self, attempt: Attempt) -> bool:
        """Remove the live attempt of a task; False if it was removed before, whether or not its
        task has another one by now."""
        if self.live.get(attempt.index) is not attempt:
            return False
        del self.live[attempt.index]
        self.live_unfinished_count -= not self.is_done(attempt.index)
        return True

    @property
    def running(self) -> int:
        """The number of tasks that are running."""
        return sum(1 for attempt in self.live.values() if attempt.stage == RUNNING)
