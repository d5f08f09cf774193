"""The duty of reclaiming: machines that are rented, and that nobody knows or can use."""

import asyncio

import msgspec

from basaltlead.clients.base import Unavailable
from basaltlead.clients.cloud import NoCapacity
from basaltlead.core.cluster_view import block_key, member_key
from basaltlead.core.fleet_sizing import Offer
from basaltlead.core.model import US
from basaltlead.duties.history import Event, event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.machine_deletion import MOST_NAMES
from basaltlead.duties.model import Duty
from basaltlead.duties.unknown_machines import FAILED, Strangers, patience_us
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE, Conflict
from basaltlead.storage.records import (
    HIRE,
    MACHINE,
    RETURN,
    StoredHire,
    StoredMachine,
    StoredReturn,
)
from basaltlead.wire.cloud import Rented
from basaltlead.wire.state import Guard, Put, Row

LEAST_PAUSE_S = 4.0  # between two lists
ADOPTED = "a-"  # names of the records under which abandoned machines are adopted begin so
REFRESH_US = 60 * US  # for how long a machine that was known counts as known
MOST_ADOPTED = 20  # in one pass
FIRST_BLOCK = 0  # takes what is adopted


class Records:
    """What is recorded of machines, read after the list that it is compared with."""

    def __init__(self, machines: list[Row], hires: list[Row], returns: list[Row]) -> None:
        self.machines = {row.key[len(MACHINE) :]: row for row in machines}
        self.in_progress: set[Offer] = set()
        self.hired: set[str] = set()
        self.returned: set[str] = set()
        for row in hires:
            hire = msgspec.json.decode(row.value, type=StoredHire)
            if hire.names is None and hire.refused is msgspec.UNSET:
                self.in_progress.add(Offer(hire.kind, hire.zone, hire.spot))
            self.hired.update(hire.names or ())
        for row in returns:
            self.returned.update(msgspec.json.decode(row.value, type=StoredReturn).names)

    @property
    def known(self) -> set[str]:
        """Names of all machines that stand in any record."""
        return self.machines.keys() | self.hired | self.returned

    def version_of(self, name: str) -> int:
        """The version of a machine's own record; 0: it has none."""
        row = self.machines.get(name)
        return row.version if row is not None else 0


class ReclaimDuty(DutyHolder):
    """Compares the cloud's list with what is recorded."""

    duty = Duty.RECLAIM

    async def run(self) -> None:
        lag_s = self.settings.facts.cloud.list_lag_s
        self.strangers = Strangers(patience_us(lag_s))
        self.known: set[str] = set()  # as of the last time that the records were read
        self.read_at = -REFRESH_US
        self.sequence = 0
        pause = max(LEAST_PAUSE_S, lag_s)
        while True:
            await asyncio.sleep(pause)
            if not self.acts:
                continue
            try:
                await self._compare()
            except (*TROUBLE, NoCapacity) as fault:
                log.info("reclaiming: %s", fault)

    async def _compare(self) -> None:
        asked = now_us()
        rented = await self.cloud.machines()
        strange = any(one.name not in self.known or one.stage == FAILED for one in rented)
        if not strange and asked - self.read_at < REFRESH_US:
            return
        records = await self._read()
        self.read_at = asked
        self.known = records.known
        self.strangers.listed(rented, self.known, asked)
        for one in self.strangers.abandoned(rented, records.in_progress, asked)[:MOST_ADOPTED]:
            await self._adopt(one)
        failed = [one.name for one in rented if one.stage == FAILED]
        await self._return(records, [n for n in failed if n not in records.returned], "failed")
        await self._return_ownerless(records)

    async def _read(self) -> Records:
        machines, _ = await self.state.rows(MACHINE)
        hires, _ = await self.state.rows(HIRE)
        returns, _ = await self.state.rows(RETURN)
        return Records(machines, hires, returns)

    async def _adopt(self, one: Rented) -> None:
        """Give it to the first block, as if it had asked for it. One guarded write decides who
        has it: a block that has met the machine meanwhile has recorded it, and then this fails."""
        name = ADOPTED + one.name
        made_at = wall_us() - int(one.age_s * US)
        stored = StoredHire(one.type, one.zone, one.spot, 1, made_at, [one.name], FIRST_BLOCK)
        guards = [Guard(HIRE + name, 0), Guard(MACHINE + one.name, 0)]
        told = event("adopted", name, made_at, [one.name])
        await self._try(guards, Put(HIRE + name, stored), told)

    async def _return(self, records: Records, names: list[str], why: str) -> None:
        """Record that machines are to be returned that can run nothing any more."""
        most = min(MOST_NAMES, self.state.limits.guards // 2)
        for low in range(0, len(names), most):
            some = names[low : low + most]
            guards = [Guard(MACHINE + n, records.version_of(n)) for n in some]
            await self._record(some, why, guards)

    async def _return_ownerless(self, records: Records) -> None:
        """Machines of blocks that are not granted any more, since there are fewer blocks now."""
        ownerless: dict[int, list[str]] = {}
        for name, row in records.machines.items():
            block = msgspec.json.decode(row.value, type=StoredMachine).block
            if block >= self.settings.operator.blocks and name not in records.returned:
                ownerless.setdefault(block, []).append(name)
        for block, names in ownerless.items():
            held = self.member.cluster.grants.get(block_key(block))
            guards = [Guard(block_key(block), held[1] if held is not None else 0)]
            if held is not None and held[0].name:
                if self.member.cluster.holder(block_key(block)) is not None:
                    continue  # its last owner may still act
                version = self.member.cluster.member_version(held[0].name)
                guards.append(Guard(member_key(held[0].name), version))
            some = names[: self.state.limits.guards // 2]
            guards += [Guard(MACHINE + n, records.version_of(n)) for n in some]
            await self._record(some, "no owner", guards)

    async def _record(self, names: list[str], why: str, guards: list[Guard]) -> None:
        self.sequence += 1
        token = self.grant.fencing_token
        name = f"{token}-{self.sequence}"
        stored = StoredReturn(names, token, wall_us(), why)
        told = event("to be returned", name, stored.at, names)
        await self._try([*guards, Guard(RETURN + name, 0)], Put(RETURN + name, stored), told)

    async def _try(self, guards: list[Guard], put: Put, told: Event) -> None:
        """One of several decisions: if what it is about has changed, the next list tells."""
        try:
            await self.history.commit(guards, [put], told, can_wait=True)
            log.info("%s %s: %s", told.action, put.key, ", ".join(told.names))
        except Conflict as conflict:
            log.debug("reclaiming %s: %s changed", put.key, conflict)
        except (Failed, Unavailable) as fault:
            log.info("reclaiming %s: %s", put.key, fault)
