"""Storing the results of tasks in the key-value store."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US
from basaltlead.errors import PreconditionFailed, ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import ASSIGNMENT, OPEN, OVER, FinalState
from basaltlead.storage.result_rows import parse_open_key
from basaltlead.wire.store import Drop, Precondition, Put

SCAN_INTERVAL_S = 0.1
FLUSH_INTERVAL_US = 2 * US  # for results of unfinished jobs: workers keep them meanwhile
CONFLICT_PAUSE_S = 0.05
FAILURE_PAUSE_S = 0.2
# Operations that move a job from open to over, in addition to those on its rows of results.
FINAL_OPERATIONS = 2


async def attempt_write(write: Coroutine[Any, Any, None]) -> None:
    """Await a write that the caller repeats anyway; log an error and pause after it."""
    try:
        await write
    except PreconditionFailed as conflict:
        # Usually the job was cancelled concurrently, which the watch reports.
        log.debug("write to the key-value store failed: %s changed concurrently", conflict)
        await asyncio.sleep(CONFLICT_PAUSE_S)
    except ServiceError as error:
        log.debug("write to the key-value store not confirmed: %s", error)
        await asyncio.sleep(FAILURE_PAUSE_S)


class ResultWriter:
    """Stores the final state of a job as soon as the job is complete, and the results of unfinished
    jobs periodically."""

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self._stored_running: dict[str, int] = {}
        self._flushed_at: dict[str, int] = {}

    def forget(self, ref: str) -> None:
        """Forget a closed job: no more results of it will be stored."""
        self._stored_running.pop(ref, None)
        self._flushed_at.pop(ref, None)

    async def finish_jobs(self) -> None:
        """Store the final state of each job as soon as the job is complete, since users wait for
        it."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            if self.context.lease.holds_valid_lease:
                job_states = self.context.shard.job_states.values()
                for job_state in [j for j in job_states if j.complete and not j.closed]:
                    await attempt_write(self._finish(job_state))

    async def flush_progress(self) -> None:
        """Store the results of unfinished jobs periodically."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            if not self.context.lease.holds_valid_lease:
                continue
            now = now_us()
            for job_state in list(self.context.shard.job_states.values()):
                if job_state.complete or job_state.closed:
                    continue
                if now - self._flushed_at.get(job_state.job.ref, 0) < FLUSH_INTERVAL_US:
                    continue
                if job_state.unstored or self._shown_count_is_stale(job_state):
                    self._flushed_at[job_state.job.ref] = now
                    await attempt_write(self._store_progress(job_state))

    def _shown_count_is_stale(self, job_state: JobState) -> bool:
        """Whether users see a wrong number of running tasks. Tasks of arrays start and end all the
        time, so for an array it is enough to show that some run."""
        stored = self._stored_running.get(job_state.job.ref)
        if not job_state.job.service:
            return bool(job_state.running) and not stored
        if stored is None and job_state.version > self.context.shard.version:
            stored = 0  # accepted under this lease: no other leader can have stored a count
        return stored != job_state.running

    async def _store_progress(self, job_state: JobState) -> None:
        ref, running = job_state.job.ref, job_state.running
        for row in self.context.layout.unstored(job_state, self.context.number):
            still_open = Precondition(OPEN + ref, job_state.version)
            await self.context.store.put({row.key: row.value}, [still_open])
            self.context.shard.confirm_stored(job_state, row.tasks)
        self._stored_running[ref] = running

    async def _finish(self, job_state: JobState) -> None:
        ref = job_state.job.ref
        indices = list(job_state.unstored)
        shards = range(self.context.settings.operator.shards)
        rows = self.context.layout.keys(ref, job_state.job.tasks, shards)
        if self.context.sharded:
            rows.insert(0, ASSIGNMENT + ref)
        max_drops = self.context.store.limits.operations - FINAL_OPERATIONS
        final = FinalState("done", job_state.job.tasks)
        try:
            await self.context.store.commit(
                [Put(OVER + ref, final), Drop(OPEN + ref), *map(Drop, rows[:max_drops])],
                [Precondition(OPEN + ref, job_state.version), Precondition(OVER + ref, 0)],
            )
        except PreconditionFailed as conflict:
            # An earlier write without a response was executed, or the job was cancelled: in either
            # case the job is no longer open.
            if OPEN + ref in conflict.failed:
                self.close(job_state)
                return
            raise
        self.context.shard.confirm_stored(job_state, indices)
        duration_s = (now_us() - job_state.submitted_at) / US
        log.info("job %s done after %.1f s", ref, duration_s)
        for key in rows:
            self.context.store.versions.pop(key, None)
        self.close(job_state)
        if rows[max_drops:]:
            await self._sweep(ref, rows[max_drops:])

    def close(self, job_state: JobState) -> None:
        """Close a completed or cancelled job: stop its tasks, and drop its remaining rows unless
        the holder of the clean-up duty does so."""
        ref = job_state.job.ref
        if ref not in self.context.shard.job_states:
            return  # closed while its final state was being stored
        self.context.shard.close_job(ref)
        self.forget(ref)
        versions = self.context.store.versions
        rows = self.context.layout.keys(ref, job_state.job.tasks, [self.context.number])
        stored = [key for key in rows if versions.pop(key, None) is not None]
        # The transaction that ended the job has dropped up to `operations - FINAL_OPERATIONS` rows.
        if len(stored) > self.context.store.limits.operations - FINAL_OPERATIONS:
            self.context.spawn(self._sweep(ref, stored), f"sweep {ref}")
        self.context.wake.set()

    async def _sweep(self, ref: str, keys: list[str]) -> None:
        """Drop rows of a job that has ended, unless the holder of the clean-up duty does so.

        The write fails if the job is open: a listing that was read page by page may contain rows of
        an open job without the job's own row.
        """
        if self.context.membership.duties_granted:
            return  # the holder of the clean-up duty does it
        preconditions = [*self.context.lease.preconditions(), Precondition(OPEN + ref, 0)]
        for batch in self.context.store.limits.delete_batches(keys):
            await attempt_write(self._drop(batch, preconditions))

    async def _drop(self, keys: list[str], preconditions: list[Precondition]) -> None:
        drops = list(map(Drop, keys))
        await self.context.store.client.compare_and_swap(preconditions, drops, low_priority=True)

    async def sweep_orphaned_rows(self, keys: list[str]) -> None:
        """Drop the rows that an earlier shard leader left when their jobs ended."""
        keys_by_job: dict[str, list[str]] = {}
        for key in keys:
            keys_by_job.setdefault(parse_open_key(key)[0], []).append(key)
        for ref, rows in keys_by_job.items():
            await self._sweep(ref, rows)
