"""The duty of clean-up: rows that nobody reads any more. Final states of jobs are kept for good.

All its writes wait until half of the burst of the store's write rate is left, behind all others.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from basaltlead.core.cluster_view import Grant
from basaltlead.core.jobs import US
from basaltlead.duties.history import Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import age_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, OPEN, SCALE_OUT, StoredScaleOut
from basaltlead.storage.result_rows import parse_open_key
from basaltlead.wire.store import Drop, Precondition, Row

PASS_INTERVAL_S = 30.0
# The record of a request some of whose machines never had a record of their own is kept for so
# long: some machines never come up.
RETENTION_US = 1800 * US


def is_spent(scale_out: StoredScaleOut, recorded: set[str]) -> bool:
    """Whether nobody reads a request's record any more: each machine that it brought has been
    recorded by its shard, or the request is old."""
    if scale_out.names is None:
        return False
    return recorded.issuperset(scale_out.names) or age_us(scale_out.at) > RETENTION_US


def orphaned(rows: Iterable[Row]) -> dict[str, list[str]]:
    """Keys of results of jobs that are not open any more, by job."""
    open_jobs: set[str] = set()
    results: dict[str, list[str]] = {}
    for row in rows:
        ref, part = parse_open_key(row.key)
        if part is None:
            open_jobs.add(ref)
        else:
            results.setdefault(ref, []).append(row.key)
    return {ref: keys for ref, keys in results.items() if ref not in open_jobs}


class CleanUpDuty(DutyHolder):
    """Drops rows that nobody reads any more, in regular passes outside quiet times."""

    duty = Duty.CLEAN_UP

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.quiet_times = services.quiet_times
        # Machines of the stored requests whose own records were seen in this or an earlier pass.
        self.recorded: set[str] = set()

    async def run(self) -> None:
        """Clean up in regular passes until cancelled."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            if self._is_quiet_time() or not self.holds_valid_lease:
                continue
            try:
                await self._drop_spent_requests()
                await self._drop_orphaned_results()
            except ServiceError as fault:
                log.info("clean-up: no result, will be retried: %s", fault)

    def _is_quiet_time(self) -> bool:
        return self.quiet_times is not None and self.quiet_times.current() is not None

    async def _drop_spent_requests(self) -> None:
        rows, _ = await self.store.rows(SCALE_OUT)
        if not rows:
            return
        machines, _ = await self.store.rows(MACHINE)
        self.recorded |= {row.key[len(MACHINE) :] for row in machines}
        spent: list[str] = []
        awaited: set[str] = set()  # machines of the requests that are kept
        for row in rows:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if is_spent(scale_out, self.recorded):
                spent.append(row.key)
            else:
                awaited.update(scale_out.names or ())
        self.recorded &= awaited
        await self._drop("spent requests", spent, [])

    async def _drop_orphaned_results(self) -> None:
        rows, _ = await self.store.rows(OPEN)
        for ref, keys in orphaned(rows).items():
            # The rows were listed page by page, so the job may be open all the same: it must have
            # no row when its results are dropped.
            await self._drop(f"results of {ref}", keys, [Precondition(OPEN + ref, 0)])

    async def _drop(self, what: str, keys: list[str], preconditions: list[Precondition]) -> None:
        for batch in self.store.limits.delete_batches(
            keys, extra_operations=1
        ):  # the page of history
            event = Event.of_rows(what, len(batch))
            await self.history.commit(
                preconditions, list(map(Drop, batch)), event, low_priority=True
            )
