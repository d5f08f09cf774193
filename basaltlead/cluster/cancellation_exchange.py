"""The exchange of confirmed cancellations among controllers.

A shard leader must know every cancellation that was confirmed to a user. While it can't read the
key-value store, each answer to its deferral requests brings all cancellations that the peer has
confirmed to anybody since the shard leader's last read. The answers of *every* other controller,
none of which was silent or has restarted since, are as good as a read at the time the request was
sent: what one of them confirms later, it confirms after that time, and what nobody has confirmed
binds nobody.
"""

from collections.abc import Callable, Iterable

from basaltlead.core.cancellations import Cancellations
from basaltlead.runtime.clock import now_us

# A request and its answer may be under way for this long together: the peer counts back from when
# it reads the request, so it must include cancellations that are older by that.
MAX_ROUND_TRIP_US = 2_000_000


class CancellationExchange:
    """Passes cancellations between the peers and the shards of this controller."""

    def __init__(
        self,
        cancellations: Cancellations,
        cancellations_as_of: Callable[[], int | None],
        on_cancelled: Callable[[str], None],
        on_confirmed: Callable[[int, int], None],
    ) -> None:
        """`cancellations_as_of` gives the time up to which all shards of this controller know all cancellations,
        None without a shard. `on_cancelled` gets a job that a peer names as cancelled, and
        `on_confirmed` the beginning and end of a span of which all peers have named everything."""
        self.cancellations = cancellations
        self.cancellations_as_of = cancellations_as_of
        self.on_cancelled = on_cancelled
        self.on_confirmed = on_confirmed

    def add_reported(self, refs: Iterable[str]) -> None:
        """Take in the cancelled jobs that a peer names."""
        for ref in refs:
            if self.cancellations.add(ref, now_us()):
                self.on_cancelled(ref)

    def confirmed_since(self, unconfirmed_us: int | None) -> list[str] | None:
        """All cancellations that we have confirmed since the requester's last read; None if we do
        not know all of them, or it does not need them.

        That read is `unconfirmed_us` ago by the requester's clock at the time of its request. The
        drift of the clocks and the time the request was under way are added to it.
        """
        if unconfirmed_us is None:
            return None
        return self.cancellations.since(
            now_us() - unconfirmed_us - unconfirmed_us // 500 - MAX_ROUND_TRIP_US
        )
