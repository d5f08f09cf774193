"""The rounds: budgets are refilled, bids follow progress, the auction gives out slots."""

from collections.abc import Iterable
from math import ceil
from typing import Protocol

from msgspec import Struct

from basaltlead.core.auction import Bid, allocate, price
from basaltlead.core.bidding import BidDirection, Budget, ceiling, vertical
from basaltlead.core.demand import NO_DUE, Due
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US, Shape
from basaltlead.core.shard import Shard

# Of the capacity: what jobs without a promise may always bid for, however much with_objective jobs
# need. They use what others leave; with nothing left for long they would not be served at all.
SHARE_WITHOUT_OBJECTIVE = 0.25
SMOOTH = 0.5  # weight of the newest round in the measured rate


class Objective(Protocol):
    """An aim on starting or finishing, as the settings give it."""

    kind: str
    job_class: str
    within_s: float
    times: float


class Terms(Struct, frozen=True):
    """What operators may set."""

    round_us: int
    refill_us: int
    budget: float
    reserve: float
    threshold: float
    most_bids: int = 200  # that fit into a stored record


class ServiceLevelObjectives(Struct, frozen=True):
    """What classes of jobs are with_objective, by class; the tightest first."""

    starts: dict[str, list[int]] = {}  # within how long tasks should have started
    finishes: dict[str, list[int]] = {}  # within how long a job should be done
    times: dict[str, list[float]] = {}  # of its deadline, by which a job should be done

    @staticmethod
    def of(objectives: Iterable[Objective]) -> "ServiceLevelObjectives":
        starts: dict[str, list[int]] = {}
        finishes: dict[str, list[int]] = {}
        times: dict[str, list[float]] = {}
        for one in objectives:
            if one.kind == "deadline":
                times.setdefault(one.job_class, []).append(one.times)
            elif one.kind in ("wait", "finished") and one.within_s > 0:
                spans = starts if one.kind == "wait" else finishes
                spans.setdefault(one.job_class, []).append(int(one.within_s * US))
        for table in (starts, finishes, times):
            for values in table.values():
                values.sort()
        return ServiceLevelObjectives(starts, finishes, times)


class TeamRecord(Struct):
    """What is stored for each team each round, so that a new leader goes on from it."""

    left: float
    bids: dict[str, float] = {}


class Market:
    """The teams' budgets, and the bids of a shard's jobs, round after round."""

    def __init__(self, terms: Terms, teams: list[str], objectives: ServiceLevelObjectives) -> None:
        self.terms = terms
        self.objectives = objectives
        self.budgets = {team: Budget(terms.budget, terms.refill_us, terms.budget) for team in teams}
        self.trends: dict[str, BidDirection] = {}
        self.old_bids: dict[str, float] = {}
        self.price = 0.0
        self.last_us: int | None = None

    def load(self, team: str, record: TeamRecord) -> None:
        if team in self.budgets:
            budget = self.budgets[team]
            budget.left = min(budget.first, max(0.0, record.left))
            self.old_bids.update(record.bids)

    def record(self, team: str, job_states: dict[str, JobState]) -> TeamRecord:
        bids = {w.job.ref: round(w.bid, 4) for w in job_states.values() if w.job.team == team}
        most = self.terms.most_bids  # a value's size is limited; first the highest, which say most
        kept = sorted(bids, key=lambda ref: -bids[ref])[:most]
        return TeamRecord(round(self.budgets[team].left, 3), {ref: bids[ref] for ref in kept})

    def due(self, job_state: JobState, now: int) -> Due:
        """When the job should be done: the first of its deadline and what its class is
        with_objective that it can still keep. Tasks of an array that must all have started by then
        are done a run later. A service is never done."""
        job = job_state.job
        if job.service:
            return NO_DUE
        spans: list[int] = []
        if job.due_us is not None:
            spans = [
                int(job.due_us * times) for times in self.objectives.times.get(job.job_class, [1.0])
            ]
        else:
            spans = list(self.objectives.finishes.get(job.job_class, ()))
        if not job.gang:
            spans += [span + job.guess_us for span in self.objectives.starts.get(job.job_class, ())]
        if not spans:
            return NO_DUE
        each = job_state.ran_us // job_state.ran_count if job_state.ran_count >= 3 else job.guess_us
        for span in sorted(spans):
            if now + each * 3 // 4 <= job_state.submitted_at + span:
                return Due(job_state.submitted_at + span)
        return Due(None, late=True)

    def first_bid(self, job_state: JobState, now: int) -> float:
        """A new job bids what gets it the wanted slots at the present price."""
        known = self.old_bids.pop(job_state.job.ref, None)
        if known is not None:
            return known
        wanted = self.price * job_state.job.size * job_state.remaining
        return min(
            max(self.terms.reserve, wanted), max(self.terms.reserve, self._most(job_state, now))
        )

    def _most(self, job_state: JobState, now: int) -> float:
        budget = self.budgets.get(job_state.job.team)
        if budget is None:
            return self.terms.reserve
        # A job that can keep no promise any more bids like one that was given none. With its
        # budget over the time left, which is none, it outbid all that could still be in time.
        due = self.due(job_state, now).at
        span = self.terms.refill_us if due is None else max(self.terms.round_us, due - now)
        return ceiling(budget.left, span, self.terms.round_us)

    def round(self, shard: Shard, now: int) -> None:
        """One round of the market over the open jobs of a shard."""
        span = self.terms.round_us if self.last_us is None else max(1, now - self.last_us)
        self.last_us = now
        job_states = [w for w in shard.job_states.values() if not w.closed]
        for budget in self.budgets.values():
            budget.refill(span)
        for job_state in job_states:
            if job_state.bid <= 0:
                job_state.bid = self.first_bid(job_state, now)
            value, wanted = self._measured(job_state, span, now)
            trend = self.trends.setdefault(job_state.job.ref, BidDirection())
            job_state.bid = vertical(
                job_state.bid,
                value,
                wanted,
                trend,
                self.terms.reserve,
                self._most(job_state, now),
                self.terms.threshold,
            )
        for machine in shard.machines.values():
            machine.rebook()
        open_refs = {job_state.job.ref for job_state in job_states}
        self.trends = {ref: trend for ref, trend in self.trends.items() if ref in open_refs}
        for job_state in job_states:
            if job_state.job.team in self.budgets and job_state.live:
                self.budgets[job_state.job.team].pay(job_state.bid)
        self.share(shard, now)

    def _measured(self, job_state: JobState, span: int, now: int) -> tuple[float, float]:
        """The progress of a job over a round, and the progress that is wanted of it: finished
        tasks against those that must finish, replicas that run against those that should, or
        slots held against tasks that wait."""
        if job_state.job.service:
            job_state.rate = job_state.rate * (1 - SMOOTH) + job_state.running * SMOOTH
            return job_state.rate, float(job_state.remaining)
        rate = job_state.finished_recent / (span / US)
        job_state.finished_recent = 0
        job_state.rate = job_state.rate * (1 - SMOOTH) + rate * SMOOTH
        due = self.due(job_state, now).at
        if due is None:
            return float(len(job_state.live)), float(job_state.remaining)
        left_s = max(1.0, (due - now) / US)
        return job_state.rate, job_state.remaining / left_s

    def has_objective(self, job_state: JobState, now: int) -> bool:
        """Has it a deadline or a promise of its class, whether or not it can still be kept? Whoever
        starts a service is with_objective that it runs."""
        return job_state.job.service or self.due(job_state, now) != NO_DUE

    def share(self, shard: Shard, now: int) -> None:
        """The auction over the present capacity. Deadline jobs want what keeps them in time,
        others slots for all their tasks. Run between rounds too: new work must not wait.

        What keeps with_objective jobs in time is given out first, all others share what is left. In
        one auction a team with much work in time drained its budget, and was outbid by long tasks
        that nobody had with_objective anything.
        """
        job_states = [job_state for job_state in shard.job_states.values() if not job_state.closed]
        arrays = [job_state for job_state in job_states if job_state.job.shape is Shape.ARRAY]
        for job_state in arrays:
            job_state.has_objective = self.has_objective(job_state, now)
        with_objective = [self._bid(job_state) for job_state in arrays if job_state.has_objective]
        others = [job_state for job_state in arrays if not job_state.has_objective]
        capacity = self._capacity(shard)
        reserved = capacity * SHARE_WITHOUT_OBJECTIVE if others else 0.0
        slots = allocate(with_objective, capacity - reserved)
        given = sum(slots[bid.key] * bid.size for bid in with_objective)
        slots |= self._share_rest(shard, others, capacity - given)
        self.price = price([*with_objective, *map(self._bid, others)], capacity)
        for job_state in arrays:
            job_state.slots = slots[job_state.job.ref]
        shard.dirty = True

    def _share_rest(
        self, shard: Shard, job_states: list[JobState], capacity: float
    ) -> dict[str, int]:
        """Slots for jobs without a promise: each team's share by the sum of its bids. Within a
        team the job that is nearest to its end comes first: shared evenly, long jobs of the same
        size would all end last. Every job has one slot, so that it begins."""
        bids = {job_state.job.ref: self._bid(job_state) for job_state in job_states}
        teams: dict[str, list[JobState]] = {}
        for job_state in job_states:
            teams.setdefault(job_state.job.team, []).append(job_state)
        wanted = [self._team_bid(team, [bids[w.job.ref] for w in teams[team]]) for team in teams]
        shares = allocate(wanted, capacity)
        slots: dict[str, int] = {}
        for team, members in teams.items():
            left = float(shares[team])
            for bid in (bids[job_state.job.ref] for job_state in members):
                slots[bid.key] = min(1, bid.most)
                left -= slots[bid.key] * bid.size
            for job_state in sorted(
                members, key=lambda w: w.remaining * w.job.size * shard.guess_us(w)
            ):
                bid = bids[job_state.job.ref]
                more = min(bid.most - slots[bid.key], max(0, int(left / bid.size)))
                slots[bid.key] += more
                left -= more * bid.size
        return slots

    @staticmethod
    def _team_bid(team: str, bids: list[Bid[str]]) -> Bid[str]:
        """What a team wants for its jobs together, in CPUs."""
        most = ceil(sum(bid.most * bid.size for bid in bids))
        return Bid(team, sum(bid.amount for bid in bids), 1.0, most)

    def _bid(self, job_state: JobState) -> Bid[str]:
        most = (
            job_state.remaining
            if job_state.need is None
            else min(job_state.need, job_state.remaining)
        )
        return Bid(
            job_state.job.ref, max(job_state.bid, self.terms.reserve), job_state.job.size, most
        )

    @staticmethod
    def _capacity(shard: Shard) -> float:
        """CPUs that are for sale. Gangs and services are placed by rank and take no part. Sold
        twice, what they use left those that come last in start order with shares of nothing."""
        up = [m for m in shard.machines.values() if m.up and not m.lost and not m.unreachable_since]
        placed = sum(
            len(job_state.live) * job_state.job.size
            for job_state in shard.job_states.values()
            if job_state.job.shape is not Shape.ARRAY and not job_state.closed
        )
        return max(0.0, sum(m.machine_type.cpus for m in up) - placed)
