"""An adaptive limit on concurrent requests, based on response times.

The limit grows while the smoothed response time stays near the recent minimum. A much longer time
means that requests are queueing somewhere, and the limit shrinks (additive increase, multiplicative
decrease).
"""

INITIAL_LIMIT = 32
SMOOTHING = 0.1  # weight of the newest time in the moving average
BEST_GROWTH = 1.01  # growth of the best (shortest) time with each request
# An average above this multiple of the best time is too slow, unless it is below TOLERATED_US.
TOLERATED_FACTOR = 4
TOLERATED_US = 50_000.0
DECREASE = 0.95


class ConcurrencyLimiter:
    """A limit on concurrent requests that adapts to response times."""

    def __init__(self, min_limit: int = 4, max_limit: int = 256) -> None:
        self.min_limit = min_limit
        self.max_limit = max_limit
        self.limit = float(min(max_limit, max(min_limit, INITIAL_LIMIT)))
        self.running = 0
        self.best_us = 0.0
        self.mean_us = 0.0

    def acquire(self) -> bool:
        """Return whether one more request may start; if so, it counts until `release`."""
        if self.running >= int(self.limit):
            return False
        self.running += 1
        return True

    def release(self, duration_us: int) -> None:
        """Record that a request ended after `duration_us`, and adjust the limit."""
        self.running -= 1
        duration = float(max(duration_us, 1))
        if self.mean_us == 0:
            self.mean_us = duration
        else:
            self.mean_us = self.mean_us * (1 - SMOOTHING) + duration * SMOOTHING
        # The best time grows slowly, so that it adapts if all requests have become slower.
        self.best_us = duration if self.best_us == 0 else min(duration, self.best_us * BEST_GROWTH)
        tolerated = max(self.best_us * TOLERATED_FACTOR, TOLERATED_US)
        if self.mean_us > tolerated:
            self.limit = max(float(self.min_limit), self.limit * DECREASE)
        elif self.running + 1 >= int(self.limit) // 2:
            self.limit = min(float(self.max_limit), self.limit + 1 / self.limit)
