"""What the cloud offers for rent, at which price, and how much of it is known to be available."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from basaltlead.core.jobs import US, Job, MachineType, allowed


class Offer(Struct, frozen=True):
    """A machine type in a zone, spot or on-demand, that the cloud may have available."""

    type_name: str
    zone: str
    spot: bool

    def allows(self, job: Job) -> bool:
        """Whether the job's constraints allow its tasks on such a machine."""
        return allowed(job, self.type_name, self.zone, self.spot)


def unit_price(machine_type: MachineType, spot: bool) -> float:
    """The price of a machine per hour."""
    return (
        machine_type.spot_price
        if spot and machine_type.spot_price is not None
        else machine_type.price
    )


class RentableOffers(NamedTuple):
    """The offers that may be rented in one pass of fleet sizing.

    `available` tells how many machines of each there are, None if that is not known. In each of the
    `trial_zones` a single machine may be rented, whichever of its offers that is.
    """

    available: Mapping[Offer, int | None]
    trial_zones: frozenset[str] = frozenset()


class KnownCapacity(NamedTuple):
    """How many machines of an offer can be held at most, and until when that is relied on."""

    machines: int
    until: int


class OfferAvailability:
    """The capacity of offers, as far as shortages of the cloud have shown it.

    A shortage shows how many machines of an offer can be held: those that are held already.
    Requests for more are pointless until some time has passed or fewer are held.
    """

    SHORTAGE_VALID_US = 60 * US  # how long a shortage is relied on

    def __init__(self) -> None:
        self._known: dict[Offer, KnownCapacity] = {}

    def record_shortage(self, offer: Offer, held: int, now: int) -> None:
        """Record that the cloud had no further machine while this many were held."""
        self._known[offer] = KnownCapacity(held, now + self.SHORTAGE_VALID_US)

    def _left(self, offer: Offer, held: int, now: int) -> int | None:
        """How many more machines are available; None if that is not known."""
        known = self._known.get(offer)
        if known is None or now >= known.until:
            return None
        return max(0, known.machines - held)

    def offers(
        self, machine_types: Iterable[MachineType], held: dict[Offer, int], now: int
    ) -> dict[Offer, int | None]:
        """The offers to consider, and how many machines of each are available; None if that is not
        known."""
        out: dict[Offer, int | None] = {}
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot in (True, False) if machine_type.spot_price is not None else (False,):
                    offer = Offer(machine_type.name, zone, spot)
                    left = self._left(offer, held.get(offer, 0), now)
                    if left is None or left > 0:
                        out[offer] = left
        return out
