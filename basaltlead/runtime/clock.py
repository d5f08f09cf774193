"""The clocks, in whole microseconds, and the source of random numbers. Tests replace them."""

import random
import time
from collections.abc import Callable

_steady: Callable[[], int] = time.monotonic_ns
_wall: Callable[[], int] = time.time_ns
rng = random.Random()


def now_us() -> int:
    """The monotonic clock: for durations and leases within this process."""
    return _steady() // 1000


def wall_us() -> int:
    """The time of day, wrong by up to `clock_off_ms` of the settings: only for ages that outlive a
    process."""
    return _wall() // 1000


def age_us(at: int) -> int:
    """How long ago a time of day was; 0 if it seems to lie ahead, as clocks differ."""
    return max(0, wall_us() - at)


def replace_clocks(steady: Callable[[], int], wall: Callable[[], int], seed: int) -> None:
    """Replace both clocks, which return nanoseconds, and seed the random numbers."""
    global _steady, _wall
    _steady, _wall = steady, wall
    rng.seed(seed)
