"""The open jobs of a shard: loaded from the key-value store, and closed when they end."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from basaltlead.core.market import Market
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.arrivals import ArrivalHistory
from basaltlead.shard.context import ShardContext
from basaltlead.shard.rebalancer import Rebalancer
from basaltlead.shard.results import ResultWriter
from basaltlead.storage.client import RowList
from basaltlead.storage.records import OPEN, StoredJob, job_of
from basaltlead.storage.result_rows import CHUNK_SHARD_OFFSET, load_results, parse_open_key
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change


class ListedJobs(NamedTuple):
    """How many jobs a listing contains, and how many known ones it no longer contains."""

    listed: int
    ended: int


class OpenJobsWatch:
    """Watches the rows under `open/`: jobs, and results that any shard has recorded."""

    def __init__(
        self,
        context: ShardContext,
        market: Market,
        results: ResultWriter,
        rebalancer: Rebalancer,
        is_cancelled: Callable[[str], bool],
    ) -> None:
        """`is_cancelled` tells whether a job is known to be cancelled, whatever the rows say."""
        self.context = context
        self.shard = context.shard
        self.market = market
        self.results = results
        self.rebalancer = rebalancer
        self.is_cancelled = is_cancelled
        self.arrivals = ArrivalHistory()
        self._loaded = False
        self.orphaned_rows: list[str] = []  # results of jobs that have ended, found while loading

    def load(self, listing: RowList, requested_at: int) -> None:
        """Apply the listing of a load, which was requested at `requested_at`. If that load fails
        later, there is another one."""
        log.info(
            "open jobs of shard %d listed at revision %d: %d jobs, %d known ones not among them",
            self.context.number,
            listing.revision,
            *self._apply_listing(listing),
        )
        self.context.lease.cancellations_listed(requested_at)

    def finish_loading(self) -> None:
        """From now on ignore the results of this shard, and collect no more orphaned rows."""
        self._loaded = True

    async def follow(self, revision: int) -> None:
        """Watch the rows from a revision on, until the shard is released."""
        watch_timeout_ms = self.context.membership.watch_timeout_ms
        watch = KeyWatch(self.context.store.client, OPEN, watch_timeout_ms, revision)
        await watch.run(self._relist, self._apply, self._after_read)

    def apply_row(self, key: str, raw: msgspec.Raw, version: int, now: int) -> None:
        """Apply a row under `open/`: a job, or results of some of its tasks."""
        ref, part = parse_open_key(key)
        job_state = self.shard.job_states.get(ref)
        if part is None:
            if job_state is None:
                self._add_job(ref, raw, version, now)
            return
        own = part[0] in (self.context.number, CHUNK_SHARD_OFFSET + self.context.number)
        if job_state is None:
            if not self._loaded:
                self.orphaned_rows.append(key)
        elif not (self._loaded and own):  # else this shard leader wrote it
            if own:
                self.context.store.versions[key] = version
            load_results(job_state, self.context.number, *part, raw, self.context.layout)

    def _add_job(self, ref: str, raw: msgspec.Raw, version: int, now: int) -> None:
        stored = msgspec.json.decode(raw, type=StoredJob)
        if self.is_cancelled(ref):
            return  # the cancellation is confirmed to the user; the watch will report it too
        age = age_us(stored.at)
        job = job_of(stored.submission)
        job_state = self.shard.add_job(job, version, now, age)
        if self.context.sharded:
            job_state.assign(self.rebalancer.ranges_of(ref))
        job_state.bid = self.market.first_bid(job_state, now)
        job_state.has_objective = job.gang or self.market.objectives.has_objective(job_state, now)
        self.arrivals.note(job, now - age)
        log.info("job %s (%s, %d tasks) added", ref, job.job_class, job.tasks)
        self.context.wake.set()

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self.apply_row(change.put, change.value, change.version, now_us())
        elif change.drop is not None:
            ref, part = parse_open_key(change.drop)
            if part is None:
                self.close(ref)

    def _relist(self, listing: RowList) -> None:
        self._apply_listing(listing)

    def _apply_listing(self, listing: RowList) -> ListedJobs:
        """Apply a listing of all rows, which replaces what is known from earlier reads.

        The changes from which the listing has resulted are never reported: the watch goes on from
        its revision. So the listing alone tells that a known job has ended, by a missing row of the
        job itself; rows of its results may be left. Conversely, each known job was open before the
        listing was requested, so one that is still open has its row on the page that is read for it
        (test_job_that_ends_between_two_loads_of_a_shard_is_closed).
        """
        open_keys = [parse_open_key(row.key) for row in listing.rows]
        listed = {open_key.ref for open_key in open_keys if open_key.is_job}
        known = [ref for ref, job_state in self.shard.job_states.items() if not job_state.closed]
        ended = [ref for ref in known if ref not in listed]
        for ref in ended:
            self.close(ref)
        self.orphaned_rows = []
        for row in listing.rows:
            self.apply_row(row.key, row.value, row.version, now_us())
        return ListedJobs(len(listed), len(ended))

    def _after_read(self, sent_at: int, _has_changes: bool) -> None:
        self.context.lease.cancellations_read(sent_at)

    def close(self, ref: str) -> None:
        """Close a completed or cancelled job: stop its tasks, and drop its remaining rows unless
        the holder of the clean-up duty does so."""
        job_state = self.shard.job_states.get(ref)
        if job_state is not None:
            self.results.close(job_state)
