"""The market: in each round budgets are refilled, bids are adjusted to the measured progress, and
an auction allocates slots."""

from msgspec import Struct

from basaltlead.core.bidding import BidDirection, Budget
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US, Shape
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.shard import Shard
from basaltlead.core.slot_auction import SlotAuction

SMOOTHING = 0.5  # weight of the newest round in the measured rate


class MarketParameters(Struct, frozen=True):
    """Budgets, prices and times of the market."""

    round_us: int
    refill_us: int  # time to refill an empty budget
    budget: float  # full budget of a team
    reserve_price: float  # the lowest bid
    threshold: float  # the relative gap below which a bid is left unchanged
    max_stored_bids: int = 200  # of a team, limited by the size of a stored record


class TeamRecord(Struct):
    """What is stored for each team in each round, so that a new shard leader continues from it."""

    left: float
    bids: dict[str, float] = {}


class Market:
    """The budgets of the teams and the bids of a shard's jobs."""

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
        self._stored_bids: dict[str, float] = {}  # by job, stored by an earlier shard leader
        self._price = 0.0  # per CPU, in the last auction
        self._last_round_at: int | None = None

    def load(self, team: str, team_record: TeamRecord) -> None:
        """Continue from what an earlier shard leader stored for a team; a team that is not in the
        settings is ignored."""
        if team in self.budgets:
            budget = self.budgets[team]
            budget.left = min(budget.full, max(0.0, team_record.left))
            self._stored_bids.update(team_record.bids)

    def team_record(self, team: str, job_states: dict[str, JobState]) -> TeamRecord:
        """What to store for a team.

        The size of a value is limited: if not all bids fit, the highest are kept, as the most
        informative.
        """
        bids = {
            job_state.job.ref: round(job_state.bid, 4)
            for job_state in job_states.values()
            if job_state.job.team == team
        }
        kept = sorted(bids, key=lambda ref: -bids[ref])[: self.parameters.max_stored_bids]
        return TeamRecord(round(self.budgets[team].left, 3), {ref: bids[ref] for ref in kept})

    def first_bid(self, job_state: JobState, now: int) -> float:
        """The bid of a job that has none yet: the one that an earlier shard leader stored, else
        the price of all its remaining slots, up to its maximum bid. A stored bid is used once."""
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
        # A job that can't meet any objective bids like one that has none. With no time left its
        # maximum bid would be the whole budget, and it would outbid all jobs that can still be on
        # time.
        due = self.objectives.due(job_state, now).at
        span_us = (
            self.parameters.refill_us if due is None else max(self.parameters.round_us, due - now)
        )
        return budget.max_bid(span_us, self.parameters.round_us)

    def run_round(self, shard: Shard, now: int) -> None:
        """Run one round of the market over the open jobs of a shard."""
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
        value, wanted = self._update_progress(job_state, span_us, now)
        direction = self._directions.setdefault(job_state.job.ref, BidDirection())
        job_state.bid = direction.next_bid(
            job_state.bid,
            value,
            wanted,
            self.parameters.reserve_price,
            self._max_bid(job_state, now),
            self.parameters.threshold,
        )

    def _update_progress(self, job_state: JobState, span_us: int, now: int) -> tuple[float, float]:
        """Update the job's rate for a round. Returns its measured and its wanted progress.

        For a service these are running and wanted replicas. For a job with a due time they are the
        rate at which its tasks finish and the rate that meets the due time, in tasks per second.
        For any other job they are the number of tasks on machines and that of remaining tasks.
        """
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
        """Run the auction over the present capacity. Also called between rounds, so that new work
        does not wait for the next round."""
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
