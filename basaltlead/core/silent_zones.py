"""Zones of which nothing is heard: cut off, so that what boots there can't reach us either.

Nothing is hired in such a zone for a while, and then one machine at a time, until one from there is
heard. Hiring as usual again after the while, a cut of two minutes cost dozens of machines that
were paid for and never heard of.
"""

from collections.abc import Iterable, Mapping

from basaltlead.core.entities import US, MachineType
from basaltlead.core.offers import Offer, unit_price

SILENT_COUNT = 3  # machines that must be silent before their zone is in doubt
PAUSE_US = 45 * US  # for how long nothing is hired there after the last of them was returned


class SilentZones:
    """Which zones are in doubt, and what may be hired there."""

    def __init__(self) -> None:
        self.until: dict[str, int] = {}  # zones in doubt; nothing is hired there until then

    def look(self, heard: Mapping[str, list[bool]], now: int) -> list[str]:
        """Take in, for each zone, which of its machines that were ever heard still are. The zones
        that have just fallen silent. If nobody at all is heard, it is more likely our own
        trouble."""
        if not any(map(any, heard.values())):
            return []
        fallen: list[str] = []
        for zone, machines in heard.items():
            if any(machines):
                self.until.pop(zone, None)
            elif len(machines) >= SILENT_COUNT:
                if zone not in self.until:
                    fallen.append(zone)
                self.until[zone] = now + PAUSE_US
        return fallen

    def admitted(
        self,
        offers: Mapping[Offer, int | None],
        machine_types: Mapping[str, MachineType],
        tried: Iterable[str],
        now: int,
    ) -> dict[Offer, int | None]:
        """What may be hired: in a zone in doubt, after the pause, one machine of the cheapest
        type, unless one from there (`tried`) is expected already."""
        unheard = set(tried)
        out: dict[Offer, int | None] = {}
        trials: dict[str, Offer] = {}
        for offer, most in offers.items():
            until = self.until.get(offer.zone)
            if until is None:
                out[offer] = most
            elif now >= until and offer.zone not in unheard:
                best = trials.get(offer.zone)
                if best is None or _price(offer, machine_types) < _price(best, machine_types):
                    trials[offer.zone] = offer
        return out | dict.fromkeys(trials.values(), 1)


def _price(offer: Offer, machine_types: Mapping[str, MachineType]) -> float:
    return unit_price(machine_types[offer.type_name], offer.spot)
