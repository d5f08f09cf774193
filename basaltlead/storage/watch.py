"""Following the keys under a prefix of the key-value store: a list, then a watch for changes."""

from collections.abc import Callable, Iterable

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.errors import RevisionCompacted, ServiceError
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore, RowList
from basaltlead.wire.store import Change

MIN_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 1_000_000

LoadRows = Callable[[RowList], None]
ApplyChange = Callable[[Change], None]
AfterRead = Callable[[int, bool], None]
BeforeList = Callable[[], None]
KnownKeys = Callable[[], Iterable[str]]
PutRow = Callable[[str, msgspec.Raw, int], None]
DropRow = Callable[[str], None]


def _ignore_request() -> None:
    """Default for callers that need not act before a list is requested."""


def _no_keys() -> Iterable[str]:
    """Default for callers that know rows from their watch only."""
    return ()


def _ignore_read(sent_at: int, has_changes: bool) -> None:
    """Default for callers that don't track the age of their view."""


class KeyWatch:
    """Follows the keys under one prefix, and lists them again if changes were missed."""

    def __init__(
        self, store: KeyValueStore, prefix: str, hold_ms: int, revision: int | None = None
    ) -> None:
        """Create a watch of `prefix`.

        `hold_ms` is how long the store may hold a request when nothing changes. `revision` is the
        revision of a list that the caller has already read: the watch then starts there.
        """
        self.store = store
        self.prefix = prefix
        self.hold_ms = hold_ms
        self.revision = revision

    async def run(
        self,
        load: LoadRows,
        apply: ApplyChange,
        after_read: AfterRead = _ignore_read,
        before_list: BeforeList = _ignore_request,
    ) -> None:
        """Follow the keys; never returns.

        `load` receives all rows of a list, and `apply` each change after it. `after_read` is called
        after each successful list or watch, with the time at which the request was *sent* and
        whether it returned changes: only changes made before that time are certain to be known.
        `before_list` is called before each request for a list: a row that exists then and is
        missing from the list has been deleted, since no later change will say so.
        """
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, rng)
        while True:
            try:
                if self.revision is None:
                    before_list()
                    sent_at = now_us()
                    listing = await self.store.rows(self.prefix)
                    self.revision = listing.revision
                    load(listing)
                    after_read(sent_at, True)
                sent_at = now_us()
                changes = await self.store.changes(self.prefix, self.revision, self.hold_ms)
                for change in changes.log:
                    apply(change)
                self.revision = max(self.revision, changes.revision)
                after_read(sent_at, bool(changes.log))
                backoff.reset()
            except RevisionCompacted:
                self.revision = None
            except ServiceError as error:
                log.debug("watch of %s failed: %s", self.prefix, error)
                await backoff.wait()


class _RowFollower:
    """Tells a caller row by row what a `KeyWatch` reads."""

    def __init__(self, put: PutRow, drop: DropRow, known: KnownKeys) -> None:
        self._put = put
        self._drop = drop
        self._known = known
        self._keys: set[str] = set()  # of the rows that are stored as far as is known

    async def run(self, watch: KeyWatch) -> None:
        """Follow the keys of the watch; never returns."""
        await watch.run(self._load, self._apply, before_list=self._before_list)

    def _before_list(self) -> None:
        self._keys.update(self._known())

    def _load(self, listing: RowList) -> None:
        for key in self._keys - {row.key for row in listing.rows}:
            self._drop(key)
        self._keys.clear()
        for row in listing.rows:
            self._keys.add(row.key)
            self._put(row.key, row.value, row.version)

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self._keys.add(change.put)
            self._put(change.put, change.value, change.version)
        elif change.drop is not None:
            self._keys.discard(change.drop)
            self._drop(change.drop)


async def follow_rows(
    store: KeyValueStore,
    prefix: str,
    hold_ms: int,
    put: PutRow,
    drop: DropRow,
    known: KnownKeys = _no_keys,
) -> None:
    """Follow the keys under a prefix row by row; never returns.

    `put` receives key, value and version of each listed or changed row, and `drop` the key of each
    deleted row. `known` returns the keys of rows that the caller knows to be stored from elsewhere,
    such as those that it has written itself: a row that it writes while the first list fails may be
    deleted before that list succeeds, and no change tells of it
    (test_request_without_capacity_is_not_awaited_if_it_ends_before_the_first_listing).
    """
    await _RowFollower(put, drop, known).run(KeyWatch(store, prefix, hold_ms))
