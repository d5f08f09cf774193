"""Zones none of whose machines is heard: cut off, so that what boots there can't reach us either.

For a while nothing is rented in such a zone, then one machine at a time, until one from there is
heard. If renting went on as usual after the while, a cut of two minutes would cost dozens of
machines that are paid for and never heard.
"""

from collections.abc import Iterable, Mapping

from basaltlead.core.jobs import US, MachineType
from basaltlead.core.offers import Offer, unit_price

MIN_SILENT_MACHINES = 3  # machines that must be silent before their zone is taken to be
RENTAL_PAUSE_US = (
    45 * US
)  # for how long nothing is rented there after the last of them was returned


class SilentZones:
    """Which zones are silent, and what may be rented there."""

    def __init__(self) -> None:
        self._paused_until: dict[str, int] = {}  # by silent zone

    def update(self, heard: Mapping[str, list[bool]], now: int) -> list[str]:
        """Take in, for each zone, which of its machines that were ever heard still are, and return
        the zones that have just fallen silent. If no machine at all is heard, nothing changes: it
        is more likely that we are cut off."""
        if not any(map(any, heard.values())):
            return []
        fallen: list[str] = []
        for zone, machines in heard.items():
            if any(machines):
                self._paused_until.pop(zone, None)
            elif len(machines) >= MIN_SILENT_MACHINES:
                if zone not in self._paused_until:
                    fallen.append(zone)
                self._paused_until[zone] = now + RENTAL_PAUSE_US
        return fallen

    def rentable_offers(
        self,
        offers: Mapping[Offer, int | None],
        machine_types: Mapping[str, MachineType],
        awaited_zones: Iterable[str],
        now: int,
    ) -> dict[Offer, int | None]:
        """Which of the offers may be rented, and how many of each (None: no limit is known). In a
        silent zone that is, after the pause, one machine of the cheapest offer as a trial, unless
        one from there is awaited already."""
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
