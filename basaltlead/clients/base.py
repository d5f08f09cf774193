"""What every client shares: rate budgets, backoff with jitter, checked answers."""

import asyncio
import random
from typing import Any, TypeVar

import msgspec

from basaltlead.errors import RequestFailed

T = TypeVar("T")


class Budget:
    """A rate with a burst of one second's worth (a leaky bucket in time units)."""

    def __init__(self, rate: float, burst: float | None = None) -> None:
        self.rate = rate
        self.gap = 1.0 / rate
        self.depth = (burst if burst is not None else rate) * self.gap
        self.full_at = 0.0
        self.line = asyncio.Lock()  # of those who can wait

    def behind_s(self) -> float:
        """How long the next to come would have to wait."""
        late = self.full_at - asyncio.get_running_loop().time() - self.depth
        return max(0.0, late + self.gap)

    async def take(self, amount: float = 1.0) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.full_at = max(self.full_at, now) + amount * self.gap
        wait = self.full_at - now - self.depth
        if wait > 0:
            await asyncio.sleep(wait)

    async def spare(self, amount: float = 1.0) -> None:
        """For what can wait: one at a time, and only while half of the burst is left, so that
        whoever calls `take` meanwhile finds no queue before it."""
        loop = asyncio.get_running_loop()
        async with self.line:
            while True:
                now = loop.time()
                used = max(self.full_at, now) - now
                wait = used - max(0.0, self.depth / 2 - amount * self.gap)
                if wait <= 1e-6:
                    break
                await asyncio.sleep(max(wait, 0.001))  # timers are no finer
            self.full_at = max(self.full_at, now) + amount * self.gap


class Backoff:
    """Doubling pauses with jitter, in microseconds."""

    def __init__(self, low_us: int, high_us: int, chance: random.Random) -> None:
        self.low_us = low_us
        self.high_us = high_us
        self.chance = chance
        self.pause = low_us

    def reset(self) -> None:
        self.pause = self.low_us

    def next_us(self) -> int:
        pause = self.pause
        self.pause = min(self.high_us, pause * 2)
        return int(pause * self.chance.uniform(0.5, 1.0))

    async def rest(self) -> None:
        await asyncio.sleep(self.next_us() / 1e6)


def decode(body: bytes, message_type: type[T]) -> T:
    """An answer as its type; a malformed one counts as no answer."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise RequestFailed(f"malformed answer: {fault}", sent=True) from None


def encode(value: Any) -> bytes:
    """A message or record as the JSON text that is sent or stored."""
    return msgspec.json.encode(value)
