"""What may be spent on idle machines that are kept for a quiet time.

Money is reserved in the key-value store before it is spent, a part at a time, so that the bound
holds however often the shard changes its shard leader: a new one counts all that was reserved as
spent.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from msgspec import Struct

from basaltlead.core.jobs import US

PARTS = 10  # of the bound, reserved one after the other
HOUR_US = 3600 * US
LONGEST_STEP_US = 5 * US  # between two passes; a process that stood still kept nobody


class QuietTime(Protocol):
    """An occurrence of the operators' calendar."""

    @property
    def start(self) -> int:
        """When it begins: a time of day in microseconds."""


class StoredQuiet(Struct):
    """How much is reserved for the quiet time that began at `start`."""

    start: int
    reserved: float


class QuietBudget:
    """The money of one shard for the present quiet time."""

    def __init__(self, most: float, reserve: Callable[[StoredQuiet], Awaitable[bool]]) -> None:
        self.most = most
        self.reserve = reserve
        self.start = 0
        self.reserved = 0.0
        self.spent = 0.0
        self.passed_at = 0
        self.step_us = 0

    def load(self, stored: StoredQuiet) -> None:
        """Go on after another shard leader."""
        self.start, self.reserved, self.spent = stored.start, stored.reserved, stored.reserved

    def begin(self, quiet: QuietTime | None, now: int) -> bool:
        """A pass over the machines begins; True if more should be reserved."""
        self.step_us = min(LONGEST_STEP_US, now - self.passed_at) if self.passed_at else 0
        self.passed_at = now
        if quiet is None:
            return False
        if quiet.start != self.start:
            self.start, self.reserved, self.spent = quiet.start, 0.0, 0.0
        part = self.most / PARTS
        return self.reserved < self.most and self.spent > self.reserved - part / 2

    async def reserve_more(self) -> None:
        """Reserve another part; nothing more can be spent if that is not recorded."""
        start = self.start
        wanted = min(self.most, self.reserved + self.most / PARTS)
        if await self.reserve(StoredQuiet(start, wanted)) and self.start == start:
            self.reserved = wanted

    def keeps(self, price_per_hour: float) -> bool:
        """Is there money to keep an idle machine until the next pass?"""
        cost = price_per_hour * self.step_us / HOUR_US
        if self.reserved <= 0 or self.spent + cost > self.reserved:
            return False
        self.spent += cost
        return True
