"""Client of the workers: pushes commands outside heartbeats."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from basaltlead.clients.codec import decode, encode
from basaltlead.errors import RequestFailed
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import STATUS_CONFLICT, STATUS_OK
from basaltlead.wire.workers import DirectCommand, Heartbeat

TIMEOUT_US = 2_000_000
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class CommandResponse(NamedTuple):
    """A worker's response to pushed commands."""

    # False if the worker refused: it has seen a newer fencing token, or its epoch differs.
    executed: bool
    heartbeat: Heartbeat


class WorkerClient:
    """Connections to workers, one per machine, so that an unresponsive machine delays no other.

    There may be far more machines than a controller has sockets: the number of concurrent calls is
    limited, and the least recently used idle connections are closed.
    """

    def __init__(
        self,
        max_connections: int,
        sockets_available: Callable[[], int] | None = None,
        timeout_us: int = TIMEOUT_US,
    ) -> None:
        """Limit the connections to `max_connections`, or to the result of `sockets_available` if
        that is lower because sockets are needed elsewhere."""
        self.timeout_us = timeout_us
        self.max_connections = max_connections
        self.sockets_available = sockets_available or (lambda: max_connections)
        self.pools: dict[str, ConnectionPool] = {}  # the least recently used first
        self.call_slots = asyncio.Semaphore(max_connections)

    async def command(
        self, address: str, command: DirectCommand, may_send: Callable[[], bool] = lambda: True
    ) -> CommandResponse:
        """Push commands to a worker and wait for its response.

        `may_send` is called immediately before the request is sent. Raises `RequestFailed` if it
        returns False, or if there is no usable response.
        """
        async with self.call_slots:
            pool = self.pools.pop(address, None)
            if pool is None:
                pool = ConnectionPool(address, limit=1, max_response_bytes=MAX_RESPONSE_BYTES)
            self._close_excess_idle()
            self.pools[address] = pool
            status, body = await pool.request(
                "POST", "/do", encode(command), self.timeout_us, may_send
            )
        if status not in (STATUS_OK, STATUS_CONFLICT):
            raise RequestFailed(f"worker responded with status {status}", sent=True)
        return CommandResponse(status == STATUS_OK, decode(body, Heartbeat))

    def _close_excess_idle(self) -> None:
        """Close idle connections until one more fits into the limit."""
        while (
            len(self.pools) >= min(self.max_connections, self.sockets_available())
            and self.close_idle()
        ):
            pass

    def close_idle(self) -> bool:
        """Close the least recently used idle connection; return False if all are in use."""
        idle = next((address for address, pool in self.pools.items() if not pool.busy), None)
        if idle is None:
            return False
        self.forget(idle)
        return True

    def forget(self, address: str) -> None:
        """Close the connection to a machine that no longer exists."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()
