"""Time spans that the platform's settings prescribe. All times are microseconds."""

from msgspec import Struct

CLOCK_DRIFT_DIVISOR = 500  # two clocks drift apart by at most 0.2% of a span
TIMER_MARGIN_US = 250_000  # for the resolution of timers


class Timing(Struct, frozen=True):
    """The lease and the heartbeat interval."""

    lease_us: int  # how long an answer to a heartbeat keeps a worker's tasks running
    heartbeat_interval_us: int

    @property
    def lease_expiry_us(self) -> int:
        """The time without an answer from this shard leader after which a worker's lease has
        provably expired and the worker has killed its tasks.

        It is the lease plus the drift of both clocks and a margin for the resolution of timers.
        """
        return self.lease_us + self.lease_us // CLOCK_DRIFT_DIVISOR + TIMER_MARGIN_US
