"""Direct commands to workers."""

import asyncio
from collections.abc import Callable

from basaltlead.clients.codec import decode, encode
from basaltlead.errors import RequestFailed
from basaltlead.net.http import Pool
from basaltlead.wire.workers import DirectCommand, Heartbeat


class Workers:
    """One connection a machine at most; a machine that does not answer holds up nobody else.

    There may be far more machines than a controller has sockets: only so many are asked at once,
    and of the connections that rest, the one that was not used for longest is closed.
    """

    def __init__(
        self, most: int, room: Callable[[], int] | None = None, timeout_us: int = 2_000_000
    ) -> None:
        """`room` tells how many may be open now; fewer than `most` when others need them."""
        self.timeout_us = timeout_us
        self.most = most
        self.room = room or (lambda: most)
        self.pools: dict[str, Pool] = {}  # the least recently used first
        self.calls = asyncio.Semaphore(most)

    async def command(
        self, address: str, command: DirectCommand, still: Callable[[], bool] = lambda: True
    ) -> tuple[bool, Heartbeat]:
        """(executed, the worker's report); `RequestFailed` when there is no answer, or when the
        order is no longer ours to give once its turn has come."""
        async with self.calls:
            pool = self.pools.pop(address, None)
            if pool is None:
                pool = Pool(address, limit=1, max_body=4 * 1024 * 1024)
            self._preempt_for_task()
            self.pools[address] = pool
            status, body = await pool.request(
                "POST", "/do", encode(command), self.timeout_us, still
            )
        if status not in (200, 409):
            raise RequestFailed(f"worker: {status}", sent=True)
        return status == 200, decode(body, Heartbeat)

    def _preempt_for_task(self) -> None:
        while len(self.pools) >= min(self.most, self.room()) and self.close_idle():
            pass

    def close_idle(self) -> bool:
        """Close the connection that has rested for longest; False if all are in use."""
        idle = next((address for address, pool in self.pools.items() if not pool.busy), None)
        if idle is None:
            return False
        self.forget(idle)
        return True

    def forget(self, address: str) -> None:
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()
