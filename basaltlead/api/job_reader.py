"""Reads the states of jobs from the key-value store for the users' interface."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cancellations import Cancellations
from basaltlead.errors import Unavailable
from basaltlead.runtime.clock import now_us
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import OPEN, OVER, FinalState
from basaltlead.storage.result_rows import Progress, ResultLayout, parse_open_key
from basaltlead.wire.store import Row

MAX_JOB_TASKS = 100_000
MAX_CACHED_FINALS = 5000
PENDING, RUNNING, CANCELLED = "pending", "running", "withdrawn"


class JobStatus(NamedTuple):
    """The status of a job as reported to users: its stage and the counts of its tasks."""

    stage: str
    done: int = 0
    running: int = 0


class JobReader:
    """Reads the states of jobs. Only final states are cached, since they never change."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        membership: Membership,
        cancellations: Cancellations,
        on_cancelled: Callable[[str], None],
    ) -> None:
        """`on_cancelled` is called before any user is told that a job was cancelled."""
        self.store = store
        self.membership = membership
        self.cancellations = cancellations
        self.on_cancelled = on_cancelled
        layout = ResultLayout(settings.store_limits.value_bytes)
        self._max_rows = 1 + layout.max_rows(MAX_JOB_TASKS, settings.operator.shards)
        self._finals: dict[str, FinalState] = {}

    def cached_final(self, ref: str) -> JobStatus | None:
        """Return the final state of a job from the cache, or None if it is not cached."""
        final = self._finals.get(ref)
        return None if final is None else JobStatus(final.stage, final.done)

    def cache_final(self, ref: str, final: FinalState) -> None:
        """Cache a final state, and report a new cancellation through `on_cancelled`. Must be called
        before any user is told of it: shard leaders must know every confirmed cancellation."""
        self._finals[ref] = final
        if final.stage == CANCELLED and self.cancellations.add(ref, now_us()):
            self.on_cancelled(ref)
        while len(self._finals) > MAX_CACHED_FINALS:
            del self._finals[next(iter(self._finals))]

    async def open_rows(self, ref: str) -> list[Row]:
        """Return the rows of an open job, its own first and then its results; empty if the job is
        not open."""
        if self.membership.store_unreachable:
            raise Unavailable("the state service does not answer")
        page = await self.store.page(OPEN + ref, limit=self._max_rows)
        rows = [row for row in page.rows if parse_open_key(row.key)[0] == ref]
        return rows if rows and rows[0].key == OPEN + ref else []

    async def read_final(self, ref: str) -> JobStatus | None:
        """Read the final state of a job, or None if it has none."""
        row = await self.store.get(OVER + ref)
        if row is None:
            return None
        final = msgspec.json.decode(row.value, type=FinalState)
        self.cache_final(ref, final)
        return JobStatus(final.stage, final.done)

    async def read(self, ref: str) -> JobStatus | None:
        """Read the current state of a job, or None if the key-value store has no such job.

        One transaction moves a job from its open key to its final key, so reading them in this
        order can't miss it.
        """
        rows = await self.open_rows(ref)
        if not rows:
            return await self.read_final(ref)
        parts = [msgspec.json.decode(row.value, type=Progress) for row in rows[1:]]
        done = sum(part.count for part in parts)
        running = sum(part.running for part in parts)
        # If a user was told the final state after this read was sent, the older state must not be
        # reported any more.
        final = self.cached_final(ref)
        if final is not None:
            return final
        if ref in self.cancellations:
            return JobStatus(CANCELLED, done)
        return JobStatus(RUNNING if done or running else PENDING, done, running)
