"""Which machine to rent for tasks that find no room: the one that gives it at the least price."""

from collections.abc import Mapping

from basaltlead.core.jobs import US, Job, MachineType
from basaltlead.core.offers import Offer, unit_price

# For how long a machine must be of use, as a multiple of the time that it takes to boot. Spot
# machines are cheap enough to be rented early and to wait for work; ordinary ones are for backlogs
# that last.
MIN_USE_BOOT_TIMES, MIN_USE_BOOT_TIMES_SPOT = 2.4, 0.6
# For how long a machine is reckoned to be of use: the time to boot is paid for as well.
AMORTIZATION_US = 90 * US
SERVICE_AMORTIZATION_US = 600 * US  # the same for replicas, which stay
# What the end of a spot machine costs a task that saves no checkpoints: a part of the price for
# each hour that the task runs, up to a limit.
SPOT_RISK_PER_HOUR, MAX_SPOT_RISK = 4, 0.5


def risk_adjusted_price(job: Job, machine_type: MachineType, spot: bool, run_us: int) -> float:
    """The price for an hour of room for one task of a job that runs for `run_us`; spot is dearer by
    what a sudden end would have the task repeat."""
    slots = max(1, machine_type.capacity_for(job))
    price = unit_price(machine_type, spot) / slots
    amortization_us = SERVICE_AMORTIZATION_US if job.service else AMORTIZATION_US
    price *= (machine_type.boot_us + amortization_us) / amortization_us
    if spot and not job.checkpoint_interval_us:
        price *= 1 + min(MAX_SPOT_RISK, run_us / (3600 * US) * SPOT_RISK_PER_HOUR)
    return price


class RentalChoice:
    """What is rented in one pass over the demand."""

    def __init__(
        self,
        machine_types: Mapping[str, MachineType],
        offers: Mapping[Offer, int | None],
        run_us: Mapping[str, int],
        max_rentals: int,
    ) -> None:
        """`offers` tells how many of each may be had, None if that is not known; `run_us` how long
        a task runs, by job."""
        self.machine_types = machine_types
        self.offers = offers
        self.rentals: list[Offer] = []
        self._run_us = run_us
        self._max_rentals = max_rentals
        self._counts: dict[Offer, int] = {}  # of rentals

    def rent(self, job: Job, zones: set[str] | None, count: int, drain_us: float) -> Offer | None:
        """Rent one machine for so many tasks of a job: what gives them room at the least price.

        `zones` are those where they may be, None for all; `drain_us` is when all open work will be
        done with what is rented already. None if nothing is worth its price.
        """
        if len(self.rentals) >= self._max_rentals:
            return None
        counts = self._counts
        candidates = [
            offer
            for offer, available in self.offers.items()
            if (available is None or counts.get(offer, 0) < available)
            and self._is_worth_renting(job, offer, zones, drain_us)
        ]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda offer: (
                round(self._price(job, offer, count), 6),
                counts.get(offer, 0),
                offer.type_name,
                offer.zone,
            ),
        )
        self.rentals.append(chosen)
        counts[chosen] = counts.get(chosen, 0) + 1
        return chosen

    def _is_worth_renting(
        self, job: Job, offer: Offer, zones: set[str] | None, drain_us: float
    ) -> bool:
        """Whether the job may use such a machine, which would still be of use once it is up."""
        machine_type = self.machine_types[offer.type_name]
        min_boot_times = MIN_USE_BOOT_TIMES_SPOT if offer.spot else MIN_USE_BOOT_TIMES
        return (
            offer.allows(job)
            and (zones is None or offer.zone in zones)
            and machine_type.capacity_for(job) > 0
            and machine_type.boot_us * min_boot_times <= drain_us
        )

    def _price(self, job: Job, offer: Offer, count: int) -> float:
        """What room for a task costs. A machine far larger than what is left to place counts in
        full."""
        machine_type = self.machine_types[offer.type_name]
        slots = machine_type.capacity_for(job)
        used = min(slots, max(1, count))
        price = risk_adjusted_price(job, machine_type, offer.spot, self._run_us.get(job.ref, 0))
        return price * slots / used if used < slots / 2 else price
