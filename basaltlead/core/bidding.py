"""Budgets and the vertical bid rule of the paper (Scale-One-VM), with its clamps."""

from msgspec import Struct

# The paper's `limit`: the `BidDirection.step` from which bids double or halve. Since `step` is 2 in
# the first round in a direction, this is the second round.
DOUBLING_STEP = 3
DOUBLING_GAP = 2  # the relative gap from which they do so at any step


class Budget(Struct):
    """A team's credits, refilled at a constant rate up to the full amount."""

    full: float
    refill_us: int  # time to refill an empty budget
    left: float

    def refill(self, span_us: int) -> None:
        """Add the credits of a span of time."""
        self.left = min(self.full, self.left + self.full * span_us / self.refill_us)

    def pay(self, amount: float) -> None:
        """Deduct an amount, or what is left if that is less."""
        self.left = max(0.0, self.left - amount)

    def max_bid(self, span_us: int, round_us: int) -> float:
        """The most a job may bid per round: the remaining budget divided by the rounds in the
        span."""
        return self.left / max(1.0, span_us / round_us)


class BidDirection(Struct):
    """The direction in which a bid has been moving, and for how many rounds."""

    direction: int = 0
    step: int = 1

    def next_bid(
        self,
        bid: float,
        value: float,
        wanted: float,
        low: float,
        high: float,
        threshold: float,
    ) -> float:
        """The next bid, between `low` and `high`: raised while the measured value is below the
        wanted one, else lowered.

        The factor is 1+T for the relative gap T, and 2 from the second round in the same direction
        or once T reaches 2. Below the threshold the bid changes only to stay between its limits.
        """
        if value < wanted and self.direction != 1:
            self.direction, self.step = 1, 1
        if value > wanted and self.direction != -1:
            self.direction, self.step = -1, 1
        self.step += 1
        high = max(low, high)
        gap = abs(wanted - value) / wanted if wanted > 0 else (2.0 if value > 0 else 0.0)
        if gap >= threshold:
            factor = 1 + gap if self.step < DOUBLING_STEP and gap < DOUBLING_GAP else 2.0
            bid = bid * factor if self.direction > 0 else bid / factor
        return min(high, max(low, bid))
