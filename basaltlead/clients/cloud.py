"""Client of the cloud, which rents out machines by the second."""

from collections.abc import Callable
from urllib.parse import quote

from basaltlead.clients.codec import decode, encode
from basaltlead.clients.rate_limiter import RateLimiter
from basaltlead.errors import NoCapacity, RequestFailed, RequestRejected, Unavailable
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_FORBIDDEN,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TOO_LARGE,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    STATUS_UNPROCESSABLE,
)
from basaltlead.runtime.clock import now_us
from basaltlead.wire.cloud import (
    MachineNames,
    MachinePage,
    MachineTypeInfo,
    MachineTypeList,
    RentedMachine,
    RentRequest,
)

TIMEOUT_US = 4_000_000
CONNECTIONS = 6
RATE_SHARE = 0.85  # fraction of this controller's share of the allowed rate
MIN_RATE = 0.2
BURST_S = 1.5  # burst, in seconds at this controller's share of the rate
STATUSES_UNAVAILABLE = (STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE)
STATUSES_REJECTED = (
    STATUS_BAD_REQUEST,
    STATUS_FORBIDDEN,
    STATUS_NOT_FOUND,
    STATUS_CONFLICT,
    STATUS_TOO_LARGE,
    STATUS_UNPROCESSABLE,
)


class Cloud:
    """Calls to the cloud, within this controller's share of the allowed rate.

    Every call raises `RequestFailed` if there was no usable response, `RequestRejected` if the
    cloud rejected the request as invalid, and `Unavailable` if it rejected it temporarily.
    """

    def __init__(self, address: str, rps: float) -> None:
        self.pool = ConnectionPool(address, limit=CONNECTIONS)
        # Start of the period without any response, in microseconds; 0 if the last call got one.
        self.unanswered_since = 0
        self.set_rate(rps)

    def set_rate(self, rps: float) -> None:
        """Set this controller's share of the cloud's rate limit, in calls per second."""
        self.rate_limiter = RateLimiter(
            max(MIN_RATE, rps * RATE_SHARE), burst=max(1.0, rps * BURST_S)
        )

    def reset_unanswered(self) -> None:
        """Restart the measurement of how long the cloud has not responded."""
        self.unanswered_since = 0

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        may_send: Callable[[], bool] = lambda: True,
    ) -> bytes:
        await self.rate_limiter.take()
        try:
            status, response = await self.pool.request(method, path, body, TIMEOUT_US, may_send)
        except RequestFailed:
            self.unanswered_since = self.unanswered_since or now_us()
            raise
        self.unanswered_since = 0
        if status == STATUS_UNAVAILABLE and b"no capacity" in response:
            raise NoCapacity
        if status in STATUSES_UNAVAILABLE:
            raise Unavailable(f"cloud: {status}")
        if status in STATUSES_REJECTED:
            raise RequestRejected(f"cloud: {status} {response[:200]!r}", sent=True)
        if status != STATUS_OK:
            raise RequestFailed(f"cloud: {status} {response[:200]!r}", sent=True)
        return response

    async def types(self) -> list[MachineTypeInfo]:
        """Return all machine types with their current prices."""
        return decode(await self._call("GET", "/machine_types"), MachineTypeList).types

    async def rent(self, request: RentRequest, may_send: Callable[[], bool]) -> list[str]:
        """Rent machines and return their names, which may be fewer than requested.

        Idempotent: the same request, sent again, returns the same machines. `may_send` is called
        immediately before the request is sent. Raises `NoCapacity` if no such machine is available.
        """
        response = await self._call("POST", "/machines", encode(request), may_send)
        return decode(response, MachineNames).machines

    async def delete(self, names: list[str], may_send: Callable[[], bool]) -> None:
        """Return machines to the cloud. `may_send` is called immediately before the request is
        sent."""
        await self._call("POST", "/machines/delete", encode(MachineNames(names)), may_send)

    async def machines(self) -> list[RentedMachine]:
        """Return all rented machines, read page by page; the cloud's list may be out of date."""
        rented: list[RentedMachine] = []
        since = ""
        while True:
            path = "/machines?Most=500" + (f"&Since={quote(since)}" if since else "")
            page = decode(await self._call("GET", path), MachinePage)
            rented += page.machines
            if not page.more or not page.machines:
                return rented
            since = page.machines[-1].name
