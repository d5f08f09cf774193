"""What the cloud rents out, at which price, and how much of it is known to be left."""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

from basaltlead.core.jobs import US, Job, MachineType, allowed


class Offer(Struct, frozen=True):
    """Something the cloud may have: a type in a zone, ordinary or spot."""

    type_name: str
    zone: str
    spot: bool

    def allows(self, job: Job) -> bool:
        """Whether a task of the job may be on such a machine at all."""
        return allowed(job, self.type_name, self.zone, self.spot)


def unit_price(machine_type: MachineType, spot: bool) -> float:
    """The price of a machine for an hour."""
    return (
        machine_type.spot_price
        if spot and machine_type.spot_price is not None
        else machine_type.price
    )


class KnownCapacity(NamedTuple):
    """How many machines of an offer can be had, and until when that is relied on."""

    machines: int
    until: int


class OfferAvailability:
    """What the cloud's refusals have shown of each offer.

    A refusal shows how many machines can be had: those we hold. There is no use in asking for more
    until some time has passed or we hold fewer.
    """

    REFUSAL_VALID_US = 60 * US

    def __init__(self) -> None:
        self._known: dict[Offer, KnownCapacity] = {}

    def record_refusal(self, offer: Offer, held: int, now: int) -> None:
        """Note that the cloud has refused another machine while we held so many."""
        self._known[offer] = KnownCapacity(held, now + self.REFUSAL_VALID_US)

    def _left(self, offer: Offer, held: int, now: int) -> int | None:
        """How many more may be had; None if that is not known."""
        known = self._known.get(offer)
        if known is None or now >= known.until:
            return None
        return max(0, known.machines - held)

    def offers(
        self, machine_types: Iterable[MachineType], held: dict[Offer, int], now: int
    ) -> dict[Offer, int | None]:
        """What may be asked for, and how many of it; None if that is not known."""
        out: dict[Offer, int | None] = {}
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot in (True, False) if machine_type.spot_price is not None else (False,):
                    offer = Offer(machine_type.name, zone, spot)
                    left = self._left(offer, held.get(offer, 0), now)
                    if left is None or left > 0:
                        out[offer] = left
        return out
