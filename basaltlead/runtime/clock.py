"""Clocks, in whole microseconds, and the random number generator; tests replace them."""

import random
import time
from collections.abc import Callable

_steady: Callable[[], int] = time.monotonic_ns
_wall: Callable[[], int] = time.time_ns
rng = random.Random()


def now_us() -> int:
    """Read the monotonic clock: for durations and leases within this process."""
    return _steady() // 1000


def wall_us() -> int:
    """Read the wall clock, which is off by up to `clock_off_ms` (settings): only for ages that
    outlive a process."""
    return _wall() // 1000


def age_us(at: int) -> int:
    """Return how long ago the wall-clock time `at` was, or 0 if it is in the future because clocks
    differ."""
    return max(0, wall_us() - at)


def replace_clocks(steady: Callable[[], int], wall: Callable[[], int], seed: int) -> None:
    """Replace both clocks, which return nanoseconds, and seed the random number generator."""
    global _steady, _wall
    _steady, _wall = steady, wall
    rng.seed(seed)
