"""What to rent and what to return: the wanted tasks packed onto machines, cheapest room first."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from basaltlead.core.model import EPS, US, Attempt, Job, Kind, Machine, Room, Work, allowed

# For how long a machine must be of use, in boots. Spot machines are cheap enough to be there early
# and to wait for work; ordinary ones are for backlogs that outlast their boots.
WORTH, SPOT_WORTH = 2.4, 0.6
STAY_US = 90 * US  # how long a machine is reckoned to be of use: boots are paid for too


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
    price *= (kind.boot_us + STAY_US) / STAY_US
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
    bins = [
        PackingBin(m.kind, m.zone, m, Offer(m.kind.name, m.zone, m.spot))
        for m in machines
        if not (m.draining or m.deleting or m.lost or m.recall_at is not None)
    ]
    # Cheap room first, then machines that have work: what is left over at the end can go back.
    bins.sort(
        key=lambda b: (
            unit_price(b.kind, b.offer.spot) / max(b.kind.cpus, 0.1),
            -len(b.machine.attempts) if b.machine else 0,
        )
    )
    by_name = {b.machine.name: b for b in bins if b.machine is not None}
    # Those in which any task may still find room, in the same order. Room only shrinks here, and
    # in a full fleet few are left to look at.
    jobs = [*(need.work.job for need in needs), *(spare.job for spare in spares)]
    least = min((job.cpus for job in jobs), default=0.0) - EPS
    roomy = list(bins)

    def sift() -> None:
        nonlocal roomy
        roomy = [b for b in roomy if b.room.cpus >= least]

    hires: list[Offer] = []
    hired: dict[Offer, int] = {}

    def rent(job: Job, zones: set[str] | None, count: int, within_us: float) -> PackingBin | None:
        if len(hires) >= most_hires:
            return None
        best: tuple[float, int, str, str] | None = None
        chosen: Offer | None = None
        for offer, most in offers.items():
            kind = kinds[offer.kind]
            if (
                (most is not None and hired.get(offer, 0) >= most)
                or not allowed(job, offer.kind, offer.zone, offer.spot)
                or (zones is not None and offer.zone not in zones)
                or not kind.holds(job)
                or kind.boot_us * (SPOT_WORTH if offer.spot else WORTH) > within_us
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
        one = PackingBin(kinds[chosen.kind], chosen.zone, None, chosen)
        bins.append(one)
        roomy.append(one)
        return one

    def keeps(one: PackingBin, room: Room, job: Job) -> bool:
        return room.fits(job) and allowed(job, one.kind.name, one.zone, one.offer.spot)

    def held(one: PackingBin, images: frozenset[str]) -> int:
        return 0 if one.machine is None else len(images & one.machine.images.keys())

    def pin(attempt: Attempt) -> bool:
        one = by_name.get(attempt.machine.name)
        if one is None or not one.room.fits(attempt.work.job):
            return False
        one.room.take(attempt.work.job)
        one.used += 1
        return True

    def place(job: Job, count: int, zones: set[str] | None, within_us: float = float("inf")) -> int:
        """Bins that are passed once stay full for this job: one pass, then what is rented."""
        placed = at = full = 0
        while placed < count:
            if at == len(roomy) and rent(job, zones, count - placed, within_us) is None:
                break
            one = roomy[at]
            at += 1
            full += one.room.cpus < least
            if (zones is None or one.zone in zones) and keeps(one, one.room, job):
                fitting = min(count - placed, one.room.holds(job))
                one.room.take(job, fitting)
                one.used += fitting
                placed += fitting
        if full > len(roomy) // 4:
            sift()
        return placed

    ranks = sorted({n.work.job.rank for n in needs} | {s.job.rank for s in spares}, reverse=True)
    for rank in ranks:
        here = [need for need in needs if need.work.job.rank == rank]
        moved: dict[str, int] = {}
        for need in here:
            live = [a for a in need.work.live.values() if a.grace is None]
            moved[need.work.job.ref] = max(0, need.count - sum(pin(a) for a in live))
        sift()
        for need in here:
            job = need.work.job
            zones = None
            if job.one_zone and need.work.live:
                zones = {a.machine.zone for a in need.work.live.values()}
            if job.one_zone and job.gang and zones is None:
                # One zone must hold them all: try each, keep the one that needs fewest hires.
                tried = sorted({b.zone for b in bins} | {o.zone for o in offers})
                zones = _best_zone(job, moved[job.ref], tried, roomy, offers, kinds)
            place(job, moved[job.ref], zones, need.drain_us)
        # A spare may be lent to lower ranks, which give way when it is needed: it takes nothing
        # from them here. Counting it as taken hired machines for tasks that never had to move.
        lent = {id(one): one.room.copy() for one in roomy}
        for spare in (spare for spare in spares if spare.job.rank == rank):
            for _ in range(spare.count):
                fitting = [b for b in roomy if keeps(b, lent[id(b)], spare.job)]
                found = max(fitting, key=lambda b: held(b, spare.images), default=None)
                found = found or rent(spare.job, None, 1, float("inf"))
                if found is None:
                    break
                lent.setdefault(id(found), found.room.copy()).take(spare.job)
                found.used += 1
    needed = {b.machine.name for b in bins if b.machine is not None and b.used}
    return Plan(hires, needed)


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
