"""Direct commands to workers."""

import asyncio

from basaltlead.clients.base import decode, encode
from basaltlead.net.http import Failed, Pool
from basaltlead.wire.workers import Command, Report


class Workers:
    """One connection a machine at most; a machine that does not answer holds up nobody else.

    There may be far more machines than a controller has sockets: only so many are asked at once,
    and of the connections that rest, the one that was not used for longest is closed.
    """

    def __init__(self, most: int, timeout_us: int = 2_000_000) -> None:
        self.timeout_us = timeout_us
        self.most = most
        self.pools: dict[str, Pool] = {}  # the least recently used first
        self.calls = asyncio.Semaphore(most)

    async def command(self, address: str, command: Command) -> tuple[bool, Report]:
        """(executed, the worker's report); `Failed` when there is no answer."""
        async with self.calls:
            pool = self.pools.pop(address, None)
            if pool is None:
                pool = Pool(address, limit=1, max_body=4 * 1024 * 1024)
            self.pools[address] = pool
            self._make_room()
            status, body = await pool.request("POST", "/do", encode(command), self.timeout_us)
        if status not in (200, 409):
            raise Failed(f"worker: {status}", sent=True)
        return status == 200, decode(body, Report)

    def _make_room(self) -> None:
        for address, pool in list(self.pools.items()):
            if len(self.pools) <= self.most:
                return
            if not pool.busy:
                self.forget(address)

    def forget(self, address: str) -> None:
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()
