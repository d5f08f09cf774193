"""Exponential backoff between attempts of a call that fails."""

import asyncio
import random


class Backoff:
    """Exponential backoff with jitter, in microseconds.

    The delay doubles up to a maximum. Each pause is between half of the delay and all of it, so
    that controllers that failed together don't retry together.
    """

    def __init__(self, min_us: int, max_us: int, rng: random.Random) -> None:
        self.min_us = min_us
        self.max_us = max_us
        self.rng = rng
        self.pause_us = min_us

    def reset(self) -> None:
        """Return to the shortest delay, after an attempt that succeeded."""
        self.pause_us = self.min_us

    def next_us(self) -> int:
        """Return the length of the next pause, and double the delay for the one after it."""
        pause_us = self.pause_us
        self.pause_us = min(self.max_us, pause_us * 2)
        return int(pause_us * self.rng.uniform(0.5, 1.0))

    async def wait(self) -> None:
        """Sleep for the next pause."""
        await asyncio.sleep(self.next_us() / 1e6)
