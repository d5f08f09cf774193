"""The rounds: budgets are refilled, bids follow progress, the auction gives out slots."""

from collections.abc import Iterable
from math import ceil
from typing import Protocol

from msgspec import Struct

from basaltlead.core.auction import Bid, clear, price
from basaltlead.core.bidding import BidDirection, Budget, ceiling, vertical
from basaltlead.core.demand import NO_DUE, Due
from basaltlead.core.model import US, Shape, Work
from basaltlead.core.shard import Block

# Of the capacity: what jobs without a promise may always bid for, however much promised jobs
# need. They use what others leave; with nothing left for long they would not be served at all.
UNPROMISED_SHARE = 0.25
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


class Promises(Struct, frozen=True):
    """What classes of jobs are promised, by class; the tightest first."""

    starts: dict[str, list[int]] = {}  # within how long tasks should have started
    finishes: dict[str, list[int]] = {}  # within how long a job should be done
    times: dict[str, list[float]] = {}  # of its deadline, by which a job should be done

    @staticmethod
    def of(objectives: Iterable[Objective]) -> "Promises":
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
        return Promises(starts, finishes, times)


class TeamRecord(Struct):
    """What is stored for each team each round, so that a new leader goes on from it."""

    left: float
    bids: dict[str, float] = {}


class Market:
    """The teams' budgets, and the bids of a block's jobs, round after round."""

    def __init__(self, terms: Terms, teams: list[str], promises: Promises) -> None:
        self.terms = terms
        self.promises = promises
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

    def record(self, team: str, works: dict[str, Work]) -> TeamRecord:
        bids = {w.job.ref: round(w.bid, 4) for w in works.values() if w.job.team == team}
        most = self.terms.most_bids  # a value's size is limited; first the highest, which say most
        kept = sorted(bids, key=lambda ref: -bids[ref])[:most]
        return TeamRecord(round(self.budgets[team].left, 3), {ref: bids[ref] for ref in kept})

    def due(self, work: Work, now: int) -> Due:
        """When the job should be done: the first of its deadline and what its class is promised
        that it can still keep. Tasks of an array that must all have started by then are done a
        run later. A service is never done."""
        job = work.job
        if job.service:
            return NO_DUE
        spans: list[int] = []
        if job.due_us is not None:
            spans = [
                int(job.due_us * times) for times in self.promises.times.get(job.job_class, [1.0])
            ]
        else:
            spans = list(self.promises.finishes.get(job.job_class, ()))
        if not job.gang:
            spans += [span + job.guess_us for span in self.promises.starts.get(job.job_class, ())]
        if not spans:
            return NO_DUE
        each = work.ran_us // work.ran_count if work.ran_count >= 3 else job.guess_us
        for span in sorted(spans):
            if now + each * 3 // 4 <= work.asked_at + span:
                return Due(work.asked_at + span)
        return Due(None, late=True)

    def first_bid(self, work: Work, now: int) -> float:
        """A new job bids what gets it the wanted slots at the present price."""
        known = self.old_bids.pop(work.job.ref, None)
        if known is not None:
            return known
        wanted = self.price * work.job.size * work.remaining
        return min(max(self.terms.reserve, wanted), max(self.terms.reserve, self._most(work, now)))

    def _most(self, work: Work, now: int) -> float:
        budget = self.budgets.get(work.job.team)
        if budget is None:
            return self.terms.reserve
        # A job that can keep no promise any more bids like one that was given none. With its
        # budget over the time left, which is none, it outbid all that could still be in time.
        due = self.due(work, now).at
        span = self.terms.refill_us if due is None else max(self.terms.round_us, due - now)
        return ceiling(budget.left, span, self.terms.round_us)

    def round(self, block: Block, now: int) -> None:
        """One round of the market over the open jobs of a block."""
        span = self.terms.round_us if self.last_us is None else max(1, now - self.last_us)
        self.last_us = now
        works = [w for w in block.works.values() if not w.closed]
        for budget in self.budgets.values():
            budget.refill(span)
        for work in works:
            if work.bid <= 0:
                work.bid = self.first_bid(work, now)
            value, wanted = self._measured(work, span, now)
            trend = self.trends.setdefault(work.job.ref, BidDirection())
            work.bid = vertical(
                work.bid, value, wanted, trend,
                self.terms.reserve, self._most(work, now), self.terms.threshold,
            )  # fmt: skip
        for machine in block.machines.values():
            machine.rebook()
        open_refs = {work.job.ref for work in works}
        self.trends = {ref: trend for ref, trend in self.trends.items() if ref in open_refs}
        for work in works:
            if work.job.team in self.budgets and work.live:
                self.budgets[work.job.team].pay(work.bid)
        self.share(block, now)

    def _measured(self, work: Work, span: int, now: int) -> tuple[float, float]:
        """The progress of a job over a round, and the progress that is wanted of it: finished
        tasks against those that must finish, replicas that run against those that should, or
        slots held against tasks that wait."""
        if work.job.service:
            work.rate = work.rate * (1 - SMOOTH) + work.running * SMOOTH
            return work.rate, float(work.remaining)
        rate = work.finished_recent / (span / US)
        work.finished_recent = 0
        work.rate = work.rate * (1 - SMOOTH) + rate * SMOOTH
        due = self.due(work, now).at
        if due is None:
            return float(len(work.live)), float(work.remaining)
        left_s = max(1.0, (due - now) / US)
        return work.rate, work.remaining / left_s

    def promised(self, work: Work, now: int) -> bool:
        """Has it a deadline or a promise of its class, whether or not it can still be kept? Whoever
        starts a service is promised that it runs."""
        return work.job.service or self.due(work, now) != NO_DUE

    def share(self, block: Block, now: int) -> None:
        """The auction over the present capacity. Deadline jobs want what keeps them in time,
        others slots for all their tasks. Run between rounds too: new work must not wait.

        What keeps promised jobs in time is given out first, all others share what is left. In one
        auction a team with much work in time drained its budget, and was outbid by long tasks
        that nobody had promised anything.
        """
        works = [work for work in block.works.values() if not work.closed]
        arrays = [work for work in works if work.job.shape is Shape.ARRAY]
        for work in arrays:
            work.promised = self.promised(work, now)
        promised = [self._bid(work) for work in arrays if work.promised]
        others = [work for work in arrays if not work.promised]
        capacity = self._capacity(block)
        reserved = capacity * UNPROMISED_SHARE if others else 0.0
        slots = clear(promised, capacity - reserved)
        given = sum(slots[bid.key] * bid.size for bid in promised)
        slots |= self._share_rest(block, others, capacity - given)
        self.price = price([*promised, *map(self._bid, others)], capacity)
        for work in arrays:
            work.slots = slots[work.job.ref]
        block.dirty = True

    def _share_rest(self, block: Block, works: list[Work], capacity: float) -> dict[str, int]:
        """Slots for jobs without a promise: each team's share by the sum of its bids. Within a
        team the job that is nearest to its end comes first: shared evenly, long jobs of the same
        size would all end last. Every job has one slot, so that it begins."""
        bids = {work.job.ref: self._bid(work) for work in works}
        teams: dict[str, list[Work]] = {}
        for work in works:
            teams.setdefault(work.job.team, []).append(work)
        wanted = [self._team_bid(team, [bids[w.job.ref] for w in teams[team]]) for team in teams]
        shares = clear(wanted, capacity)
        slots: dict[str, int] = {}
        for team, members in teams.items():
            left = float(shares[team])
            for bid in (bids[work.job.ref] for work in members):
                slots[bid.key] = min(1, bid.most)
                left -= slots[bid.key] * bid.size
            for work in sorted(members, key=lambda w: w.remaining * w.job.size * block.guess_us(w)):
                bid = bids[work.job.ref]
                more = min(bid.most - slots[bid.key], max(0, int(left / bid.size)))
                slots[bid.key] += more
                left -= more * bid.size
        return slots

    @staticmethod
    def _team_bid(team: str, bids: list[Bid[str]]) -> Bid[str]:
        """What a team wants for its jobs together, in CPUs."""
        most = ceil(sum(bid.most * bid.size for bid in bids))
        return Bid(team, sum(bid.amount for bid in bids), 1.0, most)

    def _bid(self, work: Work) -> Bid[str]:
        most = work.remaining if work.need is None else min(work.need, work.remaining)
        return Bid(work.job.ref, max(work.bid, self.terms.reserve), work.job.size, most)

    @staticmethod
    def _capacity(block: Block) -> float:
        """CPUs that are for sale. Gangs and services are placed by rank and take no part. Sold
        twice, what they use left those that come last in start order with shares of nothing."""
        up = [m for m in block.machines.values() if m.up and not m.lost and not m.unreachable_since]
        placed = sum(
            len(work.live) * work.job.size
            for work in block.works.values()
            if work.job.shape is not Shape.ARRAY and not work.closed
        )
        return max(0.0, sum(m.kind.cpus for m in up) - placed)
