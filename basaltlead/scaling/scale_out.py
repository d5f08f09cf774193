"""A shard's rental requests: recorded here, carried out by the holder of the duty of renting, or,
while duties are not granted on their own, under the shard's own lease."""

import asyncio

import msgspec

from basaltlead.clients.cloud import Cloud
from basaltlead.core.entities import Machine
from basaltlead.core.offers import Offer, OfferBook
from basaltlead.duties.machine_rental import MOST_REASON, MachineRental
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import age_us, now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

MAX_MACHINES_PER_REQUEST = 50  # the cloud rents that many at once
REQUEST_BYTES, NAME_BYTES = (
    256,
    32,
)  # what a rental request's record takes, and each of its machines' names
UNCLAIMED_PAUSE_S = 1.0  # between two looks for requests that are left to us


class ScaleOut:
    """Runs beside an Owner and ends with it."""

    def __init__(self, context: ShardContext, cloud: Cloud, offer_book: OfferBook) -> None:
        self.context = context
        self.offer_book = offer_book
        self.machine_rental = MachineRental(
            context.store.client, cloud, context.lease, context.membership.chance
        )
        self.sequence = 0
        self.pending: dict[str, list[Machine]] = {}  # machines of requests without an answer
        self.carrying: dict[str, asyncio.Task[None]] = {}  # requests that we carry out ourselves

    def start(self) -> None:
        """Take up what is recorded."""
        for name, stored in list(self.context.intents.scale_outs.items()):
            if stored.names is not None:
                self._expect(stored, stored.names)
            elif self.context.membership.duties_granted:
                self._await_machines(name, stored)
            else:
                self._carry_out_beside(name, stored)
        if self.context.membership.duty_keys:
            self.context.spawn(self._follow(), "loop follow requests")
            self.context.spawn(self._carry_out_unclaimed(), "loop carry out requests")

    @property
    def hanging(self) -> set[Offer]:
        """Offers of which a request stands that the cloud refuses for good."""
        return {
            Offer(stored.type_name, stored.zone, stored.spot)
            for stored in self.context.intents.scale_outs.values()
            if stored.names is None and stored.refused is not msgspec.UNSET
        }

    def held(self) -> dict[Offer, int]:
        """Machines we hold, by what they were offered as."""
        out: dict[Offer, int] = {}
        for machine in self.context.shard.machines.values():
            offer = Offer(machine.machine_type.name, machine.zone, machine.spot)
            out[offer] = out.get(offer, 0) + 1
        return out

    def request(self, offer: Offer, count: int) -> None:
        """Ask for machines."""
        self.sequence += 1
        name = f"h-{self.context.lease.fencing_token}-{self.sequence}"
        stored = StoredScaleOut(
            offer.type_name,
            offer.zone,
            offer.spot,
            min(count, self._max_machines_per_request()),
            wall_us(),
            None,
            self.context.number,
        )
        self.context.spawn(self._record(name, stored), f"hire {name}")

    def _max_machines_per_request(self) -> int:
        """Machines in one request: their names must fit into its record."""
        room = self.context.store.limits.value_bytes - REQUEST_BYTES
        return max(1, min(MAX_MACHINES_PER_REQUEST, room // NAME_BYTES))

    async def _record(self, name: str, stored: StoredScaleOut) -> None:
        """Write a request down before it is sent, so that whoever comes after us asks again under
        the same name instead of renting twice."""
        self._await_machines(name, stored)
        # Guarded on there being none: a name is never used again.
        preconditions = [Precondition(SCALE_OUT + name, 0)]
        delegated = self.context.membership.duties_granted
        if delegated:
            held = self.context.membership.cluster.grants.get(Duty.RENT.key)
            stored.duty_token = held.value.fencing_token if held is not None else 0
            preconditions.append(
                Precondition(Duty.RENT.key, held.version if held is not None else 0)
            )
        try:
            version = await self.context.store.commit(
                [Put(SCALE_OUT + name, stored)], preconditions
            )
        except ServiceError as fault:
            log.info("hire %s not recorded: %s", name, fault)
            self.pending.pop(name, None)
            return
        self._note_version(name, version)
        if name in self.context.intents.scale_outs:
            return  # told by the watch already
        self.context.intents.scale_outs[name] = stored
        if not delegated:
            self._carry_out_beside(name, stored)

    def _await_machines(self, name: str, stored: StoredScaleOut) -> None:
        """Reckon with what a request will bring."""
        machine_type = self.context.machine_type(stored.type_name)
        now = now_us()
        self.pending[name] = [
            Machine(f"{name}/{i}", machine_type, stored.zone, stored.spot, now)
            for i in range(stored.number)
        ]

    # Carrying out under the shard's own lease

    def _carry_out_beside(self, name: str, stored: StoredScaleOut) -> None:
        self.carrying[name] = self.context.spawn(self._carry_out(name, stored), f"hire {name}")

    async def _carry_out(self, name: str, stored: StoredScaleOut) -> None:
        if name not in self.pending:
            self._await_machines(name, stored)
        try:
            names = await self.machine_rental.rent(
                name, stored, lambda why: self._refused(name, why)
            )
            version = self.context.store.versions.pop(SCALE_OUT + name, 0)
            if names is None:
                self._no_capacity(name)
                await self.machine_rental.record_outcome(name, None, version)
            else:
                stored.names, stored.refused = names, msgspec.UNSET
                self._settled(name, stored)
                await self.machine_rental.record_outcome(name, stored, version)
        except ServiceError as fault:
            log.info("hire %s not recorded: %s", name, fault)
        finally:
            self.pending.pop(name, None)
            self.carrying.pop(name, None)

    async def _refused(self, name: str, reason: str) -> None:
        """Nobody counts on its machines, and nobody waits for it: others are asked for."""
        self.context.intents.scale_outs[name].refused = reason[:MOST_REASON]
        self.pending.pop(name, None)

    # What became of requests

    def _settled(self, name: str, stored: StoredScaleOut) -> None:
        self.context.intents.scale_outs[name] = stored
        self._expect(stored, stored.names or [])
        offer = Offer(stored.type_name, stored.zone, stored.spot)
        if name in self.pending and len(stored.names or ()) < stored.number:
            self.offer_book.refused(offer, self.held().get(offer, 0), now_us())

    def _no_capacity(self, name: str) -> None:
        stored = self.context.intents.scale_outs.pop(name, None)
        if name in self.pending and stored is not None:
            offer = Offer(stored.type_name, stored.zone, stored.spot)
            self.offer_book.refused(offer, self.held().get(offer, 0), now_us())

    def _expect(self, stored: StoredScaleOut, names: list[str]) -> None:
        now = now_us()
        returning = self.context.intents.returning
        machine_type = self.context.machine_type(stored.type_name)
        for name in names:
            if name in self.context.shard.gone:
                continue
            machine = Machine(name, machine_type, stored.zone, stored.spot, now)
            machine.made_at = now - age_us(stored.at)
            machine.terminating = name in returning
            self.context.shard.add_machine(machine)

    # Following what the holder of the duty does

    async def _follow(self) -> None:
        store, watch_ms = self.context.store.client, self.context.membership.watch_ms
        known = [SCALE_OUT + name for name in self.context.intents.scale_outs]
        await follow_rows(store, SCALE_OUT, watch_ms, self._put, self._dropped, known)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(SCALE_OUT) :]
        stored = msgspec.json.decode(raw, type=StoredScaleOut)
        if stored.shard != self.context.number or name in self.carrying:
            return
        self._note_version(name, version)
        known = self.context.intents.scale_outs.get(name)
        if stored.names is not None:
            if known is None or known.names is None:
                self._settled(name, stored)
                self.pending.pop(name, None)
                self.context.wake.set()
            return
        self.context.intents.scale_outs[name] = stored
        if stored.refused is not msgspec.UNSET:
            self.pending.pop(name, None)
        elif name not in self.pending:
            self._await_machines(name, stored)

    def _dropped(self, key: str) -> None:
        name = key[len(SCALE_OUT) :]
        if name in self.carrying:
            return
        self.context.store.versions.pop(SCALE_OUT + name, None)
        stored = self.context.intents.scale_outs.get(name)
        if stored is not None and stored.names is None:
            self._no_capacity(name)
            self.pending.pop(name, None)
        else:
            self.context.intents.scale_outs.pop(name, None)

    def _note_version(self, name: str, version: int) -> None:
        versions = self.context.store.versions
        versions[SCALE_OUT + name] = max(versions.get(SCALE_OUT + name, 0), version)

    async def _carry_out_unclaimed(self) -> None:
        """What nobody else carries out is ours: an older member may have joined."""
        while True:
            await asyncio.sleep(UNCLAIMED_PAUSE_S)
            if self.context.membership.duties_granted or not self.context.lease.holds_valid_lease:
                continue
            for name, stored in list(self.context.intents.scale_outs.items()):
                if stored.names is None and name not in self.carrying:
                    self._carry_out_beside(name, stored)

    async def tidy(self) -> None:
        """Records of requests whose machines are all up or gone are not needed any more."""
        shard = self.context.shard
        for name, stored in list(self.context.intents.scale_outs.items()):
            if stored.names is None:
                continue
            waiting = [
                n for n in stored.names if n in shard.machines and not shard.machines[n].recorded
            ]
            if not waiting:
                try:
                    drop = [Drop(SCALE_OUT + name)]
                    await self.context.store.commit(drop, low_priority=True)
                    self.context.intents.scale_outs.pop(name, None)
                except ServiceError:
                    return
