"""Zones from which no machine reports: machines rented there would probably not reach us either.

Renting in such a zone is paused, and then limited to one machine at a time until one from there
reports. If renting resumed as usual after the pause, a network partition of two minutes would cost
dozens of machines that are paid for and never report.
"""

from collections.abc import Iterable, Mapping

from basaltlead.core.jobs import US, MachineType
from basaltlead.core.offers import Offer, unit_price

MIN_SILENT_MACHINES = 3  # a zone with fewer silent machines is not considered silent
# How long nothing is rented in a silent zone after the last of its silent machines was returned.
RENTAL_PAUSE_US = 45 * US


class SilentZones:
    """Tracks which zones are silent, and what may be rented there. Times are microseconds."""

    def __init__(self) -> None:
        self._paused_until: dict[str, int] = {}  # by silent zone

    def update(self, reporting: Mapping[str, list[bool]], now: int) -> list[str]:
        """Update the silent zones, and return those that have just become silent.

        `reporting` tells, by zone, for each machine that has ever reported whether it still does.
        If none in any zone does, nothing changes: the likely cause is then that this controller is
        cut off from the network.
        """
        if not any(map(any, reporting.values())):
            return []
        newly_silent: list[str] = []
        for zone, machines in reporting.items():
            if any(machines):
                self._paused_until.pop(zone, None)
            elif len(machines) >= MIN_SILENT_MACHINES:
                if zone not in self._paused_until:
                    newly_silent.append(zone)
                self._paused_until[zone] = now + RENTAL_PAUSE_US
        return newly_silent

    def rentable_offers(
        self,
        offers: Mapping[Offer, int | None],
        machine_types: Mapping[str, MachineType],
        awaited_zones: Iterable[str],
        now: int,
    ) -> dict[Offer, int | None]:
        """The offers that may be rented, and how many machines of each (None: no known limit). In a
        silent zone this is, after the pause, a single machine of the cheapest offer as a trial,
        unless one from there is already awaited."""
        awaited = set(awaited_zones)
        admitted: dict[Offer, int | None] = {}
        trials: dict[str, Offer] = {}
        for offer, most in offers.items():
            paused_until = self._paused_until.get(offer.zone)
            if paused_until is None:
                admitted[offer] = most
            elif now >= paused_until and offer.zone not in awaited:
                cheapest = trials.get(offer.zone)
                if cheapest is None or _price(offer, machine_types) < _price(
                    cheapest, machine_types
                ):
                    trials[offer.zone] = offer
        return admitted | dict.fromkeys(trials.values(), 1)


def _price(offer: Offer, machine_types: Mapping[str, MachineType]) -> float:
    return unit_price(machine_types[offer.type_name], offer.spot)
