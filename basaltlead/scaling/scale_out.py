"""A block's rental requests: recorded here, carried out by the holder of the duty of renting, or,
while duties are not granted on their own, under the block's own lease."""

import asyncio

import msgspec

from basaltlead.clients.cloud import Cloud
from basaltlead.core.fleet_sizing import Offer, OfferBook
from basaltlead.core.model import Machine
from basaltlead.duties.machine_rental import MOST_REASON, Renting
from basaltlead.duties.model import Duty
from basaltlead.runtime.clock import age_us, now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.shard.leader import Owner, placeholder_kind
from basaltlead.storage.client import TROUBLE
from basaltlead.storage.records import HIRE, StoredHire
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.state import Drop, Guard, Put

MOST_IN_HIRE = 50  # the cloud rents that many at once
HIRE_BYTES, NAME_BYTES = 256, 32  # what a hire's record takes, and each of its machines' names
MIND_PAUSE_S = 1.0  # between two looks for requests that are left to us


class RentalRequests:
    """Runs beside an Owner and ends with it."""

    def __init__(self, cloud: Cloud, owner: Owner, offer_book: OfferBook) -> None:
        self.owner = owner
        self.offer_book = offer_book
        self.renting = Renting(owner.state, cloud, owner, owner.member.chance)
        self.sequence = 0
        self.pending: dict[str, list[Machine]] = {}  # machines of requests without an answer
        self.carrying: dict[str, asyncio.Task[None]] = {}  # requests that we carry out ourselves

    def start(self) -> None:
        """Take up what is recorded."""
        for name, stored in list(self.owner.hires.items()):
            if stored.names is not None:
                self._expect(stored, stored.names)
            elif self.owner.member.duties_granted:
                self._await_machines(name, stored)
            else:
                self._carry_out_beside(name, stored)
        if self.owner.member.duty_keys:
            self.owner.spawn(self._follow(), "loop follow requests")
            self.owner.spawn(self._mind(), "loop mind requests")

    @property
    def hanging(self) -> set[Offer]:
        """Offers of which a request stands that the cloud refuses for good."""
        return {
            Offer(stored.kind, stored.zone, stored.spot)
            for stored in self.owner.hires.values()
            if stored.names is None and stored.refused is not msgspec.UNSET
        }

    def held(self) -> dict[Offer, int]:
        """Machines we hold, by what they were offered as."""
        out: dict[Offer, int] = {}
        for machine in self.owner.block.machines.values():
            offer = Offer(machine.kind.name, machine.zone, machine.spot)
            out[offer] = out.get(offer, 0) + 1
        return out

    def request(self, offer: Offer, count: int) -> None:
        """Ask for machines."""
        self.sequence += 1
        name = f"h-{self.owner.grant.fencing_token}-{self.sequence}"
        stored = StoredHire(
            offer.kind, offer.zone, offer.spot, min(count, self._most_in_hire()), wall_us(), None,
            self.owner.number,
        )  # fmt: skip
        self.owner.spawn(self._record(name, stored), f"hire {name}")

    def _most_in_hire(self) -> int:
        """Machines in one request: their names must fit into its record."""
        room = self.owner.limits.value_bytes - HIRE_BYTES
        return max(1, min(MOST_IN_HIRE, room // NAME_BYTES))

    async def _record(self, name: str, stored: StoredHire) -> None:
        """Write a request down before it is sent, so that whoever comes after us asks again under
        the same name instead of renting twice."""
        self._await_machines(name, stored)
        # Guarded on there being none: a name is never used again.
        guards = [*self.owner.guards(), Guard(HIRE + name, 0)]
        delegated = self.owner.member.duties_granted
        if delegated:
            held = self.owner.member.cluster.grants.get(Duty.RENT.key)
            stored.duty_token = held[0].fencing_token if held is not None else 0
            guards.append(Guard(Duty.RENT.key, held[1] if held is not None else 0))
        try:
            version = await self.owner.state.multi(guards, [Put(HIRE + name, stored)])
        except TROUBLE as fault:
            log.info("hire %s not recorded: %s", name, fault)
            self.pending.pop(name, None)
            return
        self._note_version(name, version)
        if name in self.owner.hires:
            return  # told by the watch already
        self.owner.hires[name] = stored
        if not delegated:
            self._carry_out_beside(name, stored)

    def _await_machines(self, name: str, stored: StoredHire) -> None:
        """Reckon with what a request will bring."""
        kind = self.owner.kinds.get(stored.kind) or placeholder_kind(stored.kind)
        now = now_us()
        self.pending[name] = [
            Machine(f"{name}/{i}", kind, stored.zone, stored.spot, now)
            for i in range(stored.number)
        ]

    # Carrying out under the block's own lease

    def _carry_out_beside(self, name: str, stored: StoredHire) -> None:
        self.carrying[name] = self.owner.spawn(self._carry_out(name, stored), f"hire {name}")

    async def _carry_out(self, name: str, stored: StoredHire) -> None:
        if name not in self.pending:
            self._await_machines(name, stored)
        try:
            names = await self.renting.ask(name, stored, lambda why: self._refused(name, why))
            version = self.owner.versions.pop(HIRE + name, 0)
            if names is None:
                self._no_capacity(name)
                await self.renting.settle(name, None, version)
            else:
                stored.names, stored.refused = names, msgspec.UNSET
                self._settled(name, stored)
                await self.renting.settle(name, stored, version)
        except TROUBLE as fault:
            log.info("hire %s not recorded: %s", name, fault)
        finally:
            self.pending.pop(name, None)
            self.carrying.pop(name, None)

    async def _refused(self, name: str, reason: str) -> None:
        """Nobody counts on its machines, and nobody waits for it: others are asked for."""
        self.owner.hires[name].refused = reason[:MOST_REASON]
        self.pending.pop(name, None)

    # What became of requests

    def _settled(self, name: str, stored: StoredHire) -> None:
        self.owner.hires[name] = stored
        self._expect(stored, stored.names or [])
        offer = Offer(stored.kind, stored.zone, stored.spot)
        if name in self.pending and len(stored.names or ()) < stored.number:
            self.offer_book.refused(offer, self.held().get(offer, 0), now_us())

    def _no_capacity(self, name: str) -> None:
        stored = self.owner.hires.pop(name, None)
        if name in self.pending and stored is not None:
            offer = Offer(stored.kind, stored.zone, stored.spot)
            self.offer_book.refused(offer, self.held().get(offer, 0), now_us())

    def _expect(self, stored: StoredHire, names: list[str]) -> None:
        now = now_us()
        returning = self.owner.returning
        kind = self.owner.kinds.get(stored.kind) or placeholder_kind(stored.kind)
        for name in names:
            if name in self.owner.block.gone:
                continue
            machine = Machine(name, kind, stored.zone, stored.spot, now)
            machine.made_at = now - age_us(stored.at)
            machine.deleting = name in returning
            self.owner.block.add_machine(machine)

    # Following what the holder of the duty does

    async def _follow(self) -> None:
        state, watch_ms = self.owner.state, self.owner.member.watch_ms
        known = [HIRE + name for name in self.owner.hires]
        await follow_rows(state, HIRE, watch_ms, self._put, self._dropped, known)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(HIRE) :]
        stored = msgspec.json.decode(raw, type=StoredHire)
        if stored.block != self.owner.number or name in self.carrying:
            return
        self._note_version(name, version)
        known = self.owner.hires.get(name)
        if stored.names is not None:
            if known is None or known.names is None:
                self._settled(name, stored)
                self.pending.pop(name, None)
                self.owner.wake.set()
            return
        self.owner.hires[name] = stored
        if stored.refused is not msgspec.UNSET:
            self.pending.pop(name, None)
        elif name not in self.pending:
            self._await_machines(name, stored)

    def _dropped(self, key: str) -> None:
        name = key[len(HIRE) :]
        if name in self.carrying:
            return
        self.owner.versions.pop(HIRE + name, None)
        stored = self.owner.hires.get(name)
        if stored is not None and stored.names is None:
            self._no_capacity(name)
            self.pending.pop(name, None)
        else:
            self.owner.hires.pop(name, None)

    def _note_version(self, name: str, version: int) -> None:
        versions = self.owner.versions
        versions[HIRE + name] = max(versions.get(HIRE + name, 0), version)

    async def _mind(self) -> None:
        """What nobody else carries out is ours: an older member may have joined."""
        while True:
            await asyncio.sleep(MIND_PAUSE_S)
            if self.owner.member.duties_granted or not self.owner.acts:
                continue
            for name, stored in list(self.owner.hires.items()):
                if stored.names is None and name not in self.carrying:
                    self._carry_out_beside(name, stored)

    async def tidy(self) -> None:
        """Records of requests whose machines are all up or gone are not needed any more."""
        block = self.owner.block
        for name, stored in list(self.owner.hires.items()):
            if stored.names is None:
                continue
            waiting = [
                n for n in stored.names
                if n in block.machines and not block.machines[n].recorded
            ]  # fmt: skip
            if not waiting:
                try:
                    drop = [Drop(HIRE + name)]
                    await self.owner.state.multi(self.owner.guards(), drop, can_wait=True)
                    self.owner.hires.pop(name, None)
                except TROUBLE:
                    return
