"""Following the keys under a prefix of the key-value store: list them, then watch for changes."""

from collections.abc import Callable, Iterable

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.errors import RevisionCompacted, ServiceError
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Change, Row

MIN_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 1_000_000

LoadRows = Callable[[list[Row]], None]
ApplyChange = Callable[[Change], None]
AfterRead = Callable[[int, bool], None]


def _ignore_read(sent_at: int, has_changes: bool) -> None:
    """For followers that do not need to know how old their view is."""


class KeyWatch:
    """Follows the keys under one prefix, and lists them again whenever changes were missed."""

    def __init__(
        self, store: KeyValueStore, prefix: str, hold_ms: int, revision: int | None = None
    ) -> None:
        """`hold_ms` is how long the store may hold a request without news. With a `revision`, that
        of a list which the caller has read itself, the watch begins there, without a list."""
        self.store = store
        self.prefix = prefix
        self.hold_ms = hold_ms
        self.revision = revision

    async def run(
        self, load: LoadRows, apply: ApplyChange, after_read: AfterRead = _ignore_read
    ) -> None:
        """Follow the keys; never returns.

        `load` gets all rows of a list, and `apply` each change after it. `after_read` is called
        after each list or watch that was answered, with the time at which it was *sent* and
        whether it brought changes: only what was recorded before that time is known for certain.
        """
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, rng)
        while True:
            try:
                if self.revision is None:
                    sent_at = now_us()
                    rows, self.revision = await self.store.rows(self.prefix)
                    load(rows)
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
            except ServiceError as fault:
                log.debug("watch of %s failed: %s", self.prefix, fault)
                await backoff.wait()


async def follow_rows(
    store: KeyValueStore,
    prefix: str,
    hold_ms: int,
    put: Callable[[str, msgspec.Raw, int], None],
    drop: Callable[[str], None],
    known: Iterable[str] = (),
) -> None:
    """Follow the keys under a prefix row by row; never returns.

    `put` gets key, value and version of each row that is there or changes, and `drop` the key of
    each that is gone, also of those that the caller has `known` before.
    """
    keys = set(known)

    def load(rows: list[Row]) -> None:
        """Take in a list: first drop what is no longer in it."""
        for key in keys - {row.key for row in rows}:
            drop(key)
        keys.clear()
        for row in rows:
            keys.add(row.key)
            put(row.key, row.value, row.version)

    def apply(change: Change) -> None:
        """Take in one change."""
        if change.put is not None:
            keys.add(change.put)
            put(change.put, change.value, change.version)
        elif change.drop is not None:
            keys.discard(change.drop)
            drop(change.drop)

    await KeyWatch(store, prefix, hold_ms).run(load, apply)
