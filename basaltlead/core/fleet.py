"""What to rent and what to return: the wanted tasks packed onto machines, cheapest room first."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from basaltlead.core.model import US, Attempt, Job, Kind, Machine, Room, Work, allowed

STAY_US = 90 * US  # how long a machine is reckoned to be of use: boots are paid for too


class Offer(Struct, frozen=True):
    """Something the cloud may have: a type in a zone, ordinary or spot."""

    kind: str
    zone: str
    spot: bool


class Need(Struct):
    """Tasks of a job that should have room now, whether or not they run already."""

    work: Work
    count: int


class Spare(Struct):
    """Room to be kept for a task like that of `job`, since its class may not wait for a boot."""

    job: Job
    count: int


class Bin:
    __slots__ = ("kind", "machine", "offer", "room", "used", "zone")

    def __init__(self, kind: Kind, zone: str, machine: Machine | None, offer: Offer) -> None:
        self.kind = kind
        self.zone = zone
        self.machine = machine
        self.offer = offer
        self.room = Room.of(kind)
        self.used = 0


class Plan(Struct):
    hires: list[Offer]
    needed: set[str]  # names of machines with a use


def unit_price(kind: Kind, spot: bool) -> float:
    return kind.spot_price if spot and kind.spot_price is not None else kind.price


class Shop:
    """What the cloud last said of each offer: refusals make it wait before asking again."""

    def __init__(self) -> None:
        self.closed_until: dict[Offer, int] = {}
        self.refusals: dict[Offer, int] = {}

    def refused(self, offer: Offer, now: int) -> None:
        count = self.refusals[offer] = min(4, self.refusals.get(offer, 0) + 1)
        self.closed_until[offer] = now + (4 << count) * US

    def served(self, offer: Offer) -> None:
        self.refusals.pop(offer, None)
        self.closed_until.pop(offer, None)

    def open(self, offer: Offer, now: int) -> bool:
        return now >= self.closed_until.get(offer, 0)

    def offers(self, kinds: Iterable[Kind], now: int) -> list[Offer]:
        out = []
        for kind in kinds:
            for zone in kind.zones:
                if kind.spot_price is not None:
                    out.append(Offer(kind.name, zone, True))
                out.append(Offer(kind.name, zone, False))
        return [offer for offer in out if self.open(offer, now)]


def risk_price(job: Job, kind: Kind, spot: bool, run_us: int) -> float:
    """Price of a slot for an hour, spot dearer by what a sudden end would repeat."""
    slots = max(1, kind.holds(job))
    price = unit_price(kind, spot) / slots
    price *= (kind.boot_us + STAY_US) / STAY_US
    if spot and not job.mark_every_us:
        price *= 1 + min(0.5, run_us / (3600 * US) * 4)
    return price


def size(
    needs: Sequence[Need],
    spares: Sequence[Spare],
    machines: Iterable[Machine],
    kinds: dict[str, Kind],
    offers: Sequence[Offer],
    run_us: dict[str, int],
    most_hires: int,
) -> Plan:
    """Pack what is wanted, highest rank first, onto the machines there are; rent for the rest.

    Running tasks stay where they are unless a higher rank takes their place, in which case they
    count as wanted elsewhere.
    """
    bins = [
        Bin(m.kind, m.zone, m, Offer(m.kind.name, m.zone, m.spot))
        for m in machines
        if not (m.draining or m.deleting or m.lost or m.recall_at is not None)
    ]
    # Filled machines first, then dear ones last: what is left over at the end can go back.
    bins.sort(key=lambda b: (-len(b.machine.attempts) if b.machine else 0, b.offer.spot is False))
    by_name = {b.machine.name: b for b in bins if b.machine is not None}
    hires: list[Offer] = []
    hired: dict[Offer, int] = {}
    shut: set[Offer] = set()

    def fit(job: Job, zones: set[str] | None) -> Bin | None:
        for one in bins:
            if (
                one.room.fits(job)
                and (zones is None or one.zone in zones)
                and allowed(job, one.kind.name, one.zone, one.offer.spot)
            ):
                return one
        return None

    def rent(job: Job, zones: set[str] | None, count: int) -> Bin | None:
        if len(hires) >= most_hires:
            return None
        best: tuple[float, int, str, str] | None = None
        chosen: Offer | None = None
        for offer in offers:
            kind = kinds[offer.kind]
            if (
                offer in shut
                or not allowed(job, offer.kind, offer.zone, offer.spot)
                or (zones is not None and offer.zone not in zones)
                or not kind.holds(job)
            ):
                continue
            slots = min(kind.holds(job), max(1, count))
            # A machine far larger than what is left to place is paid for in full.
            price = risk_price(job, kind, offer.spot, run_us.get(job.ref, 0))
            price *= kind.holds(job) / slots if slots < kind.holds(job) / 2 else 1.0
            key = (round(price, 6), hired.get(offer, 0), offer.kind, offer.zone)
            if best is None or key < best:
                best, chosen = key, offer
        if chosen is None:
            return None
        hires.append(chosen)
        hired[chosen] = hired.get(chosen, 0) + 1
        one = Bin(kinds[chosen.kind], chosen.zone, None, chosen)
        bins.append(one)
        return one

    def pin(attempt: Attempt) -> bool:
        one = by_name.get(attempt.machine.name)
        if one is None or not one.room.fits(attempt.work.job):
            return False
        one.room.take(attempt.work.job)
        one.used += 1
        return True

    def place(job: Job, count: int, zones: set[str] | None) -> int:
        placed = 0
        while placed < count:
            one = fit(job, zones) or rent(job, zones, count - placed)
            if one is None:
                break
            while placed < count and one.room.fits(job):
                one.room.take(job)
                one.used += 1
                placed += 1
        return placed

    ranks = sorted({n.work.job.rank for n in needs} | {s.job.rank for s in spares}, reverse=True)
    for rank in ranks:
        here = [need for need in needs if need.work.job.rank == rank]
        moved: dict[str, int] = {}
        for need in here:
            live = [a for a in need.work.live.values() if a.grace is None]
            moved[need.work.job.ref] = max(0, need.count - sum(pin(a) for a in live))
        for need in here:
            job = need.work.job
            zones = None
            if job.one_zone and need.work.live:
                zones = {a.machine.zone for a in need.work.live.values()}
            if job.one_zone and job.gang and zones is None:
                # One zone must hold them all: try each, keep the one that needs fewest hires.
                tried = sorted({b.zone for b in bins} | {o.zone for o in offers})
                zones = _best_zone(job, moved[job.ref], tried, bins, offers, kinds)
            place(job, moved[job.ref], zones)
        for spare in spares:
            if spare.job.rank == rank:
                place(spare.job, spare.count, None)
    needed = {b.machine.name for b in bins if b.machine is not None and b.used}
    return Plan(hires, needed)


def _best_zone(
    job: Job, count: int, zones: Sequence[str], bins: Sequence[Bin],
    offers: Sequence[Offer], kinds: dict[str, Kind],
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
