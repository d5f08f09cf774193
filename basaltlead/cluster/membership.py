"""Membership of this controller in the cluster: its session lease, the leader, and the grants."""

import asyncio
from collections.abc import Callable, Sequence

from basaltlead.cluster import versions
from basaltlead.cluster.cluster_watch import ClusterWatch
from basaltlead.cluster.failover_deferrals import FailoverDeferrals
from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import (
    LEADER,
    ClusterView,
    Grant,
    MemberRecord,
    Versioned,
    grant_label,
    shard_key,
)
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Drop, Precondition, Put

MAX_WATCH_TIMEOUT_MS = 4000
# For this long after a release of the leadership, a controller claims it only as the only member.
CLAIM_COOLDOWN_US = 15_000_000


class Membership:
    """Gives the other components the state of the cluster and the grants of this controller, and
    releases grants.

    `session` holds the session lease, `watch` the view of the cluster, and `deferrals` the failover
    deferrals.
    """

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        duty_keys: Sequence[str],
        on_change: Callable[[], None],
    ) -> None:
        """`duty_keys` are the keys of the duties that are granted in addition to the shards;
        `on_change` is called whenever the grants of this process may have changed."""
        self.name = settings.member
        self.names = sorted({self.name, *(peer.member for peer in settings.known)})
        self.store = store
        self.duty_keys = list(duty_keys)
        self.on_change = on_change
        self.shard_keys = [shard_key(number) for number in range(settings.operator.shards)]
        self.ttl_us = settings.session_lease_us
        # A shard leader may act for `Settings.staleness_us` after it sent its last read of the open
        # jobs, and that time is at least a session lease. A watch counts as a read only when it
        # returns, so its timeout is well below a session lease.
        self.watch_timeout_ms = min(MAX_WATCH_TIMEOUT_MS, self.ttl_us // 4000)
        self.rng = rng
        self.wake = asyncio.Event()  # set to have the election check the cluster again
        self.claim_cooldown_until = 0
        self.session = SessionLeaseKeeper(
            self.name,
            store,
            self.ttl_us,
            versions.record_version(bool(duty_keys)),
            self._joined,
            on_change,
        )
        self.watch = ClusterWatch(store, self.watch_timeout_ms, self.session, self.notify)
        self.deferrals = FailoverDeferrals(self.session, self.watch)

    @property
    def cluster(self) -> ClusterView:
        """The current view of the cluster."""
        return self.watch.view

    @property
    def holds_valid_lease(self) -> bool:
        """Whether an action at this moment is provably covered by our session lease."""
        return self.session.holds_valid_lease

    @property
    def incarnation(self) -> str:
        """The incarnation of the current session; empty without a session."""
        return self.session.incarnation

    @property
    def version(self) -> int:
        """The version of our member key; 0 without a session."""
        return self.session.version

    @property
    def store_unreachable(self) -> bool:
        """Whether the key-value store has been silent for so long that requests of users that need
        it are rejected."""
        return self.session.store_unreachable

    @property
    def is_leader(self) -> bool:
        """Whether this incarnation of this controller is the leader."""
        leader = self.cluster.leader
        return (
            leader is not None
            and leader.value.incarnation == self.incarnation
            and bool(self.incarnation)
        )

    @property
    def duties_granted(self) -> bool:
        """Whether duties are granted separately, rather than carried out by the shard leaders."""
        return bool(self.duty_keys) and versions.duties_allowed(self.cluster)

    def precondition(self) -> Precondition:
        """The condition of every write of this process (see `SessionLeaseKeeper`)."""
        return self.session.precondition()

    def held_grant(self, key: str) -> Versioned[Grant] | None:
        """The grant of a shard or duty to this incarnation, with its version; None without one."""
        held = self.cluster.grants.get(key)
        if (
            held is None
            or held.value.name != self.name
            or held.value.incarnation != self.incarnation
            or not self.incarnation
        ):
            return None
        return held

    def shard_leader(self, shard: int) -> str | None:
        """The name of the living leader of a shard; None if none is known."""
        return self.cluster.holder(shard_key(shard))

    def notify(self) -> None:
        """Handle a change of the cluster: wake the election, and notify the components that depend
        on grants."""
        self.wake.set()
        self.on_change()

    def _joined(self, member_record: MemberRecord, version: int) -> None:
        self.watch.note_member(member_record, version)
        self.notify()

    async def release(self, key: str, release_leadership: bool) -> bool:
        """Release a shard or duty, and with `release_leadership` also the leadership, so that
        others can acquire them. The caller must have stopped acting under the grant. Returns False
        if the release could not be recorded."""
        held = self.held_grant(key)
        if held is None:
            return True
        if release_leadership:
            self.claim_cooldown_until = now_us() + CLAIM_COOLDOWN_US
        preconditions = [self.precondition(), Precondition(key, held.version)]
        released_grant = Grant("", "", held.value.fencing_token, avoid=self.name)
        changes: list[Put | Drop] = [Put(key, released_grant)]
        if release_leadership and self.is_leader and self.cluster.leader is not None:
            preconditions.append(Precondition(LEADER, self.cluster.leader.version))
            changes.append(Drop(LEADER))
        try:
            version = await self.store.compare_and_swap(preconditions, changes)
        except ServiceError as error:
            log.info("%s not released: %s", grant_label(key), error)
            return False
        self.cluster.note_grant(key, released_grant, version)
        log.info("%s released", grant_label(key))
        return True
