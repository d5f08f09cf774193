"""The autoscaler of a shard: a periodic loop that derives scale-out and scale-in from demand."""

import asyncio
from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from basaltlead.clients.cloud import Cloud
from basaltlead.core import fleet_sizing
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.market import Market
from basaltlead.core.offers import Offer, OfferAvailability, RentableOffers
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.core.silent_zones import SilentZones
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.fleet_demand import FleetDemand
from basaltlead.scaling.idle_retention import IdleRetention
from basaltlead.scaling.machine_list import MachineListReconciler
from basaltlead.scaling.reachability import Reachability
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.scaling.termination import TerminationPolicy, provisioning_overdue
from basaltlead.shard.arrivals import ArrivalHistory
from basaltlead.shard.context import ShardContext

# The limit on machines requested per pass is at least this, or 1/16 of a large fleet if that is
# more: a fleet of thousands must grow as fast as the cloud rents machines out.
MIN_RENTAL_LIMIT = 12
RENTALS_FLEET_DIVISOR = 16
# Above that minimum, a pass requests at most as many machines as can be recorded while they boot
# and within this time after they have booted. An unrecorded machine gets no tasks, and a longer
# backlog of machine records would delay other writes.
RECORDING_WINDOW_S = 4.0
MAX_OPEN_REQUESTS = 6  # scale-out requests without an outcome
MIN_PAUSE_S = 0.5  # between two passes
PAUSE_FACTOR = 15  # the pause after a pass, as a multiple of the pass's duration
USUAL_BOOT_MARGIN_US = 10 * US  # most machines are up after 1.5 boot times plus this margin


class ScalingEnvironment(Struct, frozen=True):
    """The scaling dependencies that all shards of a controller share.

    `shard_of` returns the shard that a machine belongs to, or None if it is unknown.
    `quiet_times` is None if no calendar is configured.
    """

    cloud: Cloud
    offer_availability: OfferAvailability
    shard_of: Callable[[str], int | None]
    quiet_times: QuietTimes | None


class Autoscaler:
    """Sizes the fleet of one shard. Its background tasks end when the shard is released.

    Call `start` once the shard is loaded.
    """

    def __init__(
        self,
        context: ShardContext,
        market: Market,
        arrivals: ArrivalHistory,
        environment: ScalingEnvironment,
    ) -> None:
        self.context = context
        self.market = market
        self.offer_availability = environment.offer_availability
        self.demand = FleetDemand(context, market, arrivals)
        self.reachability = Reachability(context)
        self.silent_zones = SilentZones()
        self.scale_out = ScaleOut(context, environment.cloud, environment.offer_availability)
        self.scale_in = ScaleIn(context, environment.cloud)
        quiet_times = environment.quiet_times
        self.idle_retention = (
            IdleRetention(context, quiet_times) if quiet_times is not None else None
        )
        self.termination = TerminationPolicy(context, self.reachability, self.idle_retention)
        self.machine_list = MachineListReconciler(
            context, environment.cloud, self.scale_out, environment.shard_of
        )

    def start(self) -> None:
        """Start the background tasks."""
        self.scale_out.start()
        self.scale_in.start()
        if self.idle_retention is not None:
            self.context.spawn(self.idle_retention.load(), "load quiet time reservation")
        self.context.spawn(self._run(), "loop fleet sizing")
        self.context.spawn(self.machine_list.run(), "loop machine list")

    async def _run(self) -> None:
        """Size the fleet periodically; never returns.

        The pause grows with the duration of the last pass, so that a slow pass doesn't delay the
        handling of heartbeats.
        """
        duration_us = 0
        while True:
            await asyncio.sleep(max(MIN_PAUSE_S, PAUSE_FACTOR * duration_us / US))
            if not self.context.lease.holds_valid_lease or not self.context.machine_types:
                continue
            now = now_us()
            self._resize(now)
            duration_us = now_us() - now

    def _resize(self, now: int) -> None:
        """Run one pass: request missing machines, allocate the slots of arrays, and mark surplus
        machines as terminating."""
        shard = self.context.shard
        expected_machines = self.expected_machines(now)
        needs = self.demand.of_open_jobs(now, expected_machines)
        self._update_silent_zones(now)
        offers = self._offers(expected_machines, now)
        plan = fleet_sizing.plan_fleet(
            needs,
            self.demand.warm_spares(now),
            expected_machines,
            self.context.machine_types,
            offers,
            self._max_rentals(),
        )
        self._request(plan.rentals, offers.trial_zones)
        for machine in shard.machines.values():
            machine.needed = machine.name in plan.needed
        self.market.allocate_slots(shard, now)
        self.context.wake.set()
        self.termination.apply(plan.needed, now)

    def expected_machines(self, now: int) -> list[Machine]:
        """Machines to plan with: those that are up or should be up soon."""
        pending = [m for machines in self.scale_out.requests.pending.values() for m in machines]
        return pending + [
            m
            for m in self.context.shard.machines.values()
            if not m.lost
            and not provisioning_overdue(m, now)
            and not self.reachability.unreachable(m, now)
        ]

    def _request(self, rentals: list[Offer], trial_zones: frozenset[str]) -> None:
        """Send one request for each offer, up to the limit of open requests.

        Later passes request the remaining machines.
        """
        places = max(0, MAX_OPEN_REQUESTS - len(self.scale_out.requests.pending))
        for offer, count in list(Counter(rentals).items())[:places]:
            if offer.zone in trial_zones:
                log.info("zone %s silent: trial machine requested: %s", offer.zone, offer.type_name)
            self.scale_out.request(offer, count)

    def _max_rentals(self) -> int:
        """The number of machines that this pass may request."""
        machines = self.context.shard.machines
        unrecorded = sum(not machine.recorded for machine in machines.values())
        span_s = self.demand.shortest_boot_us() / US + RECORDING_WINDOW_S
        recordable = int(span_s * self.context.store.client.write_limiter.rate) - unrecorded
        return max(MIN_RENTAL_LIMIT, min(len(machines) // RENTALS_FLEET_DIVISOR, recordable))

    def _update_silent_zones(self, now: int) -> None:
        for zone in self.silent_zones.update(self.reachability.heard_by_zone(now), now):
            log.info("zone %s silent: scale-out there is paused", zone)

    def _offers(self, expected_machines: list[Machine], now: int) -> RentableOffers:
        """The offers that may be requested."""
        if self.reachability.all_silent(now):
            return RentableOffers({})
        requests = self.scale_out.requests
        offers = self.offer_availability.offers(
            self.context.machine_types.values(), requests.machine_counts(), now
        )
        for offer in requests.rejected_offers:
            offers.pop(offer, None)
        awaited_zones = {
            m.zone
            for m in expected_machines
            if not m.last_heartbeat_at and _is_within_usual_boot_time(m, now)
        }
        return self.silent_zones.rentable_offers(offers, awaited_zones, now)


def _is_within_usual_boot_time(machine: Machine, now: int) -> bool:
    """Whether the machine is no older than most machines are when they come up."""
    usual_us = machine.machine_type.boot_us * 3 // 2 + USUAL_BOOT_MARGIN_US
    return now - machine.created_at < usual_us
