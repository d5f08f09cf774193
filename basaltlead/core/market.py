"""The rounds: budgets are refilled, bids follow progress, the auction gives out slots."""

from msgspec import Struct

from basaltlead.core.bidding import BidDirection, Budget
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US, Shape
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.shard import Shard
from basaltlead.core.slot_auction import SlotAuction

SMOOTHING = 0.5  # weight of the newest round in the measured rate


class MarketParameters(Struct, frozen=True):
    """The parameters of the market."""

    round_us: int
    refill_us: int  # how long refilling an empty budget takes
    budget: float  # of a team
    reserve_price: float  # the lowest bid
    threshold: float  # the relative gap below which a bid stays
    max_stored_bids: int = 200  # that fit into a stored record


class TeamRecord(Struct):
    """What is stored for each team each round, so that a new shard leader goes on from it."""

    left: float
    bids: dict[str, float] = {}


class Market:
    """The teams' budgets, and the bids of a shard's jobs, round after round."""

    def __init__(
        self, parameters: MarketParameters, teams: list[str], objectives: ServiceLevelObjectives
    ) -> None:
        self.parameters = parameters
        self.objectives = objectives
        self.budgets = {
            team: Budget(parameters.budget, parameters.refill_us, parameters.budget)
            for team in teams
        }
        self._directions: dict[str, BidDirection] = {}  # by job
        self._stored_bids: dict[str, float] = {}  # of an earlier shard leader, by job
        self._price = 0.0  # of a CPU, in the last auction
        self._last_round_at: int | None = None

    def load(self, team: str, record: TeamRecord) -> None:
        """Go on from what an earlier shard leader has stored of a team; one that the settings don't
        name is ignored."""
        if team in self.budgets:
            budget = self.budgets[team]
            budget.left = min(budget.full, max(0.0, record.left))
            self._stored_bids.update(record.bids)

    def record(self, team: str, job_states: dict[str, JobState]) -> TeamRecord:
        """What to store of a team. The size of a value is limited: if not all bids fit, the highest
        are kept, as the most informative."""
        bids = {
            job_state.job.ref: round(job_state.bid, 4)
            for job_state in job_states.values()
            if job_state.job.team == team
        }
        kept = sorted(bids, key=lambda ref: -bids[ref])[: self.parameters.max_stored_bids]
        return TeamRecord(round(self.budgets[team].left, 3), {ref: bids[ref] for ref in kept})

    def first_bid(self, job_state: JobState, now: int) -> float:
        """The bid of a job that has none yet: what an earlier shard leader has stored, or what gets
        a new job the wanted slots at the present price."""
        known = self._stored_bids.pop(job_state.job.ref, None)
        if known is not None:
            return known
        reserve_price = self.parameters.reserve_price
        wanted = self._price * job_state.job.size * job_state.remaining
        return min(max(reserve_price, wanted), max(reserve_price, self._max_bid(job_state, now)))

    def _max_bid(self, job_state: JobState, now: int) -> float:
        budget = self.budgets.get(job_state.job.team)
        if budget is None:
            return self.parameters.reserve_price
        # A job that can't meet any objective bids like one that has none. With its budget over the
        # time left, which is none, it outbid all that could still be in time.
        due = self.objectives.due(job_state, now).at
        span_us = (
            self.parameters.refill_us if due is None else max(self.parameters.round_us, due - now)
        )
        return budget.max_bid(span_us, self.parameters.round_us)

    def run_round(self, shard: Shard, now: int) -> None:
        """One round of the market over the open jobs of a shard."""
        last = self._last_round_at
        span_us = self.parameters.round_us if last is None else max(1, now - last)
        self._last_round_at = now
        job_states = [job_state for job_state in shard.job_states.values() if not job_state.closed]
        for budget in self.budgets.values():
            budget.refill(span_us)
        for job_state in job_states:
            self._update_bid(job_state, span_us, now)
        for machine in shard.machines.values():
            machine.rebook()
        open_refs = {job_state.job.ref for job_state in job_states}
        self._directions = {
            ref: direction for ref, direction in self._directions.items() if ref in open_refs
        }
        for job_state in job_states:
            if job_state.job.team in self.budgets and job_state.live:
                self.budgets[job_state.job.team].pay(job_state.bid)
        self.allocate_slots(shard, now)

    def _update_bid(self, job_state: JobState, span_us: int, now: int) -> None:
        if job_state.bid <= 0:
            job_state.bid = self.first_bid(job_state, now)
        value, wanted = self._measured(job_state, span_us, now)
        direction = self._directions.setdefault(job_state.job.ref, BidDirection())
        job_state.bid = direction.next_bid(
            job_state.bid,
            value,
            wanted,
            self.parameters.reserve_price,
            self._max_bid(job_state, now),
            self.parameters.threshold,
        )

    def _measured(self, job_state: JobState, span_us: int, now: int) -> tuple[float, float]:
        """The progress of a job over a round, and the progress that is wanted of it: finished
        tasks against those that must finish, replicas that run against those that should, or
        slots held against tasks that wait."""
        if job_state.job.service:
            job_state.rate = _smoothed(job_state.rate, job_state.running)
            return job_state.rate, float(job_state.remaining)
        job_state.rate = _smoothed(job_state.rate, job_state.finished_recent / (span_us / US))
        job_state.finished_recent = 0
        due = self.objectives.due(job_state, now).at
        if due is None:
            return float(len(job_state.live)), float(job_state.remaining)
        left_s = max(1.0, (due - now) / US)
        return job_state.rate, job_state.remaining / left_s

    def allocate_slots(self, shard: Shard, now: int) -> None:
        """The auction over the present capacity. Run between rounds too: new work must not wait."""
        arrays = [
            job_state
            for job_state in shard.job_states.values()
            if not job_state.closed and job_state.job.shape is Shape.ARRAY
        ]
        for job_state in arrays:
            job_state.has_objective = self.objectives.has_objective(job_state, now)
        slots, self._price = SlotAuction(shard, self.parameters.reserve_price).run(arrays)
        for job_state in arrays:
            job_state.slots = slots[job_state.job.ref]
        shard.request_plan()


def _smoothed(rate: float, newest: float) -> float:
    return rate * (1 - SMOOTHING) + newest * SMOOTHING
