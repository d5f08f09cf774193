"""The log, written to standard error, and a limit on lines that bad input could repeat."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

log = logging.getLogger("basaltlead")


def configure_logging() -> None:
    """Log to standard error, from the level on that the environment's LOG_LEVEL names."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname).1s %(message)s"))
    log.addHandler(handler)
    log.propagate = False
    log.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO))


class LogRateLimiter:
    """Allows at most `burst` lines in `window_us`, so that bad input can't flood the log."""

    def __init__(self, burst: int = 5, window_us: int = 10_000_000) -> None:
        self.burst = burst
        self.window_us = window_us
        self.remaining = burst
        self.window_end = 0

    def allow(self, now: int) -> bool:
        """Whether one more line may be written at this time; if so, it is counted."""
        if now >= self.window_end:
            self.window_end = now + self.window_us
            self.remaining = self.burst
        self.remaining -= 1
        return self.remaining >= 0
