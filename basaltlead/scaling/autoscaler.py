"""The autoscaler of a shard: sizes its fleet again and again, from demand to scale-out and in."""

import asyncio
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from basaltlead.clients.cloud import Cloud
from basaltlead.core import fleet_sizing
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.market import Market
from basaltlead.core.offers import Offer, OfferBook
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.core.silent_zones import SilentZones
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.fleet_demand import FleetDemand
from basaltlead.scaling.idle_retention import IdleRetention
from basaltlead.scaling.machine_list import MachineListComparison
from basaltlead.scaling.reachability import Reachability
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.scaling.termination import TerminationPolicy, provisioning_overdue
from basaltlead.shard.arrivals import ArrivalHistory
from basaltlead.shard.context import ShardContext

# Machines that one pass requests: a few, or a sixteenth of a large fleet, so that a fleet of
# thousands grows as fast as the cloud rents machines out.
MIN_RENTALS_PER_PASS = 12
RENTALS_FLEET_DIVISOR = 16
# Beyond those few, no more than can be recorded while they boot, and for so long after: a machine
# that is not recorded gets no task, and other writes would wait behind its record.
RECORD_S = 4.0
MAX_OPEN_REQUESTS = 6  # scale-out requests without an outcome
MIN_PAUSE_S = 0.5  # between two passes
PAUSE_PER_DURATION = 15  # a pass is followed by a pause of so many times what it took
USUAL_BOOT_MARGIN_US = 10 * US  # most machines are up after 1.5 boot times and that


class ScalingEnvironment(Struct, frozen=True):
    """What all shards of a controller share for scaling.

    `shard_of` returns the shard to which a machine belongs, or None if that is unknown.
    `quiet_times` is None if no calendar is configured.
    """

    cloud: Cloud
    offer_book: OfferBook
    shard_of: Callable[[str], int | None]
    quiet_times: QuietTimes | None


class Autoscaler:
    """Sizes the fleet of one shard. Its background tasks end when the shard is released."""

    def __init__(
        self,
        context: ShardContext,
        market: Market,
        arrivals: ArrivalHistory,
        environment: ScalingEnvironment,
    ) -> None:
        self.context = context
        self.market = market
        self.offer_book = environment.offer_book
        self.demand = FleetDemand(context, market, arrivals)
        self.reachability = Reachability(context)
        self.silent_zones = SilentZones()
        self.scale_out = ScaleOut(context, environment.cloud, environment.offer_book)
        self.scale_in = ScaleIn(context, environment.cloud)
        quiet_times = environment.quiet_times
        self.idle_retention = (
            IdleRetention(context, quiet_times) if quiet_times is not None else None
        )
        self.termination = TerminationPolicy(context, self.reachability, self.idle_retention)
        self.machine_list = MachineListComparison(
            context, environment.cloud, self.scale_out, environment.shard_of
        )

    def start(self) -> None:
        """Begin to scale, once the shard is loaded."""
        self.scale_out.start()
        self.scale_in.start()
        if self.idle_retention is not None:
            self.context.spawn(self.idle_retention.load(), "load quiet time reservation")
        self.context.spawn(self._run(), "loop fleet sizing")
        self.context.spawn(self.machine_list.run(), "loop machine list")

    async def _run(self) -> None:
        """Size the fleet again and again; never returns.

        The longer a pass takes, the longer is the pause after it: heartbeats come first.
        """
        duration_us = 0
        while True:
            await asyncio.sleep(max(MIN_PAUSE_S, PAUSE_PER_DURATION * duration_us / US))
            if not self.context.lease.holds_valid_lease or not self.context.machine_types:
                continue
            now = now_us()
            self._size(now)
            duration_us = now_us() - now

    def _size(self, now: int) -> None:
        """One pass: request machines that are missing, mark those that are to be returned."""
        shard = self.context.shard
        expected = self.expected(now)
        needs = self.demand.of_open_jobs(now, expected)
        self._update_silent_zones(now)
        plan = fleet_sizing.plan_fleet(
            needs,
            self.demand.warm_spares(now),
            expected,
            self.context.machine_types,
            self._offers(expected, now),
            self._max_rentals(),
        )
        self._request(plan.rentals)
        for machine in shard.machines.values():
            machine.needed = machine.name in plan.needed
        self.market.share(shard, now)
        self.context.wake.set()
        self.termination.apply(plan.needed, now)

    def expected(self, now: int) -> list[Machine]:
        """Machines to count on: those that are up, and those that should be soon."""
        pending = [m for machines in self.scale_out.requests.pending.values() for m in machines]
        return pending + [
            m
            for m in self.context.shard.machines.values()
            if not m.lost
            and not provisioning_overdue(m, now)
            and not self.reachability.unreachable(m, now)
        ]

    def _request(self, rentals: list[Offer]) -> None:
        """Request machines, in one request for each offer. What is left over comes with the next
        pass."""
        places = max(0, MAX_OPEN_REQUESTS - len(self.scale_out.requests.pending))
        for offer, count in list(Counter(rentals).items())[:places]:
            self.scale_out.request(offer, count)

    def _max_rentals(self) -> int:
        """How many machines one pass may request."""
        machines = self.context.shard.machines
        unrecorded = sum(not machine.recorded for machine in machines.values())
        span_s = self.demand.shortest_boot_us() / US + RECORD_S
        recordable = int(span_s * self.context.store.client.write_limiter.rate) - unrecorded
        return max(MIN_RENTALS_PER_PASS, min(len(machines) // RENTALS_FLEET_DIVISOR, recordable))

    def _update_silent_zones(self, now: int) -> None:
        for zone in self.silent_zones.update(self.reachability.heard_by_zone(now), now):
            log.info("zone %s silent: renting there is paused", zone)

    def _offers(self, expected: list[Machine], now: int) -> dict[Offer, int | None]:
        """Which machines may be requested, and how many of each; None: any number."""
        if self.reachability.all_silent(now):
            return {}
        machine_types = self.context.machine_types
        requests = self.scale_out.requests
        offers = self.offer_book.offers(machine_types.values(), requests.held(), now)
        for offer in requests.rejected_offers:
            offers.pop(offer, None)
        awaited_zones = {m.zone for m in expected if not m.heard_at and _may_come_up(m, now)}
        return self.silent_zones.admitted(offers, machine_types, awaited_zones, now)


def _may_come_up(machine: Machine, now: int) -> bool:
    """Is the machine within the time that most need to come up?"""
    usual_us = machine.machine_type.boot_us * 3 // 2 + USUAL_BOOT_MARGIN_US
    return now - machine.made_at < usual_us
