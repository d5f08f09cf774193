"""The duty of clean-up: rows that nobody reads any more. Final states of jobs are kept for good.

All its writes wait until half of the burst is left, behind everything else.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from basaltlead.core.jobs import US
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import age_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, OPEN, SCALE_OUT, StoredScaleOut
from basaltlead.storage.result_rows import split_open
from basaltlead.wire.store import Drop, Precondition, Row

PAUSE_S = 30.0  # between two passes
# A request whose machines were not all seen recorded is kept for so long: some never come up.
KEEP_US = 1800 * US


def spent(scale_out: StoredScaleOut, recorded: set[str]) -> bool:
    """Has each of the machines that a request brought stood recorded since, or is it old?"""
    if scale_out.names is None:
        return False
    return recorded.issuperset(scale_out.names) or age_us(scale_out.at) > KEEP_US


def orphaned(rows: Iterable[Row]) -> dict[str, list[str]]:
    """Rows of results by job, of jobs that are not open any more."""
    jobs: set[str] = set()
    parts: dict[str, list[str]] = {}
    for row in rows:
        ref, part = split_open(row.key)
        if part is None:
            jobs.add(ref)
        else:
            parts.setdefault(ref, []).append(row.key)
    return {ref: keys for ref, keys in parts.items() if ref not in jobs}


class CleanUpDuty(DutyHolder):
    """Looks through what is stored now and then."""

    duty = Duty.CLEAN_UP

    async def run(self) -> None:
        self.recorded: set[str] = set()  # machines of open requests that were seen recorded
        while True:
            await asyncio.sleep(PAUSE_S)
            quiet = self.quiet_times is not None and self.quiet_times.current() is not None
            if quiet or not self.holds_valid_lease:
                continue
            try:
                await self._drop_spent()
                await self._drop_orphans()
            except ServiceError as fault:
                log.info("clean-up: %s", fault)

    async def _drop_spent(self) -> None:
        rows, _ = await self.store.rows(SCALE_OUT)
        if not rows:
            return
        machines, _ = await self.store.rows(MACHINE)
        self.recorded |= {row.key[len(MACHINE) :] for row in machines}
        scale_outs = {row.key: msgspec.json.decode(row.value, type=StoredScaleOut) for row in rows}
        gone = [key for key, scale_out in scale_outs.items() if spent(scale_out, self.recorded)]
        kept = [scale_out for key, scale_out in scale_outs.items() if key not in gone]
        self.recorded &= {name for scale_out in kept for name in scale_out.names or ()}
        await self._drop("spent requests", gone, [])

    async def _drop_orphans(self) -> None:
        rows, _ = await self.store.rows(OPEN)
        for ref, keys in orphaned(rows).items():
            # What was listed page by page may show rows of a job that is open after all.
            await self._drop(f"results of {ref}", keys, [Precondition(OPEN + ref, 0)])

    async def _drop(self, what: str, keys: list[str], preconditions: list[Precondition]) -> None:
        for some in self.store.limits.drops(keys, beside=1):  # the page of history
            history_event = event(what)
            history_event.count = len(some)
            await self.history.commit(
                preconditions, list(map(Drop, some)), history_event, low_priority=True
            )
