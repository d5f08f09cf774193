"""The clean-up duty: deletes rows that are no longer read. Final states of jobs are never deleted.

All its writes have low priority: they wait behind all others until half of the burst of the store's
write rate is available.
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
# Some machines never come up and get no record of their own. The records of their requests are
# deleted after this time.
RETENTION_US = 1800 * US


def is_obsolete(scale_out: StoredScaleOut, recorded: set[str]) -> bool:
    """Whether the record of a request is no longer read.

    This is the case once the shard has recorded each of its machines, or `RETENTION_US` after the
    request was recorded.
    """
    if scale_out.names is None:
        return False
    return recorded.issuperset(scale_out.names) or age_us(scale_out.at) > RETENTION_US


def orphaned_results(rows: Iterable[Row]) -> dict[str, list[str]]:
    """Keys of results of jobs that are no longer open, by job."""
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
    """Deletes rows that are no longer read, periodically outside quiet times."""

    duty = Duty.CLEAN_UP

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.quiet_times = services.quiet_times
        # Machines of the stored requests that had their own record in this or an earlier pass.
        self.recorded: set[str] = set()

    async def run(self) -> None:
        """Clean up periodically until cancelled."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_S)
            if self._is_quiet_time() or not self.holds_valid_lease:
                continue
            try:
                await self._drop_obsolete_requests()
                await self._drop_orphaned_results()
            except ServiceError as error:
                log.info("clean-up pass failed, will be retried: %s", error)

    def _is_quiet_time(self) -> bool:
        return self.quiet_times is not None and self.quiet_times.current() is not None

    async def _drop_obsolete_requests(self) -> None:
        rows, _ = await self.store.rows(SCALE_OUT)
        if not rows:
            return
        machines, _ = await self.store.rows(MACHINE)
        self.recorded |= {row.key[len(MACHINE) :] for row in machines}
        obsolete: list[str] = []
        awaited: set[str] = set()  # machines of the requests that are kept
        for row in rows:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if is_obsolete(scale_out, self.recorded):
                obsolete.append(row.key)
            else:
                awaited.update(scale_out.names or ())
        self.recorded &= awaited
        await self._drop("spent requests", obsolete, [])

    async def _drop_orphaned_results(self) -> None:
        rows, _ = await self.store.rows(OPEN)
        for ref, keys in orphaned_results(rows).items():
            # The rows were listed page by page, so the job may be open nevertheless. The
            # precondition checks that it has no row when its results are deleted.
            await self._drop(f"results of {ref}", keys, [Precondition(OPEN + ref, 0)])

    async def _drop(self, action: str, keys: list[str], preconditions: list[Precondition]) -> None:
        # One extra operation in each transaction writes the history page.
        for batch in self.store.limits.delete_batches(keys, extra_operations=1):
            event = Event.of_rows(action, len(batch))
            await self.history.commit(
                preconditions, list(map(Drop, batch)), event, low_priority=True
            )
