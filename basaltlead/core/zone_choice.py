"""Which zones the tasks of a job may be placed in during a pass of fleet sizing."""

from collections import Counter
from collections.abc import Iterable, Sequence

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Job
from basaltlead.core.packing_bin import PackingBin
from basaltlead.core.rental_choice import RentalChoice


class ZoneChoice:
    """The zones of jobs that must be in one zone or spread over several."""

    def __init__(self, bins: Sequence[PackingBin], rental_choice: RentalChoice) -> None:
        """`bins` are all bins of the pass, also those that are added later."""
        self._bins = bins
        self._rental_choice = rental_choice

    def room(
        self, job_state: JobState, count: int, with_room: Sequence[PackingBin]
    ) -> dict[str, int] | None:
        """How many more tasks of a job, of which `count` wait, each zone may have; None if that is
        not limited. `with_room` are the bins that they may be placed in."""
        job = job_state.job
        if not (job.one_zone or job.spread_zones):
            return None
        offers = self._rental_choice.offers
        zones = sorted({b.zone for b in self._bins} | {offer.zone for offer in offers})
        held = Counter(attempt.machine.zone for attempt in job_state.live.values())
        if job.one_zone:
            chosen = set(held)
            if not chosen and job.gang:
                # One zone must hold all tasks: choose the one that needs the fewest rentals.
                best = self._best_zone(job, count, zones, with_room)
                chosen = set(zones) if best is None else {best}
            zones = [zone for zone in zones if not chosen or zone in chosen]
        return {zone: job.zone_cap - held[zone] for zone in zones}

    def _best_zone(
        self, job: Job, count: int, zones: Iterable[str], with_room: Sequence[PackingBin]
    ) -> str | None:
        """The zone where most of the tasks fit on rented machines. Zones without room for all of
        them count only if machines may be rented there. None if no such zone has room."""
        best_zone: str | None = None
        best_slots = 0
        for zone in zones:
            slots = _capacity_in(zone, job, count, with_room)
            if slots > best_slots and (slots >= count or self._may_rent_in(zone, job)):
                best_zone, best_slots = zone, slots
        return best_zone

    def _may_rent_in(self, zone: str, job: Job) -> bool:
        """Whether the zone has an offer that the job may use and fits on."""
        machine_types = self._rental_choice.machine_types
        return any(
            offer.zone == zone
            and offer.allows(job)
            and machine_types[offer.type_name].capacity_for(job) > 0
            for offer in self._rental_choice.offers
        )


def _capacity_in(zone: str, job: Job, count: int, with_room: Sequence[PackingBin]) -> int:
    """How many of these tasks fit on the rented machines of a zone."""
    slots = 0
    for packing_bin in with_room:
        if packing_bin.zone == zone and packing_bin.offer.allows(job):
            slots += packing_bin.room.capacity_for(job)
            if slots >= count:
                return count
    return slots
