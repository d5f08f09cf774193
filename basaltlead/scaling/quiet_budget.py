"""What may be spent on idle machines that are retained in a quiet time.

Money is reserved in the key-value store before it is spent, a part at a time. A new shard leader
counts all that was reserved as spent. So the bound holds however often the shard leader changes.
"""

from collections.abc import Awaitable, Callable

from msgspec import Struct

from basaltlead.core.jobs import US
from basaltlead.core.quiet_times import QuietTime

RESERVATION_CHUNKS = 10  # of the bound, reserved one after the other
HOUR_US = 3600 * US
# Between two passes. A process that was suspended for longer has retained no machine meanwhile.
MAX_CHARGED_INTERVAL_US = 5 * US


class StoredQuietReservation(Struct):
    """How much is reserved for the quiet time that began at `start`."""

    start: int  # time of day in microseconds
    reserved: float


class QuietBudget:
    """The money of one shard for the present quiet time."""

    def __init__(
        self, limit: float, reserve: Callable[[StoredQuietReservation], Awaitable[bool]]
    ) -> None:
        """Spend at most `limit` in each quiet time. `reserve` records what is reserved, and returns
        whether that succeeded."""
        self.limit = limit
        self.reserve = reserve
        self.start = 0  # of the quiet time that the following amounts are for
        self.reserved = 0.0
        self.spent = 0.0
        self.last_pass_at = 0  # when the last pass began, on the steady clock
        self.charged_interval_us = 0  # from the last pass to the present one

    def load(self, stored: StoredQuietReservation) -> None:
        """Continue after an earlier shard leader."""
        self.start, self.reserved, self.spent = stored.start, stored.reserved, stored.reserved

    def begin_pass(self, quiet: QuietTime | None, now: int) -> bool:
        """Begin a pass over the machines. True if more should be reserved."""
        self.charged_interval_us = (
            min(MAX_CHARGED_INTERVAL_US, now - self.last_pass_at) if self.last_pass_at else 0
        )
        self.last_pass_at = now
        if quiet is None:
            return False
        if quiet.start != self.start:
            self.start, self.reserved, self.spent = quiet.start, 0.0, 0.0
        chunk = self.limit / RESERVATION_CHUNKS
        return self.reserved < self.limit and self.spent > self.reserved - chunk / 2

    async def reserve_more(self) -> None:
        """Reserve another part. If that is not recorded, nothing more can be spent."""
        start = self.start
        wanted = min(self.limit, self.reserved + self.limit / RESERVATION_CHUNKS)
        if await self.reserve(StoredQuietReservation(start, wanted)) and self.start == start:
            self.reserved = wanted

    def charge(self, price_per_hour: float) -> bool:
        """Spend what an idle machine costs until the next pass; False if there is no money."""
        cost = price_per_hour * self.charged_interval_us / HOUR_US
        if self.reserved <= 0 or self.spent + cost > self.reserved:
            return False
        self.spent += cost
        return True
