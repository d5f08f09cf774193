"""The cloud: machines by the second."""

from collections.abc import Callable
from urllib.parse import quote

from basaltlead.clients.base import Budget, decode, encode
from basaltlead.errors import NoCapacity, RequestFailed, RequestRejected, Unavailable
from basaltlead.net.http import Pool
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
REFUSALS = (400, 403, 404, 409, 413, 422)


class Cloud:
    """Calls to the cloud, inside this node's part of its rate."""

    def __init__(self, address: str, rps: float) -> None:
        self.pool = Pool(address, limit=6)
        self.unanswered_since = 0  # since when no call got any answer; 0: the last one did
        self.use_rate(rps)

    def use_rate(self, rps: float) -> None:
        """From now on take this part of the cloud's rate."""
        self.budget = Budget(max(0.2, rps * 0.85), burst=max(1.0, rps * 1.5))

    def reset_unanswered(self) -> None:
        """Measure anew for how long the cloud has not answered."""
        self.unanswered_since = 0

    async def _call(
        self, method: str, path: str, body: bytes = b"", still: Callable[[], bool] = lambda: True
    ) -> bytes:
        await self.budget.take()
        try:
            status, answer = await self.pool.request(method, path, body, TIMEOUT_US, still)
        except RequestFailed:
            self.unanswered_since = self.unanswered_since or now_us()
            raise
        self.unanswered_since = 0
        if status == 503 and b"no capacity" in answer:
            raise NoCapacity
        if status in (429, 503):
            raise Unavailable(f"cloud: {status}")
        if status in REFUSALS:
            raise RequestRejected(f"cloud: {status} {answer[:200]!r}", sent=True)
        if status != 200:
            raise RequestFailed(f"cloud: {status} {answer[:200]!r}", sent=True)
        return answer

    async def types(self) -> list[MachineTypeInfo]:
        return decode(await self._call("GET", "/machine_types"), MachineTypeList).types

    async def rent(self, request: RentRequest, still: Callable[[], bool]) -> list[str]:
        answer = await self._call("POST", "/machines", encode(request), still)
        return decode(answer, MachineNames).machines

    async def delete(self, names: list[str], still: Callable[[], bool]) -> None:
        await self._call("POST", "/machines/delete", encode(MachineNames(names)), still)

    async def machines(self) -> list[RentedMachine]:
        rented: list[RentedMachine] = []
        since = ""
        while True:
            path = "/machines?Most=500" + (f"&Since={quote(since)}" if since else "")
            page = decode(await self._call("GET", path), MachinePage)
            rented += page.machines
            if not page.more or not page.machines:
                return rented
            since = page.machines[-1].name
