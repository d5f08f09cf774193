"""The proportional-share auction, in whole slots.

A bidder's share is its bid over the sum of bids. Shares are rounded to whole slots by the largest
remainder. What a bidder can't use goes to the others, so that no capacity stays idle while a bidder
can use it.
"""

from collections.abc import Hashable, Sequence
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)

ROUNDING_TOLERANCE = 1e-9  # of the capacity; a slot fits if it exceeds what is left by no more


class Bid(NamedTuple, Generic[K]):
    """A bid, and how much its bidder can use."""

    key: K
    amount: float
    size: float  # the capacity that one slot takes
    max_slots: int  # the most that the bidder can use


def allocate(bids: Sequence[Bid[K]], capacity: float) -> dict[K, int]:
    """The slots of every bidder, by its key."""
    slots = {bid.key: 0 for bid in bids}
    open_bids = [bid for bid in bids if bid.max_slots > 0 and bid.amount > 0 and bid.size > 0]
    left = capacity
    while open_bids and left > 0:
        total = sum(bid.amount for bid in open_bids)
        shares = {bid.key: left * bid.amount / total / bid.size for bid in open_bids}
        satisfied = [bid for bid in open_bids if slots[bid.key] + shares[bid.key] >= bid.max_slots]
        if not satisfied:
            _round_shares(open_bids, shares, slots, left)
            break
        # These get what they can use; the rest is shared among the others again.
        for bid in satisfied:
            left -= (bid.max_slots - slots[bid.key]) * bid.size
            slots[bid.key] = bid.max_slots
        open_bids = [bid for bid in open_bids if bid not in satisfied]
    return slots


def _round_shares(
    bids: Sequence[Bid[K]], shares: dict[K, float], slots: dict[K, int], left: float
) -> None:
    """Turn the shares of what is left into slots: whole ones first, then one more each for those
    with the largest remainders, as far as they fit."""
    for bid in bids:
        whole = int(shares[bid.key])
        slots[bid.key] += whole
        left -= whole * bid.size
    by_remainder = sorted(bids, key=lambda b: (int(shares[b.key]) - shares[b.key], -b.amount))
    for bid in by_remainder:
        if bid.size <= left + ROUNDING_TOLERANCE and slots[bid.key] < bid.max_slots:
            slots[bid.key] += 1
            left -= bid.size


def price(bids: Sequence[Bid[K]], capacity: float) -> float:
    """The paper's price: the sum of bids over the capacity."""
    return sum(bid.amount for bid in bids) / capacity if capacity > 0 else 0.0
