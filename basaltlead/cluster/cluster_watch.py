"""The view of the cluster, kept current by a watch on its keys."""

from collections.abc import Callable

import msgspec

from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.core.cluster_view import (
    PREFIX,
    Claim,
    ClusterView,
)
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change, Row


class ClusterWatch:
    """Follows the keys of the cluster; `view` is what they say."""

    def __init__(
        self,
        store: KeyValueStore,
        hold_ms: int,
        session: SessionLeaseKeeper,
        on_update: Callable[[], None],
    ) -> None:
        """`hold_ms` is how long the key-value store may hold a watch without news; `on_update` is
        called after each change of the view that the watch brings."""
        self.store = store
        self.hold_ms = hold_ms
        self.session = session
        self.on_update = on_update
        self.view = ClusterView()

    async def follow(self) -> None:
        """Follow the keys of the cluster; never returns."""
        watch = KeyWatch(self.store, PREFIX, self.hold_ms)
        await watch.run(self._load, self._apply, self._after_read)

    def note_member(self, member_record: Claim, version: int) -> None:
        """Take in a member record that this process has written itself."""
        self.view.note_member(member_record, version)

    def note_leader(self, member_record: Claim, version: int) -> None:
        """Take in a leader record that this process has written itself."""
        self.view.note_leader(member_record, version)

    def _after_read(self, _sent_at: int, has_changes: bool) -> None:
        self.session.note_contact()
        if has_changes:
            self._rejoin_if_replaced()
            self.on_update()

    def _rejoin_if_replaced(self) -> None:
        """Give up the session if our member key is gone, or another incarnation has written it.

        A view that is older than our key, and so doesn't show it, proves nothing: only a key of a
        later version does.
        """
        member = self.view.members.get(self.session.name)
        if (
            self.session.version
            and (member is None or member.value.incarnation != self.session.incarnation)
            and (member is None or member.version > self.session.version)
        ):
            log.info("our member key is gone, joining anew")
            self.session.leave()

    def _load(self, rows: list[Row]) -> None:
        """Begin the view anew from a list of all rows, which may be older than our own key."""
        member = self.view.members.get(self.session.name)
        self.view = ClusterView()
        if member is not None and self.session.version:
            self.view.members[self.session.name] = member
        for row in rows:
            self._put(row.key, row.value, row.version)

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self._put(change.put, change.value, change.version)
        elif change.drop is not None:
            self.view.drop(change.drop, change.version)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        try:
            self.view.put(key, raw, version)
        except (msgspec.DecodeError, ValueError) as fault:
            log.error("record %s can't be read: %s", key, fault)
