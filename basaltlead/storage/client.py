"""The client of the key-value store, a small consistent store with transactions and leases."""

from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import quote

import msgspec

from basaltlead.clients.codec import decode, encode
from basaltlead.clients.rate_limiter import RateLimiter
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    RevisionCompacted,
    SessionLeaseExpired,
    TransactionTooLarge,
    Unavailable,
)
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_CREATED,
    STATUS_GONE,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    ClientResponse,
)
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

PAGE_ROWS = 500  # rows in one answer
CONNECTIONS = 24
WATCH_CONNECTIONS = 8
RENEWAL_CONNECTIONS = 4
# Of the allowed rates, the parts that all controllers together use.
REQUESTS_SHARE = 0.8
WRITES_SHARE = 0.85
SINGLE_WRITER_SHARE = 0.6  # of the writes, what the only shard leader uses
CALL_TIMEOUT_US = 1_500_000  # deadlines
PAGE_TIMEOUT_US = 2_500_000
WATCH_TIMEOUT_MARGIN_US = (
    2_000_000  # of a watch, in addition to the time that the store may hold it
)

STATUSES_UNAVAILABLE = (STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE)


class RowList(NamedTuple):
    """All rows under a prefix, and a revision from which to watch without a gap."""

    rows: list[Row]
    revision: int


class KeyValueStore:
    """Calls with a deadline each, inside this controller's part of the store's limits.

    Every call raises `RequestFailed` if there was no usable answer, and `Unavailable` if the store
    refused it for now. Renewals of the session lease don't count against the budget: they must
    never wait behind other requests.
    """

    def __init__(self, address: str, limits: StoreLimits, nodes: int, writers: int) -> None:
        """`nodes` is the number of controllers, `writers` that of those that lead a shard."""
        self.limits = limits
        self.pool = ConnectionPool(address, limit=CONNECTIONS)
        self.watch_pool = ConnectionPool(address, limit=WATCH_CONNECTIONS)
        self.renewal_pool = ConnectionPool(address, limit=RENEWAL_CONNECTIONS)
        self.request_limiter = RateLimiter(max(1.0, limits.rps * REQUESTS_SHARE / nodes))
        # Shard leaders store results; all others only what users request now and then.
        share = SINGLE_WRITER_SHARE if writers == 1 else 1 / writers
        rate = limits.write_rps * WRITES_SHARE * share
        self.write_limiter = RateLimiter(max(0.5, rate), burst=max(1.0, rate))

    def queue_delay_s(self, writing: bool) -> float:
        """How many seconds a user's request would have to wait for its turn."""
        waits = self.request_limiter.queue_delay_s()
        return max(waits, self.write_limiter.queue_delay_s()) if writing else waits

    async def _call(
        self, method: str, path: str, raw: bytes = b"", timeout_us: int = CALL_TIMEOUT_US
    ) -> ClientResponse:
        await self.request_limiter.take()
        return self._checked(await self.pool.request(method, path, raw, timeout_us))

    @staticmethod
    def _checked(answer: ClientResponse) -> ClientResponse:
        if answer.status in STATUSES_UNAVAILABLE:
            raise Unavailable(f"state service: {answer.status}")
        return answer

    async def get(self, key: str) -> Row | None:
        """The row of a key, None if it is not there."""
        status, body = await self._call("GET", f"/kv/{quote(key)}")
        if status == STATUS_NOT_FOUND:
            decode(body, _Missing)
            return None
        if status != STATUS_OK:
            raise RequestFailed(f"get: {status}", sent=True)
        return decode(body, Row)

    async def page(self, prefix: str, since: str = "", limit: int = PAGE_ROWS) -> Rows:
        """At most so many rows under a prefix, those after the key `since`."""
        path = f"/kv?Starts={quote(prefix, safe='/')}&Most={limit}"
        if since:
            path += f"&Since={quote(since, safe='/')}"
        status, body = await self._call("GET", path, timeout_us=PAGE_TIMEOUT_US)
        if status != STATUS_OK:
            raise RequestFailed(f"list: {status}", sent=True)
        return decode(body, Rows)

    async def rows(self, prefix: str) -> RowList:
        """All rows under a prefix, page by page.

        The revision is that of the first page: what changed while the later ones were read is
        seen again by a watch from there.
        """
        first = page = await self.page(prefix)
        rows = list(page.rows)
        while page.more and page.rows:
            page = await self.page(prefix, since=page.rows[-1].key)
            rows += page.rows
        return RowList(rows, first.revision)

    async def compare_and_swap(
        self,
        preconditions: list[Precondition],
        apply: Sequence[Put | Drop],
        low_priority: bool = False,
    ) -> int:
        """Make all changes if every precondition holds; the revision, which is the version of the
        keys that were written.

        Raises `PreconditionFailed`, `SessionLeaseExpired` or `TransactionTooLarge` if nothing was
        changed, and `RequestFailed` with `sent` if it may have been.

        With `low_priority`, for bookkeeping, it waits until half of the write budget is free: with
        hundreds of machines bookkeeping alone would fill the limit on writes, and users'
        submissions and cancellations go first.
        """
        raw = self._encoded(preconditions, apply)
        take = self.write_limiter.take_low_priority if low_priority else self.write_limiter.take
        await take(max(1, len(apply)))
        status, body = await self._call("POST", "/multi", raw)
        if status == STATUS_OK:
            return decode(body, Outcome).revision
        if status == STATUS_CONFLICT:
            raise PreconditionFailed(decode(body, Outcome).failed)
        if status == STATUS_BAD_REQUEST and b"no such lease" in body:
            raise SessionLeaseExpired
        raise RequestFailed(f"multi: {status} {body[:200]!r}", sent=True)

    def _encoded(self, preconditions: list[Precondition], apply: Sequence[Put | Drop]) -> bytes:
        """The transaction's body. Raises `TransactionTooLarge` if it breaks a limit."""
        value_sizes: list[int] = []
        changes: list[Put | Drop] = []
        for change in apply:
            if isinstance(change, Put):
                value = encode(change.value)
                value_sizes.append(len(value))
                changes.append(Put(change.key, msgspec.Raw(value), change.session_lease))
            else:
                changes.append(change)
        raw = encode(Transaction(preconditions, changes))
        limit_error = self.limits.limit_error(len(preconditions), len(apply), value_sizes, len(raw))
        if limit_error:
            raise TransactionTooLarge(limit_error)
        return raw

    async def changes(self, prefix: str, since: int, hold_ms: int) -> Changes:
        """What changed under a prefix after the revision `since`; the store answers at the first
        change, or without one after `hold_ms`.

        Raises `RevisionCompacted` if the store no longer keeps the changes from there on.
        """
        await self.request_limiter.take()
        status, body = self._checked(
            await self.watch_pool.request(
                "GET",
                f"/changes?Starts={quote(prefix, safe='/')}&Since={since}&HoldMs={hold_ms}",
                timeout_us=hold_ms * 1000 + WATCH_TIMEOUT_MARGIN_US,
            )
        )
        if status == STATUS_GONE:
            raise RevisionCompacted
        if status != STATUS_OK:
            raise RequestFailed(f"changes: {status}", sent=True)
        return decode(body, Changes)

    async def create_lease(self, ttl_us: int) -> int:
        """The number of a new lease, valid for `ttl_us` from some time after this was sent."""
        status, body = self._checked(
            await self.renewal_pool.request("POST", "/holds", encode({"TtlMs": ttl_us // 1000}))
        )
        if status not in (STATUS_OK, STATUS_CREATED):
            raise RequestFailed(f"session lease: {status}", sent=True)
        return decode(body, SessionLease).session_lease

    async def renew_lease(self, session_lease: int, timeout_us: int) -> None:
        """Let a lease last its whole time again. Raises `SessionLeaseExpired` if it has ended."""
        status, _ = self._checked(
            await self.renewal_pool.request(
                "POST", f"/holds/{session_lease}/touch", b"", timeout_us
            )
        )
        if status == STATUS_NOT_FOUND:
            raise SessionLeaseExpired
        if status != STATUS_OK:
            raise RequestFailed(f"touch: {status}", sent=True)


class _Missing(msgspec.Struct, rename={"revision": "Ledger"}):
    """The body of the key-value store's own 404: only that proves that a key is not there."""

    revision: int
