"""The state of a job, read from the key-value store for the users' interface."""

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

MAX_JOB_TASKS = 100_000  # of one job
MAX_CACHED_FINALS = 5000
PENDING, RUNNING, CANCELLED = "pending", "running", "withdrawn"


class JobStatus(NamedTuple):
    """What a user is told of a job: its stage, and counts of its tasks."""

    stage: str
    done: int = 0
    running: int = 0


class JobReader:
    """Reads job states. Final states never change, so only these are cached."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        membership: Membership,
        cancellations: Cancellations,
        on_cancelled: Callable[[str], None],
    ) -> None:
        """`on_cancelled` is called before anybody is told that a job is cancelled."""
        self.store = store
        self.membership = membership
        self.cancellations = cancellations
        self.on_cancelled = on_cancelled
        layout = ResultLayout(settings.store_limits.value_bytes)
        self._max_rows = 1 + layout.max_rows(MAX_JOB_TASKS, settings.operator.shards)
        self._finals: dict[str, FinalState] = {}

    def cached_final(self, ref: str) -> JobStatus | None:
        """The final state of a job, if it was read or written before."""
        final = self._finals.get(ref)
        return None if final is None else JobStatus(final.stage, final.done)

    def cache_final(self, ref: str, final: FinalState) -> None:
        """Note a final state. To be called before any user is told: shard leaders must know of
        every cancellation that was confirmed."""
        self._finals[ref] = final
        if final.stage == CANCELLED and self.cancellations.add(ref, now_us()):
            self.on_cancelled(ref)
        while len(self._finals) > MAX_CACHED_FINALS:
            del self._finals[next(iter(self._finals))]

    async def open_rows(self, ref: str) -> list[Row]:
        """The open job's rows: itself first, then its results; empty if it is not open."""
        if self.membership.cut_off:
            raise Unavailable("the state service does not answer")
        page = await self.store.page(OPEN + ref, limit=self._max_rows)
        rows = [row for row in page.rows if parse_open_key(row.key)[0] == ref]
        return rows if rows and rows[0].key == OPEN + ref else []

    async def read_final(self, ref: str) -> JobStatus | None:
        """Read the final state of a job; None if it has none."""
        row = await self.store.get(OVER + ref)
        if row is None:
            return None
        final = msgspec.json.decode(row.value, type=FinalState)
        self.cache_final(ref, final)
        return JobStatus(final.stage, final.done)

    async def read(self, ref: str) -> JobStatus | None:
        """The present state, or None when the key-value store says that there is no such job.

        A job goes from open to over in one transaction, so reading in this order misses none.
        """
        rows = await self.open_rows(ref)
        if not rows:
            return await self.read_final(ref)
        parts = [msgspec.json.decode(row.value, type=Progress) for row in rows[1:]]
        done = sum(part.count for part in parts)
        running = sum(part.running for part in parts)
        # If a user was told of the end since we sent our request, nobody may hear the older state.
        final = self.cached_final(ref)
        if final is not None:
            return final
        if ref in self.cancellations:
            return JobStatus(CANCELLED, done)
        return JobStatus(RUNNING if done or running else PENDING, done, running)
