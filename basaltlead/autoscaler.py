"""Dealings with the cloud: what is rented comes to what the block needs."""

import asyncio

from basaltlead.clients.base import Backoff, Unavailable
from basaltlead.clients.cloud import Cloud, NoCapacity
from basaltlead.clients.state import TROUBLE, Conflict, SessionLeaseExpired, TooLarge
from basaltlead.clock import age_us, now_us, wall_us
from basaltlead.core import demand, fleet
from basaltlead.core.fleet import Demand, Offer, OfferBook, WarmSpare
from basaltlead.core.market import Market
from basaltlead.core.model import US, Machine, Shape
from basaltlead.core.silent_zones import SILENT_COUNT, SilentZones
from basaltlead.logs import log
from basaltlead.net.http import Failed
from basaltlead.owner import Owner, placeholder_kind
from basaltlead.records import HIRE, MACHINE, StoredHire
from basaltlead.settings import Settings
from basaltlead.wire.cloud import Hire, Rented
from basaltlead.wire.state import Drop, Guard, Put

# Machines that one pass asks for: a few, or a sixteenth of a large fleet, so that a fleet of
# thousands grows as fast as the cloud hires out.
FEW_HIRED, HIRED_SHARE = 12, 16
# Beyond those few, no more than can be recorded while they boot, and for so long after: a machine
# that is not recorded gets no task, and others' writes would wait behind its record.
RECORD_S = 4.0
MOST_HIRING = 6  # hires in progress
SIZING_SHARE = 15  # sizing the fleet leaves that many times what it takes to everything else
MOST_IN_HIRE = 50  # the cloud rents that many at once
HIRE_BYTES, NAME_BYTES = 256, 32  # what a hire's record takes, and each of its machines' names
MOST_NAMES = 100  # the cloud deletes that many at once
BLIND_LEASES = 4  # after so long of hearing nobody we believe that they are gone
ANSWER_US = 4 * US  # for how long a worker waits for an answer; it tries others a second apart
UNREACHABLE_US = 4 * US  # a machine that has not heard us for so long is no capacity
ARRIVALS_US = 200 * US  # jobs that came in this time tell how many will come
MINIMUM_US = 60 * US  # what a machine costs at least


class Autoscaler:
    """Runs beside an Owner and ends with it."""

    def __init__(
        self, settings: Settings, cloud: Cloud, owner: Owner, market: Market, offer_book: OfferBook
    ) -> None:
        self.settings = settings
        self.cloud = cloud
        self.owner = owner
        self.market = market
        self.offer_book = offer_book
        self.sequence = 0
        self.pending: dict[str, list[Machine]] = {}  # hires without an answer so far
        self.silent_at = now_us()  # when nobody was heard
        self.silent_zones = SilentZones()

    def start(self) -> None:
        for name, stored in list(self.owner.hires.items()):
            if stored.names is None:
                self.owner.spawn(self._hire(name, stored), f"hire {name}")
            else:
                self._expect(stored, stored.names)
        self.owner.spawn(self._size(), "loop size")
        self.owner.spawn(self._list(), "loop list")
        self.owner.spawn(self._delete(), "loop delete")

    def _acts(self) -> bool:
        return self.owner.acts

    # What is wanted

    def needs(self, now: int) -> list[Demand]:
        block = self.owner.block
        works = [
            w for w in block.works.values() if not w.closed and not w.complete and now >= w.retry_at
        ]
        loads = demand.loads_of(works, now, block.guess_us)
        wanted = demand.counts(works, now, self.market.due, block.guess_us, self._lead_us(), loads)
        rented = demand.Rented(self.expected(now))
        backlog = sum(loads.values())
        out = []
        for work in sorted(works, key=lambda w: (-w.job.rank, w.asked_at)):
            work.need = wanted[work.job.ref]
            need = Demand(work, work.need)
            if work.job.shape is Shape.ARRAY:
                need.drain_us = rented.drain_us(work.job, backlog)
            out.append(need)
        return out

    def _lead_us(self) -> int:
        return min((kind.boot_us for kind in self.owner.kinds.values()), default=0)

    def spares(self, now: int) -> list[WarmSpare]:
        """Room for jobs whose class is promised a start sooner than a machine boots."""
        out = []
        for job_class, (within, *_) in self.market.promises.starts.items():
            seen = self.owner.job_classes.get(job_class)
            if seen is None:
                continue
            job = seen.last
            suited = [k for k in self.owner.kinds.values() if k.holds(job)]
            if not suited:
                continue
            boot = min(k.boot_us for k in suited)
            fetch = min(k.fetch_s(job) for k in suited)
            if boot * 1.2 + fetch * US <= within:
                continue
            recent = [one for one in seen.seen if now - one.at < ARRIVALS_US]
            if recent:
                expected = sum(one.tasks for one in recent) * boot / ARRIVALS_US
                images = frozenset(one.image for one in recent)
                out.append(WarmSpare(job, max(1, round(expected)), images))
        return out

    def expected(self, now: int) -> list[Machine]:
        """Machines to reckon with: those that are up, and those that should be soon."""
        out = [m for batch in self.pending.values() for m in batch]
        machines = self.owner.block.machines.values()
        return out + [
            m
            for m in machines
            if not m.lost and not self._overdue(m, now) and not self._unreachable(m, now)
        ]

    @staticmethod
    def _unreachable(machine: Machine, now: int) -> bool:
        """Have our orders not reached it for a while, although its reports reach us?"""
        return bool(machine.unreachable_since) and now - machine.unreachable_since > UNREACHABLE_US

    @staticmethod
    def _may_come_up(machine: Machine, now: int) -> bool:
        """Is it within the time that most machines take to come up?"""
        return now - machine.made_at < machine.kind.boot_us * 3 // 2 + 10 * US

    @staticmethod
    def _overdue(machine: Machine, now: int) -> bool:
        """Should it have come up by now? One that stands recorded did, under an earlier owner,
        even if it has not yet reported to us: returning those cost a new owner its machines."""
        patience = int(machine.kind.boot_us * 2.5) + 5 * US
        return not machine.up and not machine.recorded and now - machine.made_at > patience

    async def _size(self) -> None:
        took = 0
        while True:
            # The more there is to look at, the rarer: reports come first.
            await asyncio.sleep(max(0.5, SIZING_SHARE * took / US))
            if not self.owner.acts or not self.owner.kinds:
                continue
            now = now_us()
            block = self.owner.block
            needs = self.needs(now)
            run_us = {n.work.job.ref: block.guess_us(n.work) for n in needs}
            room = MOST_HIRING - len(self.pending)
            self._look_for_silent_zones(now)
            expected = self.expected(now)
            plan = fleet.size(
                needs, self.spares(now), expected, self.owner.kinds, self._offers(expected, now),
                run_us, self._most_hires(),
            )  # fmt: skip
            grouped: dict[Offer, int] = {}
            for offer in plan.hires:
                grouped[offer] = grouped.get(offer, 0) + 1
            for offer, count in list(grouped.items())[: max(0, room)]:
                self._start_hire(offer, count)
            for machine in block.machines.values():
                machine.wanted = machine.name in plan.needed
            self.market.share(block, now)
            self.owner.wake.set()
            self._give_back(plan.needed, now)
            took = now_us() - now

    def _most_hires(self) -> int:
        """How many machines one pass may hire."""
        machines = self.owner.block.machines
        unrecorded = sum(not machine.recorded for machine in machines.values())
        span_s = self._lead_us() / US + RECORD_S
        recordable = int(span_s * self.owner.state.writes.rate) - unrecorded
        return max(FEW_HIRED, min(len(machines) // HIRED_SHARE, recordable))

    def _blind(self, now: int) -> bool:
        """Have several machines fallen silent, and nobody is heard? For a while that is more
        likely our own trouble than theirs, and we would not hear of new ones either."""
        lease = self.owner.block.timing.lease_us
        heard = [m.heard_at for m in self.owner.block.machines.values() if m.up and m.heard_at]
        silent = len(heard) >= SILENT_COUNT and not self._anybody_heard(now)
        return silent and now - max(heard) < BLIND_LEASES * lease

    def _look_for_silent_zones(self, now: int) -> None:
        heard: dict[str, list[bool]] = {}
        for machine in self.owner.block.machines.values():
            if machine.up and machine.heard_at:
                is_heard = not machine.lost and self._heard(machine, now)
                heard.setdefault(machine.zone, []).append(is_heard)
        for zone in self.silent_zones.look(heard, now):
            log.info("nothing is heard from %s, no hires there", zone)

    def _offers(self, expected: list[Machine], now: int) -> dict[Offer, int | None]:
        """What may be asked of the cloud."""
        if self._blind(now):
            return {}
        kinds = self.owner.kinds
        offers = self.offer_book.offers(kinds.values(), self._held(), now)
        tried = {m.zone for m in expected if not m.heard_at and self._may_come_up(m, now)}
        return self.silent_zones.admitted(offers, kinds, tried, now)

    def _give_back(self, needed: set[str], now: int) -> None:
        share = self.settings.operator.idle_share
        timing = self.owner.block.timing
        if not self._anybody_heard(now):
            self.silent_at = now
        others_heard = self._others_heard(now)
        for machine in list(self.owner.block.machines.values()):
            if machine.attempts or machine.deleting:
                continue
            settled = self.owner.block.settled(machine)
            overdue = self._overdue(machine, now)
            idle = (
                machine.up and machine.synced and settled
                and machine.name not in needed
                and now - machine.idle_since > share * self._rebuy_us(machine)
                and now - machine.made_at > MINIMUM_US - 5 * US
            )  # fmt: skip
            faulty = machine.draining and settled
            since = max(machine.unreachable_since, machine.back_at)
            unreachable = (
                bool(machine.unreachable_since) and now - since > 2 * timing.lease_expiry_us
            )
            # Everything silent at once is more likely our own trouble than theirs.
            lost = machine.lost and others_heard
            if overdue or idle or faulty or lost or unreachable:
                machine.deleting = True
                log.info(
                    "returning %s: %s", machine.name,
                    "never came up" if overdue else "lost" if lost else "unreachable" if unreachable
                    else "faulty" if faulty else "idle",
                )  # fmt: skip

    @staticmethod
    def _rebuy_us(machine: Machine) -> float:
        """For how long a machine may idle at the price of renting one anew: its boot, at the
        ordinary price, since a spot machine that is returned may not be had again."""
        kind = machine.kind
        return kind.boot_us * kind.price / max(fleet.unit_price(kind, machine.spot), 1e-6)

    def _heard(self, machine: Machine, now: int) -> bool:
        """Has it reported lately, lost answers and all?"""
        recent = max(4 * US, 3 * self.owner.block.timing.report_us)
        return bool(machine.heard_at) and now - machine.heard_at < recent

    def _anybody_heard(self, now: int) -> bool:
        return any(self._heard(m, now) for m in self.owner.block.machines.values())

    def _others_heard(self, now: int) -> bool:
        """Have others been heard all the time a worker may take to find us again? When all were
        silent at once, those that are not back with the first one are not lost for that."""
        timing = self.owner.block.timing
        back_us = timing.report_us * 5 // 4 + ANSWER_US + self.settings.facts.nodes * US
        lost = [m for m in self.owner.block.machines.values() if m.lost]
        return now - self.silent_at > back_us or all(
            now - m.heard_at > BLIND_LEASES * timing.lease_us for m in lost
        )

    def _held(self) -> dict[Offer, int]:
        """Machines we hold, by what they were offered as."""
        out: dict[Offer, int] = {}
        for machine in self.owner.block.machines.values():
            offer = Offer(machine.kind.name, machine.zone, machine.spot)
            out[offer] = out.get(offer, 0) + 1
        return out

    # Hiring

    def _start_hire(self, offer: Offer, count: int) -> None:
        self.sequence += 1
        name = f"h-{self.owner.grant.fencing_token}-{self.sequence}"
        stored = StoredHire(
            offer.kind, offer.zone, offer.spot, min(count, self._most_in_hire()), wall_us(), None,
            self.owner.number,
        )  # fmt: skip
        self.owner.spawn(self._hire(name, stored, fresh=True), f"hire {name}")

    def _most_in_hire(self) -> int:
        """Machines in one request: their names must fit into its record."""
        room = self.owner.limits.value_bytes - HIRE_BYTES
        return max(1, min(MOST_IN_HIRE, room // NAME_BYTES))

    async def _hire(self, name: str, stored: StoredHire, fresh: bool = False) -> None:
        """See one hire through. Its record is written before the request, so that whoever
        comes after us asks again under the same name instead of renting twice."""
        owner = self.owner
        kind = owner.kinds.get(stored.kind) or placeholder_kind(stored.kind)
        offer = Offer(stored.kind, stored.zone, stored.spot)
        now = now_us()
        self.pending[name] = [
            Machine(f"{name}/{i}", kind, stored.zone, stored.spot, now)
            for i in range(stored.number)
        ]
        backoff = Backoff(200_000, 4_000_000, owner.member.chance)
        try:
            if fresh:
                # Guarded on there being none: a name is never used again.
                guards = [*owner.guards(), Guard(HIRE + name, 0)]
                owner.versions[HIRE + name] = await owner.state.multi(
                    guards, [Put(HIRE + name, stored)]
                )
            owner.hires[name] = stored
            while True:
                if not owner.acts:
                    await asyncio.sleep(0.5)
                    continue
                try:
                    request = Hire(name, stored.kind, stored.zone, stored.spot, stored.number)
                    names = await self.cloud.hire(request, self._acts)
                    break
                except NoCapacity:
                    self.offer_book.refused(offer, self._held().get(offer, 0), now_us())
                    log.info("no capacity: %s in %s%s", stored.kind, stored.zone,
                             " (spot)" if stored.spot else "")  # fmt: skip
                    await self._settle(name, None)
                    return
                except (Failed, Unavailable) as fault:
                    log.info("hire %s: %s", name, fault)
                    await backoff.rest()
            log.info("hired %s: %s", name, ", ".join(names))
            stored.names = names
            self._expect(stored, names)
            if len(names) < stored.number:
                self.offer_book.refused(offer, self._held().get(offer, 0), now_us())
            await self._settle(name, stored)
        except TROUBLE as fault:
            log.info("hire %s not recorded: %s", name, fault)
        finally:
            self.pending.pop(name, None)

    async def _settle(self, name: str, stored: StoredHire | None) -> None:
        """Write down how a hire ended. Guarded on its record as it was written first: a try that
        goes unanswered must not bring the record back once it has been dropped."""
        owner = self.owner
        change = Drop(HIRE + name) if stored is None else Put(HIRE + name, stored)
        if stored is None:
            owner.hires.pop(name, None)
        guard = Guard(HIRE + name, owner.versions.pop(HIRE + name, 0))
        backoff = Backoff(200_000, 4_000_000, owner.member.chance)
        for _ in range(8):
            try:
                await owner.state.multi([*owner.guards(), guard], [change])
                return
            except Conflict as conflict:
                if HIRE + name not in conflict.failed:
                    raise
                return  # an earlier try was carried out
            except TooLarge:
                return  # without the names, the next owner asks for them again
            except (Failed, Unavailable):
                await backoff.rest()

    def _expect(self, stored: StoredHire, names: list[str]) -> None:
        now = now_us()
        kind = self.owner.kinds.get(stored.kind) or placeholder_kind(stored.kind)
        for name in names:
            if name in self.owner.block.gone:
                continue
            machine = Machine(name, kind, stored.zone, stored.spot, now)
            machine.made_at = now - age_us(stored.at)
            self.owner.block.add_machine(machine)

    # Listing and deleting

    async def _list(self) -> None:
        """Compare with the cloud's list: unexpected machines are taken in, failed ones go."""
        pause = max(4.0, self.settings.facts.cloud.list_lag_s)
        while True:
            await asyncio.sleep(pause)
            if not self.owner.acts or not self.owner.kinds:
                continue
            try:
                rented = await self.cloud.machines()
            except (Failed, Unavailable, NoCapacity) as fault:
                log.info("machine list: %s", fault)
                continue
            self._compare(rented, now_us())
            await self._tidy_hires()

    def _compare(self, rented: list[Rented], now: int) -> None:
        block = self.owner.block
        for one in rented:
            if one.name in block.gone:
                continue
            machine = block.machines.get(one.name)
            if machine is None and (self.owner.foreign(one.name) or self._not_yet(one)):
                continue
            if machine is None:
                kind = self.owner.kinds.get(one.type) or placeholder_kind(one.type)
                machine = Machine(one.name, kind, one.zone, one.spot, now)
                machine.made_at = now - int(one.age_s * US)
                block.add_machine(machine)
                log.info("unexpected machine %s (%s)", one.name, one.stage)
            if one.stage == "failed" and not machine.deleting:
                log.info("machine %s has failed", one.name)
                machine.deleting = True

    def _not_yet(self, one: Rented) -> bool:
        """With several blocks, an unexpected machine may just not be written down yet by the
        block that hired it; later it is the first block's to take in."""
        return self.owner.shared and (self.owner.number != 0 or one.age_s < 30)

    async def _tidy_hires(self) -> None:
        """Records of hires whose machines are all up or gone are not needed any more."""
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

    async def _delete(self) -> None:
        """Delete what is to go, and forget it once the cloud says that it is gone."""
        backoff = Backoff(500_000, 4_000_000, self.owner.member.chance)
        block = self.owner.block
        while True:
            await asyncio.sleep(0.3)
            names = [m.name for m in block.machines.values() if m.deleting][:MOST_NAMES]
            if not names or not self.owner.acts:
                continue
            try:
                await self.cloud.delete(names, self._acts)
                backoff.reset()
            except (Failed, Unavailable, NoCapacity) as fault:
                log.info("deleting machines: %s", fault)
                await backoff.rest()
                continue
            now = now_us()
            dropped = [n for n in names if block.machines[n].recorded]
            for name in names:
                self.owner.dispatcher.workers.forget(block.machines[name].address)
                block.drop_machine(name, now)
            self.owner.wake.set()
            # Their records wait for their turn among the writes; other machines do not.
            self.owner.spawn(self._forget(dropped), "forget machines")

    async def _forget(self, names: list[str]) -> None:
        """Drop the records of machines that are gone."""
        most = self.owner.limits.operations
        for low in range(0, len(names), most):
            await self._drop_records(names[low : low + most])

    async def _drop_records(self, names: list[str]) -> None:
        drops = [Drop(MACHINE + name) for name in names]
        for _ in range(5):
            try:
                await self.owner.state.multi(self.owner.guards(), drops, can_wait=True)
                return
            except (Failed, Unavailable):
                await asyncio.sleep(0.5)
            except (Conflict, SessionLeaseExpired):
                return
