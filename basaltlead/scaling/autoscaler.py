"""How many machines a shard needs, and the comparison with the cloud's list."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from basaltlead.clients.cloud import Cloud
from basaltlead.core import demand, fleet_sizing
from basaltlead.core.entities import Machine
from basaltlead.core.fleet_sizing import Demand, WarmSpare
from basaltlead.core.jobs import US, Shape
from basaltlead.core.market import Market
from basaltlead.core.offers import Offer, OfferBook
from basaltlead.core.silent_zones import SilentZones
from basaltlead.duties.unknown_machines import FAILED
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_times import QuietTimes
from basaltlead.scaling.reachability import Reachability
from basaltlead.scaling.scale_in import ScaleIn, provisioning_overdue
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.shard.arrivals import ArrivalHistory
from basaltlead.shard.context import ShardContext
from basaltlead.wire.cloud import RentedMachine

# Machines that one pass asks for: a few, or a sixteenth of a large fleet, so that a fleet of
# thousands grows as fast as the cloud rental requests out.
MIN_RENTALS_PER_PASS, RENTALS_FLEET_DIVISOR = 12, 16
# Beyond those few, no more than can be recorded while they boot, and for so long after: a machine
# that is not recorded gets no task, and others' writes would wait behind its record.
RECORD_S = 4.0
MAX_OPEN_REQUESTS = 6  # rental requests in progress
SIZING_SHARE = 15  # sizing the fleet leaves that many times what it takes to everything else
ARRIVALS_US = 200 * US  # jobs that came in this time tell how many will come


@dataclass(frozen=True)
class ScalingEnvironment:
    """What all shards of a controller share for scaling.

    `shard_of` tells to which shard a machine belongs, if that is known.
    """

    cloud: Cloud
    offer_book: OfferBook
    shard_of: Callable[[str], int | None]
    quiet_times: QuietTimes | None


class Autoscaler:
    """Sizes the fleet of one shard, and compares it with the cloud's list."""

    def __init__(
        self,
        context: ShardContext,
        market: Market,
        arrivals: ArrivalHistory,
        environment: ScalingEnvironment,
    ) -> None:
        self.context = context
        self.market = market
        self.arrivals = arrivals
        self.cloud = environment.cloud
        self.offer_book = environment.offer_book
        self.shard_of = environment.shard_of
        self.reachability = Reachability(context)
        self.scale_out = ScaleOut(context, environment.cloud, environment.offer_book)
        self.scale_in = ScaleIn(
            context, environment.cloud, self.reachability, environment.quiet_times
        )
        self.silent_zones = SilentZones()

    def start(self) -> None:
        self.scale_out.start()
        self.scale_in.start()
        self.context.spawn(self._size(), "loop size")
        self.context.spawn(self._list(), "loop list")

    # What is wanted

    def needs(self, now: int) -> list[Demand]:
        shard = self.context.shard
        job_states = [
            w
            for w in shard.job_states.values()
            if not w.closed and not w.complete and now >= w.retry_at
        ]
        loads = demand.loads_of(job_states, now, shard.guess_us)
        wanted = demand.counts(
            job_states, now, self.market.due, shard.guess_us, self._lead_us(), loads
        )
        rented = demand.RentedCapacity(self.expected(now))
        backlog = sum(loads.values())
        out = []
        for job_state in sorted(job_states, key=lambda w: (-w.job.rank, w.submitted_at)):
            job_state.need = wanted[job_state.job.ref]
            need = Demand(job_state, job_state.need, run_us=shard.guess_us(job_state))
            if job_state.job.shape is Shape.ARRAY:
                need.drain_us = rented.drain_us(job_state.job, backlog)
            out.append(need)
        return out

    def _lead_us(self) -> int:
        return min(
            (machine_type.boot_us for machine_type in self.context.machine_types.values()),
            default=0,
        )

    def spares(self, now: int) -> list[WarmSpare]:
        """Room for jobs whose class is promised a start sooner than a machine boots."""
        out = []
        for job_class, (within, *_) in self.market.objectives.starts.items():
            seen = self.arrivals.of_class(job_class)
            if seen is None:
                continue
            job = seen.last_job
            suited = [k for k in self.context.machine_types.values() if k.holds(job)]
            if not suited:
                continue
            boot = min(k.boot_us for k in suited)
            fetch = min(k.fetch_s(job) for k in suited)
            if boot * 1.2 + fetch * US <= within:
                continue
            recent = [one for one in seen.recent if now - one.at < ARRIVALS_US]
            if recent:
                expected = sum(one.tasks for one in recent) * boot / ARRIVALS_US
                images = frozenset(one.image for one in recent)
                out.append(WarmSpare(job, max(1, round(expected)), images))
        return out

    def expected(self, now: int) -> list[Machine]:
        """Machines to reckon with: those that are up, and those that should be soon."""
        out = [m for batch in self.scale_out.pending.values() for m in batch]
        return out + [
            m
            for m in self.context.shard.machines.values()
            if not m.lost
            and not provisioning_overdue(m, now)
            and not self.reachability.unreachable(m, now)
        ]

    @staticmethod
    def _may_come_up(machine: Machine, now: int) -> bool:
        """Is it within the time that most machines take to come up?"""
        return now - machine.made_at < machine.machine_type.boot_us * 3 // 2 + 10 * US

    async def _size(self) -> None:
        took = 0
        while True:
            # The more there is to look at, the rarer: reports come first.
            await asyncio.sleep(max(0.5, SIZING_SHARE * took / US))
            if not self.context.lease.holds_valid_lease or not self.context.machine_types:
                continue
            now = now_us()
            shard = self.context.shard
            needs = self.needs(now)
            room = MAX_OPEN_REQUESTS - len(self.scale_out.pending)
            self._update_silent_zones(now)
            expected = self.expected(now)
            plan = fleet_sizing.plan_fleet(
                needs,
                self.spares(now),
                expected,
                self.context.machine_types,
                self._offers(expected, now),
                self._max_rentals(),
            )
            grouped: dict[Offer, int] = {}
            for offer in plan.rentals:
                grouped[offer] = grouped.get(offer, 0) + 1
            for offer, count in list(grouped.items())[: max(0, room)]:
                self.scale_out.request(offer, count)
            for machine in shard.machines.values():
                machine.needed = machine.name in plan.needed
            self.market.share(shard, now)
            self.context.wake.set()
            self.scale_in.decide(plan.needed, now)
            took = now_us() - now

    def _max_rentals(self) -> int:
        """How many machines one pass may rental request."""
        machines = self.context.shard.machines
        unrecorded = sum(not machine.recorded for machine in machines.values())
        span_s = self._lead_us() / US + RECORD_S
        recordable = int(span_s * self.context.store.client.writes.rate) - unrecorded
        return max(MIN_RENTALS_PER_PASS, min(len(machines) // RENTALS_FLEET_DIVISOR, recordable))

    def _update_silent_zones(self, now: int) -> None:
        for zone in self.silent_zones.update(self.reachability.heard_by_zone(now), now):
            log.info("nothing is heard from %s, no hires there", zone)

    def _offers(self, expected: list[Machine], now: int) -> dict[Offer, int | None]:
        """What may be asked of the cloud."""
        if self.reachability.blind(now):
            return {}
        machine_types = self.context.machine_types
        offers = self.offer_book.offers(machine_types.values(), self.scale_out.held(), now)
        for offer in self.scale_out.hanging:
            offers.pop(offer, None)
        tried = {m.zone for m in expected if not m.heard_at and self._may_come_up(m, now)}
        return self.silent_zones.admitted(offers, machine_types, tried, now)

    # Listing

    async def _list(self) -> None:
        """Compare with the cloud's list: unexpected machines are taken in, failed ones go."""
        pause = max(4.0, self.context.settings.facts.cloud.list_lag_s)
        while True:
            await asyncio.sleep(pause)
            if (
                not self.context.lease.holds_valid_lease
                or not self.context.machine_types
                or self.context.membership.duties_granted
            ):
                continue
            try:
                rented = await self.cloud.machines()
            except ServiceError as fault:
                log.info("machine list: %s", fault)
                continue
            self._compare(rented, now_us())
            await self.scale_out.tidy()

    def _compare(self, rented: list[RentedMachine], now: int) -> None:
        shard = self.context.shard
        for one in rented:
            if one.name in shard.gone:
                continue
            machine = shard.machines.get(one.name)
            if machine is None and (self._is_of_other_shard(one.name) or self._not_yet(one)):
                continue
            if machine is None:
                machine_type = self.context.machine_type(one.type)
                machine = Machine(one.name, machine_type, one.zone, one.spot, now)
                machine.made_at = now - int(one.age_s * US)
                shard.add_machine(machine)
                log.info("unexpected machine %s (%s)", one.name, one.stage)
            if one.stage == FAILED and not machine.terminating:
                log.info("machine %s has failed", one.name)
                machine.terminating = True

    def _is_of_other_shard(self, name: str) -> bool:
        return self.shard_of(name) not in (None, self.context.number)

    def _not_yet(self, one: RentedMachine) -> bool:
        """With several shards, an unexpected machine may just not be written down yet by the
        shard that hired it; later it is the first shard's to take in."""
        return self.context.sharded and (self.context.number != 0 or one.age_s < 30)
