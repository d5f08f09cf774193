"""The budget for idle machines that are retained in a quiet time.

Money is reserved in the key-value store in chunks before it is spent. A new shard leader counts
everything that was reserved as spent, so the limit holds however often the leader changes.
"""

from collections.abc import Awaitable, Callable

from msgspec import Struct

from basaltlead.core.jobs import US
from basaltlead.core.quiet_times import QuietTime

RESERVATION_CHUNKS = 10  # the limit is reserved in this many steps
HOUR_US = 3600 * US
# Longer intervals between two passes are not charged in full: a process that was suspended for
# longer has not retained any machine in that time.
MAX_CHARGED_INTERVAL_US = 5 * US


class StoredQuietReservation(Struct):
    """The amount that is reserved for the quiet time that began at `start`."""

    start: int  # Unix time in microseconds
    reserved: float


class QuietBudget:
    """The budget of one shard for the current quiet time."""

    def __init__(
        self, limit: float, reserve: Callable[[StoredQuietReservation], Awaitable[bool]]
    ) -> None:
        """`limit` is the most that may be spent in one quiet time.

        `reserve` records a reservation and returns whether that succeeded.
        """
        self.limit = limit
        self.reserve = reserve
        self.start = 0  # start of the quiet time that the amounts below belong to
        self.reserved = 0.0
        self.spent = 0.0
        self.last_pass_at = 0  # when the last pass began, on the monotonic clock
        self.charged_interval_us = 0  # from the previous pass to the current one

    def load(self, stored: StoredQuietReservation) -> None:
        """Continue with the reservation of an earlier shard leader."""
        self.start, self.reserved, self.spent = stored.start, stored.reserved, stored.reserved

    def begin_pass(self, quiet: QuietTime | None, now: int) -> bool:
        """Begin a pass over the machines. Returns whether more money should be reserved."""
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
        """Reserve another chunk. Until it is recorded, only the earlier ones can be spent."""
        start = self.start
        wanted = min(self.limit, self.reserved + self.limit / RESERVATION_CHUNKS)
        if await self.reserve(StoredQuietReservation(start, wanted)) and self.start == start:
            self.reserved = wanted

    def charge(self, price_per_hour: float) -> bool:
        """Spend the cost of an idle machine for one interval; False if it exceeds the reserve."""
        cost = price_per_hour * self.charged_interval_us / HOUR_US
        if self.reserved <= 0 or self.spent + cost > self.reserved:
            return False
        self.spent += cost
        return True
