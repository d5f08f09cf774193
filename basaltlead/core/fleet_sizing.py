"""What to rent and what to return: packs the wanted tasks onto the cheapest machines first."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import EPS, Job, MachineType, Resources, Shape
from basaltlead.core.offers import Offer, RentableOffers, unit_price
from basaltlead.core.rental_choice import RentalChoice


class TaskDemand(Struct):
    """How many tasks of a job should be on machines now, including those that are already."""

    job_state: JobState
    count: int
    backlog_us: float = float("inf")  # time until the rented machines have done all open work
    run_us: int = 0  # estimated run time of a task of the job
    # Names of machines that are no room for the job, whatever is free there.
    no_room_on: frozenset[str] = frozenset()

    @property
    def tasks_without_room(self) -> int:
        """How many tasks `no_room_on` applies to: of an array one, which the others can follow."""
        if not self.no_room_on:
            return 0
        return 1 if self.job_state.job.shape is Shape.ARRAY else self.count


class WarmSpare(Struct):
    """Capacity to keep free for tasks like those of `job`, whose class can't wait for a machine to
    boot."""

    job: Job
    count: int
    images: frozenset[str] = frozenset()  # images that such jobs have used lately


class FleetPlan(Struct):
    """What to rent, and which of the rented machines are needed."""

    rentals: list[Offer]
    needed: set[str]  # names of the needed machines


class PackingBin:
    """A machine, rented or to be rented, that is being filled."""

    __slots__ = ("machine", "machine_type", "offer", "room", "used", "zone")

    def __init__(self, machine_type: MachineType, offer: Offer, machine: Machine | None) -> None:
        self.machine_type = machine_type
        self.offer = offer
        self.zone = offer.zone
        self.machine = machine
        self.room = Resources.of(machine_type)
        self.used = 0

    def is_one_of(self, machines: frozenset[str]) -> bool:
        """Whether it is one of these machines, given by name."""
        return self.machine is not None and self.machine.name in machines

    def image_count(self, wanted: frozenset[str]) -> int:
        """How many of these images are on the machine; 0 if it is to be rented."""
        return 0 if self.machine is None else len(wanted & self.machine.images.keys())

    def take(self, job: Job, count: int) -> None:
        """Place this many tasks of a job here."""
        self.room.take(job, count)
        self.used += count


def plan_fleet(
    needs: Sequence[TaskDemand],
    spares: Sequence[WarmSpare],
    machines: Iterable[Machine],
    machine_types: Mapping[str, MachineType],
    offers: RentableOffers,
    max_rentals: int,
) -> FleetPlan:
    """Pack the wanted tasks onto the present machines, highest rank first, and rent machines for
    the rest.

    Tasks that are on a machine stay there unless a higher rank takes their place; then they are
    placed like waiting tasks.
    """
    jobs = [*(need.job_state.job for need in needs), *(spare.job for spare in spares)]
    run_us = {need.job_state.job.ref: need.run_us for need in needs}
    rental_choice = RentalChoice(machine_types, offers, run_us, max_rentals)
    packing = Packing(machines, rental_choice, min((job.cpus for job in jobs), default=0.0))
    for rank in sorted({job.rank for job in jobs}, reverse=True):
        packing.place_tasks([need for need in needs if need.job_state.job.rank == rank])
        packing.place_spares([spare for spare in spares if spare.job.rank == rank])
    return FleetPlan(rental_choice.rentals, packing.needed())


class Packing:
    """One pass over the wanted tasks, with the present machines and the rentals as bins."""

    def __init__(
        self, machines: Iterable[Machine], rental_choice: RentalChoice, min_cpus: float
    ) -> None:
        """`min_cpus` is the CPUs of the smallest task."""
        self._rental_choice = rental_choice
        self._bins = [
            PackingBin(m.machine_type, Offer(m.machine_type.name, m.zone, m.spot), m)
            for m in machines
            if not m.is_leaving
        ]
        # By price per CPU; at equal prices those with most attempts first, so that the emptier ones
        # stay unused and can be returned.
        self._bins.sort(
            key=lambda b: (
                unit_price(b.machine_type, b.offer.spot) / max(b.machine_type.cpus, 0.1),
                -len(b.machine.attempts) if b.machine else 0,
            )
        )
        self._by_name = {b.machine.name: b for b in self._bins if b.machine is not None}
        # Bins in which any task may still find room, in the same order. Room only shrinks during a
        # pass, so in a full fleet few bins are left to visit.
        self._min_cpus = min_cpus - EPS
        self._with_room = list(self._bins)

    def needed(self) -> set[str]:
        """Names of the machines that something was placed on."""
        return {b.machine.name for b in self._bins if b.machine is not None and b.used}

    def place_tasks(self, needs: Sequence[TaskDemand]) -> None:
        """Place the wanted tasks of one rank: those on machines stay, the others are placed."""
        unplaced: list[int] = []
        for need in needs:
            live = [a for a in need.job_state.live.values() if a.stop_grace_s is None]
            unplaced.append(max(0, need.count - sum(map(self._keep_in_place, live))))
        self._drop_full_bins()
        for position, need in enumerate(needs):
            unplaced[position] -= self._place_elsewhere(need, unplaced[position])
        for need, count in zip(needs, unplaced, strict=True):
            zone_room = self._zone_room(need.job_state, count)
            self._place(need.job_state.job, count, zone_room, need.backlog_us)

    def _place_elsewhere(self, need: TaskDemand, unplaced: int) -> int:
        """Place the tasks for which some machines are no room, and return how many were placed.
        They come before others of their rank, which would otherwise take the machines that are left
        to them."""
        count = min(unplaced, need.tasks_without_room)
        if count <= 0:
            return 0
        with_room, rented_before = self._with_room, len(self._bins)
        self._with_room = [b for b in with_room if not b.is_one_of(need.no_room_on)]
        zone_room = self._zone_room(need.job_state, count)
        placed = self._place(need.job_state.job, count, zone_room, float("inf"))
        self._with_room = with_room + self._bins[rented_before:]
        return placed

    def place_spares(self, spares: Sequence[WarmSpare]) -> None:
        """Find room for spares.

        Lower ranks may use this room, and their tasks are preempted when it is needed, so the room
        of a spare is not subtracted from the room for them. Otherwise machines would be rented for
        tasks of lower ranks that can run in that room.
        """
        room_for_spares = {
            id(packing_bin): packing_bin.room.copy() for packing_bin in self._with_room
        }
        for spare in spares:
            held: Counter[str] = Counter()  # by zone
            for _ in range(spare.count):
                found = self._spare_bin(spare, room_for_spares, held)
                if found is None:
                    break
                room_for_spares.setdefault(id(found), found.room.copy()).take(spare.job)
                held[found.zone] += 1
                found.used += 1

    def _spare_bin(
        self, spare: WarmSpare, room_for_spares: dict[int, Resources], held: Counter[str]
    ) -> PackingBin | None:
        """The bin for one spare: of those with room for it, the one with the most of its images.
        Zones that have their maximum of these spares are excluded; that is half of the spares if
        the tasks of the job are spread over zones. If no bin has room, a machine is rented. None if
        that is impossible too."""
        job = spare.job
        cap = (spare.count + 1) // 2 if job.spread_zones else spare.count
        full = {zone for zone, count in held.items() if count >= cap}
        fitting = [
            b
            for b in self._with_room
            if b.zone not in full
            and b.offer.allows(job)
            and room_for_spares.get(id(b), b.room).fits(job)
        ]
        if fitting:
            return max(fitting, key=lambda b: b.image_count(spare.images))
        zones = {offer.zone for offer in self._rental_choice.offers} - full
        return self._rent(job, zones, 1, float("inf"))

    def _drop_full_bins(self) -> None:
        self._with_room = [b for b in self._with_room if b.room.cpus >= self._min_cpus]

    def _keep_in_place(self, attempt: Attempt) -> bool:
        """Keep a task on its machine; False if a higher rank has taken its place."""
        packing_bin = self._by_name.get(attempt.machine.name)
        if packing_bin is None or not packing_bin.room.fits(attempt.job_state.job):
            return False
        packing_bin.take(attempt.job_state.job, 1)
        return True

    def _zone_room(self, job_state: JobState, count: int) -> dict[str, int] | None:
        """How many more tasks of a job each zone may have; None if that is not limited."""
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
                best = self._best_zone(job, count, zones)
                chosen = set(zones) if best is None else {best}
            zones = [zone for zone in zones if not chosen or zone in chosen]
        return {zone: job.zone_cap - held[zone] for zone in zones}

    def _best_zone(self, job: Job, count: int, zones: Iterable[str]) -> str | None:
        """The zone where most of the tasks fit on rented machines. Zones without room for all of
        them count only if machines may be rented there. None if no such zone has room."""
        best_zone: str | None = None
        best_slots = 0
        for zone in zones:
            slots = self._capacity_in(zone, job, count)
            if slots > best_slots and (slots >= count or self._may_rent_in(zone, job)):
                best_zone, best_slots = zone, slots
        return best_zone

    def _capacity_in(self, zone: str, job: Job, count: int) -> int:
        """How many of these tasks fit on the rented machines of a zone."""
        slots = 0
        for packing_bin in self._with_room:
            if packing_bin.zone == zone and packing_bin.offer.allows(job):
                slots += packing_bin.room.capacity_for(job)
                if slots >= count:
                    return count
        return slots

    def _may_rent_in(self, zone: str, job: Job) -> bool:
        """Whether the zone has an offer that the job may use and fits on."""
        machine_types = self._rental_choice.machine_types
        return any(
            offer.zone == zone
            and offer.allows(job)
            and machine_types[offer.type_name].capacity_for(job) > 0
            for offer in self._rental_choice.offers
        )

    def _place(
        self, job: Job, count: int, zone_room: dict[str, int] | None, backlog_us: float
    ) -> int:
        """Place this many tasks of a job, as far as possible; return how many were placed.

        Bins with room are visited first, then new rentals. No bin is visited twice: one that was
        passed can't take any more of these tasks.
        """
        placed = position = full = 0
        while placed < count:
            if position == len(self._with_room):
                zones = None if zone_room is None else {z for z, n in zone_room.items() if n > 0}
                if self._rent(job, zones, count - placed, backlog_us) is None:
                    break
            packing_bin = self._with_room[position]
            position += 1
            full += packing_bin.room.cpus < self._min_cpus
            limit = count - placed
            if zone_room is not None:
                limit = min(limit, zone_room.get(packing_bin.zone, 0))
            if limit <= 0 or not packing_bin.offer.allows(job):
                continue
            tasks = min(limit, packing_bin.room.capacity_for(job))
            packing_bin.take(job, tasks)
            placed += tasks
            if zone_room is not None:
                zone_room[packing_bin.zone] = zone_room.get(packing_bin.zone, 0) - tasks
        if full > len(self._with_room) // 4:
            self._drop_full_bins()
        return placed

    def _rent(
        self, job: Job, zones: set[str] | None, count: int, backlog_us: float
    ) -> PackingBin | None:
        """Add a bin for a machine to be rented for these tasks; None if no offer is worth its
        price or the maximum number of rentals is reached."""
        offer = self._rental_choice.choose(job, zones, count, backlog_us)
        if offer is None:
            return None
        machine_type = self._rental_choice.machine_types[offer.type_name]
        packing_bin = PackingBin(machine_type, offer, None)
        self._bins.append(packing_bin)
        self._with_room.append(packing_bin)
        return packing_bin
