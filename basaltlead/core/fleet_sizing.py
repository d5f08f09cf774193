"""What to rent and what to return: the wanted tasks packed onto machines, cheapest room first."""

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from basaltlead.core.model import EPS, US, Attempt, Job, Kind, Machine, Room, Work, allowed

# For how long a machine must be of use, in boots. Spot machines are cheap enough to be there early
# and to wait for work; ordinary ones are for backlogs that outlast their boots.
WORTH, SPOT_WORTH = 2.4, 0.6
STAY_US = 90 * US  # how long a machine is reckoned to be of use: boots are paid for too
SERVICE_STAY_US = 600 * US  # the same for replicas, which stay


class Offer(Struct, frozen=True):
    """Something the cloud may have: a type in a zone, ordinary or spot."""

    kind: str
    zone: str
    spot: bool


class Demand(Struct):
    """Tasks of a job that should have room now, whether or not they run already."""

    work: Work
    count: int
    drain_us: float = float("inf")  # by when what is rented will have done all open work


class WarmSpare(Struct):
    """Room to be kept for a task like that of `job`, since its class may not wait for a boot."""

    job: Job
    count: int
    images: frozenset[str] = frozenset()  # that such jobs have lately used


class PackingBin:
    """A machine, rented or to be rented, while it is filled."""

    __slots__ = ("kind", "machine", "offer", "room", "used", "zone")

    def __init__(self, kind: Kind, zone: str, machine: Machine | None, offer: Offer) -> None:
        self.kind = kind
        self.zone = zone
        self.machine = machine
        self.offer = offer
        self.room = Room.of(kind)
        self.used = 0

    def allows(self, job: Job) -> bool:
        """May a task of the job be on such a machine at all?"""
        return allowed(job, self.kind.name, self.zone, self.offer.spot)

    def images(self, wanted: frozenset[str]) -> int:
        """How many of these images are on the machine."""
        return 0 if self.machine is None else len(wanted & self.machine.images.keys())

    def take(self, job: Job, count: int) -> None:
        """Give so many tasks of a job their place."""
        self.room.take(job, count)
        self.used += count


class Plan(Struct):
    """What to rent, and which of the rented machines have a use."""

    hires: list[Offer]
    needed: set[str]  # names of machines with a use


def unit_price(kind: Kind, spot: bool) -> float:
    """The price of a machine for an hour."""
    return kind.spot_price if spot and kind.spot_price is not None else kind.price


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
        self, kinds: Iterable[Kind], held: dict[Offer, int], now: int
    ) -> dict[Offer, int | None]:
        """What may be asked for, and how many of it."""
        out: dict[Offer, int | None] = {}
        for kind in kinds:
            for zone in kind.zones:
                for spot in (True, False) if kind.spot_price is not None else (False,):
                    offer = Offer(kind.name, zone, spot)
                    left = self.left(offer, held.get(offer, 0), now)
                    if left is None or left > 0:
                        out[offer] = left
        return out


def risk_price(job: Job, kind: Kind, spot: bool, run_us: int) -> float:
    """Price of a slot for an hour, spot dearer by what a sudden end would repeat."""
    slots = max(1, kind.holds(job))
    price = unit_price(kind, spot) / slots
    stay_us = SERVICE_STAY_US if job.service else STAY_US
    price *= (kind.boot_us + stay_us) / stay_us
    if spot and not job.mark_every_us:
        price *= 1 + min(0.5, run_us / (3600 * US) * 4)
    return price


def size(
    needs: Sequence[Demand],
    spares: Sequence[WarmSpare],
    machines: Iterable[Machine],
    kinds: dict[str, Kind],
    offers: dict[Offer, int | None],
    run_us: dict[str, int],
    most_hires: int,
) -> Plan:
    """Pack what is wanted, highest rank first, onto the machines there are; rent for the rest.

    Running tasks stay where they are unless a higher rank takes their place, in which case they
    count as wanted elsewhere.
    """
    jobs = [*(need.work.job for need in needs), *(spare.job for spare in spares)]
    packing = Packing(machines, kinds, offers, run_us, most_hires, jobs)
    for rank in sorted({job.rank for job in jobs}, reverse=True):
        packing.pack([need for need in needs if need.work.job.rank == rank])
        packing.lend([spare for spare in spares if spare.job.rank == rank])
    return Plan(packing.hires, packing.needed())


class Packing:
    """One pass over what is wanted: the machines there are, as bins, and what is rented beside."""

    def __init__(
        self, machines: Iterable[Machine], kinds: dict[str, Kind],
        offers: dict[Offer, int | None], run_us: dict[str, int], most_hires: int,
        jobs: Sequence[Job],
    ) -> None:  # fmt: skip
        self.kinds = kinds
        self.offers = offers
        self.run_us = run_us
        self.most_hires = most_hires
        self.hires: list[Offer] = []
        self.hired: dict[Offer, int] = {}
        self.bins = [
            PackingBin(m.kind, m.zone, m, Offer(m.kind.name, m.zone, m.spot))
            for m in machines
            if not (m.draining or m.deleting or m.lost or m.recall_at is not None)
        ]
        # Cheap room first, then machines that have work: what is left over at the end can go back.
        self.bins.sort(
            key=lambda b: (
                unit_price(b.kind, b.offer.spot) / max(b.kind.cpus, 0.1),
                -len(b.machine.attempts) if b.machine else 0,
            )
        )
        self.by_name = {b.machine.name: b for b in self.bins if b.machine is not None}
        # Those in which any task may still find room, in the same order. Room only shrinks here,
        # and in a full fleet few are left to look at.
        self.least = min((job.cpus for job in jobs), default=0.0) - EPS
        self.roomy = list(self.bins)

    def needed(self) -> set[str]:
        """Names of the machines that something was placed on."""
        return {b.machine.name for b in self.bins if b.machine is not None and b.used}

    def pack(self, needs: Sequence[Demand]) -> None:
        """Place what is wanted of one rank: first what runs stays, then the rest finds room."""
        moved: dict[str, int] = {}
        for need in needs:
            live = [a for a in need.work.live.values() if a.grace is None]
            moved[need.work.job.ref] = max(0, need.count - sum(map(self._pin, live)))
        self._sift()
        for need in needs:
            count = moved[need.work.job.ref]
            self._place(need.work.job, count, self._zone_room(need.work, count), need.drain_us)

    def _zone_room(self, work: Work, count: int) -> dict[str, int] | None:
        """How many more tasks of a job each zone may have; None if that does not matter."""
        job = work.job
        if not (job.one_zone or job.apart):
            return None
        zones = sorted({b.zone for b in self.bins} | {offer.zone for offer in self.offers})
        held = Counter(attempt.machine.zone for attempt in work.live.values())
        if job.one_zone:
            chosen = set(held)
            if not chosen and job.gang:
                # One zone must hold them all: the one that needs fewest hires.
                found = _best_zone(job, count, zones, self.roomy, self.offers, self.kinds)
                chosen = found or set(zones)
            zones = [zone for zone in zones if not chosen or zone in chosen]
        return {zone: job.zone_cap - held[zone] for zone in zones}

    def lend(self, spares: Sequence[WarmSpare]) -> None:
        """Find room for spares. It may be lent to lower ranks, which give way when it is needed: a
        spare takes nothing from them here. Counting it as taken hired machines for tasks that
        never had to move."""
        lent = {id(one): one.room.copy() for one in self.roomy}
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
        self, spare: WarmSpare, lent: dict[int, Room], held: Counter[str]
    ) -> PackingBin | None:
        """The machine with most of the images, in a zone that does not have its part yet."""
        job = spare.job
        cap = (spare.count + 1) // 2 if job.apart else spare.count
        full = {zone for zone, count in held.items() if count >= cap}
        fitting = [
            b for b in self.roomy
            if b.zone not in full and b.allows(job) and lent.get(id(b), b.room).fits(job)
        ]  # fmt: skip
        if fitting:
            return max(fitting, key=lambda b: b.images(spare.images))
        zones = {offer.zone for offer in self.offers} - full
        return self._rent(job, zones, 1, float("inf"))

    def _sift(self) -> None:
        self.roomy = [b for b in self.roomy if b.room.cpus >= self.least]

    def _pin(self, attempt: Attempt) -> bool:
        """Keep a running task where it is; False if a higher rank has taken its place."""
        one = self.by_name.get(attempt.machine.name)
        if one is None or not one.room.fits(attempt.work.job):
            return False
        one.take(attempt.work.job, 1)
        return True

    def _place(
        self, job: Job, count: int, zone_room: dict[str, int] | None, within_us: float
    ) -> None:
        """Bins that are passed once stay full for this job: one pass, then what is rented."""
        placed = at = full = 0
        while placed < count:
            if at == len(self.roomy):
                zones = None if zone_room is None else {z for z, n in zone_room.items() if n > 0}
                if self._rent(job, zones, count - placed, within_us) is None:
                    break
            one = self.roomy[at]
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
        if full > len(self.roomy) // 4:
            self._sift()

    def _rent(
        self, job: Job, zones: set[str] | None, count: int, within_us: float
    ) -> PackingBin | None:
        """Rent what gives a task its room at the least price; None if nothing is worth it."""
        if len(self.hires) >= self.most_hires:
            return None
        best: tuple[float, int, str, str] | None = None
        chosen: Offer | None = None
        for offer, most in self.offers.items():
            if most is not None and self.hired.get(offer, 0) >= most:
                continue
            if not self._worth(job, offer, zones, within_us):
                continue
            price = self._price(job, offer, count)
            key = (round(price, 6), self.hired.get(offer, 0), offer.kind, offer.zone)
            if best is None or key < best:
                best, chosen = key, offer
        if chosen is None:
            return None
        self.hires.append(chosen)
        self.hired[chosen] = self.hired.get(chosen, 0) + 1
        one = PackingBin(self.kinds[chosen.kind], chosen.zone, None, chosen)
        self.bins.append(one)
        self.roomy.append(one)
        return one

    def _worth(self, job: Job, offer: Offer, zones: set[str] | None, within_us: float) -> bool:
        """May the job use such a machine, and would it still be of use once it is up?"""
        kind = self.kinds[offer.kind]
        boots = SPOT_WORTH if offer.spot else WORTH
        return (
            allowed(job, offer.kind, offer.zone, offer.spot)
            and (zones is None or offer.zone in zones)
            and kind.holds(job) > 0
            and kind.boot_us * boots <= within_us
        )

    def _price(self, job: Job, offer: Offer, count: int) -> float:
        """What a slot costs. A machine far larger than what is left to place is paid in full."""
        kind = self.kinds[offer.kind]
        most = kind.holds(job)
        slots = min(most, max(1, count))
        price = risk_price(job, kind, offer.spot, self.run_us.get(job.ref, 0))
        return price * most / slots if slots < most / 2 else price


def _best_zone(
    job: Job, count: int, zones: Sequence[str], bins: Sequence[PackingBin],
    offers: Iterable[Offer], kinds: dict[str, Kind],
) -> set[str] | None:  # fmt: skip
    """The zone where most of the tasks fit on what is rented already; else one that offers."""
    best: tuple[int, str] | None = None
    for zone in zones:
        slots = 0
        for one in bins:
            if one.zone == zone and allowed(job, one.kind.name, zone, one.offer.spot):
                room = one.room.copy()
                while slots < count and room.fits(job):
                    room.take(job)
                    slots += 1
        offered = any(
            o.zone == zone and allowed(job, o.kind, zone, o.spot) and kinds[o.kind].holds(job)
            for o in offers
        )
        if slots < count and not offered:
            continue
        if best is None or slots > best[0]:
            best = (slots, zone)
    return None if best is None or best[0] == 0 else {best[1]}
