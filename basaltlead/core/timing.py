"""Time spans that the platform's settings prescribe. All times are microseconds."""

from msgspec import Struct

CLOCK_DRIFT_DIVISOR = 500  # two clocks differ by at most 0.2% of a span
TIMER_MARGIN_US = 250_000


class Timing(Struct, frozen=True):
    """Spans that the platform's settings prescribe."""

    lease_us: int  # for how long an answer to a heartbeat keeps a worker's tasks running
    heartbeat_interval_us: int

    @property
    def lease_expiry_us(self) -> int:
        """After this long without an answer of ours a worker's lease has provably expired, so that
        it has killed its tasks: the lease, the drift of both clocks, and a margin for the
        resolution of timers."""
        return self.lease_us + self.lease_us // CLOCK_DRIFT_DIVISOR + TIMER_MARGIN_US
