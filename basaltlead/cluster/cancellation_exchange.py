"""The exchange of confirmed cancellations among controllers.

A shard leader must know every cancellation that was confirmed to a user. While it can't read the
key-value store, each response to its deferral requests lists all cancellations that the peer has
confirmed to any user since the shard leader's last read. If *every* other controller has responded,
and none of them was silent or has restarted since that read, the responses are equivalent to a read
at the time the requests were sent. A cancellation that a peer confirms after its response is also
confirmed after that time. A cancellation that no controller has confirmed need not be known.
"""

from collections.abc import Callable, Iterable

from basaltlead.core.cancellations import Cancellations
from basaltlead.runtime.clock import now_us

# The longest time that a request and its response may take together. A peer counts the requested
# period back from when it reads the request. The request may have been sent this much earlier, so
# the peer extends the period by this.
MAX_ROUND_TRIP_US = 2_000_000


class CancellationExchange:
    """Adds cancellations that peers report, and lists those that this controller has confirmed."""

    def __init__(
        self,
        cancellations: Cancellations,
        cancellations_as_of: Callable[[], int | None],
        on_cancelled: Callable[[str], None],
        on_confirmed: Callable[[int, int], None],
    ) -> None:
        """`cancellations_as_of` returns the time up to which all shards of this controller know all
        cancellations, or None if it leads no shard. `on_cancelled` is called with each job that a
        peer reports as cancelled. `LeaseExtension` calls `on_confirmed` with the start and end of a
        period for which all peers have reported their cancellations."""
        self.cancellations = cancellations
        self.cancellations_as_of = cancellations_as_of
        self.on_cancelled = on_cancelled
        self.on_confirmed = on_confirmed

    def add_reported(self, refs: Iterable[str]) -> None:
        """Add the cancelled jobs that a peer reports."""
        for ref in refs:
            if self.cancellations.add(ref, now_us()):
                self.on_cancelled(ref)

    def confirmed_since(self, unconfirmed_us: int | None) -> list[str] | None:
        """All cancellations that this controller has confirmed since the requester's last read;
        None if it does not know all of them, or the requester does not need them.

        `unconfirmed_us` is the time from that read to the request, on the requester's clock. Clock
        drift and the longest time that the request may have been under way are added to it.
        """
        if unconfirmed_us is None:
            return None
        return self.cancellations.since(
            now_us() - unconfirmed_us - unconfirmed_us // 500 - MAX_ROUND_TRIP_US
        )
