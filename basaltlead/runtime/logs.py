"""Logging to standard error by LOG_LEVEL, and a brake for lines that bad input could repeat."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

log = logging.getLogger("basaltlead")


def set_up() -> None:
    """Log to standard error, in the amount that LOG_LEVEL sets."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(levelname).1s %(message)s"))
    log.addHandler(handler)
    log.propagate = False
    log.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO))


class LogRateLimiter:
    """Lets at most `burst` lines a `span_us` through, so bad input can't flood the log."""

    def __init__(self, burst: int = 5, span_us: int = 10_000_000) -> None:
        self.burst = burst
        self.span_us = span_us
        self.left = burst
        self.until = 0

    def ok(self, now: int) -> bool:
        if now >= self.until:
            self.until = now + self.span_us
            self.left = self.burst
        self.left -= 1
        return self.left >= 0
