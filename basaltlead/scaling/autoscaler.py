"""How many machines a block needs, and the comparison with the cloud's list."""

import asyncio

from basaltlead.clients.cloud import CLOUD_TROUBLE, Cloud
from basaltlead.config.settings import Settings
from basaltlead.core import demand, fleet_sizing
from basaltlead.core.fleet_sizing import Demand, Offer, OfferBook, WarmSpare
from basaltlead.core.market import Market
from basaltlead.core.model import US, Machine, Shape
from basaltlead.core.silent_zones import SilentZones
from basaltlead.duties.unknown_machines import FAILED
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.reachability import Reachability
from basaltlead.scaling.scale_in import MachineReturns, overdue
from basaltlead.scaling.scale_out import RentalRequests
from basaltlead.shard.leader import Owner, placeholder_kind
from basaltlead.wire.cloud import Rented

# Machines that one pass asks for: a few, or a sixteenth of a large fleet, so that a fleet of
# thousands grows as fast as the cloud hires out.
FEW_HIRED, HIRED_SHARE = 12, 16
# Beyond those few, no more than can be recorded while they boot, and for so long after: a machine
# that is not recorded gets no task, and others' writes would wait behind its record.
RECORD_S = 4.0
MOST_HIRING = 6  # hires in progress
SIZING_SHARE = 15  # sizing the fleet leaves that many times what it takes to everything else
ARRIVALS_US = 200 * US  # jobs that came in this time tell how many will come


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
        self.reachability = Reachability(owner)
        self.requests = RentalRequests(cloud, owner, offer_book)
        self.returns = MachineReturns(cloud, owner, self.reachability)
        self.silent_zones = SilentZones()

    def start(self) -> None:
        self.requests.start()
        self.returns.start()
        self.owner.spawn(self._size(), "loop size")
        self.owner.spawn(self._list(), "loop list")

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
        out = [m for batch in self.requests.pending.values() for m in batch]
        return out + [
            m
            for m in self.owner.block.machines.values()
            if not m.lost and not overdue(m, now) and not self.reachability.unreachable(m, now)
        ]

    @staticmethod
    def _may_come_up(machine: Machine, now: int) -> bool:
        """Is it within the time that most machines take to come up?"""
        return now - machine.made_at < machine.kind.boot_us * 3 // 2 + 10 * US

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
            room = MOST_HIRING - len(self.requests.pending)
            self._look_for_silent_zones(now)
            expected = self.expected(now)
            plan = fleet_sizing.size(
                needs, self.spares(now), expected, self.owner.kinds, self._offers(expected, now),
                run_us, self._most_hires(),
            )  # fmt: skip
            grouped: dict[Offer, int] = {}
            for offer in plan.hires:
                grouped[offer] = grouped.get(offer, 0) + 1
            for offer, count in list(grouped.items())[: max(0, room)]:
                self.requests.request(offer, count)
            for machine in block.machines.values():
                machine.wanted = machine.name in plan.needed
            self.market.share(block, now)
            self.owner.wake.set()
            self.returns.decide(plan.needed, now)
            took = now_us() - now

    def _most_hires(self) -> int:
        """How many machines one pass may hire."""
        machines = self.owner.block.machines
        unrecorded = sum(not machine.recorded for machine in machines.values())
        span_s = self._lead_us() / US + RECORD_S
        recordable = int(span_s * self.owner.state.writes.rate) - unrecorded
        return max(FEW_HIRED, min(len(machines) // HIRED_SHARE, recordable))

    def _look_for_silent_zones(self, now: int) -> None:
        for zone in self.silent_zones.look(self.reachability.heard_by_zone(now), now):
            log.info("nothing is heard from %s, no hires there", zone)

    def _offers(self, expected: list[Machine], now: int) -> dict[Offer, int | None]:
        """What may be asked of the cloud."""
        if self.reachability.blind(now):
            return {}
        kinds = self.owner.kinds
        offers = self.offer_book.offers(kinds.values(), self.requests.held(), now)
        for offer in self.requests.hanging:
            offers.pop(offer, None)
        tried = {m.zone for m in expected if not m.heard_at and self._may_come_up(m, now)}
        return self.silent_zones.admitted(offers, kinds, tried, now)

    # Listing

    async def _list(self) -> None:
        """Compare with the cloud's list: unexpected machines are taken in, failed ones go."""
        pause = max(4.0, self.settings.facts.cloud.list_lag_s)
        while True:
            await asyncio.sleep(pause)
            if not self.owner.acts or not self.owner.kinds or self.owner.member.duties_granted:
                continue
            try:
                rented = await self.cloud.machines()
            except CLOUD_TROUBLE as fault:
                log.info("machine list: %s", fault)
                continue
            self._compare(rented, now_us())
            await self.requests.tidy()

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
            if one.stage == FAILED and not machine.deleting:
                log.info("machine %s has failed", one.name)
                machine.deleting = True

    def _not_yet(self, one: Rented) -> bool:
        """With several blocks, an unexpected machine may just not be written down yet by the
        block that hired it; later it is the first block's to take in."""
        return self.owner.shared and (self.owner.number != 0 or one.age_s < 30)
