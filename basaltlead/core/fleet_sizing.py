"""What to rent and what to return: the wanted tasks packed onto machines, cheapest room first."""

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import EPS, US, Job, MachineType, Resources, allowed

# For how long a machine must be of use, in boots. Spot machines are cheap enough to be there early
# and to wait for work; ordinary ones are for backlogs that outlast their boots.
WORTH, SPOT_WORTH = 2.4, 0.6
STAY_US = 90 * US  # how long a machine is reckoned to be of use: boots are paid for too
SERVICE_STAY_US = 600 * US  # the same for replicas, which stay


class Offer(Struct, frozen=True):
    """Something the cloud may have: a type in a zone, ordinary or spot."""

    type_name: str
    zone: str
    spot: bool


class Demand(Struct):
    """Tasks of a job that should have room now, whether or not they run already."""

    job_state: JobState
    count: int
    drain_us: float = float("inf")  # by when what is rented will have done all open work


class WarmSpare(Struct):
    """Room to be kept for a task like that of `job`, since its class may not wait for a boot."""

    job: Job
    count: int
    images: frozenset[str] = frozenset()  # that such jobs have lately used


class PackingBin:
    """A machine, rented or to be rented, while it is filled."""

    __slots__ = ("machine", "machine_type", "offer", "room", "used", "zone")

    def __init__(
        self, machine_type: MachineType, zone: str, machine: Machine | None, offer: Offer
    ) -> None:
        self.machine_type = machine_type
        self.zone = zone
        self.machine = machine
        self.offer = offer
        self.room = Resources.of(machine_type)
        self.used = 0

    def allows(self, job: Job) -> bool:
        """May a task of the job be on such a machine at all?"""
        return allowed(job, self.machine_type.name, self.zone, self.offer.spot)

    def images(self, wanted: frozenset[str]) -> int:
        """How many of these images are on the machine."""
        return 0 if self.machine is None else len(wanted & self.machine.images.keys())

    def take(self, job: Job, count: int) -> None:
        """Give so many tasks of a job their place."""
        self.room.take(job, count)
        self.used += count


class Plan(Struct):
    """What to rent, and which of the rented machines have a use."""

    rentals: list[Offer]
    needed: set[str]  # names of machines with a use


def unit_price(machine_type: MachineType, spot: bool) -> float:
    """The price of a machine for an hour."""
    return (
        machine_type.spot_price
        if spot and machine_type.spot_price is not None
        else machine_type.price
    )


class OfferBook:
    """What the cloud last said of each offer.

    A refusal shows how many there are to be had: those we hold. There is no use in asking for
    more until some time has passed or we hold fewer.
    """

    MEMORY_US = 60 * US

    def __init__(self) -> None:
        self.most: dict[Offer, tuple[int, int]] = {}  # how many, known until

    def refused(self, offer: Offer, held: int, now: int) -> None:
        self.most[offer] = (held, now + self.MEMORY_US)

    def left(self, offer: Offer, held: int, now: int) -> int | None:
        """How many more may be had; None: unknown."""
        known = self.most.get(offer)
        if known is None or now >= known[1]:
            return None
        return max(0, known[0] - held)

    def offers(
        self, machine_types: Iterable[MachineType], held: dict[Offer, int], now: int
    ) -> dict[Offer, int | None]:
        """What may be asked for, and how many of it."""
        out: dict[Offer, int | None] = {}
        for machine_type in machine_types:
            for zone in machine_type.zones:
                for spot in (True, False) if machine_type.spot_price is not None else (False,):
                    offer = Offer(machine_type.name, zone, spot)
                    left = self.left(offer, held.get(offer, 0), now)
                    if left is None or left > 0:
                        out[offer] = left
        return out


def risk_price(job: Job, machine_type: MachineType, spot: bool, run_us: int) -> float:
    """Price of a slot for an hour, spot dearer by what a sudden end would repeat."""
    slots = max(1, machine_type.holds(job))
    price = unit_price(machine_type, spot) / slots
    stay_us = SERVICE_STAY_US if job.service else STAY_US
    price *= (machine_type.boot_us + stay_us) / stay_us
    if spot and not job.checkpoint_interval_us:
        price *= 1 + min(0.5, run_us / (3600 * US) * 4)
    return price


def size(
    needs: Sequence[Demand],
    spares: Sequence[WarmSpare],
    machines: Iterable[Machine],
    machine_types: dict[str, MachineType],
    offers: dict[Offer, int | None],
    run_us: dict[str, int],
    max_rentals: int,
) -> Plan:
    """Pack what is wanted, highest rank first, onto the machines there are; rent for the rest.

    Running tasks stay where they are unless a higher rank takes their place, in which case they
    count as wanted elsewhere.
    """
    jobs = [*(need.job_state.job for need in needs), *(spare.job for spare in spares)]
    packing = Packing(machines, machine_types, offers, run_us, max_rentals, jobs)
    for rank in sorted({job.rank for job in jobs}, reverse=True):
        packing.pack([need for need in needs if need.job_state.job.rank == rank])
        packing.lend([spare for spare in spares if spare.job.rank == rank])
    return Plan(packing.rentals, packing.needed())


class Packing:
    """One pass over what is wanted: the machines there are, as bins, and what is rented beside."""

    def __init__(
        self,
        machines: Iterable[Machine],
        machine_types: dict[str, MachineType],
        offers: dict[Offer, int | None],
        run_us: dict[str, int],
        max_rentals: int,
        jobs: Sequence[Job],
    ) -> None:
        self.machine_types = machine_types
        self.offers = offers
        self.run_us = run_us
        self.max_rentals = max_rentals
        self.rentals: list[Offer] = []
        self.rental_counts: dict[Offer, int] = {}
        self.bins = [
            PackingBin(m.machine_type, m.zone, m, Offer(m.machine_type.name, m.zone, m.spot))
            for m in machines
            if not (m.draining or m.terminating or m.lost or m.preemption_at is not None)
        ]
        # Cheap room first, then machines that have work: what is left over at the end can go back.
        self.bins.sort(
            key=lambda b: (
                unit_price(b.machine_type, b.offer.spot) / max(b.machine_type.cpus, 0.1),
                -len(b.machine.attempts) if b.machine else 0,
            )
        )
        self.by_name = {b.machine.name: b for b in self.bins if b.machine is not None}
        # Those in which any task may still find room, in the same order. Room only shrinks here,
        # and in a full fleet few are left to look at.
        self.least = min((job.cpus for job in jobs), default=0.0) - EPS
        self.with_room = list(self.bins)

    def needed(self) -> set[str]:
        """Names of the machines that something was placed on."""
        return {b.machine.name for b in self.bins if b.machine is not None and b.used}

    def pack(self, needs: Sequence[Demand]) -> None:
        """Place what is wanted of one rank: first what runs stays, then the rest finds room."""
        moved: dict[str, int] = {}
        for need in needs:
            live = [a for a in need.job_state.live.values() if a.stop_grace_s is None]
            moved[need.job_state.job.ref] = max(0, need.count - sum(map(self._pin, live)))
        self._sift()
        for need in needs:
            count = moved[need.job_state.job.ref]
            self._place(
                need.job_state.job, count, self._zone_room(need.job_state, count), need.drain_us
            )

    def _zone_room(self, job_state: JobState, count: int) -> dict[str, int] | None:
        """How many more tasks of a job each zone may have; None if that does not matter."""
        job = job_state.job
        if not (job.one_zone or job.apart):
            return None
        zones = sorted({b.zone for b in self.bins} | {offer.zone for offer in self.offers})
        held = Counter(attempt.machine.zone for attempt in job_state.live.values())
        if job.one_zone:
            chosen = set(held)
            if not chosen and job.gang:
                # One zone must hold them all: the one that needs fewest rentals.
                found = _best_zone(
                    job, count, zones, self.with_room, self.offers, self.machine_types
                )
                chosen = found or set(zones)
            zones = [zone for zone in zones if not chosen or zone in chosen]
        return {zone: job.zone_cap - held[zone] for zone in zones}

    def lend(self, spares: Sequence[WarmSpare]) -> None:
        """Find room for spares. It may be lent to lower ranks, which give way when it is needed: a
        spare takes nothing from them here. Counting it as taken rental_counts machines for tasks
        that never had to move."""
        lent = {id(one): one.room.copy() for one in self.with_room}
        for spare in spares:
            held: Counter[str] = Counter()
            for _ in range(spare.count):
                found = self._spare_bin(spare, lent, held)
                if found is None:
                    break
                lent.setdefault(id(found), found.room.copy()).take(spare.job)
                held[found.zone] += 1
                found.used += 1

    def _spare_bin(
        self, spare: WarmSpare, lent: dict[int, Resources], held: Counter[str]
    ) -> PackingBin | None:
        """The machine with most of the images, in a zone that does not have its part yet."""
        job = spare.job
        cap = (spare.count + 1) // 2 if job.apart else spare.count
        full = {zone for zone, count in held.items() if count >= cap}
        fitting = [
            b
            for b in self.with_room
            if b.zone not in full and b.allows(job) and lent.get(id(b), b.room).fits(job)
        ]
        if fitting:
            return max(fitting, key=lambda b: b.images(spare.images))
        zones = {offer.zone for offer in self.offers} - full
        return self._rent(job, zones, 1, float("inf"))

    def _sift(self) -> None:
        self.with_room = [b for b in self.with_room if b.room.cpus >= self.least]

    def _pin(self, attempt: Attempt) -> bool:
        """Keep a running task where it is; False if a higher rank has taken its place."""
        one = self.by_name.get(attempt.machine.name)
        if one is None or not one.room.fits(attempt.job_state.job):
            return False
        one.take(attempt.job_state.job, 1)
        return True

    def _place(
        self, job: Job, count: int, zone_room: dict[str, int] | None, within_us: float
    ) -> None:
        """Bins that are passed once stay full for this job: one pass, then what is rented."""
        placed = at = full = 0
        while placed < count:
            if at == len(self.with_room):
                zones = None if zone_room is None else {z for z, n in zone_room.items() if n > 0}
                if self._rent(job, zones, count - placed, within_us) is None:
                    break
            one = self.with_room[at]
            at += 1
            full += one.room.cpus < self.least
            most = count - placed
            if zone_room is not None:
                most = min(most, zone_room.get(one.zone, 0))
            if most <= 0 or not one.allows(job):
                continue
            fitting = min(most, one.room.holds(job))
            one.take(job, fitting)
            placed += fitting
            if zone_room is not None:
                zone_room[one.zone] = zone_room.get(one.zone, 0) - fitting
        if full > len(self.with_room) // 4:
            self._sift()

    def _rent(
        self, job: Job, zones: set[str] | None, count: int, within_us: float
    ) -> PackingBin | None:
        """Rent what gives a task its room at the least price; None if nothing is worth it."""
        if len(self.rentals) >= self.max_rentals:
            return None
        best: tuple[float, int, str, str] | None = None
        chosen: Offer | None = None
        for offer, most in self.offers.items():
            if most is not None and self.rental_counts.get(offer, 0) >= most:
                continue
            if not self._worth(job, offer, zones, within_us):
                continue
            price = self._price(job, offer, count)
            key = (round(price, 6), self.rental_counts.get(offer, 0), offer.type_name, offer.zone)
            if best is None or key < best:
                best, chosen = key, offer
        if chosen is None:
            return None
        self.rentals.append(chosen)
        self.rental_counts[chosen] = self.rental_counts.get(chosen, 0) + 1
        one = PackingBin(self.machine_types[chosen.type_name], chosen.zone, None, chosen)
        self.bins.append(one)
        self.with_room.append(one)
        return one

    def _worth(self, job: Job, offer: Offer, zones: set[str] | None, within_us: float) -> bool:
        """May the job use such a machine, and would it still be of use once it is up?"""
        machine_type = self.machine_types[offer.type_name]
        boots = SPOT_WORTH if offer.spot else WORTH
        return (
            allowed(job, offer.type_name, offer.zone, offer.spot)
            and (zones is None or offer.zone in zones)
            and machine_type.holds(job) > 0
            and machine_type.boot_us * boots <= within_us
        )

    def _price(self, job: Job, offer: Offer, count: int) -> float:
        """What a slot costs. A machine far larger than what is left to place is paid in full."""
        machine_type = self.machine_types[offer.type_name]
        most = machine_type.holds(job)
        slots = min(most, max(1, count))
        price = risk_price(job, machine_type, offer.spot, self.run_us.get(job.ref, 0))
        return price * most / slots if slots < most / 2 else price


def _best_zone(
    job: Job,
    count: int,
    zones: Sequence[str],
    bins: Sequence[PackingBin],
    offers: Iterable[Offer],
    machine_types: dict[str, MachineType],
) -> set[str] | None:
    """The zone where most of the tasks fit on what is rented already; else one that offers."""
    best: tuple[int, str] | None = None
    for zone in zones:
        slots = 0
        for one in bins:
            if one.zone == zone and allowed(job, one.machine_type.name, zone, one.offer.spot):
                room = one.room.copy()
                while slots < count and room.fits(job):
                    room.take(job)
                    slots += 1
        offered = any(
            o.zone == zone
            and allowed(job, o.type_name, zone, o.spot)
            and machine_types[o.type_name].holds(job)
            for o in offers
        )
        if slots < count and not offered:
            continue
        if best is None or slots > best[0]:
            best = (slots, zone)
    return None if best is None or best[0] == 0 else {best[1]}
