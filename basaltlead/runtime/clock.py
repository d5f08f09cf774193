"""What a process takes from the outside without asking anybody: two clocks, in whole
microseconds, and chance. Tests put their own in place."""

import random
import time
from collections.abc import Callable

_steady: Callable[[], int] = time.monotonic_ns
_wall: Callable[[], int] = time.time_ns
chance = random.Random()


def now_us() -> int:
    """The steady clock: for spans and leases."""
    return _steady() // 1000


def wall_us() -> int:
    """The time of day, off by up to what the settings say: for ages that outlive a process."""
    return _wall() // 1000


def age_us(at: int) -> int:
    """How long ago a time of day was, which may be off a little."""
    return max(0, wall_us() - at)


def use(steady: Callable[[], int], wall: Callable[[], int], seed: int) -> None:
    """Take other sources, in nanoseconds."""
    global _steady, _wall
    _steady, _wall = steady, wall
    chance.seed(seed)
