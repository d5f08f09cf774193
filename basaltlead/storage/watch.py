"""Keeping a picture of the keys under a prefix like the key-value store has them."""

from collections.abc import Callable, Iterable

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.errors import RevisionCompacted, ServiceError
from basaltlead.runtime.clock import chance, now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Change, Row


async def follow(
    store: KeyValueStore,
    prefix: str,
    hold_ms: int,
    load: Callable[[list[Row]], None],
    take: Callable[[Change], None],
    seen: Callable[[int, bool], None] = lambda asked, news: None,
    since: int | None = None,
) -> None:
    """List, then watch, for ever: `load` gets all rows, `take` each change, and `seen` when a
    good look was asked for and whether it brought news."""
    backoff = Backoff(100_000, 1_000_000, chance)
    while True:
        try:
            asked = now_us()
            if since is None:
                rows, since = await store.rows(prefix)
                load(rows)
                seen(asked, True)
                asked = now_us()
            changes = await store.changes(prefix, since, hold_ms)
            for change in changes.log:
                take(change)
            since = max(since, changes.revision)
            seen(asked, bool(changes.log))
            backoff.reset()
        except RevisionCompacted:
            since = None
        except ServiceError as fault:
            log.debug("following %s: %s", prefix, fault)
            await backoff.wait()


async def follow_rows(
    store: KeyValueStore,
    prefix: str,
    hold_ms: int,
    put: Callable[[str, msgspec.Raw, int], None],
    drop: Callable[[str], None],
    known: Iterable[str] = (),
) -> None:
    """The same, row by row: `put` gets key, value and version of each that is there or changes,
    and `drop` the key of each that is gone, also of those that were `known` before."""
    keys = set(known)

    def load(rows: list[Row]) -> None:
        for key in keys - {row.key for row in rows}:
            drop(key)
        keys.clear()
        for row in rows:
            keys.add(row.key)
            put(row.key, row.value, row.version)

    def take(change: Change) -> None:
        if change.put is not None:
            keys.add(change.put)
            put(change.put, change.value, change.version)
        elif change.drop is not None:
            keys.discard(change.drop)
            drop(change.drop)

    await follow(store, prefix, hold_ms, load, take)
