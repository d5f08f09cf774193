"""A block's machines that are to go: decided here, recorded for the holder of the duty of
returning, or, while duties are not granted on their own, deleted under the block's own lease."""

import asyncio

import msgspec

from basaltlead.clients.base import Backoff, Unavailable
from basaltlead.clients.cloud import CLOUD_TROUBLE, Cloud
from basaltlead.core import fleet_sizing
from basaltlead.core.model import US, Machine
from basaltlead.duties.machine_deletion import MOST_NAMES, Returning
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.idle_retention import QuietKeeping
from basaltlead.scaling.reachability import Reachability
from basaltlead.shard.leader import Owner
from basaltlead.storage.client import Conflict, SessionLeaseExpired
from basaltlead.storage.records import MACHINE, RETURN, StoredReturn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.state import Drop, Guard, Put

MINIMUM_US = 60 * US  # what a machine costs at least
PAUSE_S = 0.3  # between two looks for machines that are to go
GUARDS_BESIDE = 4  # of a return's record, beside one for each machine
RETURN_BYTES, NAME_BYTES = 512, 32  # what a return's record takes, and each of its names


def overdue(machine: Machine, now: int) -> bool:
    """Should it have come up by now? One that stands recorded did, under an earlier owner,
    even if it has not yet reported to us: returning those cost a new owner its machines."""
    patience = int(machine.kind.boot_us * 2.5) + 5 * US
    return not machine.up and not machine.recorded and now - machine.made_at > patience


def rebuy_us(machine: Machine) -> float:
    """For how long a machine may idle at the price of renting one anew: its boot, at the
    ordinary price, since a spot machine that is returned may not be had again."""
    kind = machine.kind
    return kind.boot_us * kind.price / max(fleet_sizing.unit_price(kind, machine.spot), 1e-6)


class MachineReturns:
    """Runs beside an Owner and ends with it."""

    def __init__(self, cloud: Cloud, owner: Owner, reachability: Reachability) -> None:
        self.owner = owner
        self.reachability = reachability
        self.returning = Returning(cloud, owner)
        self.sequence = 0
        self.quiet = QuietKeeping(owner) if owner.quiet_times is not None else None

    def start(self) -> None:
        """Go on with what is recorded."""
        self.owner.spawn(self._carry_out(), "loop return")
        if self.quiet is not None:
            self.owner.spawn(self.quiet.load(), "load quiet times")
        if self.owner.member.duty_keys:
            self.owner.spawn(self._follow(), "loop follow returns")

    # What is to go

    def decide(self, needed: set[str], now: int) -> None:
        """Mark the machines that are to go; from then on nothing is started on them."""
        others_heard = self.reachability.others_heard(now)
        if self.quiet is not None:
            self.quiet.begin(now)
        for machine in list(self.owner.block.machines.values()):
            if machine.attempts or machine.deleting:
                continue
            why = self._reason(machine, needed, others_heard, now)
            if why:
                machine.deleting = True
                log.info("returning %s: %s", machine.name, why)

    def _reason(self, machine: Machine, needed: set[str], others_heard: bool, now: int) -> str:
        """Why a machine without attempts is to go; empty if it is not."""
        if overdue(machine, now):
            return "never came up"
        # Everything silent at once is more likely our own trouble than theirs.
        if machine.lost and others_heard:
            return "lost"
        if self._in_doubt_for_long(machine, now):
            return "unreachable"
        settled = self.owner.block.settled(machine)
        if machine.draining and settled:
            return "faulty"
        idle = settled and machine.name not in needed and self._idle(machine, now)
        if idle and not (self.quiet is not None and self.quiet.keeps(machine)):
            return "idle"
        return ""

    def _in_doubt_for_long(self, machine: Machine, now: int) -> bool:
        since = max(machine.unreachable_since, machine.back_at)
        patience = 2 * self.owner.block.timing.lease_expiry_us
        return bool(machine.unreachable_since) and now - since > patience

    def _idle(self, machine: Machine, now: int) -> bool:
        share = self.owner.settings.operator.idle_share
        return (
            machine.up and machine.synced
            and now - machine.idle_since > share * rebuy_us(machine)
            and now - machine.made_at > MINIMUM_US - 5 * US
        )  # fmt: skip

    # Carrying out

    async def _carry_out(self) -> None:
        backoff = Backoff(500_000, 4_000_000, self.owner.member.chance)
        while True:
            await asyncio.sleep(PAUSE_S)
            names = [m.name for m in self.owner.block.machines.values() if m.deleting]
            if not names or not self.owner.acts:
                continue
            try:
                if self.owner.member.duties_granted:
                    await self._record(names)
                else:
                    await self._delete(names)
                backoff.reset()
            except CLOUD_TROUBLE as fault:
                log.info("deleting machines: %s", fault)
                await backoff.rest()

    async def _record(self, names: list[str]) -> None:
        """Have machines returned. Guarded on the record of each as we know it, and on our grant:
        whoever owns the block from now on reads this before it acts."""
        limits = self.owner.limits
        most = min(
            MOST_NAMES,
            limits.guards - GUARDS_BESIDE,
            (limits.value_bytes - RETURN_BYTES) // NAME_BYTES,
        )
        recorded = self.owner.returning
        names = [name for name in names if name not in recorded][: max(1, most)]
        if not names:
            return
        self.sequence += 1
        token = self.owner.grant.fencing_token
        key = f"{RETURN}{token}-{self.sequence}"
        stored = StoredReturn(names, token, wall_us())
        versions = self.owner.versions
        guards = [Guard(MACHINE + name, versions.get(MACHINE + name, 0)) for name in names]
        try:
            put = Put(key, stored)
            await self.owner.state.multi([*self.owner.guards(), Guard(key, 0), *guards], [put])
        except Conflict as conflict:
            await self._refresh(conflict.failed)
        except SessionLeaseExpired:
            return
        else:
            self._note(key, stored)

    async def _refresh(self, failed: list[str]) -> None:
        """Machines that were recorded while we thought that they were not."""
        for key in failed:
            if key.startswith(MACHINE):
                row = await self.owner.state.get(key)
                self.owner.versions[key] = row.version if row is not None else 0

    async def _delete(self, names: list[str]) -> None:
        """Delete what is to go, and forget it once the cloud says that it is gone."""
        now = now_us()
        due = self.returning.due(names, now)[:MOST_NAMES]
        if not due:
            return
        gone = await self.returning.delete(due, now)
        machines = self.owner.block.machines
        recorded = [MACHINE + n for n in gone if n in machines and machines[n].recorded]
        for name in gone:
            self._gone(name)
        done = [
            key for key, one in self.owner.returns.items() if not machines.keys() & set(one.names)
        ]
        for key in done:
            self.owner.returns.pop(key, None)
        # Their records wait for their turn among the writes; other machines do not.
        self.owner.spawn(self._forget([*recorded, *done]), "forget machines")

    def _gone(self, name: str) -> None:
        machine = self.owner.block.machines.get(name)
        if machine is not None:
            self.owner.dispatcher.workers.forget(machine.address)
        self.owner.block.drop_machine(name, now_us())
        self.owner.versions.pop(MACHINE + name, None)
        self.owner.wake.set()

    async def _forget(self, keys: list[str]) -> None:
        """Drop the records of machines that are gone."""
        for some in self.owner.limits.drops(keys):
            await self._drop_records(some)

    async def _drop_records(self, keys: list[str]) -> None:
        drops = list(map(Drop, keys))
        for _ in range(5):
            try:
                await self.owner.state.multi(self.owner.guards(), drops, can_wait=True)
                return
            except (Failed, Unavailable):
                await asyncio.sleep(0.5)
            except (Conflict, SessionLeaseExpired):
                return

    # Following what the holders of duties do

    async def _follow(self) -> None:
        state, watch_ms = self.owner.state, self.owner.member.watch_ms
        known = list(self.owner.returns)
        await follow_rows(state, RETURN, watch_ms, self._put, self._settled, known)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        self._note(key, msgspec.json.decode(raw, type=StoredReturn))

    def _note(self, key: str, stored: StoredReturn) -> None:
        """Recorded, by us or by whoever reclaims: nothing may start there any more."""
        self.owner.returns[key] = stored
        for name in stored.names:
            machine = self.owner.block.machines.get(name)
            if machine is not None:
                machine.deleting = True

    def _settled(self, key: str) -> None:
        """The machines of a return are gone."""
        stored = self.owner.returns.pop(key, None)
        for name in stored.names if stored is not None else ():
            if name in self.owner.block.machines:
                self._gone(name)
