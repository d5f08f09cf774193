"""Which waiting task is bound to which machine next: start order, room, preemption.

A plan costs about one pass over the machines for each job that can start something: machines are
ranked once a job, and jobs that ask for the same as one that found no room are passed over.
"""

from collections.abc import Callable, Iterator
from functools import cached_property

from basaltlead.core import gang_placement, placement
from basaltlead.core.model import RANKS, US, Attempt, Job, Machine, Shape, Work, allowed
from basaltlead.core.replica_placement import ReplicaChoice
from basaltlead.core.shard import Block
from basaltlead.core.shard_state import TRIALS_OF_ITS_OWN, Limits

MOST_STARTS = 2000  # of one job in one plan
GATHER_US = 20 * US  # a gang that has waited for so long has room kept free for it
HIGH_RANK = RANKS["high"]  # from this rank on, jobs take the place of any lower one
MOST_CLEARED = 40  # tasks of one job for which others are stopped, in one plan

# What a gang may have on one machine: cost of each place, name, machine, places, what must stop.
Opening = tuple[float, str, Machine, int, list[Attempt]]
Taken = tuple[Machine, int, list[Attempt]]
# By type, zone, spot or not, and size: a type that was not known when a machine was met has none.
Lots = dict[tuple[str, str, bool, float], list[Machine]]


def guaranteed(block: Block, work: Work) -> bool:
    """Does the job fit into its team's guarantee beside what the team uses?"""
    team = block.teams.get(work.job.team, Limits())
    if not team.cpus and not team.gpus:
        return False
    used = block.used(work.job.team)
    count = work.job.together
    return (
        used[0] + work.job.cpus * count <= team.cpus + 1e-6
        and used[1] + work.job.gpus * count <= team.gpus + 1e-6
    )


def displaceable(work: Work) -> bool:
    """May ordinary work of a higher rank take its place? Nobody was promised when it is done,
    and what it has done so far is saved."""
    return not work.promised and work.job.mark_every_us > 0


def order(block: Block, now: int) -> list[Work]:
    """Open jobs with waiting tasks, in the order in which they are started: guarantees, rank,
    gangs (whole, before arrays take the room), jobs with a promise to keep, the team furthest
    below its share, the higher bid, the older."""
    shares: dict[str, float] = {}
    for work in block.works.values():
        if not work.closed:
            shares[work.job.team] = shares.get(work.job.team, 0.0) + work.bid
    total = sum(shares.values()) or 1.0
    in_use = sum(used[0] for used in block.team_used.values()) or 1.0

    def excess(team: str) -> float:
        return block.used(team)[0] / in_use - shares.get(team, 0.0) / total

    ready = [w for w in block.works.values() if not block.blocked(w, now) and w.waiting > 0]
    return sorted(
        ready,
        key=lambda w: (
            not guaranteed(block, w), -w.job.rank, not w.job.gang, not w.promised,
            excess(w.job.team), -w.bid, w.asked_at,
        ),
    )  # fmt: skip


class Plan:
    """One round of binding waiting tasks to machines, in start order."""

    def __init__(self, block: Block, now: int) -> None:
        self.block = block
        self.now = now
        # One that has been silent for half a lease would probably take a new task along with
        # the others: direct orders may reach it, but they don't renew its lease.
        since = now - block.timing.lease_us // 2
        self.usable = [
            m for m in block.machines.values() if m.usable(now) and m.answered_at >= since
        ]
        self.zones = {machine.zone for machine in self.usable}
        self.lots: Lots = {}  # machines that are alike
        self.roomy: Lots = {}  # those of them on which anything that waits may fit
        self.kept: set[str] = set()  # machines that are kept free for a gang
        self.hopeless: set[tuple[object, ...]] = set()  # what found no room in this plan

    @cached_property
    def unsure(self) -> bool:
        """May tasks run that nobody accounts for? Asked only for teams with a limit: it takes a
        look at every machine."""
        return self.block.strangers

    def run(self) -> None:
        if not self.usable:
            return
        works = order(self.block, self.now)
        least = min((work.job.cpus for work in works), default=0.0) - 1e-6
        for machine in self.usable:
            lot = (machine.kind.name, machine.zone, machine.spot, machine.kind.cpus)
            self.lots.setdefault(lot, []).append(machine)
            if machine.free.cpus >= least:
                self.roomy.setdefault(lot, []).append(machine)
        for work in works:
            if work.job.gang:
                self._gang(work)
            elif work.job.service:
                self._replicas(work)
            elif work.slots is None or len(work.live) < work.slots:
                limit = work.waiting if work.slots is None else work.slots - len(work.live)
                self._tasks(work, limit)
        for work in works:  # nothing stays idle while somebody waits
            if work.job.shape is Shape.ARRAY and work.slots is not None:
                self._tasks(work, work.waiting)
        self._move_replicas()

    def _suited(self, work: Work, lots: Lots) -> list[Machine]:
        """The machines of some lots that a job may use. What makes machines alike is asked once
        a lot, not once a machine."""
        suited: list[Machine] = []
        for lot, machines in lots.items():
            if allowed(work.job, *lot[:3]) and machines[0].kind.holds(work.job):
                suited += machines
        if self.kept or work.failed_on:
            return [
                m for m in suited
                if m.name not in self.kept and work.failed_on.get(m.name, 0) <= self.now
            ]  # fmt: skip
        return suited

    def _asks(self, work: Work) -> tuple[object, ...] | None:
        """What decides whether a job finds room. A job that failed somewhere is a case of its
        own, and so is one whose tasks must be seen together."""
        job = work.job
        if work.failed_on or (job.whole and work.live):
            return None
        return (
            job.shape, job.tasks if job.gang else 1, job.rank, job.team, job.cpus, job.gpus,
            job.memory_gb, job.types, job.zone, job.one_zone, job.apart, job.spot,
        )  # fmt: skip

    def _within_limit(self, job: Job, count: int = 1) -> bool:
        """May the team have that many more tasks of the job, counting all that may be there?"""
        team = self.block.teams.get(job.team, Limits())
        if not team.cpus_max and not team.gpus_max:
            return True
        if self.unsure:
            return False
        used = self.block.used(job.team)
        return not (
            (team.cpus_max and used[0] + job.cpus * count > team.cpus_max + 1e-6)
            or (team.gpus_max and used[1] + job.gpus * count > team.gpus_max + 1e-6)
        )

    def _tasks(self, work: Work, limit: int) -> None:
        """Start up to so many tasks of an array, each on the best machine that has room, or on
        one where others give way."""
        job = work.job
        asks = self._asks(work)
        if limit <= 0 or asks in self.hopeless:
            return
        open_zones = placement.zones_open(work, self.zones)
        ranking = placement.Ranking(job, self._suited(work, self.roomy))
        cleared = 0
        for _ in range(min(limit, MOST_STARTS)):
            if not self._within_limit(job):
                return
            if job.whole:
                open_zones = placement.zones_open(work, self.zones)
            machine = ranking.best(open_zones)
            if machine is not None and not machine.wanted and len(work.live) >= (work.need or 0):
                return  # it can wait for room that stays
            stops: list[Attempt] = []
            if machine is None:
                if cleared == MOST_CLEARED:
                    return
                found = self._make_room(work, open_zones)
                if found is None:
                    self._give_up(asks)
                    return
                cleared += 1
                machine, stops = found
            if not self._start_next(work, machine, stops):
                return
            ranking.again(machine)

    def _give_up(self, asks: tuple[object, ...] | None) -> None:
        """Nothing that asks for the same is looked at again in this plan."""
        if asks is not None:
            self.hopeless.add(asks)

    def _start_next(self, work: Work, machine: Machine, stops: list[Attempt]) -> bool:
        """Start the next task there, once others give way to it; False if none is left."""
        index = work.next_index()
        if index is None:
            return False
        for attempt in stops:
            self.block.stop_softly(attempt)
        self.block.start(work, index, machine, self.block.token(), self.now)
        return True

    # Gangs

    def _gang(self, work: Work) -> None:
        job = work.job
        if work.live:
            self._complete(work)
            return
        asks = self._asks(work)
        if asks in self.hopeless or not self._within_limit(job, job.tasks):
            return
        suited = self._suited(work, self.lots)
        if job.tasks == 1:
            chosen = self._cheapest(work, suited)
        else:
            roomy = self._suited(work, self.roomy)
            chosen = gang_placement.place(work, roomy) or self._make_gang_room(work, suited)
        if chosen is None:
            self._give_up(asks)
            self._keep_room(work, suited)
            return
        token = self.block.token()
        work.rewind()
        for index, machine in enumerate(chosen):
            self.block.start(work, index, machine, token, self.now)

    def _complete(self, work: Work) -> None:
        """Replace lost tasks of a gang that has not started yet, under the same attempt."""
        live = list(work.live.values())
        token = live[0].token
        if any(
            a.grace is not None or a.token != token or a.stage in ("running", "saving")
            for a in live
        ):
            return  # they exit, then the gang is placed anew
        suited = self._suited(work, self.roomy)
        for index in range(work.job.tasks):
            if index in work.live:
                continue
            if not self._within_limit(work.job):
                return
            open_zones = placement.zones_open(work, self.zones)
            machine = placement.Ranking(work.job, suited).best(open_zones)
            if machine is None:
                return
            self.block.start(work, index, machine, token, self.now)

    def _keep_room(self, work: Work, suited: list[Machine]) -> None:
        """Gather room for a gang that waits: on the machines that will be empty soonest nothing
        more is started in this plan by jobs that come after it. Work that comes one task at a
        time would else take each place as it falls free, and a large gang would wait for ever.
        One gang at a time, the first in start order."""
        if self.kept or self.now - work.asked_at < GATHER_US:
            return
        job = work.job
        offers: list[Opening] = [
            (float(self._busy_us(machine)), machine.name, machine, machine.kind.holds(job), [])
            for machine in suited
        ]
        offers.sort(key=lambda offer: offer[:2])
        found = self._best_gather(job, placement.zones_open(work, self.zones), offers)
        if found is not None:
            self.kept.update(machine.name for machine, _, _ in found[1])

    def _busy_us(self, machine: Machine) -> int:
        """How long the tasks on a machine will still run, as far as can be guessed."""
        return max((self._left_us(a) for a in machine.attempts.values()), default=0)

    def _left_us(self, attempt: Attempt) -> int:
        guess = self.block.guess_us(attempt.work)
        if attempt.work.job.service:
            return guess
        return max(guess - (self.now - (attempt.ran_at or self.now)), US)

    # Services

    def _replicas(self, work: Work) -> None:
        """Start replicas where they run soonest; among equals where it wastes least."""
        asks = self._asks(work)
        if asks in self.hopeless or not self._within_limit(work.job):
            return
        choice = ReplicaChoice(work, self._suited(work, self.lots), self._stoppable(work), self.now)
        for _ in range(work.waiting):
            if not self._within_limit(work.job):
                return
            found = choice.best(placement.zones_open(work, self.zones))
            if found is None:
                self._give_up(asks)
                return
            if not self._start_next(work, found.machine, found.stops):
                return

    def _move_replicas(self) -> None:
        """Stop replicas on machines that are about to go, each once there is a place for it: it is
        started there as soon as it is provably gone."""
        for machine in self.block.machines.values():
            if machine.recall_at is None and not machine.draining:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.work.job.service and attempt.grace is None:
                    self._move_replica(attempt)

    def _move_replica(self, attempt: Attempt) -> None:
        work = attempt.work
        suited = self._suited(work, self.lots)
        choice = ReplicaChoice(work, suited, self._stoppable(work), self.now)
        found = choice.best(placement.zones_open(work, self.zones, leaving=attempt))
        if found is None:
            return
        self.block.stop(attempt, 0.0)
        for victim in found.stops:
            self.block.stop_softly(victim)

    # Preemption

    def _stoppable(self, work: Work) -> Callable[[Work], bool]:
        """Which other jobs' tasks may be stopped to make room for a replica. For a service that
        only fails nobody has to give way: it would stop others' work with each of its tries."""
        within = guaranteed(self.block, work)
        may = work.trials < TRIALS_OF_ITS_OWN and (work.job.rank >= HIGH_RANK or within)
        return lambda other: may and self._may_stop(work.job, within, other)

    def _may_stop(self, job: Job, within: bool, victim: Work) -> bool:
        if victim.job.rank < job.rank:
            return True
        if not within or victim.job.team == job.team:
            return False
        team = self.block.teams.get(victim.job.team, Limits())
        used = self.block.used(victim.job.team)
        return used[0] > team.cpus + 1e-6 or used[1] > team.gpus + 1e-6

    def _openings(
        self, work: Work, suited: list[Machine]
    ) -> Iterator[tuple[float, Machine, list[Attempt]]]:
        """Machines on which one task fits once others are stopped, those, and the loss."""
        within = guaranteed(self.block, work)
        gently = not work.job.gang and work.job.rank < HIGH_RANK and not within

        def may_stop(other: Work) -> bool:
            return self._may_stop(work.job, within, other) and (not gently or displaceable(other))

        for machine in suited:
            found = placement.victims(work.job, machine, self.now, may_stop)
            if found is not None:
                yield found[0], machine, found[1]

    def _make_room(self, work: Work, zones: set[str]) -> tuple[Machine, list[Attempt]] | None:
        """The machine on which stopping others of lower rank wastes least. Ordinary work waits
        for what is rented for it, unless its promise depends on a share that others hold."""
        below_share = work.slots is not None and len(work.live) < work.slots
        if (
            work.job.rank < HIGH_RANK
            and not (work.promised and below_share)
            and not guaranteed(self.block, work)
        ):
            return None
        best: tuple[float, str, Machine, list[Attempt]] | None = None
        for loss, machine, stops in self._openings(work, self._suited(work, self.lots)):
            if machine.zone in zones and (best is None or (loss, machine.name) < best[:2]):
                best = (loss, machine.name, machine, stops)
        return None if best is None else (best[2], best[3])

    def _cheapest(self, work: Work, suited: list[Machine]) -> list[Machine] | None:
        """For one task that fills a machine: where stopping others and fetching waste least."""
        job = work.job
        best: tuple[float, tuple[int, ...], float, str] | None = None
        chosen: tuple[Machine, list[Attempt]] | None = None
        for loss, machine, stops in self._openings(work, suited):
            cost = loss + placement.fetch_cost(job, machine)
            key = (cost, placement.tier(job, machine), machine.booked, machine.name)
            if best is None or key < best:
                best, chosen = key, (machine, stops)
        if chosen is None:
            return None
        for attempt in chosen[1]:
            self.block.stop_softly(attempt)
        return [chosen[0]]

    def _make_gang_room(self, work: Work, suited: list[Machine]) -> list[Machine] | None:
        """Room for a whole gang by stopping work of lower rank: only if all of it fits, and in
        the zone where that wastes least."""
        job = work.job
        within = guaranteed(self.block, work)
        offers: list[Opening] = []
        for machine in suited:
            stops = [
                a for a in machine.attempts.values()
                if a.grace is None and self._may_stop(job, within, a.work)
            ]  # fmt: skip
            room = machine.free.copy()
            for attempt in stops:
                room.take(attempt.work.job, -1)
            count = room.holds(job)
            if count:
                loss = sum(placement.loss(a, self.now) for a in stops)
                cost = (loss + placement.fetch_cost(job, machine)) / count
                offers.append((cost, machine.name, machine, count, stops))
        offers.sort(key=lambda offer: offer[:2])
        best = self._best_gather(job, placement.zones_open(work, self.zones), offers)
        if best is None:
            return None
        chosen = []
        for machine, count, stops in best[1]:
            self._clear(machine, job, count, stops)
            chosen += [machine] * count
        return chosen

    def _best_gather(
        self,
        job: Job,
        zones: set[str],
        offers: list[Opening],
    ) -> tuple[float, list[Taken]] | None:
        """The cheapest of the offered places; all in one zone if the job asks for that."""
        tried = [{zone} for zone in sorted(zones)] if job.one_zone else [zones]
        found = [self._gather(job, some, offers) for some in tried]
        return min((f for f in found if f is not None), key=lambda f: f[0], default=None)

    @staticmethod
    def _gather(
        job: Job, zones: set[str], offers: list[Opening]
    ) -> tuple[float, list[Taken]] | None:
        """The cheapest of the offered places that together hold the gang, and their cost."""
        left = job.tasks
        held = dict.fromkeys(zones, 0)
        cost = 0.0
        taken = []
        for each, _, machine, count, stops in offers:
            if machine.zone in zones:
                count = min(count, left, job.zone_cap - held[machine.zone])
                if count > 0:
                    held[machine.zone] += count
                    left -= count
                    cost += each * count
                    taken.append((machine, count, stops))
        return (cost, taken) if left == 0 else None

    def _clear(self, machine: Machine, job: Job, count: int, stops: list[Attempt]) -> None:
        for attempt in sorted(stops, key=lambda a: (a.work.job.rank, placement.loss(a, self.now))):
            if machine.free.holds(job) >= count:
                return
            if attempt.grace is None:
                self.block.stop_softly(attempt)


def plan(block: Block, now: int) -> None:
    """Bind waiting tasks to machines, in start order."""
    block.dirty = False
    Plan(block, now).run()
