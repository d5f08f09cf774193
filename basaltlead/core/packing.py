"""Packs the wanted tasks onto the cheapest machines first, and rents machines for the rest."""

from collections import Counter
from collections.abc import Iterable, Sequence

from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.jobs import EPS, Job, Resources
from basaltlead.core.offers import Offer, unit_price
from basaltlead.core.packing_bin import PackingBin
from basaltlead.core.rental_choice import RentalChoice
from basaltlead.core.task_demand import TaskDemand, WarmSpare
from basaltlead.core.zone_choice import ZoneChoice


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
        self._zones = ZoneChoice(self._bins, rental_choice)
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
            zone_room = self._zones.room(need.job_state, count, self._with_room)
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
        zone_room = self._zones.room(need.job_state, count, self._with_room)
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
