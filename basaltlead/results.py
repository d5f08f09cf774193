"""What tasks came to, on its way into the state service."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from basaltlead.clients.base import Unavailable
from basaltlead.clients.state import Conflict, SessionLeaseExpired
from basaltlead.clock import now_us
from basaltlead.core.model import US, Work
from basaltlead.logs import log
from basaltlead.net.http import Failed
from basaltlead.records import (
    LEASE,
    OPEN,
    OVER,
    Final,
    progress_key,
    progress_of,
    stretch_count,
    stretches,
)  # fmt: skip
from basaltlead.wire.state import Drop, Guard, Put

if TYPE_CHECKING:
    from basaltlead.owner import Owner

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
                shown = work.running
                if work.unstored or (shown and not self.stored_running.get(work.job.ref)):
                    self.flushed_at[work.job.ref] = now
                    self.stored_running[work.job.ref] = shown
                    await self.store(self._progress(work))

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
        ref = work.job.ref
        parts = stretches(work) or {0: []}
        for number, indices in list(parts.items()):
            key = progress_key(ref, self.owner.number, number)
            row = progress_of(work, number)
            await self.owner.put({key: row}, [Guard(OPEN + ref, work.version)])
            self.owner.block.stored(work, indices)

    async def _finish(self, work: Work) -> None:
        ref = work.job.ref
        indices = list(work.unstored)
        final = Final("done", work.job.tasks)
        drops = [
            Drop(progress_key(ref, block, stretch))
            for block in range(self.owner.settings.operator.blocks)
            for stretch in range(stretch_count(work.job.tasks))
        ]
        if self.owner.shared:
            drops.insert(0, Drop(LEASE + ref))
        room = self.owner.settings.facts.state.txn_ops - 2
        try:
            await self.owner.state.multi(
                [*self.owner.guards(), Guard(OPEN + ref, work.version), Guard(OVER + ref, 0)],
                [Put(OVER + ref, final), Drop(OPEN + ref), *drops[: max(0, room)]],
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
        self.owner.close(ref)
        for low in range(max(0, room), len(drops), room + 2):  # rows nobody reads any more
            await self.owner.state.multi(
                self.owner.guards(), drops[low : low + room + 2], can_wait=True
            )
