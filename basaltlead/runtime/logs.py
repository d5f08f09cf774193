"""Logging to standard error, and a rate limit for lines that bad input can trigger."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

log = logging.getLogger("basaltlead")


def configure_logging() -> None:
    """Log to standard error, at the level named by the environment variable LOG_LEVEL."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname).1s %(message)s"))
    log.addHandler(handler)
    log.propagate = False
    log.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO))


class LogRateLimiter:
    """Allows at most `burst` lines per `window_us`, so that bad input can't flood the log."""

    def __init__(self, burst: int = 5, window_us: int = 10_000_000) -> None:
        self.burst = burst
        self.window_us = window_us
        self.remaining = burst
        self.window_end = 0

    def allow(self, now: int) -> bool:
        """Return whether one more line may be written at the time `now`, and count it."""
        if now >= self.window_end:
            self.window_end = now + self.window_us
            self.remaining = self.burst
        self.remaining -= 1
        return self.remaining >= 0
