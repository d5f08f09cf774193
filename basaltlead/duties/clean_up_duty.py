"""The duty of clean-up: rows that nobody reads any more. Final states of jobs are kept for good.

All its writes wait until half of the burst is left, behind everything else.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from basaltlead.clients.state import TROUBLE
from basaltlead.clock import age_us
from basaltlead.core.model import US
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import Duty
from basaltlead.logs import log
from basaltlead.records import HIRE, MACHINE, OPEN, StoredHire
from basaltlead.result_rows import split_open
from basaltlead.wire.state import Drop, Guard, Row

PAUSE_S = 30.0  # between two passes
# A request whose machines were not all seen recorded is kept for so long: some never come up.
KEEP_US = 1800 * US


def spent(hires: Iterable[Row], recorded: set[str]) -> list[Row]:
    """Requests that brought machines of which each has stood recorded since, and old ones."""
    out: list[Row] = []
    for row in hires:
        hire = msgspec.json.decode(row.value, type=StoredHire)
        if hire.names is None:
            continue
        if recorded.issuperset(hire.names) or age_us(hire.at) > KEEP_US:
            out.append(row)
    return out


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
        hires, _ = await self.state.rows(HIRE)
        if not hires:
            return
        machines, _ = await self.state.rows(MACHINE)
        self.recorded |= {row.key[len(MACHINE) :] for row in machines}
        gone = spent(hires, self.recorded)
        names = [
            name
            for row in hires
            if row not in gone
            for name in msgspec.json.decode(row.value, type=StoredHire).names or ()
        ]
        self.recorded &= set(names)
        await self._drop("spent requests", [row.key for row in gone], [])

    async def _drop_orphans(self) -> None:
        rows, _ = await self.state.rows(OPEN)
        for ref, keys in orphaned(rows).items():
            # What was listed page by page may show rows of a job that is open after all.
            await self._drop(f"results of {ref}", keys, [Guard(OPEN + ref, 0)])

    async def _drop(self, what: str, keys: list[str], guards: list[Guard]) -> None:
        most = self.state.limits.operations - 1  # and the page of history
        for low in range(0, len(keys), most):
            some = keys[low : low + most]
            told = event(what)
            told.count = len(some)
            await self.history.commit(guards, list(map(Drop, some)), told, can_wait=True)
