"""What tasks came to, on its way into the state service."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from basaltlead.clients.base import Unavailable
from basaltlead.core.model import US, Work
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import Conflict, SessionLeaseExpired
from basaltlead.storage.records import (
    LEASE,
    OPEN,
    OVER,
    Final,
)  # fmt: skip
from basaltlead.storage.result_rows import split_open
from basaltlead.wire.state import Drop, Guard, Put

if TYPE_CHECKING:
    from basaltlead.shard.leader import Owner

FLUSH_US = 2 * US  # results of unfinished jobs wait this long: their workers still keep them


class Results:
    """Runs beside an Owner and ends with it."""

    def __init__(self, owner: "Owner") -> None:
        self.owner = owner
        self.stored_running: dict[str, int] = {}
        self.flushed_at: dict[str, int] = {}

    def forget(self, ref: str) -> None:
        self.stored_running.pop(ref, None)
        self.flushed_at.pop(ref, None)

    async def finish(self) -> None:
        """Store at once what completes a job: users wait for it."""
        while True:
            await asyncio.sleep(0.1)
            if self.owner.acts:
                works = self.owner.block.works.values()
                for work in [w for w in works if w.complete and not w.closed]:
                    await self.store(self._finish(work))

    async def flush(self) -> None:
        """Store the results of unfinished jobs now and then: that can wait for its turn."""
        while True:
            await asyncio.sleep(0.1)
            if not self.owner.acts:
                continue
            now = now_us()
            for work in list(self.owner.block.works.values()):
                if work.complete or work.closed:
                    continue
                if now - self.flushed_at.get(work.job.ref, 0) < FLUSH_US:
                    continue
                if work.unstored or self._stale(work):
                    self.flushed_at[work.job.ref] = now
                    await self.store(self._progress(work))

    def _stale(self, work: Work) -> bool:
        """Do users see another number of running tasks than they should? Tasks of arrays come and
        go all the time: of them it is enough to show that some run."""
        stored = self.stored_running.get(work.job.ref)
        if not work.job.service:
            return bool(work.running) and not stored
        if stored is None and work.version > self.owner.block.version:
            stored = 0  # nobody else can have written any
        return stored != work.running

    async def store(self, storing: Coroutine[Any, Any, None]) -> None:
        try:
            await storing
        except Conflict as conflict:
            log.debug("storing results: %s", conflict)  # cancelled meanwhile: the watch tells
            await asyncio.sleep(0.05)
        except (Failed, Unavailable, SessionLeaseExpired) as fault:
            log.debug("storing results: %s", fault)
            await asyncio.sleep(0.2)

    async def _progress(self, work: Work) -> None:
        ref, running = work.job.ref, work.running
        for row in self.owner.layout.unstored(work, self.owner.number):
            await self.owner.put({row.key: row.value}, [Guard(OPEN + ref, work.version)])
            self.owner.block.stored(work, row.tasks)
        self.stored_running[ref] = running

    async def _finish(self, work: Work) -> None:
        ref = work.job.ref
        indices = list(work.unstored)
        final = Final("done", work.job.tasks)
        blocks = range(self.owner.settings.operator.blocks)
        rows = self.owner.layout.keys(ref, work.job.tasks, blocks)
        if self.owner.shared:
            rows.insert(0, LEASE + ref)
        room = self.owner.limits.operations - 2
        try:
            await self.owner.state.multi(
                [*self.owner.guards(), Guard(OPEN + ref, work.version), Guard(OVER + ref, 0)],
                [Put(OVER + ref, final), Drop(OPEN + ref), *map(Drop, rows[:room])],
            )
        except Conflict as conflict:
            # An earlier try of ours that went unanswered may have been executed, or the job
            # was cancelled: either way it is no longer open.
            if OPEN + ref in conflict.failed:
                self.owner.close(ref)
                return
            raise
        self.owner.block.stored(work, indices)
        log.info("job %s done after %.1f s", ref, (now_us() - work.asked_at) / US)
        for key in rows:
            self.owner.versions.pop(key, None)
        self.owner.close(ref)
        if rows[room:]:
            await self.sweep(ref, rows[room:])

    async def sweep(self, ref: str, keys: list[str]) -> None:
        """Drop rows of a job that is over, and that nobody reads any more. Guarded on its being
        over: what was listed page by page may show rows of a job that is not."""
        if self.owner.member.duties_granted:
            return  # left to the holder of the duty of clean-up
        guards = [*self.owner.guards(), Guard(OPEN + ref, 0)]
        for some in self.owner.limits.drops(keys):
            await self.store(self._drop(guards, list(map(Drop, some))))

    async def _drop(self, guards: list[Guard], drops: list[Drop]) -> None:
        await self.owner.state.multi(guards, drops, can_wait=True)

    async def sweep_orphans(self, keys: list[str]) -> None:
        """Drop the rows that an earlier owner left behind when their jobs ended."""
        jobs: dict[str, list[str]] = {}
        for key in keys:
            jobs.setdefault(split_open(key)[0], []).append(key)
        for ref, rows in jobs.items():
            await self.sweep(ref, rows)
