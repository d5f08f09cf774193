"""Direct commands to workers."""

from basaltlead.clients.base import decode, encode
from basaltlead.net.http import Failed, Pool
from basaltlead.wire.workers import Command, Report


class Workers:
    """One connection a machine; a machine that does not answer holds up nobody else."""

    def __init__(self, timeout_us: int = 2_000_000) -> None:
        self.timeout_us = timeout_us
        self.pools: dict[str, Pool] = {}

    async def command(self, address: str, command: Command) -> tuple[bool, Report]:
        """(executed, the worker's report); `Failed` when there is no answer."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(address, limit=1, max_body=4 * 1024 * 1024)
        status, body = await pool.request("POST", "/do", encode(command), self.timeout_us)
        if status not in (200, 409):
            raise Failed(f"worker: {status}", sent=True)
        return status == 200, decode(body, Report)

    def forget(self, address: str) -> None:
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()
