"""The key-value store: a small consistent key-value store."""

from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from basaltlead.clients.codec import decode, encode
from basaltlead.clients.rate_budget import RateBudget
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    RevisionCompacted,
    SessionLeaseExpired,
    TransactionTooLarge,
    Unavailable,
)
from basaltlead.net.http import Pool
from basaltlead.storage.limits import StoreLimits
from basaltlead.wire.store import (
    Changes,
    Drop,
    Outcome,
    Precondition,
    Put,
    Row,
    Rows,
    SessionLease,
    Transaction,
)

PAGE = 500


class KeyValueStore:
    """Calls with a deadline each, inside this node's part of the limits.

    Renewals of the session lease pass the budget by: they must never wait behind other requests.
    """

    def __init__(self, address: str, limits: StoreLimits, nodes: int, writers: int) -> None:
        self.limits = limits
        self.pool = Pool(address, limit=24)
        self.watches = Pool(address, limit=8)
        self.renewals = Pool(address, limit=4)
        self.requests = RateBudget(max(1.0, limits.rps * 0.8 / nodes))
        # Owners store results; all others only what users ask for now and then.
        rate = limits.write_rps * 0.85 * (0.6 if writers == 1 else 1 / writers)
        self.writes = RateBudget(max(0.5, rate), burst=max(1.0, rate))

    def queue_delay_s(self, writing: bool) -> float:
        """How long a user's request would have to wait for its turn."""
        waits = self.requests.queue_delay_s()
        return max(waits, self.writes.queue_delay_s()) if writing else waits

    async def _call(
        self, method: str, path: str, raw: bytes = b"", timeout_us: int = 1_500_000
    ) -> tuple[int, bytes]:
        await self.requests.take()
        return self._checked(await self.pool.request(method, path, raw, timeout_us))

    @staticmethod
    def _checked(answer: tuple[int, bytes]) -> tuple[int, bytes]:
        if answer[0] in (429, 503):
            raise Unavailable(f"state service: {answer[0]}")
        return answer

    async def get(self, key: str) -> Row | None:
        status, body = await self._call("GET", f"/kv/{quote(key)}")
        if status == 404:
            decode(body, _Missing)
            return None
        if status != 200:
            raise RequestFailed(f"get: {status}", sent=True)
        return decode(body, Row)

    async def page(self, prefix: str, since: str = "", most: int = PAGE) -> Rows:
        path = f"/kv?Starts={quote(prefix, safe='/')}&Most={most}"
        if since:
            path += f"&Since={quote(since, safe='/')}"
        status, body = await self._call("GET", path, timeout_us=2_500_000)
        if status != 200:
            raise RequestFailed(f"list: {status}", sent=True)
        return decode(body, Rows)

    async def rows(self, prefix: str) -> tuple[list[Row], int]:
        """All rows under a prefix, and a revision from which to watch without a gap."""
        first = page = await self.page(prefix)
        rows = list(page.rows)
        while page.more and page.rows:
            page = await self.page(prefix, since=page.rows[-1].key)
            rows += page.rows
        return rows, first.revision

    async def compare_and_swap(
        self,
        preconditions: list[Precondition],
        apply: Sequence[Put | Drop],
        low_priority: bool = False,
    ) -> int:
        """One transaction; its revision. Raises Conflict, SessionLeaseExpired or Unavailable, and
        Failed if it may have been executed.

        Bookkeeping can wait: with hundreds of machines it alone would fill the limit on writes,
        and users' submissions and cancellations go first."""
        raw = self._encoded(preconditions, apply)
        turn = self.writes.take_low_priority if low_priority else self.writes.take
        await turn(max(1, len(apply)))
        status, body = await self._call("POST", "/multi", raw)
        if status == 200:
            return decode(body, Outcome).revision
        if status == 409:
            raise PreconditionFailed(decode(body, Outcome).failed)
        if status == 400 and b"no such lease" in body:
            raise SessionLeaseExpired
        raise RequestFailed(f"multi: {status} {body[:200]!r}", sent=True)

    def _encoded(self, preconditions: list[Precondition], apply: Sequence[Put | Drop]) -> bytes:
        """The transaction's body. Raises TooLarge if it breaks a limit."""
        values: list[int] = []
        changes: list[Put | Drop] = []
        for change in apply:
            if isinstance(change, Put):
                value = encode(change.value)
                values.append(len(value))
                change = Put(change.key, msgspec.Raw(value), change.session_lease)
            changes.append(change)
        raw = encode(Transaction(preconditions, changes))
        excess = self.limits.excess(len(preconditions), len(apply), values, len(raw))
        if excess:
            raise TransactionTooLarge(excess)
        return raw

    async def changes(self, prefix: str, since: int, hold_ms: int) -> Changes:
        await self.requests.take()
        status, body = self._checked(
            await self.watches.request(
                "GET",
                f"/changes?Starts={quote(prefix, safe='/')}&Since={since}&HoldMs={hold_ms}",
                timeout_us=hold_ms * 1000 + 2_000_000,
            )
        )
        if status == 410:
            raise RevisionCompacted
        if status != 200:
            raise RequestFailed(f"changes: {status}", sent=True)
        return decode(body, Changes)

    async def create_lease(self, ttl_us: int) -> int:
        status, body = self._checked(
            await self.renewals.request("POST", "/holds", encode({"TtlMs": ttl_us // 1000}))
        )
        if status not in (200, 201):
            raise RequestFailed(f"session lease: {status}", sent=True)
        return decode(body, SessionLease).session_lease

    async def renew_lease(self, session_lease: int, timeout_us: int) -> None:
        status, _ = self._checked(
            await self.renewals.request("POST", f"/holds/{session_lease}/touch", b"", timeout_us)
        )
        if status == 404:
            raise SessionLeaseExpired
        if status != 200:
            raise RequestFailed(f"touch: {status}", sent=True)


class _Missing(msgspec.Struct, rename={"revision": "Ledger"}):
    """The body of the key-value store's own 404: only that proves that a key is not there."""

    revision: int
