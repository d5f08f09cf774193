"""Pauses between attempts at a call that keeps failing."""

import asyncio
import random


class Backoff:
    """Pauses that double up to a bound, with jitter, in microseconds.

    The jitter (half of the pause to all of it) keeps controllers that failed together from trying
    again together.
    """

    def __init__(self, min_us: int, max_us: int, rng: random.Random) -> None:
        self.min_us = min_us
        self.max_us = max_us
        self.rng = rng
        self.pause_us = min_us

    def reset(self) -> None:
        """Begin with the shortest pause again, after an attempt that succeeded."""
        self.pause_us = self.min_us

    def next_us(self) -> int:
        """The length of the next pause; the one after it is twice as long."""
        pause_us = self.pause_us
        self.pause_us = min(self.max_us, pause_us * 2)
        return int(pause_us * self.rng.uniform(0.5, 1.0))

    async def wait(self) -> None:
        """Sleep for the next pause."""
        await asyncio.sleep(self.next_us() / 1e6)
