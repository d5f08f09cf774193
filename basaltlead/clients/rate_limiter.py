"""Limits the rate of calls to a service to this controller's share."""

import asyncio

MIN_SLEEP_S = 0.001  # resolution of timers
ROUNDING_S = 1e-6  # shorter waits are rounding errors


class RateLimiter:
    """A token bucket, measured in time.

    `full_at` is the time at which the whole burst is available again if nothing more is taken.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        """`rate` is in calls per second, `burst` in calls; by default one second's worth."""
        self.rate = rate
        self.interval_s = 1.0 / rate
        self.burst_s = (burst if burst is not None else rate) * self.interval_s
        self.full_at = 0.0
        self.low_priority_lock = asyncio.Lock()  # held by the low-priority caller that is next

    def queue_delay_s(self) -> float:
        """Return how long the next caller of `take` would wait, in seconds."""
        late = self.full_at - asyncio.get_running_loop().time() - self.burst_s
        return max(0.0, late + self.interval_s)

    async def take(self, amount: float = 1.0) -> None:
        """Reserve `amount` calls, and wait until they are allowed."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.full_at = max(self.full_at, now) + amount * self.interval_s
        wait = self.full_at - now - self.burst_s
        if wait > 0:
            await asyncio.sleep(wait)

    async def take_low_priority(self, amount: float = 1.0) -> None:
        """Reserve `amount` calls of low priority.

        Only one caller at a time proceeds, and only while half of the burst remains, so that
        callers of `take` don't queue behind them.
        """
        loop = asyncio.get_running_loop()
        async with self.low_priority_lock:
            while True:
                now = loop.time()
                used = max(self.full_at, now) - now
                wait = used - max(0.0, self.burst_s / 2 - amount * self.interval_s)
                if wait <= ROUNDING_S:
                    break
                await asyncio.sleep(max(wait, MIN_SLEEP_S))
            self.full_at = max(self.full_at, now) + amount * self.interval_s
