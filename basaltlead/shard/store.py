"""Writes to the key-value store under a shard's lease."""

from collections.abc import Iterable, Sequence
from typing import Any

from basaltlead.errors import PreconditionFailed
from basaltlead.shard.lease import ShardLease
from basaltlead.storage.client import KeyValueStore, RowList
from basaltlead.storage.limits import StoreLimits
from basaltlead.wire.store import Drop, Precondition, Put, Row


class ShardStore:
    """The key-value store as a shard leader uses it.

    `versions` holds the last known version of each row that is written more than once.
    """

    def __init__(self, client: KeyValueStore, lease: ShardLease, limits: StoreLimits) -> None:
        self.client = client
        self.lease = lease
        self.limits = limits
        self.versions: dict[str, int] = {}

    async def get(self, key: str) -> Row | None:
        """One row, or None if the key does not exist."""
        return await self.client.get(key)

    async def rows(self, prefix: str) -> RowList:
        """All rows under a prefix, and the revision from which to watch them."""
        return await self.client.rows(prefix)

    async def commit(
        self,
        changes: Sequence[Put | Drop],
        preconditions: Iterable[Precondition] = (),
        low_priority: bool = False,
    ) -> int:
        """Make changes that depend on the lease and on `preconditions`. Returns the new revision.

        Raises the errors of `KeyValueStore.compare_and_swap`.
        """
        all_preconditions = [*self.lease.preconditions(), *preconditions]
        return await self.client.compare_and_swap(all_preconditions, changes, low_priority)

    async def put(self, rows: dict[str, Any], preconditions: Iterable[Precondition] = ()) -> None:
        """Write rows that are written repeatedly.

        Each write depends on the last known version of its row: an unanswered write may be executed
        after a newer one, and would undo it. If it was executed before, the newer one fails, its
        version is read, and the next attempt succeeds
        (test_late_write_of_results_does_not_undo_a_newer_one).
        """
        known = [Precondition(key, self.versions.get(key, 0)) for key in rows]
        puts = [Put(key, value) for key, value in rows.items()]
        try:
            version = await self.commit(puts, [*preconditions, *known], low_priority=True)
        except PreconditionFailed as conflict:
            for key in conflict.failed:
                if key in rows:
                    await self.refresh_version(key)
            raise
        self.versions |= dict.fromkeys(rows, version)

    async def refresh_version(self, key: str) -> None:
        """Read the current version of a row; 0 if it does not exist."""
        row = await self.client.get(key)
        self.versions[key] = row.version if row is not None else 0
