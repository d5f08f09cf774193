"""Which machine to rent for tasks that find no room: the one that gives them room most cheaply."""

from collections.abc import Mapping, Sequence

from basaltlead.core.jobs import US, Job, MachineType
from basaltlead.core.offers import Offer, RentableOffers, unit_price

# A machine is rented only if the backlog lasts at least this multiple of the machine's boot time.
# Spot machines are cheap enough to be rented early and to wait for work; on-demand machines are for
# backlogs that last.
MIN_BACKLOG_PER_BOOT_TIME, MIN_BACKLOG_PER_BOOT_TIME_SPOT = 2.4, 0.6
# The time of use over which the price of the time to boot is spread.
AMORTIZATION_US = 90 * US
SERVICE_AMORTIZATION_US = 600 * US  # the same for replicas, which stay longer
# The surcharge on spot machines for tasks without checkpoints, which start over when the machine
# ends: a multiple of the price for each hour that the task runs, up to a limit.
SPOT_RISK_PER_HOUR, MAX_SPOT_RISK = 4, 0.5


def risk_adjusted_price(job: Job, machine_type: MachineType, spot: bool, run_us: int) -> float:
    """The hourly price of room for one task of a job that runs for `run_us`.

    It includes the time to boot and, for spot machines, the work that the task would repeat after a
    sudden end.
    """
    slots = max(1, machine_type.capacity_for(job))
    price = unit_price(machine_type, spot) / slots
    amortization_us = SERVICE_AMORTIZATION_US if job.service else AMORTIZATION_US
    price *= (machine_type.boot_us + amortization_us) / amortization_us
    if spot and not job.checkpoint_interval_us:
        price *= 1 + min(MAX_SPOT_RISK, run_us / (3600 * US) * SPOT_RISK_PER_HOUR)
    return price


class RentalChoice:
    """The rentals chosen in one pass over the demand."""

    def __init__(
        self,
        machine_types: Mapping[str, MachineType],
        offers: RentableOffers,
        run_us: Mapping[str, int],
        max_rentals: int,
    ) -> None:
        """`run_us` is how long a task runs, by job."""
        self.machine_types = machine_types
        self.offers = offers.available
        self.rentals: list[Offer] = []
        self._trial_zones = offers.trial_zones
        self._cheapest_trials = self._cheapest_in(offers.trial_zones)
        self._run_us = run_us
        self._max_rentals = max_rentals
        self._counts: dict[Offer, int] = {}  # of rentals
        self._rented_zones: set[str] = set()  # zones of rentals

    def choose(
        self, job: Job, zones: set[str] | None, count: int, backlog_us: float
    ) -> Offer | None:
        """Add the rental of one machine for this many tasks of a job to `rentals`: the machine that
        gives them room at the lowest price.

        `zones` are the zones that the tasks may be in, None for all; `backlog_us` is the time until
        the machines rented already have done all open work. Returns the chosen offer, or None if no
        offer is worth its price or the maximum number of rentals is reached.
        """
        if len(self.rentals) >= self._max_rentals:
            return None
        counts = self._counts
        candidates = [
            offer
            for offer, available in self.offers.items()
            if self._is_left(offer, available)
            and self._is_worth_renting(job, offer, zones, backlog_us)
        ]
        if not candidates:
            return None
        chosen = min(
            self._without_costly_trials(candidates) or candidates,
            key=lambda offer: (
                round(self._price(job, offer, count), 6),
                counts.get(offer, 0),
                offer.type_name,
                offer.zone,
            ),
        )
        self.rentals.append(chosen)
        counts[chosen] = counts.get(chosen, 0) + 1
        self._rented_zones.add(chosen.zone)
        return chosen

    def _cheapest_in(self, zones: frozenset[str]) -> set[Offer]:
        """The cheapest offer of each of these zones."""
        cheapest: dict[str, Offer] = {}
        for offer in sorted(self.offers, key=self._unit_price, reverse=True):
            if offer.zone in zones:
                cheapest[offer.zone] = offer
        return set(cheapest.values())

    def _unit_price(self, offer: Offer) -> float:
        return unit_price(self.machine_types[offer.type_name], offer.spot)

    def _is_left(self, offer: Offer, available: int | None) -> bool:
        """Whether one more machine of the offer may be rented."""
        if offer.zone in self._trial_zones:
            return offer.zone not in self._rented_zones
        return available is None or self._counts.get(offer, 0) < available

    def _without_costly_trials(self, candidates: Sequence[Offer]) -> list[Offer]:
        """The candidates without the dearer offers of trial zones, where a machine may never
        report. These are for tasks that nothing else can serve."""
        return [
            offer
            for offer in candidates
            if offer.zone not in self._trial_zones or offer in self._cheapest_trials
        ]

    def _is_worth_renting(
        self, job: Job, offer: Offer, zones: set[str] | None, backlog_us: float
    ) -> bool:
        """Whether the job may use such a machine, and the backlog lasts long enough to rent it."""
        machine_type = self.machine_types[offer.type_name]
        min_backlog_per_boot_time = (
            MIN_BACKLOG_PER_BOOT_TIME_SPOT if offer.spot else MIN_BACKLOG_PER_BOOT_TIME
        )
        return (
            offer.allows(job)
            and (zones is None or offer.zone in zones)
            and machine_type.capacity_for(job) > 0
            and machine_type.boot_us * min_backlog_per_boot_time <= backlog_us
        )

    def _price(self, job: Job, offer: Offer, count: int) -> float:
        """The price of room for one task. If the tasks left to place (`count`) need less than half
        of the machine's slots, they bear the price of the whole machine."""
        machine_type = self.machine_types[offer.type_name]
        slots = machine_type.capacity_for(job)
        used = min(slots, max(1, count))
        price = risk_adjusted_price(job, machine_type, offer.spot, self._run_us.get(job.ref, 0))
        return price * slots / used if used < slots / 2 else price
