"""This process among the controllers: its session lease, who leads, and what is granted to whom."""

import asyncio
from collections.abc import Callable, Sequence

from basaltlead.cluster import versions
from basaltlead.cluster.cluster_watch import ClusterWatch
from basaltlead.cluster.failover_deferrals import FailoverDeferrals
from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import (
    LEADER,
    Claim,
    ClusterView,
    Grant,
    Versioned,
    grant_label,
    shard_key,
)
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Drop, Precondition, Put

LONGEST_WATCH_MS = 4000
NO_CLAIM_US = 15_000_000  # after it stepped down, a controller lets others lead first


class Membership:
    """The cluster as the other parts of the controller need it, and the release of grants.

    The session lease, the view of the cluster and the failover deferrals are kept by one
    collaborator each.
    """

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        duty_keys: Sequence[str],
        on_change: Callable[[], None],
    ) -> None:
        """`duty_keys` are the keys of the duties that are granted in addition to the shards;
        `on_change` is called whenever what is granted to this process may have changed."""
        self.name = settings.member
        self.names = sorted({self.name, *(peer.member for peer in settings.known)})
        self.store = store
        self.duty_keys = list(duty_keys)
        self.on_change = on_change
        self.shard_keys = [shard_key(number) for number in range(settings.operator.shards)]
        self.ttl_us = settings.session_lease_us
        # A shard leader acts no longer than a session lease after its last read of the open jobs
        # was sent, so a watch must come back well within that.
        self.watch_ms = min(LONGEST_WATCH_MS, self.ttl_us // 4000)
        self.rng = rng
        self.wake = asyncio.Event()  # set when the election should look at the cluster again
        self.no_claim_until = 0
        self.session = SessionLeaseKeeper(
            self.name,
            store,
            self.ttl_us,
            versions.record_version(bool(duty_keys)),
            self._joined,
            on_change,
        )
        self.watch = ClusterWatch(store, self.watch_ms, self.session, self.notify)
        self.deferrals = FailoverDeferrals(self.session, self.watch)

    @property
    def cluster(self) -> ClusterView:
        """The present view of the cluster."""
        return self.watch.view

    @property
    def holds_valid_lease(self) -> bool:
        """Whether an action at this moment is provably covered by our session lease."""
        return self.session.holds_valid_lease

    @property
    def incarnation(self) -> str:
        """Of the present session; empty without one."""
        return self.session.incarnation

    @property
    def version(self) -> int:
        """Of our member key; 0 without a session."""
        return self.session.version

    @property
    def cut_off(self) -> bool:
        """Whether the key-value store has been silent for too long to serve users from it."""
        return self.session.cut_off

    @property
    def leads(self) -> bool:
        """Whether this very incarnation is the leader."""
        leader = self.cluster.leader
        return (
            leader is not None
            and leader.value.incarnation == self.incarnation
            and bool(self.incarnation)
        )

    @property
    def duties_granted(self) -> bool:
        """Whether duties are granted on their own, rather than carried out by the shard leaders."""
        return bool(self.duty_keys) and versions.duties_allowed(self.cluster)

    def precondition(self) -> Precondition:
        """The condition of every write of this process (see `SessionLeaseKeeper`)."""
        return self.session.precondition()

    def held_grant(self, key: str) -> Versioned[Grant] | None:
        """The grant of a shard or duty to this very incarnation, with its version."""
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
        """The name of the living leader of a shard, as far as known."""
        return self.cluster.holder(shard_key(shard))

    def notify(self) -> None:
        """The view of the cluster has changed: wake the election, and notify the parts that depend
        on grants."""
        self.wake.set()
        self.on_change()

    def _joined(self, claim: Claim, version: int) -> None:
        self.watch.note_member(claim, version)
        self.notify()

    async def release(self, key: str, leader_too: bool) -> bool:
        """Release a shard or duty, and with `leader_too` the leadership, for others to take; the
        caller has stopped acting for it. False if that could not be recorded."""
        held = self.held_grant(key)
        if held is None:
            return True
        if leader_too:
            self.no_claim_until = now_us() + NO_CLAIM_US
        preconditions = [self.precondition(), Precondition(key, held.version)]
        free = Grant("", "", held.value.fencing_token, avoid=self.name)
        apply: list[Put | Drop] = [Put(key, free)]
        if leader_too and self.leads and self.cluster.leader is not None:
            preconditions.append(Precondition(LEADER, self.cluster.leader.version))
            apply.append(Drop(LEADER))
        try:
            version = await self.store.compare_and_swap(preconditions, apply)
        except ServiceError as fault:
            log.info("%s not released: %s", grant_label(key), fault)
            return False
        self.cluster.note_grant(key, free, version)
        log.info("%s released", grant_label(key))
        return True
