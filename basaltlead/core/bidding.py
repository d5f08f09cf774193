"""Budgets and the vertical bid rule of the paper (Scale-One-VM), with its clamps."""

from dataclasses import dataclass

LIMIT = 3  # the paper's `limit`: the step that makes the rule aggressive


@dataclass
class Budget:
    """A team's credits: refilled at a set rate, never above the first amount."""

    first: float
    refill_us: int
    left: float

    def refill(self, span_us: int) -> None:
        self.left = min(self.first, self.left + self.first * span_us / self.refill_us)

    def pay(self, amount: float) -> None:
        self.left = max(0.0, self.left - amount)


@dataclass
class BidDirection:
    """Which way a bid has been moving, and for how many rounds."""

    direction: int = 0
    step: int = 1


def vertical(
    bid: float,
    value: float,
    wanted: float,
    trend: BidDirection,
    low: float,
    high: float,
    threshold: float = 0.05,
) -> float:
    """The next bid: up while the measured value is below the wanted one, else down.

    The factor is 1+T for the relative gap T, and 2 from the second round the same way or once T
    reaches 2. Below the threshold the bid stays, within its clamps.
    """
    if value < wanted and trend.direction != 1:
        trend.direction, trend.step = 1, 1
    if value > wanted and trend.direction != -1:
        trend.direction, trend.step = -1, 1
    trend.step += 1
    high = max(low, high)
    gap = abs(wanted - value) / wanted if wanted > 0 else (2.0 if value > 0 else 0.0)
    if gap >= threshold:
        factor = 1 + gap if trend.step < LIMIT and gap < 2 else 2.0
        bid = bid * factor if trend.direction > 0 else bid / factor
    return min(high, max(low, bid))


def ceiling(budget: float, span_us: int, round_us: int) -> float:
    """The most a job may bid a round: the remaining budget over its span."""
    return budget / max(1.0, span_us / round_us)
