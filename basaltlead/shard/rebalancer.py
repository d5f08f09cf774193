"""Several shards: which of the jobs' tasks are this shard's to start, and handing some over."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import Load, load_key
from basaltlead.core.entities import US, JobState
from basaltlead.core.shard_state import TeamQuota
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    ServiceError,
    SessionLeaseExpired,
    TransactionTooLarge,
    Unavailable,
)
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import ASSIGNMENT, OPEN, TaskAssignment
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change, Precondition, Put, Row

if TYPE_CHECKING:
    from basaltlead.shard.leader import ShardLeader


class Rebalancer:
    """Runs beside an Owner and ends with it."""

    def __init__(self, shard_leader: "ShardLeader") -> None:
        self.shard_leader = shard_leader
        self.assignments: dict[str, tuple[TaskAssignment, int]] = {}
        self.since = 0
        self.giving: set[str] = set()  # jobs of which we are handing tasks over

    def ranges_of(self, ref: str) -> list[tuple[int, int]]:
        """The job's tasks that are leased to this shard."""
        return (
            self.assignments[ref][0].ranges_of(self.shard_leader.number)
            if ref in self.assignments
            else []
        )

    def take(self, key: str, raw: msgspec.Raw, version: int) -> None:
        ref = key[len(ASSIGNMENT) :]
        known = self.assignments.get(ref)
        if known is not None and known[1] > version:
            return  # told late: we have changed it ourselves meanwhile
        assignment = msgspec.json.decode(raw, type=TaskAssignment)
        self.assignments[ref] = (assignment, version)
        job_state = self.shard_leader.shard.job_states.get(ref)
        if job_state is not None and ref not in self.giving:
            job_state.assign(assignment.ranges_of(self.shard_leader.number))
            self.shard_leader.shard.dirty = True
            self.shard_leader.wake.set()

    async def watch(self) -> None:
        """Follow which of the jobs' tasks are ours to start."""
        store, watch_ms = self.shard_leader.store, self.shard_leader.membership.watch_ms
        await KeyWatch(store, ASSIGNMENT, watch_ms, self.since).run(self.load, self._change)

    def load(self, rows: list[Row]) -> None:
        for row in rows:
            self.take(row.key, row.value, row.version)

    def _change(self, change: Change) -> None:
        if change.put is not None:
            self.take(change.put, change.value, change.version)
        elif change.drop is not None:
            self.assignments.pop(change.drop[len(ASSIGNMENT) :], None)

    async def give(self, job_state: JobState, to: int) -> None:
        """Hand the later half of a job's unstarted tasks to another shard.

        We stop regarding them as ours before we ask, and until the lease's record has changed:
        a request that went unanswered may still be executed later, so it is repeated until it
        either was, or can't be any more since the record is a newer one.
        """
        ref = job_state.job.ref
        tail = job_state.spare_tail()
        known = self.assignments.get(ref)
        unsure = any(
            key[0] == ref
            for m in self.shard_leader.shard.machines.values()
            for key in m.orphaned_attempts
        )
        if (
            tail is None
            or known is None
            or ref in self.giving
            or self.shard_leader.shard.unsynced
            or unsure
        ):
            return
        assignment, version = known
        given = self._split(assignment, tail, to)
        self.giving.add(ref)
        job_state.assign(given.ranges_of(self.shard_leader.number))
        preconditions = [
            *self.shard_leader.preconditions(),
            Precondition(OPEN + ref, job_state.version),
            Precondition(ASSIGNMENT + ref, version),
        ]
        try:
            await self._record(ref, given, preconditions)
            row = await self.shard_leader.store.get(ASSIGNMENT + ref)
        except ServiceError:
            row = None
        finally:
            self.giving.discard(ref)
        if row is not None and ref in self.shard_leader.shard.job_states:
            self.take(row.key, row.value, row.version)

    def _split(self, assignment: TaskAssignment, tail: tuple[int, int], to: int) -> TaskAssignment:
        """The assignment once the tasks of `tail` are another shard's."""
        low, high = tail
        parts: list[tuple[int, int, int]] = []
        for first, end, shard in assignment.parts:
            if shard == self.shard_leader.number and first <= low < end:
                parts += [(first, low, shard)] if first < low else []
                parts += [(low, high, to)]
                parts += [(high, end, shard)] if high < end else []
            else:
                parts.append((first, end, shard))
        return TaskAssignment(parts)

    async def _record(
        self, ref: str, given: TaskAssignment, preconditions: list[Precondition]
    ) -> None:
        """Write the new assignment, until it is certain whether it stands."""
        backoff = Backoff(100_000, 1_000_000, self.shard_leader.membership.chance)
        while not self.shard_leader.stepped_down:
            try:
                version = await self.shard_leader.store.compare_and_swap(
                    preconditions, [Put(ASSIGNMENT + ref, given)]
                )
                self.assignments[ref] = (given, version)
                log.info("leases of %s are now %s", ref, given.parts)
                return
            except PreconditionFailed as conflict:
                if ASSIGNMENT + ref in conflict.failed or OPEN + ref in conflict.failed:
                    return  # the record is another: the watch tells what it says
                await backoff.wait()
            except TransactionTooLarge:
                return  # it can never be written: the tasks stay here
            except (RequestFailed, Unavailable, SessionLeaseExpired):
                await backoff.wait()

    async def balance(self) -> None:
        """Each round: say how much waits here and how much is free, and hand tasks that wait
        to the shard with most free room."""
        while True:
            await asyncio.sleep(self.shard_leader.market.terms.round_us / US / 2)
            if not self.shard_leader.holds_valid_lease:
                continue
            job_states = [
                w
                for w in self.shard_leader.shard.job_states.values()
                if not w.closed and not w.job.whole and not self._is_limited(w.job.team)
            ]
            waiting = sum(w.waiting * w.job.cpus for w in job_states)
            free = sum(
                max(0.0, m.free.cpus)
                for m in self.shard_leader.shard.machines.values()
                if m.usable(now_us())
            )
            load = Load(round(waiting, 1), round(free, 1))
            await self.shard_leader.results.attempt_write(self._store_load(load))
            others = {
                number: other
                for number, other in self.shard_leader.membership.cluster.loads.items()
                if number != self.shard_leader.number and other.waiting == 0 and other.free > 0
            }
            if waiting > free and others and job_states:
                to = max(others, key=lambda number: others[number].free)
                await self.give(max(job_states, key=lambda w: w.waiting * w.job.cpus), to)

    def _is_limited(self, team: str) -> bool:
        return self.shard_leader.shard.teams.get(team, TeamQuota()).is_limited

    async def _store_load(self, load: Load) -> None:
        await self.shard_leader.put({load_key(self.shard_leader.number): load})
