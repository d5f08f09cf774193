"""What tasks came to, on its way into the key-value store."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import (
    ASSIGNMENT,
    OPEN,
    OVER,
    Final,
)
from basaltlead.storage.result_rows import split_open
from basaltlead.wire.store import Drop, Precondition, Put

if TYPE_CHECKING:
    from basaltlead.shard.leader import ShardLeader

FLUSH_US = 2 * US  # results of unfinished jobs wait this long: their workers still keep them


class Results:
    """Runs beside an Owner and ends with it."""

    def __init__(self, shard_leader: "ShardLeader") -> None:
        self.shard_leader = shard_leader
        self.stored_running: dict[str, int] = {}
        self.flushed_at: dict[str, int] = {}

    def forget(self, ref: str) -> None:
        self.stored_running.pop(ref, None)
        self.flushed_at.pop(ref, None)

    async def finish(self) -> None:
        """Store at once what completes a job: users wait for it."""
        while True:
            await asyncio.sleep(0.1)
            if self.shard_leader.holds_valid_lease:
                job_states = self.shard_leader.shard.job_states.values()
                for job_state in [w for w in job_states if w.complete and not w.closed]:
                    await self.attempt_write(self._finish(job_state))

    async def flush(self) -> None:
        """Store the results of unfinished jobs now and then: that can wait for its turn."""
        while True:
            await asyncio.sleep(0.1)
            if not self.shard_leader.holds_valid_lease:
                continue
            now = now_us()
            for job_state in list(self.shard_leader.shard.job_states.values()):
                if job_state.complete or job_state.closed:
                    continue
                if now - self.flushed_at.get(job_state.job.ref, 0) < FLUSH_US:
                    continue
                if job_state.unstored or self._stale(job_state):
                    self.flushed_at[job_state.job.ref] = now
                    await self.attempt_write(self._progress(job_state))

    def _stale(self, job_state: JobState) -> bool:
        """Do users see another number of running tasks than they should? Tasks of arrays come and
        go all the time: of them it is enough to show that some run."""
        stored = self.stored_running.get(job_state.job.ref)
        if not job_state.job.service:
            return bool(job_state.running) and not stored
        if stored is None and job_state.version > self.shard_leader.shard.version:
            stored = 0  # nobody else can have written any
        return stored != job_state.running

    async def attempt_write(self, storing: Coroutine[Any, Any, None]) -> None:
        try:
            await storing
        except PreconditionFailed as conflict:
            log.debug("storing results: %s", conflict)  # cancelled meanwhile: the watch tells
            await asyncio.sleep(0.05)
        except (RequestFailed, Unavailable, SessionLeaseExpired) as fault:
            log.debug("storing results: %s", fault)
            await asyncio.sleep(0.2)

    async def _progress(self, job_state: JobState) -> None:
        ref, running = job_state.job.ref, job_state.running
        for row in self.shard_leader.layout.unstored(job_state, self.shard_leader.number):
            await self.shard_leader.put(
                {row.key: row.value}, [Precondition(OPEN + ref, job_state.version)]
            )
            self.shard_leader.shard.stored(job_state, row.tasks)
        self.stored_running[ref] = running

    async def _finish(self, job_state: JobState) -> None:
        ref = job_state.job.ref
        indices = list(job_state.unstored)
        final = Final("done", job_state.job.tasks)
        shards = range(self.shard_leader.settings.operator.shards)
        rows = self.shard_leader.layout.keys(ref, job_state.job.tasks, shards)
        if self.shard_leader.shared:
            rows.insert(0, ASSIGNMENT + ref)
        room = self.shard_leader.limits.operations - 2
        try:
            await self.shard_leader.store.compare_and_swap(
                [
                    *self.shard_leader.preconditions(),
                    Precondition(OPEN + ref, job_state.version),
                    Precondition(OVER + ref, 0),
                ],
                [Put(OVER + ref, final), Drop(OPEN + ref), *map(Drop, rows[:room])],
            )
        except PreconditionFailed as conflict:
            # An earlier try of ours that went unanswered may have been executed, or the job
            # was cancelled: either way it is no longer open.
            if OPEN + ref in conflict.failed:
                self.shard_leader.close(ref)
                return
            raise
        self.shard_leader.shard.stored(job_state, indices)
        log.info("job %s done after %.1f s", ref, (now_us() - job_state.submitted_at) / US)
        for key in rows:
            self.shard_leader.versions.pop(key, None)
        self.shard_leader.close(ref)
        if rows[room:]:
            await self.sweep(ref, rows[room:])

    async def sweep(self, ref: str, keys: list[str]) -> None:
        """Drop rows of a job that is over, and that nobody reads any more. Guarded on its being
        over: what was listed page by page may show rows of a job that is not."""
        if self.shard_leader.membership.duties_granted:
            return  # left to the holder of the duty of clean-up
        preconditions = [*self.shard_leader.preconditions(), Precondition(OPEN + ref, 0)]
        for some in self.shard_leader.limits.drops(keys):
            await self.attempt_write(self._drop(preconditions, list(map(Drop, some))))

    async def _drop(self, preconditions: list[Precondition], drops: list[Drop]) -> None:
        await self.shard_leader.store.compare_and_swap(preconditions, drops, low_priority=True)

    async def sweep_orphans(self, keys: list[str]) -> None:
        """Drop the rows that an earlier shard leader left behind when their jobs ended."""
        jobs: dict[str, list[str]] = {}
        for key in keys:
            jobs.setdefault(split_open(key)[0], []).append(key)
        for ref, rows in jobs.items():
            await self.sweep(ref, rows)
