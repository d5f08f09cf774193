"""A limit on requests in progress that adjusts itself to measured times.

While answers take about as long as the best seen lately, the limit creeps up; once they take far
longer, work is queueing somewhere, and the limit shrinks. Additive increase, multiplicative
decrease, on the smoothed time.
"""

INITIAL_LIMIT = 32
SMOOTHING = 0.1  # part of the newest time in the mean
BEST_GROWTH = 1.01  # of the best time with each request
TOLERATED_FACTOR = 4  # a mean above so many times the best one is too slow,
TOLERATED_US = 50_000.0  # unless it is below this
DECREASE = 0.95


class ConcurrencyLimiter:
    """A limit on requests in progress that follows measured times."""

    def __init__(self, low: int = 4, high: int = 256) -> None:
        self.low = low
        self.high = high
        self.limit = float(min(high, max(low, INITIAL_LIMIT)))
        self.running = 0
        self.best_us = 0.0
        self.mean_us = 0.0

    def acquire(self) -> bool:
        """Whether one more request may start; if so, it is counted until `release`."""
        if self.running >= int(self.limit):
            return False
        self.running += 1
        return True

    def release(self, took_us: int) -> None:
        """A request is answered after so long: adjust the limit."""
        self.running -= 1
        took = float(max(took_us, 1))
        if self.mean_us == 0:
            self.mean_us = took
        else:
            self.mean_us = self.mean_us * (1 - SMOOTHING) + took * SMOOTHING
        # The best time rises slowly, so that it follows when everything has become slower.
        self.best_us = took if self.best_us == 0 else min(took, self.best_us * BEST_GROWTH)
        tolerated = max(self.best_us * TOLERATED_FACTOR, TOLERATED_US)
        if self.mean_us > tolerated:
            self.limit = max(float(self.low), self.limit * DECREASE)
        elif self.running + 1 >= int(self.limit) // 2:
            self.limit = min(float(self.high), self.limit + 1 / self.limit)
