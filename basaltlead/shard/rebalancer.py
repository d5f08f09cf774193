"""Tracks which tasks are assigned to this shard, and hands waiting tasks to other shards."""

import asyncio

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import Load, Versioned, load_key
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US
from basaltlead.core.task_queue import TaskRange
from basaltlead.core.teams import TeamQuota
from basaltlead.errors import PreconditionFailed, ServiceError, TransactionTooLarge
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.shard.results import attempt_write
from basaltlead.storage.client import RowList
from basaltlead.storage.records import ASSIGNMENT, OPEN, AssignedRange, TaskAssignment
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change, Precondition, Put

MIN_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 1_000_000


class Rebalancer:
    """Watches the assignments of jobs, and moves waiting tasks to shards with free machines."""

    def __init__(self, context: ShardContext, round_us: int) -> None:
        self.context = context
        self.shard = context.shard
        self._interval_s = round_us / US / 2
        self._assignments: dict[str, Versioned[TaskAssignment]] = {}
        self._watch_from = 0
        self._handing_over: set[str] = set()  # jobs of which tasks are being handed over

    def ranges_of(self, ref: str) -> list[TaskRange]:
        """The job's tasks that are assigned to this shard."""
        known = self._assignments.get(ref)
        return known.value.ranges_of(self.context.number) if known is not None else []

    def load(self, listing: RowList) -> None:
        """Apply the stored assignments, which are to be watched from the revision of the
        listing."""
        self._watch_from = listing.revision
        self._apply_listing(listing)

    async def follow(self) -> None:
        """Watch which tasks are assigned to this shard; never returns."""
        watch_timeout_ms = self.context.membership.watch_timeout_ms
        watch = KeyWatch(self.context.store.client, ASSIGNMENT, watch_timeout_ms, self._watch_from)
        await watch.run(self._apply_listing, self._apply)

    def _apply_listing(self, listing: RowList) -> None:
        for row in listing.rows:
            self._apply_row(row.key, row.value, row.version)

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self._apply_row(change.put, change.value, change.version)
        elif change.drop is not None:
            self._assignments.pop(change.drop[len(ASSIGNMENT) :], None)

    def _apply_row(self, key: str, raw: msgspec.Raw, version: int) -> None:
        ref = key[len(ASSIGNMENT) :]
        known = self._assignments.get(ref)
        if known is not None and known.version > version:
            return  # outdated: this shard leader has changed the assignment since
        assignment = msgspec.json.decode(raw, type=TaskAssignment)
        self._assignments[ref] = Versioned(assignment, version)
        if ref not in self._handing_over:
            self._assign(ref)

    def _assign(self, ref: str) -> None:
        """Have this shard start the tasks that the newest known assignment gives it."""
        job_state = self.shard.job_states.get(ref)
        if job_state is not None:
            job_state.assign(self.ranges_of(ref))
            self.shard.request_plan()
            self.context.wake.set()

    async def _hand_over(self, job_state: JobState, target: int) -> None:
        """Hand the later half of the last range's untaken tasks of a job to another shard (see
        `JobState.unstarted_tail`).

        This shard stops starting them before the request is sent, and until the record of the
        assignment has changed. An unanswered request may still be executed later, so it is repeated
        until it was executed, or until the record has changed, so that it can't be executed any
        more.
        """
        ref = job_state.job.ref
        tail = job_state.unstarted_tail()
        known = self._assignments.get(ref)
        if tail is None or known is None or ref in self._handing_over:
            return
        if self.shard.unsynced or self._has_orphaned_attempts(ref):
            return  # an earlier shard leader may have started some of the tasks
        changed = self._split(known.value, tail, target)
        self._handing_over.add(ref)
        job_state.assign(changed.ranges_of(self.context.number))
        preconditions = [
            # Read once, since a retry in a new session must fail.
            *self.context.lease.preconditions(),
            Precondition(OPEN + ref, job_state.version),
            Precondition(ASSIGNMENT + ref, known.version),
        ]
        try:
            await self._record(ref, changed, preconditions)
            await self._read_outcome(ref)
        finally:
            self._handing_over.discard(ref)
        self._assign(ref)

    def _has_orphaned_attempts(self, ref: str) -> bool:
        return any(
            key[0] == ref
            for machine in self.shard.machines.values()
            for key in machine.orphaned_attempts
        )

    def _split(self, assignment: TaskAssignment, tail: TaskRange, target: int) -> TaskAssignment:
        """The assignment with the tasks of `tail` moved to shard `target`."""
        low, high = tail
        parts: list[AssignedRange] = []
        for part in assignment.parts:
            if part.shard != self.context.number or not part.first <= low < part.end:
                parts.append(part)
                continue
            if part.first < low:
                parts.append(AssignedRange(part.first, low, part.shard))
            parts.append(AssignedRange(low, high, target))
            if high < part.end:
                parts.append(AssignedRange(high, part.end, part.shard))
        return TaskAssignment(parts)

    async def _record(
        self, ref: str, changed: TaskAssignment, preconditions: list[Precondition]
    ) -> None:
        """Retry writing the new assignment until it is certain whether it was written."""
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, self.context.membership.rng)
        store, key = self.context.store.client, ASSIGNMENT + ref
        while not self.context.lease.stepped_down:
            try:
                version = await store.compare_and_swap(preconditions, [Put(key, changed)])
            except PreconditionFailed as conflict:
                if key in conflict.failed or OPEN + ref in conflict.failed:
                    return  # the record has changed: the watch reports it
                await backoff.wait()
            except TransactionTooLarge:
                return  # it can never be written: `_hand_over` takes the tasks back
            except ServiceError:
                await backoff.wait()
            else:
                self._assignments[ref] = Versioned(changed, version)
                log.info("tasks of job %s reassigned: %s", ref, changed.parts)
                return

    async def _read_outcome(self, ref: str) -> None:
        """Retry reading the assignment of a job until that succeeds.

        Changes that the watch reports are not applied to the job while its tasks are handed over.
        If the last of them has come by then, only this read tells which tasks this shard starts
        (test_tasks_of_a_refused_hand_over_are_taken_back_although_the_first_read_fails).
        """
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, self.context.membership.rng)
        while not self.context.lease.stepped_down:
            try:
                row = await self.context.store.get(ASSIGNMENT + ref)
            except ServiceError:
                await backoff.wait()
                continue
            if row is not None:  # else the job has ended
                self._apply_row(row.key, row.value, row.version)
            return

    async def balance(self) -> None:
        """Publish the load of this shard twice a market round. If its waiting tasks need more CPUs
        than are free, hand some of them, all of one job, to the shard with the most free CPUs among
        those without waiting tasks."""
        while True:
            await asyncio.sleep(self._interval_s)
            if self.context.lease.holds_valid_lease:
                await self._balance_once()

    async def _balance_once(self) -> None:
        # Tasks of a team with a quota stay on one shard, where they are counted together.
        movable = [
            job_state
            for job_state in self.shard.job_states.values()
            if not job_state.closed
            and not job_state.job.single_shard
            and not self._is_limited(job_state.job.team)
        ]
        waiting = sum(job_state.waiting * job_state.job.cpus for job_state in movable)
        free = sum(
            max(0.0, machine.free.cpus)
            for machine in self.shard.machines.values()
            if machine.usable(now_us())
        )
        load = Load(round(waiting, 1), round(free, 1))
        await attempt_write(self.context.store.put({load_key(self.context.number): load}))
        idle_shards = {
            number: other
            for number, other in self.context.membership.cluster.loads.items()
            if number != self.context.number and other.waiting == 0 and other.free > 0
        }
        if waiting > free and idle_shards and movable:
            target = max(idle_shards, key=lambda number: idle_shards[number].free)
            largest = max(movable, key=lambda job_state: job_state.waiting * job_state.job.cpus)
            await self._hand_over(largest, target)

    def _is_limited(self, team: str) -> bool:
        return self.shard.teams.get(team, TeamQuota()).is_limited
