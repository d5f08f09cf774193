"""Zones from which no machine reports: machines rented there would probably not reach us either.

Renting in such a zone is paused, and then limited to one machine at a time until one from there
reports. If renting resumed as usual after the pause, a network partition of two minutes would cost
dozens of machines that are paid for and never report.
"""

from collections.abc import Iterable, Mapping

from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer, RentableOffers

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
        self, offers: Mapping[Offer, int | None], awaited_zones: Iterable[str], now: int
    ) -> RentableOffers:
        """What may be rented of these offers. After the pause a silent zone is a trial zone, unless
        a machine from there is already awaited. Which offer of it is tried is left to
        `RentalChoice`, which knows what waits: a machine that no waiting task can use would never
        be rented, and the zone would stay silent (test_work_of_a_silent_zone_runs_again)."""
        awaited = set(awaited_zones)
        trial_zones = {
            zone
            for zone, paused_until in self._paused_until.items()
            if now >= paused_until and zone not in awaited
        }
        closed_zones = self._paused_until.keys() - trial_zones
        available = {
            offer: count for offer, count in offers.items() if offer.zone not in closed_zones
        }
        return RentableOffers(available, frozenset(trial_zones))
