"""A shard's machines that are to go: decided here, recorded for the holder of the duty of
returning, or, while duties are not granted on their own, deleted under the shard's own lease."""

import asyncio

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.offers import unit_price
from basaltlead.duties.machine_deletion import MOST_NAMES, MachineDeletion
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    ServiceError,
    SessionLeaseExpired,
    Unavailable,
)
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.idle_retention import IdleRetention
from basaltlead.scaling.quiet_times import QuietTimes
from basaltlead.scaling.reachability import Reachability
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import MACHINE, SCALE_IN, StoredScaleIn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

MINIMUM_US = 60 * US  # what a machine costs at least
PAUSE_S = 0.3  # between two looks for machines that are to go
OTHER_PRECONDITIONS = 4  # of a return's record, beside one for each machine
RECORD_BYTES, NAME_BYTES = 512, 32  # what a return's record takes, and each of its names


def provisioning_overdue(machine: Machine, now: int) -> bool:
    """Should it have come up by now? One that stands recorded did, under an earlier shard leader,
    even if it has not yet reported to us: returning those cost a new shard leader its machines."""
    patience = int(machine.machine_type.boot_us * 2.5) + 5 * US
    return not machine.up and not machine.recorded and now - machine.made_at > patience


def replacement_cost_us(machine: Machine) -> float:
    """For how long a machine may idle at the price of renting one anew: its boot, at the
    ordinary price, since a spot machine that is returned may not be had again."""
    machine_type = machine.machine_type
    return (
        machine_type.boot_us
        * machine_type.price
        / max(unit_price(machine_type, machine.spot), 1e-6)
    )


class ScaleIn:
    """Runs beside an Owner and ends with it."""

    def __init__(
        self,
        context: ShardContext,
        cloud: Cloud,
        reachability: Reachability,
        quiet_times: QuietTimes | None,
    ) -> None:
        self.context = context
        self.reachability = reachability
        self.returning = MachineDeletion(cloud, context.lease)
        self.sequence = 0
        self.quiet = IdleRetention(context, quiet_times) if quiet_times is not None else None

    def start(self) -> None:
        """Go on with what is recorded."""
        self.context.spawn(self._carry_out(), "loop return")
        if self.quiet is not None:
            self.context.spawn(self.quiet.load(), "load quiet times")
        if self.context.membership.duty_keys:
            self.context.spawn(self._follow(), "loop follow returns")

    # What is to go

    def decide(self, needed: set[str], now: int) -> None:
        """Mark the machines that are to go; from then on nothing is started on them."""
        others_heard = self.reachability.others_heard(now)
        if self.quiet is not None:
            self.quiet.begin(now)
        for machine in list(self.context.shard.machines.values()):
            if machine.attempts or machine.terminating:
                continue
            why = self._reason(machine, needed, others_heard, now)
            if why:
                machine.terminating = True
                log.info("returning %s: %s", machine.name, why)

    def _reason(self, machine: Machine, needed: set[str], others_heard: bool, now: int) -> str:
        """Why a machine without attempts is to go; empty if it is not."""
        if provisioning_overdue(machine, now):
            return "never came up"
        # Everything silent at once is more likely our own trouble than theirs.
        if machine.lost and others_heard:
            return "lost"
        if self._in_doubt_for_long(machine, now):
            return "unreachable"
        settled = self.context.shard.settled(machine)
        if machine.draining and settled:
            return "faulty"
        idle = settled and machine.name not in needed and self._idle(machine, now)
        if idle and not (self.quiet is not None and self.quiet.keeps(machine)):
            return "idle"
        return ""

    def _in_doubt_for_long(self, machine: Machine, now: int) -> bool:
        since = max(machine.unreachable_since, machine.back_at)
        patience = 2 * self.context.shard.timing.lease_expiry_us
        return bool(machine.unreachable_since) and now - since > patience

    def _idle(self, machine: Machine, now: int) -> bool:
        share = self.context.settings.operator.idle_share
        return (
            machine.up
            and machine.synced
            and now - machine.idle_since > share * replacement_cost_us(machine)
            and now - machine.made_at > MINIMUM_US - 5 * US
        )

    # Carrying out

    async def _carry_out(self) -> None:
        backoff = Backoff(500_000, 4_000_000, self.context.membership.chance)
        while True:
            await asyncio.sleep(PAUSE_S)
            names = [m.name for m in self.context.shard.machines.values() if m.terminating]
            if not names or not self.context.lease.holds_valid_lease:
                continue
            try:
                if self.context.membership.duties_granted:
                    await self._record(names)
                else:
                    await self._delete(names)
                backoff.reset()
            except ServiceError as fault:
                log.info("deleting machines: %s", fault)
                await backoff.wait()

    async def _record(self, names: list[str]) -> None:
        """Have machines returned. Guarded on the record of each as we know it, and on our grant:
        whoever owns the shard from now on reads this before it acts."""
        limits = self.context.store.limits
        most = min(
            MOST_NAMES,
            limits.preconditions - OTHER_PRECONDITIONS,
            (limits.value_bytes - RECORD_BYTES) // NAME_BYTES,
        )
        recorded = self.context.intents.returning
        names = [name for name in names if name not in recorded][: max(1, most)]
        if not names:
            return
        self.sequence += 1
        token = self.context.lease.fencing_token
        key = f"{SCALE_IN}{token}-{self.sequence}"
        stored = StoredScaleIn(names, token, wall_us())
        versions = self.context.store.versions
        preconditions = [
            Precondition(MACHINE + name, versions.get(MACHINE + name, 0)) for name in names
        ]
        try:
            put = Put(key, stored)
            await self.context.store.commit([put], [Precondition(key, 0), *preconditions])
        except PreconditionFailed as conflict:
            await self._refresh(conflict.failed)
        except SessionLeaseExpired:
            return
        else:
            self._note(key, stored)

    async def _refresh(self, failed: list[str]) -> None:
        """Machines that were recorded while we thought that they were not."""
        for key in failed:
            if key.startswith(MACHINE):
                row = await self.context.store.get(key)
                self.context.store.versions[key] = row.version if row is not None else 0

    async def _delete(self, names: list[str]) -> None:
        """Delete what is to go, and forget it once the cloud says that it is gone."""
        now = now_us()
        due = self.returning.due(names, now)[:MOST_NAMES]
        if not due:
            return
        gone = await self.returning.delete(due, now)
        machines = self.context.shard.machines
        recorded = [MACHINE + n for n in gone if n in machines and machines[n].recorded]
        for name in gone:
            self._gone(name)
        done = [
            key
            for key, one in self.context.intents.scale_ins.items()
            if not machines.keys() & set(one.names)
        ]
        for key in done:
            self.context.intents.scale_ins.pop(key, None)
        # Their records wait for their turn among the writes; other machines do not.
        self.context.spawn(self._forget([*recorded, *done]), "forget machines")

    def _gone(self, name: str) -> None:
        machine = self.context.shard.machines.get(name)
        if machine is not None:
            self.context.workers.forget(machine.address)
        self.context.shard.drop_machine(name, now_us())
        self.context.store.versions.pop(MACHINE + name, None)
        self.context.wake.set()

    async def _forget(self, keys: list[str]) -> None:
        """Drop the records of machines that are gone."""
        for some in self.context.store.limits.drops(keys):
            await self._drop_records(some)

    async def _drop_records(self, keys: list[str]) -> None:
        drops = list(map(Drop, keys))
        for _ in range(5):
            try:
                await self.context.store.commit(drops, low_priority=True)
                return
            except (RequestFailed, Unavailable):
                await asyncio.sleep(0.5)
            except (PreconditionFailed, SessionLeaseExpired):
                return

    # Following what the holders of duties do

    async def _follow(self) -> None:
        store, watch_ms = self.context.store.client, self.context.membership.watch_ms
        known = list(self.context.intents.scale_ins)
        await follow_rows(store, SCALE_IN, watch_ms, self._put, self._settled, known)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        self._note(key, msgspec.json.decode(raw, type=StoredScaleIn))

    def _note(self, key: str, stored: StoredScaleIn) -> None:
        """Recorded, by us or by whoever reclaims: nothing may start there any more."""
        self.context.intents.scale_ins[key] = stored
        for name in stored.names:
            machine = self.context.shard.machines.get(name)
            if machine is not None:
                machine.terminating = True

    def _settled(self, key: str) -> None:
        """The machines of a return are gone."""
        stored = self.context.intents.scale_ins.pop(key, None)
        for name in stored.names if stored is not None else ():
            if name in self.context.shard.machines:
                self._gone(name)
