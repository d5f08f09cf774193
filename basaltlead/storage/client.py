"""Client of the key-value store, a small consistent store with transactions and leases."""

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

PAGE_ROWS = 500  # most rows in one response
CONNECTIONS = 24
WATCH_CONNECTIONS = 8
RENEWAL_CONNECTIONS = 4
# Fractions of the store's rate limits that all controllers together use.
REQUESTS_SHARE = 0.8
WRITES_SHARE = 0.85
# Fraction of these writes that each controller may use if only one of them leads a shard.
SINGLE_WRITER_SHARE = 0.6
CALL_TIMEOUT_US = 1_500_000
PAGE_TIMEOUT_US = 2_500_000
WATCH_TIMEOUT_MARGIN_US = 2_000_000  # added to the time for which the store may hold a watch

STATUSES_UNAVAILABLE = (STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE)


class RowList(NamedTuple):
    """All rows under a prefix, and the revision from which a watch misses no change."""

    rows: list[Row]
    revision: int


class KeyValueStore:
    """Calls to the store, each with a timeout and within this controller's share of the limits.

    Every call raises `RequestFailed` if there was no usable response, and `Unavailable` if the
    store rejected it temporarily. Requests for the session lease bypass the rate limiter, so that a
    renewal never queues behind other requests.
    """

    def __init__(self, address: str, limits: StoreLimits, nodes: int, writers: int) -> None:
        """`nodes` is the number of controllers, `writers` the number of those that lead a shard."""
        self.limits = limits
        self.pool = ConnectionPool(address, limit=CONNECTIONS)
        self.watch_pool = ConnectionPool(address, limit=WATCH_CONNECTIONS)
        self.renewal_pool = ConnectionPool(address, limit=RENEWAL_CONNECTIONS)
        self.request_limiter = RateLimiter(max(1.0, limits.rps * REQUESTS_SHARE / nodes))
        # Shard leaders store results; other controllers write only on users' requests.
        share = SINGLE_WRITER_SHARE if writers == 1 else 1 / writers
        rate = limits.write_rps * WRITES_SHARE * share
        self.write_limiter = RateLimiter(max(0.5, rate), burst=max(1.0, rate))

    def queue_delay_s(self, writing: bool) -> float:
        """Return how many seconds a user's request would wait for the rate limiters."""
        waits = self.request_limiter.queue_delay_s()
        return max(waits, self.write_limiter.queue_delay_s()) if writing else waits

    async def _call(
        self, method: str, path: str, raw: bytes = b"", timeout_us: int = CALL_TIMEOUT_US
    ) -> ClientResponse:
        await self.request_limiter.take()
        return self._checked(await self.pool.request(method, path, raw, timeout_us))

    @staticmethod
    def _checked(response: ClientResponse) -> ClientResponse:
        if response.status in STATUSES_UNAVAILABLE:
            raise Unavailable(f"state service: {response.status}")
        return response

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if the key does not exist."""
        status, body = await self._call("GET", f"/kv/{quote(key)}")
        if status == STATUS_NOT_FOUND:
            decode(body, _Missing)
            return None
        if status != STATUS_OK:
            raise RequestFailed(f"get failed with status {status}", sent=True)
        return decode(body, Row)

    async def page(self, prefix: str, since: str = "", limit: int = PAGE_ROWS) -> Rows:
        """Return at most `limit` rows under a prefix, beginning after the key `since`."""
        path = f"/kv?Starts={quote(prefix, safe='/')}&Most={limit}"
        if since:
            path += f"&Since={quote(since, safe='/')}"
        status, body = await self._call("GET", path, timeout_us=PAGE_TIMEOUT_US)
        if status != STATUS_OK:
            # The command `duties` prints this text, so the wording must not change.
            raise RequestFailed(f"list: {status}", sent=True)
        return decode(body, Rows)

    async def rows(self, prefix: str) -> RowList:
        """Read all rows under a prefix, page by page.

        The revision is that of the first page, so a watch from it also reports the changes that
        were made while later pages were read.
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
        changes: Sequence[Put | Drop],
        low_priority: bool = False,
    ) -> int:
        """Apply all changes if every precondition holds.

        Returns the new revision, which is also the version of the written keys. Raises
        `PreconditionFailed`, `SessionLeaseExpired` or `TransactionTooLarge` if nothing was changed,
        and `RequestFailed` with `sent` set if the changes may have been applied.

        With `low_priority`, the call waits until half of the write burst is free. This is meant for
        bookkeeping, which with hundreds of machines would fill the write limit by itself: users'
        submissions and cancellations go first.
        """
        raw = self._encoded(preconditions, changes)
        take = self.write_limiter.take_low_priority if low_priority else self.write_limiter.take
        await take(max(1, len(changes)))
        status, body = await self._call("POST", "/multi", raw)
        if status == STATUS_OK:
            return decode(body, Outcome).revision
        if status == STATUS_CONFLICT:
            raise PreconditionFailed(decode(body, Outcome).failed)
        if status == STATUS_BAD_REQUEST and b"no such lease" in body:
            raise SessionLeaseExpired
        raise RequestFailed(f"transaction failed with status {status}: {body[:200]!r}", sent=True)

    def _encoded(self, preconditions: list[Precondition], changes: Sequence[Put | Drop]) -> bytes:
        """Return the request body of a transaction. Raises `TransactionTooLarge` if it exceeds a
        limit."""
        value_sizes: list[int] = []
        encoded_changes: list[Put | Drop] = []
        for change in changes:
            if isinstance(change, Put):
                value = encode(change.value)
                value_sizes.append(len(value))
                encoded_changes.append(Put(change.key, msgspec.Raw(value), change.session_lease))
            else:
                encoded_changes.append(change)
        raw = encode(Transaction(preconditions, encoded_changes))
        limit_error = self.limits.limit_error(
            len(preconditions), len(changes), value_sizes, len(raw)
        )
        if limit_error:
            raise TransactionTooLarge(limit_error)
        return raw

    async def changes(self, prefix: str, since: int, hold_ms: int) -> Changes:
        """Watch a prefix for changes after the revision `since`.

        The store responds at the first change, or with no changes after `hold_ms`. Raises
        `RevisionCompacted` if the store no longer retains all changes since that revision.
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
            raise RequestFailed(f"watch failed with status {status}", sent=True)
        return decode(body, Changes)

    async def create_lease(self, ttl_us: int) -> int:
        """Create a lease and return its number. The store counts `ttl_us` from when it handles the
        request."""
        status, body = self._checked(
            await self.renewal_pool.request("POST", "/holds", encode({"TtlMs": ttl_us // 1000}))
        )
        if status not in (STATUS_OK, STATUS_CREATED):
            raise RequestFailed(f"creating a session lease failed with status {status}", sent=True)
        return decode(body, SessionLease).session_lease

    async def renew_lease(self, session_lease: int, timeout_us: int) -> None:
        """Restart the time to live of a lease. Raises `SessionLeaseExpired` if it has expired."""
        status, _ = self._checked(
            await self.renewal_pool.request(
                "POST", f"/holds/{session_lease}/touch", b"", timeout_us
            )
        )
        if status == STATUS_NOT_FOUND:
            raise SessionLeaseExpired
        if status != STATUS_OK:
            raise RequestFailed(f"renewing a session lease failed with status {status}", sent=True)


class _Missing(msgspec.Struct, rename={"revision": "Ledger"}):
    """The body of the store's own 404, which proves that the key does not exist. A 404 from
    elsewhere has no such body."""

    revision: int
