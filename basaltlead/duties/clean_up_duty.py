"""The duty of clean-up: rows that nobody reads any more. Final states of jobs are kept for good.

All its writes wait until half of the burst is left, behind everything else.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from basaltlead.core.model import US
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import Duty
from basaltlead.runtime.clock import age_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE
from basaltlead.storage.records import HIRE, MACHINE, OPEN, StoredHire
from basaltlead.storage.result_rows import split_open
from basaltlead.wire.state import Drop, Guard, Row

PAUSE_S = 30.0  # between two passes
# A request whose machines were not all seen recorded is kept for so long: some never come up.
KEEP_US = 1800 * US


def spent(hire: StoredHire, recorded: set[str]) -> bool:
    """Has each of the machines that a request brought stood recorded since, or is it old?"""
    if hire.names is None:
        return False
    return recorded.issuperset(hire.names) or age_us(hire.at) > KEEP_US


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
            if quiet or not self.acts:
                continue
            try:
                await self._drop_spent()
                await self._drop_orphans()
            except TROUBLE as fault:
                log.info("clean-up: %s", fault)

    async def _drop_spent(self) -> None:
        rows, _ = await self.state.rows(HIRE)
        if not rows:
            return
        machines, _ = await self.state.rows(MACHINE)
        self.recorded |= {row.key[len(MACHINE) :] for row in machines}
        hires = {row.key: msgspec.json.decode(row.value, type=StoredHire) for row in rows}
        gone = [key for key, hire in hires.items() if spent(hire, self.recorded)]
        kept = [hire for key, hire in hires.items() if key not in gone]
        self.recorded &= {name for hire in kept for name in hire.names or ()}
        await self._drop("spent requests", gone, [])

    async def _drop_orphans(self) -> None:
        rows, _ = await self.state.rows(OPEN)
        for ref, keys in orphaned(rows).items():
            # What was listed page by page may show rows of a job that is open after all.
            await self._drop(f"results of {ref}", keys, [Guard(OPEN + ref, 0)])

    async def _drop(self, what: str, keys: list[str], guards: list[Guard]) -> None:
        for some in self.state.limits.drops(keys, beside=1):  # the page of history
            told = event(what)
            told.count = len(some)
            await self.history.commit(guards, list(map(Drop, some)), told, can_wait=True)
