"""The reclaim duty: adopts rented machines without a record, and returns machines that have failed
or whose shard no longer exists."""

import asyncio
from enum import StrEnum

import msgspec

from basaltlead.core.cluster_view import Grant, member_key, shard_key
from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from basaltlead.duties.history import Action, Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.machine_deletion import MAX_DELETIONS_PER_CALL
from basaltlead.duties.model import Duty
from basaltlead.duties.unknown_machines import (
    FAILED_STAGE,
    UnknownMachines,
    compute_grace_period_us,
)
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

MIN_PAUSE_S = 4.0  # between two reads of the cloud's list
ADOPTED_PREFIX = "a-"  # of the names of scale-out records for adopted machines
# While all listed machines are in the records that were read last, these are read again only after
# this time.
RECORDS_VALID_US = 60 * US
MAX_ADOPTIONS_PER_PASS = 20
FIRST_SHARD = 0  # the shard that adopted machines are assigned to


class ReturnReason(StrEnum):
    """Why a machine is returned. The values are stored."""

    FAILED = "failed"
    NO_OWNER = "no owner"


class FleetRecords:
    """The records that name machines. They must be read after the cloud's list with which they are
    compared, see `_reconcile`."""

    def __init__(self, machines: list[Row], scale_outs: list[Row], scale_ins: list[Row]) -> None:
        self.machines = {row.key[len(MACHINE) :]: row for row in machines}
        self.pending_offers: set[Offer] = set()  # of open requests that are not rejected
        self.rented: set[str] = set()
        self.returned: set[str] = set()
        for row in scale_outs:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if scale_out.names is None and scale_out.refused is msgspec.UNSET:
                self.pending_offers.add(Offer(scale_out.type_name, scale_out.zone, scale_out.spot))
            self.rented.update(scale_out.names or ())
        for row in scale_ins:
            self.returned.update(msgspec.json.decode(row.value, type=StoredScaleIn).names)

    @property
    def known(self) -> set[str]:
        """Names of all machines in any record."""
        return self.machines.keys() | self.rented | self.returned

    def preconditions(self, names: list[str]) -> list[Precondition]:
        """The preconditions that the machines' own records, or their absence, are unchanged."""
        return [Precondition(MACHINE + name, self._version_of(name)) for name in names]

    def _version_of(self, name: str) -> int:
        """The version of a machine's own record; 0 if it has none."""
        row = self.machines.get(name)
        return row.version if row is not None else 0


class ReclaimDuty(DutyHolder):
    """Reconciles the cloud's list of rented machines with the records."""

    duty = Duty.RECLAIM

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        list_lag_s = self.settings.facts.cloud.list_lag_s
        self.pause_s = max(MIN_PAUSE_S, list_lag_s)
        self.unknown_machines = UnknownMachines(compute_grace_period_us(list_lag_s))
        self.known: set[str] = set()  # machines in the records that were read last
        # When the list that was last compared with the records was requested.
        self.compared_list_at = -RECORDS_VALID_US
        self.sequence = 0  # of the scale-ins that are recorded under this grant

    async def run(self) -> None:
        """Reconcile periodically until cancelled."""
        while True:
            await asyncio.sleep(self.pause_s)
            if not self.holds_valid_lease:
                continue
            try:
                await self._reconcile()
            except ServiceError as error:
                log.info("reclaim pass failed, will be retried: %s", error)

    async def _reconcile(self) -> None:
        listed_at = now_us()
        rented = await self.cloud.machines()
        all_known = all(
            machine.name in self.known and machine.stage != FAILED_STAGE for machine in rented
        )
        if all_known and listed_at - self.compared_list_at < RECORDS_VALID_US:
            return
        # A request is recorded before its machines are rented. So records that are read after the
        # list contain every request that a listed machine may come from.
        records = await self._read_records()
        self.compared_list_at = listed_at
        self.known = records.known
        self.unknown_machines.update(rented, self.known, listed_at)
        abandoned = self.unknown_machines.abandoned(rented, records.pending_offers, listed_at)
        for machine in abandoned[:MAX_ADOPTIONS_PER_PASS]:
            await self._adopt(machine)
        await self._return_failed(records, rented)
        await self._return_ownerless(records)

    async def _read_records(self) -> FleetRecords:
        machines, _ = await self.store.rows(MACHINE)
        scale_outs, _ = await self.store.rows(SCALE_OUT)
        scale_ins, _ = await self.store.rows(SCALE_IN)
        return FleetRecords(machines, scale_outs, scale_ins)

    async def _adopt(self, machine: RentedMachine) -> None:
        """Record the machine as if the first shard had requested it.

        The preconditions resolve the race with the shard that the machine reports to: if that shard
        has received a heartbeat and recorded the machine in the meantime, this write fails.
        """
        name = ADOPTED_PREFIX + machine.name
        rented_at = wall_us() - int(machine.age_s * US)
        stored = StoredScaleOut(
            machine.type, machine.zone, machine.spot, 1, rented_at, [machine.name], FIRST_SHARD
        )
        await self._commit_if_unchanged(
            [Precondition(SCALE_OUT + name, 0), Precondition(MACHINE + machine.name, 0)],
            Put(SCALE_OUT + name, stored),
            Event.of(Action.ADOPTED, name, rented_at, [machine.name]),
        )

    async def _return_failed(self, records: FleetRecords, rented: list[RentedMachine]) -> None:
        """Record the return of machines that the cloud lists as failed."""
        failed = [
            machine.name
            for machine in rented
            if machine.stage == FAILED_STAGE and machine.name not in records.returned
        ]
        batch_size = min(MAX_DELETIONS_PER_CALL, self.store.limits.preconditions // 2)
        for start in range(0, len(failed), batch_size):
            batch = failed[start : start + batch_size]
            await self._record_scale_in(batch, ReturnReason.FAILED, records.preconditions(batch))

    async def _return_ownerless(self, records: FleetRecords) -> None:
        """Record the return of machines whose shard no longer exists.

        Shards cease to exist when the operators lower their number.
        """
        ownerless: dict[int, list[str]] = {}
        for name, row in records.machines.items():
            shard = msgspec.json.decode(row.value, type=StoredMachine).shard
            if shard >= self.settings.operator.shards and name not in records.returned:
                ownerless.setdefault(shard, []).append(name)
        for shard, names in ownerless.items():
            held = self.membership.cluster.grants.get(shard_key(shard))
            key = shard_key(shard)
            preconditions = [Precondition(key, held.version if held is not None else 0)]
            if held is not None and held.value.name:
                if self.membership.cluster.holder(shard_key(shard)) is not None:
                    continue  # the last leader of the shard may still act
                version = self.membership.cluster.member_version(held.value.name)
                preconditions.append(Precondition(member_key(held.value.name), version))
            batch = names[: self.store.limits.preconditions // 2]  # the others in the next pass
            preconditions += records.preconditions(batch)
            await self._record_scale_in(batch, ReturnReason.NO_OWNER, preconditions)

    async def _record_scale_in(
        self, names: list[str], reason: ReturnReason, preconditions: list[Precondition]
    ) -> None:
        self.sequence += 1
        token = self.grant.fencing_token
        name = f"{token}-{self.sequence}"
        stored = StoredScaleIn(names, token, wall_us(), reason)
        await self._commit_if_unchanged(
            [*preconditions, Precondition(SCALE_IN + name, 0)],
            Put(SCALE_IN + name, stored),
            Event.of(Action.TO_BE_RETURNED, name, stored.at, names),
        )

    async def _commit_if_unchanged(
        self, preconditions: list[Precondition], put: Put, event: Event
    ) -> None:
        """Record one decision.

        A failure is logged, not raised, so that it does not affect the other decisions. The next
        pass decides again from the current state.
        """
        try:
            await self.history.commit(preconditions, [put], event, low_priority=True)
        except PreconditionFailed as conflict:
            log.debug("reclaim: %s not recorded, conflict: %s", put.key, conflict)
        except (RequestFailed, Unavailable) as error:
            log.info("reclaim: %s not recorded: %s", put.key, error)
        else:
            log.info("%s %s: %s", event.action, put.key, ", ".join(event.names))
