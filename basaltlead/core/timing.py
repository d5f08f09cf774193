"""Time spans that the platform's settings prescribe. All times are microseconds."""

from msgspec import Struct


class Timing(Struct, frozen=True):
    """Spans that the platform's settings prescribe."""

    lease_us: int
    heartbeat_interval_us: int

    @property
    def lease_expiry_us(self) -> int:
        """After this long without an answer of ours a worker's lease is over for sure: the
        lease, the drift of both clocks, and a margin for the resolution of timers."""
        return self.lease_us + self.lease_us // 500 + 250_000
