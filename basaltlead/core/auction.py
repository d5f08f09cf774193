"""The proportional-share auction, in whole slots.

A job's share is its bid over the sum of bids. Shares become whole slots by the largest remainder;
what a job can't use goes to the others, so that nothing stays idle while somebody waits.
"""

from collections.abc import Hashable, Sequence
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class Bid(NamedTuple, Generic[K]):
    """What a bidder offers, and how much it can use."""

    key: K
    amount: float
    size: float  # what one slot takes of the capacity
    most: int  # slots it can use


def allocate(bids: Sequence[Bid[K]], capacity: float) -> dict[K, int]:
    """Slots for every bidder."""
    slots = {bid.key: 0 for bid in bids}
    open_bids = [bid for bid in bids if bid.most > 0 and bid.amount > 0 and bid.size > 0]
    left = capacity
    while open_bids and left > 0:
        total = sum(bid.amount for bid in open_bids)
        shares = {bid.key: left * bid.amount / total / bid.size for bid in open_bids}
        sated = [b for b in open_bids if slots[b.key] + shares[b.key] >= b.most]
        if sated:  # they take what they can use; the rest is shared anew
            for bid in sated:
                left -= (bid.most - slots[bid.key]) * bid.size
                slots[bid.key] = bid.most
            open_bids = [bid for bid in open_bids if bid not in sated]
            continue
        for bid in open_bids:
            whole = int(shares[bid.key])
            slots[bid.key] += whole
            left -= whole * bid.size
        by_rest = sorted(open_bids, key=lambda b: (int(shares[b.key]) - shares[b.key], -b.amount))
        for bid in by_rest:
            if bid.size <= left + 1e-9 and slots[bid.key] < bid.most:
                slots[bid.key] += 1
                left -= bid.size
        break
    return slots


def price(bids: Sequence[Bid[K]], capacity: float) -> float:
    """The paper's price: the sum of bids over the capacity."""
    return sum(bid.amount for bid in bids) / capacity if capacity > 0 else 0.0
