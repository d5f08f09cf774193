"""The duty of reclaiming: machines that are rented, and that nobody knows or can use."""

import asyncio

import msgspec

from basaltlead.core.cluster_view import member_key, shard_key
from basaltlead.core.entities import US
from basaltlead.core.offers import Offer
from basaltlead.duties.history import Event, event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.machine_deletion import MOST_NAMES
from basaltlead.duties.model import Duty
from basaltlead.duties.unknown_machines import FAILED, UnknownMachines, patience_us
from basaltlead.errors import PreconditionFailed, RequestFailed, ServiceError, Unavailable
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import (
    MACHINE,
    SCALE_IN,
    SCALE_OUT,
    StoredMachine,
    StoredScaleIn,
    StoredScaleOut,
)
from basaltlead.wire.cloud import RentedMachine
from basaltlead.wire.store import Precondition, Put, Row

LEAST_PAUSE_S = 4.0  # between two lists
ADOPTED = "a-"  # names of the records under which abandoned machines are adopted begin so
REFRESH_US = 60 * US  # for how long a machine that was known counts as known
MOST_ADOPTED = 20  # in one pass
FIRST_SHARD = 0  # takes what is adopted


class Records:
    """What is recorded of machines, read after the list that it is compared with."""

    def __init__(self, machines: list[Row], scale_outs: list[Row], scale_ins: list[Row]) -> None:
        self.machines = {row.key[len(MACHINE) :]: row for row in machines}
        self.in_progress: set[Offer] = set()
        self.rented: set[str] = set()
        self.returned: set[str] = set()
        for row in scale_outs:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if scale_out.names is None and scale_out.refused is msgspec.UNSET:
                self.in_progress.add(Offer(scale_out.type_name, scale_out.zone, scale_out.spot))
            self.rented.update(scale_out.names or ())
        for row in scale_ins:
            self.returned.update(msgspec.json.decode(row.value, type=StoredScaleIn).names)

    @property
    def known(self) -> set[str]:
        """Names of all machines that stand in any record."""
        return self.machines.keys() | self.rented | self.returned

    def version_of(self, name: str) -> int:
        """The version of a machine's own record; 0: it has none."""
        row = self.machines.get(name)
        return row.version if row is not None else 0


class ReclaimDuty(DutyHolder):
    """Compares the cloud's list with what is recorded."""

    duty = Duty.RECLAIM

    async def run(self) -> None:
        lag_s = self.settings.facts.cloud.list_lag_s
        self.has_unaccounted_tasks = UnknownMachines(patience_us(lag_s))
        self.known: set[str] = set()  # as of the last time that the records were read
        self.read_at = -REFRESH_US
        self.sequence = 0
        pause = max(LEAST_PAUSE_S, lag_s)
        while True:
            await asyncio.sleep(pause)
            if not self.holds_valid_lease:
                continue
            try:
                await self._compare()
            except ServiceError as fault:
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
        self.has_unaccounted_tasks.listed(rented, self.known, asked)
        for one in self.has_unaccounted_tasks.abandoned(rented, records.in_progress, asked)[
            :MOST_ADOPTED
        ]:
            await self._adopt(one)
        failed = [one.name for one in rented if one.stage == FAILED]
        await self._return(records, [n for n in failed if n not in records.returned], "failed")
        await self._return_ownerless(records)

    async def _read(self) -> Records:
        machines, _ = await self.store.rows(MACHINE)
        scale_outs, _ = await self.store.rows(SCALE_OUT)
        scale_ins, _ = await self.store.rows(SCALE_IN)
        return Records(machines, scale_outs, scale_ins)

    async def _adopt(self, one: RentedMachine) -> None:
        """Give it to the first shard, as if it had asked for it. One guarded write decides who
        has it: a shard that has met the machine meanwhile has recorded it, and then this fails."""
        name = ADOPTED + one.name
        made_at = wall_us() - int(one.age_s * US)
        stored = StoredScaleOut(one.type, one.zone, one.spot, 1, made_at, [one.name], FIRST_SHARD)
        preconditions = [Precondition(SCALE_OUT + name, 0), Precondition(MACHINE + one.name, 0)]
        history_event = event("adopted", name, made_at, [one.name])
        await self._try(preconditions, Put(SCALE_OUT + name, stored), history_event)

    async def _return(self, records: Records, names: list[str], why: str) -> None:
        """Record that machines are to be returned that can run nothing any more."""
        most = min(MOST_NAMES, self.store.limits.preconditions // 2)
        for low in range(0, len(names), most):
            some = names[low : low + most]
            preconditions = [Precondition(MACHINE + n, records.version_of(n)) for n in some]
            await self._record(some, why, preconditions)

    async def _return_ownerless(self, records: Records) -> None:
        """Machines of shards that are not granted any more, since there are fewer shards now."""
        ownerless: dict[int, list[str]] = {}
        for name, row in records.machines.items():
            shard = msgspec.json.decode(row.value, type=StoredMachine).shard
            if shard >= self.settings.operator.shards and name not in records.returned:
                ownerless.setdefault(shard, []).append(name)
        for shard, names in ownerless.items():
            held = self.membership.cluster.grants.get(shard_key(shard))
            preconditions = [
                Precondition(shard_key(shard), held.version if held is not None else 0)
            ]
            if held is not None and held.value.name:
                if self.membership.cluster.holder(shard_key(shard)) is not None:
                    continue  # its last shard leader may still act
                version = self.membership.cluster.member_version(held.value.name)
                preconditions.append(Precondition(member_key(held.value.name), version))
            some = names[: self.store.limits.preconditions // 2]
            preconditions += [Precondition(MACHINE + n, records.version_of(n)) for n in some]
            await self._record(some, "no owner", preconditions)

    async def _record(self, names: list[str], why: str, preconditions: list[Precondition]) -> None:
        self.sequence += 1
        token = self.grant.fencing_token
        name = f"{token}-{self.sequence}"
        stored = StoredScaleIn(names, token, wall_us(), why)
        history_event = event("to be returned", name, stored.at, names)
        await self._try(
            [*preconditions, Precondition(SCALE_IN + name, 0)],
            Put(SCALE_IN + name, stored),
            history_event,
        )

    async def _try(self, preconditions: list[Precondition], put: Put, history_event: Event) -> None:
        """One of several decisions: if what it is about has changed, the next list tells."""
        try:
            await self.history.commit(preconditions, [put], history_event, low_priority=True)
            log.info("%s %s: %s", history_event.action, put.key, ", ".join(history_event.names))
        except PreconditionFailed as conflict:
            log.debug("reclaiming %s: %s changed", put.key, conflict)
        except (RequestFailed, Unavailable) as fault:
            log.info("reclaiming %s: %s", put.key, fault)
