"""This process's part of the rate of calls that a service allows."""

import asyncio

MIN_SLEEP_S = 0.001  # timers are no finer
ROUNDING_S = 1e-6  # waits below this are rounding errors of the arithmetic


class RateLimiter:
    """A rate with a burst of one second's worth (a leaky bucket, measured in time).

    `full_at` is the time at which the budget will be whole again if nothing more is taken.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        """`rate` and `burst` are in calls a second and calls."""
        self.rate = rate
        self.interval_s = 1.0 / rate
        self.burst_s = (burst if burst is not None else rate) * self.interval_s
        self.full_at = 0.0
        self.low_priority_lock = asyncio.Lock()  # held by the first of those that can wait

    def queue_delay_s(self) -> float:
        """How long the next caller of `take` would have to wait, in seconds."""
        late = self.full_at - asyncio.get_running_loop().time() - self.burst_s
        return max(0.0, late + self.interval_s)

    async def take(self, amount: float = 1.0) -> None:
        """Take so many calls from the budget, and wait until they are allowed."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.full_at = max(self.full_at, now) + amount * self.interval_s
        wait = self.full_at - now - self.burst_s
        if wait > 0:
            await asyncio.sleep(wait)

    async def take_low_priority(self, amount: float = 1.0) -> None:
        """Take calls that can wait: one caller at a time, and only while half of the burst is left,
        so that whoever calls `take` meanwhile finds no queue before it."""
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
