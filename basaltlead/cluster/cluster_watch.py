"""The view of the cluster, kept up to date by a watch on its keys."""

from collections.abc import Callable

import msgspec

from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.core.cluster_view import (
    PREFIX,
    ClusterView,
    MemberRecord,
)
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore, RowList
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change


class ClusterWatch:
    """Watches the keys of the cluster; `view` holds what they contain."""

    def __init__(
        self,
        store: KeyValueStore,
        hold_ms: int,
        session: SessionLeaseKeeper,
        on_update: Callable[[], None],
    ) -> None:
        """`hold_ms` is how long the key-value store may hold a watch request while nothing changes;
        `on_update` is called after each read that changes the view."""
        self.store = store
        self.hold_ms = hold_ms
        self.session = session
        self.on_update = on_update
        self.view = ClusterView()

    async def follow(self) -> None:
        """Watch the keys of the cluster; never returns."""
        watch = KeyWatch(self.store, PREFIX, self.hold_ms)
        await watch.run(self._load, self._apply, self._after_read)

    def note_member(self, member_record: MemberRecord, version: int) -> None:
        """Add a member record that this process has written itself to the view."""
        self.view.note_member(member_record, version)

    def note_leader(self, member_record: MemberRecord, version: int) -> None:
        """Add a leader record that this process has written itself to the view."""
        self.view.note_leader(member_record, version)

    def _after_read(self, _sent_at: int, has_changes: bool) -> None:
        self.session.note_contact()
        if has_changes:
            self._rejoin_if_replaced()
            self.on_update()

    def _rejoin_if_replaced(self) -> None:
        """Give up the session if our member key is gone, or another incarnation has written it.

        A record that is older than our key comes from an outdated view and proves nothing.
        """
        member = self.view.members.get(self.session.name)
        if (
            self.session.version
            and (member is None or member.value.incarnation != self.session.incarnation)
            and (member is None or member.version > self.session.version)
        ):
            log.info("member key was deleted or overwritten, rejoining")
            self.session.leave()

    def _load(self, listing: RowList) -> None:
        """Rebuild the view from a listing of all rows.

        What this process has written after the listing was read stays: our member key, a claim of
        the leadership, grants. A view without our own grant would stop the leader of a shard, and
        the watch would then start another one under the same grant, which relies on being the only
        one (test_listing_older_than_our_own_grant_does_not_replace_its_shard_leader).
        """
        self.view = self.view.newer_than(listing.revision)
        for row in listing.rows:
            self._put(row.key, row.value, row.version)

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self._put(change.put, change.value, change.version)
        elif change.drop is not None:
            self.view.drop(change.drop, change.version)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        try:
            self.view.put(key, raw, version)
        except (msgspec.DecodeError, ValueError) as error:
            log.error("record %s can't be read: %s", key, error)
