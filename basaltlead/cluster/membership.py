"""This process among the others: its session lease, who leads, who owns what."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.cluster import versions
from basaltlead.core import cluster_view
from basaltlead.core.cluster_view import (
    LEADER,
    MEMBER_PREFIX,
    PREFIX,
    Claim,
    ClusterView,
    Grant,
    member_key,
    shard_key,
    spoken,
)
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    ServiceError,
    SessionLeaseExpired,
    Unavailable,
)
from basaltlead.runtime.clock import chance, now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.watch import follow
from basaltlead.wire.store import Change, Drop, Precondition, Put, Row


class Membership:
    """Keeps the session lease alive and the view of the cluster fresh.

    `holds_valid_lease` is the one test that everything that depends on the lease must pass at the
    moment it is done.
    """

    def __init__(
        self,
        name: str,
        peers: Iterable[str],
        store: KeyValueStore,
        session_lease_us: int,
        shards: int,
        duties: Sequence[str] = (),
    ) -> None:
        self.name = name
        self.names = sorted({name, *peers})  # of all configured controllers
        self.record_version = versions.record_version(bool(duties))
        self.store = store
        self.ttl_us = session_lease_us
        # A shard leader acts no longer than a session lease after its last read of the open jobs
        # was sent, so a watch must come back well within that.
        self.watch_ms = min(4000, session_lease_us // 4000)
        self.shard_keys = [shard_key(number) for number in range(shards)]
        self.duty_keys = list(duties)  # keys of the duties that are granted beside the shards
        self.incarnation = ""
        self.session_lease = 0
        self.version = 0
        self.renewed_until = 0  # how long our session lease is provably valid
        self.deferred_until = 0  # how long all peers have deferred our replacement
        self.contact_at = 0  # the last good answer of the key-value store
        self.started_at = now_us()
        self.deferrals: dict[tuple[str, str], int] = {}  # to shard leaders, until when
        self.cluster = ClusterView()
        self.changed: Callable[[], None] = lambda: None
        self.wake = asyncio.Event()
        self.no_claim_until = 0  # after stepping down: let others claim first
        self.chance = chance

    # TaskAssignment validity

    @property
    def holds_valid_lease(self) -> bool:
        return self.version > 0 and now_us() < self.session_valid_until

    @property
    def session_valid_until(self) -> int:
        return max(self.renewed_until, self.deferred_until)

    @property
    def partitioned(self) -> bool:
        """Has the key-value store been silent for a while?"""
        return now_us() - self.contact_at > self.ttl_us // 3

    @property
    def cut_off(self) -> bool:
        """Has the key-value store not answered for so long that asking it for a user is no use?"""
        return now_us() - self.contact_at > self.ttl_us

    def defer_failover(self, name: str, incarnation: str, span_us: int) -> int:
        """Defer the replacement of a shard leader for a span; 0 when we will not.

        With the key-value store in sight there is no reason to: if the shard leader has lost it
        alone, somebody else should serve its machines.
        """
        member = self.cluster.members.get(name)
        replaced = bool(self.cluster.members) and (
            member is None or member[0].incarnation != incarnation
        )
        if not self.partitioned or replaced or not incarnation or span_us <= 0:
            return 0
        span = min(span_us, self.ttl_us)
        now = now_us()
        self.deferrals = {key: until for key, until in self.deferrals.items() if until > now}
        self.deferrals[(name, incarnation)] = now + span
        return span

    def may_replace(self, held: Grant) -> bool:
        """Are all promises to this shard leader over, those that an earlier incarnation of ours may
        have made included? One that was replaced by its own next incarnation has no use for any."""
        member = self.cluster.members.get(held.name)
        if held.name == self.name or (
            member is not None and member[0].incarnation != held.incarnation
        ):
            return True
        now = now_us()
        return now >= self.deferrals.get((held.name, held.incarnation), 0) and (
            not held.name or now >= self.started_at + self.ttl_us * 101 // 100
        )

    def precondition(self) -> Precondition:
        """What every write of this process is guarded on."""
        return Precondition(member_key(self.name), self.version)

    def held_grant(self, key: str) -> tuple[Grant, int] | None:
        """The grant of a shard or duty to this very incarnation."""
        held = self.cluster.grants.get(key)
        if (
            held is None
            or held[0].name != self.name
            or held[0].incarnation != self.incarnation
            or not self.incarnation
        ):
            return None
        return held

    def shard_leader(self, shard: int) -> str | None:
        """The living leader of a shard, as far as known."""
        return self.cluster.holder(shard_key(shard))

    @property
    def duties_granted(self) -> bool:
        """Are the duties granted on their own, rather than carried out by the shard leaders?"""
        return bool(self.duty_keys) and versions.duties_allowed(self.cluster)

    @property
    def leads(self) -> bool:
        leader = self.cluster.leader
        return (
            leader is not None
            and leader[0].incarnation == self.incarnation
            and bool(self.incarnation)
        )

    # Loops

    async def keep(self) -> None:
        """Join, renew the session lease, and join anew whenever it is lost."""
        backoff = Backoff(200_000, 600_000, self.chance)  # users are refused meanwhile
        while True:
            try:
                if not self.version:
                    await self._join()
                    backoff.reset()
                sent = now_us()
                await self.store.renew_lease(self.session_lease, min(1_500_000, self.ttl_us // 4))
                self.renewed_until = cluster_view.session_validity_end(sent, self.ttl_us)
                self.contact_at = now_us()
                backoff.reset()
                await asyncio.sleep(self.ttl_us / 6e6)
            except SessionLeaseExpired:
                log.info("session lease lost, joining anew")
                self.leave()
            except (RequestFailed, Unavailable, PreconditionFailed) as fault:
                log.debug("session lease: %s", fault)
                await backoff.wait()

    def leave(self) -> None:
        self.version = 0
        self.renewed_until = self.deferred_until = 0
        self.incarnation = ""
        self.changed()

    async def _join(self) -> None:
        sent = now_us()
        session_lease = await self.store.create_lease(self.ttl_us)
        old = await self.store.get(member_key(self.name))
        incarnation = f"{chance.getrandbits(48):012x}"
        claim = Claim(self.name, incarnation, self.record_version)
        # Guarded on what stood there, so that a late copy of this very request from an earlier
        # incarnation can't put that one back into our place.
        version = await self.store.compare_and_swap(
            [Precondition(member_key(self.name), old.version if old else 0)],
            [Put(member_key(self.name), claim, session_lease)],
        )
        self.session_lease, self.incarnation, self.version = session_lease, incarnation, version
        self.renewed_until = cluster_view.session_validity_end(sent, self.ttl_us)
        self.contact_at = now_us()
        self.cluster.members[self.name] = (claim, version)
        log.info("joined as %s/%s, version %d", self.name, incarnation, self.record_version)
        self.wake.set()
        self.changed()

    async def watch(self) -> None:
        """Follow the keys of the cluster."""
        await follow(self.store, PREFIX, self.watch_ms, self._load, self._take, self._seen)

    def _seen(self, asked: int, news: bool) -> None:
        self.contact_at = now_us()
        if news:
            self._after_update()

    def _take(self, change: Change) -> None:
        if change.put is not None:
            self._put(change.put, change.value, change.version)
        elif change.drop is not None:
            self._drop(change.drop, change.version)

    def _after_update(self) -> None:
        mine = self.cluster.members.get(self.name)
        if (
            self.version
            and (mine is None or mine[0].incarnation != self.incarnation)
            and (mine is None or mine[1] > self.version)
        ):
            log.info("our member key is gone, joining anew")
            self.leave()
        self.wake.set()
        self.changed()

    def _load(self, rows: list[Row]) -> None:
        mine = self.cluster.members.get(self.name)
        self.cluster = ClusterView()
        if mine is not None and self.version:
            self.cluster.members[self.name] = mine
        for row in rows:
            self._put(row.key, row.value, row.version)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        try:
            self.cluster.put(key, raw, version)
        except (msgspec.DecodeError, ValueError) as fault:
            log.error("record %s can't be read: %s", key, fault)

    def _drop(self, key: str, version: int) -> None:
        if key == LEADER:
            self.cluster.leader = None
        elif key.startswith(MEMBER_PREFIX):
            known = self.cluster.members.get(key.removeprefix(MEMBER_PREFIX))
            if known is not None and known[1] <= version:
                del self.cluster.members[key.removeprefix(MEMBER_PREFIX)]

    async def release(self, key: str, leader_too: bool) -> bool:
        """Hand a shard or duty back, and the leader's place if so wished, for others to take; the
        caller has stopped acting for it."""
        held = self.held_grant(key)
        if held is None:
            return True
        if leader_too:
            self.no_claim_until = now_us() + 15_000_000
        preconditions = [self.precondition(), Precondition(key, held[1])]
        free = Grant("", "", held[0].fencing_token, avoid=self.name)
        apply: list[Put | Drop] = [Put(key, free)]
        if leader_too and self.leads and self.cluster.leader is not None:
            preconditions.append(Precondition(LEADER, self.cluster.leader[1]))
            apply.append(Drop(LEADER))
        try:
            version = await self.store.compare_and_swap(preconditions, apply)
        except ServiceError as fault:
            log.info("stepping down: %s", fault)
            return False
        self.cluster.note_grant(key, free, version)
        log.info("%s handed back", spoken(key))
        return True
