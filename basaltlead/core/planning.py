"""Which waiting task is bound to which machine next: start order, room, preemption.

A plan costs about one pass over the machines for each job that can start something: machines are
ranked once a job, and jobs that ask for the same as one that found no room are passed over.
"""

from collections.abc import Callable, Iterator
from functools import cached_property

from basaltlead.core import gang_placement, placement
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.failures import TRIALS_OF_ITS_OWN
from basaltlead.core.jobs import RANKS, US, Job, Shape, allowed
from basaltlead.core.replica_placement import ReplicaChoice
from basaltlead.core.shard import Shard
from basaltlead.core.task_states import EXECUTING
from basaltlead.core.teams import TeamQuota

MOST_STARTS = 2000  # of one job in one plan
GATHER_US = 20 * US  # a gang that has waited for so long has room kept free for it
HIGH_RANK = RANKS["high"]  # from this rank on, jobs take the place of any lower one
MOST_CLEARED = 40  # tasks of one job for which others are stopped, in one plan

# What a gang may have on one machine: cost of each place, name, machine, places, what must stop.
Opening = tuple[float, str, Machine, int, list[Attempt]]
Taken = tuple[Machine, int, list[Attempt]]
# By type, zone, spot or not, and size: a type that was not known when a machine was met has none.
MachineGroups = dict[tuple[str, str, bool, float], list[Machine]]


def fits_guarantee(shard: Shard, job_state: JobState) -> bool:
    """Does the job fit into its team's guarantee beside what the team uses?"""
    team = shard.teams.get(job_state.job.team, TeamQuota())
    if not team.cpus and not team.gpus:
        return False
    used = shard.used(job_state.job.team)
    count = job_state.job.together
    return (
        used.cpus + job_state.job.cpus * count <= team.cpus + 1e-6
        and used.gpus + job_state.job.gpus * count <= team.gpus + 1e-6
    )


def is_preemptible(job_state: JobState) -> bool:
    """May ordinary work of a higher rank take its place? Nobody was promised when it is done,
    and what it has done so far is saved."""
    return not job_state.has_objective and job_state.job.checkpoint_interval_us > 0


def order(shard: Shard, now: int) -> list[JobState]:
    """Open jobs with waiting tasks, in the order in which they are started: guarantees, rank,
    gangs (whole, before arrays take the room), jobs with a promise to keep, the team furthest
    below its share, the higher bid, the older."""
    shares: dict[str, float] = {}
    for job_state in shard.job_states.values():
        if not job_state.closed:
            shares[job_state.job.team] = shares.get(job_state.job.team, 0.0) + job_state.bid
    total = sum(shares.values()) or 1.0
    in_use = sum(used.cpus for used in shard.team_used.values()) or 1.0

    def excess(team: str) -> float:
        return shard.used(team).cpus / in_use - shares.get(team, 0.0) / total

    ready = [w for w in shard.job_states.values() if not shard.blocked(w, now) and w.waiting > 0]
    return sorted(
        ready,
        key=lambda w: (
            not fits_guarantee(shard, w),
            -w.job.rank,
            not w.job.gang,
            not w.has_objective,
            excess(w.job.team),
            -w.bid,
            w.submitted_at,
        ),
    )


class Plan:
    """One round of binding waiting tasks to machines, in start order."""

    def __init__(self, shard: Shard, now: int) -> None:
        self.shard = shard
        self.now = now
        # One that has been silent for half a lease would probably take a new task along with
        # the others: direct orders may reach it, but they don't renew its lease.
        since = now - shard.timing.lease_us // 2
        self.usable = [
            m for m in shard.machines.values() if m.usable(now) and m.answered_at >= since
        ]
        self.zones = {machine.zone for machine in self.usable}
        self.machine_groups: MachineGroups = {}  # machines that are alike
        self.with_room: MachineGroups = {}  # those of them on which anything that waits may fit
        self.kept: set[str] = set()  # machines that are kept free for a gang
        self.unplaceable: set[tuple[object, ...]] = set()  # what found no room in this plan

    @cached_property
    def unsure(self) -> bool:
        """May tasks run that nobody accounts for? Asked only for teams with a limit: it takes a
        look at every machine."""
        return self.shard.has_unaccounted_tasks

    def run(self) -> None:
        if not self.usable:
            return
        job_states = order(self.shard, self.now)
        least = min((job_state.job.cpus for job_state in job_states), default=0.0) - 1e-6
        for machine in self.usable:
            lot = (machine.machine_type.name, machine.zone, machine.spot, machine.machine_type.cpus)
            self.machine_groups.setdefault(lot, []).append(machine)
            if machine.free.cpus >= least:
                self.with_room.setdefault(lot, []).append(machine)
        for job_state in job_states:
            if job_state.job.gang:
                self._gang(job_state)
            elif job_state.job.service:
                self._replicas(job_state)
            elif job_state.slots is None or len(job_state.live) < job_state.slots:
                limit = (
                    job_state.waiting
                    if job_state.slots is None
                    else job_state.slots - len(job_state.live)
                )
                self._tasks(job_state, limit)
        for job_state in job_states:  # nothing stays idle while somebody waits
            if job_state.job.shape is Shape.ARRAY and job_state.slots is not None:
                self._tasks(job_state, job_state.waiting)
        self._move_replicas()

    def _suited(self, job_state: JobState, machine_groups: MachineGroups) -> list[Machine]:
        """The machines of some lots that a job may use. What makes machines alike is asked once
        a lot, not once a machine."""
        suited: list[Machine] = []
        for lot, machines in machine_groups.items():
            if allowed(job_state.job, *lot[:3]) and machines[0].machine_type.holds(job_state.job):
                suited += machines
        failed_on = job_state.history.failed_on
        if self.kept or failed_on:
            return [
                m
                for m in suited
                if m.name not in self.kept and failed_on.get(m.name, 0) <= self.now
            ]
        return suited

    def _asks(self, job_state: JobState) -> tuple[object, ...] | None:
        """What decides whether a job finds room. A job that failed somewhere is a case of its
        own, and so is one whose tasks must be seen together."""
        job = job_state.job
        if job_state.history.failed_on or (job.whole and job_state.live):
            return None
        return (
            job.shape,
            job.tasks if job.gang else 1,
            job.rank,
            job.team,
            job.cpus,
            job.gpus,
            job.memory_gb,
            job.types,
            job.zone,
            job.one_zone,
            job.apart,
            job.spot,
        )

    def _within_limit(self, job: Job, count: int = 1) -> bool:
        """May the team have that many more tasks of the job, counting all that may be there?"""
        team = self.shard.teams.get(job.team, TeamQuota())
        if not team.cpus_max and not team.gpus_max:
            return True
        if self.unsure:
            return False
        used = self.shard.used(job.team)
        return not (
            (team.cpus_max and used.cpus + job.cpus * count > team.cpus_max + 1e-6)
            or (team.gpus_max and used.gpus + job.gpus * count > team.gpus_max + 1e-6)
        )

    def _tasks(self, job_state: JobState, limit: int) -> None:
        """Start up to so many tasks of an array, each on the best machine that has room, or on
        one where others give way."""
        job = job_state.job
        asks = self._asks(job_state)
        if limit <= 0 or asks in self.unplaceable:
            return
        open_zones = placement.zones_open(job_state, self.zones)
        ranking = placement.Ranking(job, self._suited(job_state, self.with_room))
        cleared = 0
        for _ in range(min(limit, MOST_STARTS)):
            if not self._within_limit(job):
                return
            if job.whole:
                open_zones = placement.zones_open(job_state, self.zones)
            machine = ranking.best(open_zones)
            if (
                machine is not None
                and not machine.needed
                and len(job_state.live) >= (job_state.need or 0)
            ):
                return  # it can wait for room that stays
            stops: list[Attempt] = []
            if machine is None:
                if cleared == MOST_CLEARED:
                    return
                found = self._preempt_for_task(job_state, open_zones)
                if found is None:
                    self._give_up(asks)
                    return
                cleared += 1
                machine, stops = found
            if not self._start_next(job_state, machine, stops):
                return
            ranking.again(machine)

    def _give_up(self, asks: tuple[object, ...] | None) -> None:
        """Nothing that asks for the same is looked at again in this plan."""
        if asks is not None:
            self.unplaceable.add(asks)

    def _start_next(self, job_state: JobState, machine: Machine, stops: list[Attempt]) -> bool:
        """Start the next task there, once others give way to it; False if none is left."""
        index = job_state.next_index()
        if index is None:
            return False
        for attempt in stops:
            self.shard.stop_gracefully(attempt)
        self.shard.start(job_state, index, machine, self.shard.next_attempt_number(), self.now)
        return True

    # Gangs

    def _gang(self, job_state: JobState) -> None:
        job = job_state.job
        if job_state.live:
            self._complete(job_state)
            return
        asks = self._asks(job_state)
        if asks in self.unplaceable or not self._within_limit(job, job.tasks):
            return
        suited = self._suited(job_state, self.machine_groups)
        if job.tasks == 1:
            chosen = self._cheapest(job_state, suited)
        else:
            with_room = self._suited(job_state, self.with_room)
            chosen = gang_placement.place(job_state, with_room) or self._preempt_for_gang(
                job_state, suited
            )
        if chosen is None:
            self._give_up(asks)
            self._keep_room(job_state, suited)
            return
        attempt_number = self.shard.next_attempt_number()
        job_state.rewind()
        for index, machine in enumerate(chosen):
            self.shard.start(job_state, index, machine, attempt_number, self.now)

    def _complete(self, job_state: JobState) -> None:
        """Replace lost tasks of a gang that has not started yet, under the same attempt."""
        live = list(job_state.live.values())
        attempt_number = live[0].attempt_number
        if any(
            a.stop_grace_s is not None or a.attempt_number != attempt_number or a.stage in EXECUTING
            for a in live
        ):
            return  # they exit, then the gang is placed anew
        suited = self._suited(job_state, self.with_room)
        for index in range(job_state.job.tasks):
            if index in job_state.live:
                continue
            if not self._within_limit(job_state.job):
                return
            open_zones = placement.zones_open(job_state, self.zones)
            machine = placement.Ranking(job_state.job, suited).best(open_zones)
            if machine is None:
                return
            self.shard.start(job_state, index, machine, attempt_number, self.now)

    def _keep_room(self, job_state: JobState, suited: list[Machine]) -> None:
        """Gather room for a gang that waits: on the machines that will be empty soonest nothing
        more is started in this plan by jobs that come after it. Work that comes one task at a
        time would else take each place as it falls free, and a large gang would wait for ever.
        One gang at a time, the first in start order."""
        if self.kept or self.now - job_state.submitted_at < GATHER_US:
            return
        job = job_state.job
        offers: list[Opening] = [
            (
                float(self._busy_us(machine)),
                machine.name,
                machine,
                machine.machine_type.holds(job),
                [],
            )
            for machine in suited
        ]
        offers.sort(key=lambda offer: offer[:2])
        found = self._best_gather(job, placement.zones_open(job_state, self.zones), offers)
        if found is not None:
            self.kept.update(machine.name for machine, _, _ in found[1])

    def _busy_us(self, machine: Machine) -> int:
        """How long the tasks on a machine will still run, as far as can be guessed."""
        return max((self._left_us(a) for a in machine.attempts.values()), default=0)

    def _left_us(self, attempt: Attempt) -> int:
        guess = self.shard.guess_us(attempt.job_state)
        if attempt.job_state.job.service:
            return guess
        return max(guess - (self.now - (attempt.running_since or self.now)), US)

    # Services

    def _replicas(self, job_state: JobState) -> None:
        """Start replicas where they run soonest; among equals where it wastes least."""
        asks = self._asks(job_state)
        if asks in self.unplaceable or not self._within_limit(job_state.job):
            return
        choice = ReplicaChoice(
            job_state,
            self._suited(job_state, self.machine_groups),
            self._stoppable(job_state),
            self.now,
        )
        for _ in range(job_state.waiting):
            if not self._within_limit(job_state.job):
                return
            found = choice.best(placement.zones_open(job_state, self.zones))
            if found is None:
                self._give_up(asks)
                return
            if not self._start_next(job_state, found.machine, found.stops):
                return

    def _move_replicas(self) -> None:
        """Stop replicas on machines that are about to go, each once there is a place for it: it is
        started there as soon as it is provably gone."""
        for machine in self.shard.machines.values():
            if machine.preemption_at is None and not machine.draining:
                continue
            for attempt in list(machine.attempts.values()):
                if attempt.job_state.job.service and attempt.stop_grace_s is None:
                    self._move_replica(attempt)

    def _move_replica(self, attempt: Attempt) -> None:
        job_state = attempt.job_state
        suited = self._suited(job_state, self.machine_groups)
        choice = ReplicaChoice(job_state, suited, self._stoppable(job_state), self.now)
        found = choice.best(placement.zones_open(job_state, self.zones, leaving=attempt))
        if found is None:
            return
        self.shard.stop(attempt, 0.0)
        for victim in found.stops:
            self.shard.stop_gracefully(victim)

    # Preemption

    def _stoppable(self, job_state: JobState) -> Callable[[JobState], bool]:
        """Which other jobs' tasks may be stopped to make room for a replica. For a service that
        only fails nobody has to give way: it would stop others' work with each of its tries."""
        within = fits_guarantee(self.shard, job_state)
        may = job_state.history.trials < TRIALS_OF_ITS_OWN and (
            job_state.job.rank >= HIGH_RANK or within
        )
        return lambda other: may and self._may_stop(job_state.job, within, other)

    def _may_stop(self, job: Job, within: bool, victim: JobState) -> bool:
        if victim.job.rank < job.rank:
            return True
        if not within or victim.job.team == job.team:
            return False
        team = self.shard.teams.get(victim.job.team, TeamQuota())
        used = self.shard.used(victim.job.team)
        return used.cpus > team.cpus + 1e-6 or used.gpus > team.gpus + 1e-6

    def _openings(
        self, job_state: JobState, suited: list[Machine]
    ) -> Iterator[tuple[float, Machine, list[Attempt]]]:
        """Machines on which one task fits once others are stopped, those, and the loss."""
        within = fits_guarantee(self.shard, job_state)
        gently = not job_state.job.gang and job_state.job.rank < HIGH_RANK and not within

        def may_stop(other: JobState) -> bool:
            return self._may_stop(job_state.job, within, other) and (
                not gently or is_preemptible(other)
            )

        for machine in suited:
            found = placement.preemption_candidates(job_state.job, machine, self.now, may_stop)
            if found is not None:
                yield found[0], machine, found[1]

    def _preempt_for_task(
        self, job_state: JobState, zones: set[str]
    ) -> tuple[Machine, list[Attempt]] | None:
        """The machine on which stopping others of lower rank wastes least. Ordinary work waits
        for what is rented for it, unless its promise depends on a share that others hold."""
        below_share = job_state.slots is not None and len(job_state.live) < job_state.slots
        if (
            job_state.job.rank < HIGH_RANK
            and not (job_state.has_objective and below_share)
            and not fits_guarantee(self.shard, job_state)
        ):
            return None
        best: tuple[float, str, Machine, list[Attempt]] | None = None
        for loss, machine, stops in self._openings(
            job_state, self._suited(job_state, self.machine_groups)
        ):
            if machine.zone in zones and (best is None or (loss, machine.name) < best[:2]):
                best = (loss, machine.name, machine, stops)
        return None if best is None else (best[2], best[3])

    def _cheapest(self, job_state: JobState, suited: list[Machine]) -> list[Machine] | None:
        """For one task that fills a machine: where stopping others and fetching waste least."""
        job = job_state.job
        best: tuple[float, tuple[int, ...], float, str] | None = None
        chosen: tuple[Machine, list[Attempt]] | None = None
        for loss, machine, stops in self._openings(job_state, suited):
            cost = loss + placement.fetch_cost(job, machine)
            key = (cost, placement.tier(job, machine), machine.booked, machine.name)
            if best is None or key < best:
                best, chosen = key, (machine, stops)
        if chosen is None:
            return None
        for attempt in chosen[1]:
            self.shard.stop_gracefully(attempt)
        return [chosen[0]]

    def _preempt_for_gang(self, job_state: JobState, suited: list[Machine]) -> list[Machine] | None:
        """Room for a whole gang by stopping work of lower rank: only if all of it fits, and in
        the zone where that wastes least."""
        job = job_state.job
        within = fits_guarantee(self.shard, job_state)
        offers: list[Opening] = []
        for machine in suited:
            stops = [
                a
                for a in machine.attempts.values()
                if a.stop_grace_s is None and self._may_stop(job, within, a.job_state)
            ]
            room = machine.free.copy()
            for attempt in stops:
                room.take(attempt.job_state.job, -1)
            count = room.holds(job)
            if count:
                loss = sum(placement.loss(a, self.now) for a in stops)
                cost = (loss + placement.fetch_cost(job, machine)) / count
                offers.append((cost, machine.name, machine, count, stops))
        offers.sort(key=lambda offer: offer[:2])
        best = self._best_gather(job, placement.zones_open(job_state, self.zones), offers)
        if best is None:
            return None
        chosen = []
        for machine, count, stops in best[1]:
            self._preempt(machine, job, count, stops)
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

    def _preempt(self, machine: Machine, job: Job, count: int, stops: list[Attempt]) -> None:
        for attempt in sorted(
            stops, key=lambda a: (a.job_state.job.rank, placement.loss(a, self.now))
        ):
            if machine.free.holds(job) >= count:
                return
            if attempt.stop_grace_s is None:
                self.shard.stop_gracefully(attempt)


def plan(shard: Shard, now: int) -> None:
    """Bind waiting tasks to machines, in start order."""
    shard.dirty = False
    Plan(shard, now).run()
