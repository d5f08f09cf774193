"""The leader's place: claimed in turn, and what is granted from it."""

import asyncio

from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import (
    FENCING_TOKEN,
    LEADER,
    Claim,
    Counter,
    Grant,
    Versioned,
    grant_label,
    member_key,
)
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.wire.store import Precondition, Put

# A candidate for the leader's place waits for that long for each one before it in the order of
# succession: well above the time by which watches differ, well below what a failover may take.
CLAIM_STEP_US = 150_000
LEAD_PAUSE_S = 0.5  # between two looks at the cluster, should nothing have changed


class LeaderElection:
    """Claims the leader's key when nobody living has it, and grants shards and duties."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.vacant_since: int | None = None  # since when no leader is known to live

    async def run(self) -> None:
        """Claim the leader's key when nobody living has it; as leader, grant what nobody has."""
        pause_s = LEAD_PAUSE_S
        while True:
            await wait_for_event(self.membership.wake, pause_s)
            pause_s = LEAD_PAUSE_S
            if self.membership.cluster.leader_alive:
                self.vacant_since = None
            if (
                not self.membership.holds_valid_lease
                or self.membership.name not in self.membership.cluster.members
            ):
                continue
            try:
                if not self.membership.cluster.leader_alive:
                    pause_s = await self._claim_in_turn()
                elif self.membership.leads:
                    await self._grant_orphans()
            except PreconditionFailed as conflict:
                log.debug("claim lost on %s", conflict)
                await asyncio.sleep(self.membership.chance.uniform(0.02, 0.1))
            except (RequestFailed, Unavailable, SessionLeaseExpired) as fault:
                log.debug("claim: %s", fault)
                await asyncio.sleep(self.membership.chance.uniform(0.1, 0.4))

    async def _claim_in_turn(self) -> float:
        """Claim the leader's place once it is our turn; how long to wait until then."""
        if now_us() < self.membership.no_claim_until and len(self.membership.cluster.members) > 1:
            return LEAD_PAUSE_S
        turn_in_us = self._claim_turn_us() - now_us()
        if turn_in_us > 0:
            return min(LEAD_PAUSE_S, turn_in_us / 1e6)
        await self._claim()
        return LEAD_PAUSE_S

    async def _grant_orphans(self) -> None:
        """As leader: the shards that nobody owns, then the duties that nobody holds."""
        keys = [
            *self.membership.shard_keys,
            *(self.membership.duty_keys if self.membership.duties_granted else ()),
        ]
        for key in self.membership.cluster.without_holder(keys):
            held = self.membership.cluster.grants.get(key)
            if held is None or self.membership.may_replace(held.value):
                await self._grant(key)

    def _claim_turn_us(self) -> int:
        """When it is this candidate's turn to claim the leader's place. All may claim in the end:
        a key may outlive its process for a while."""
        if self.vacant_since is None:
            self.vacant_since = now_us()
        if not self.membership.cluster.previous_shard_leader:
            return self.vacant_since
        place = self.membership.cluster.failover_order().index(self.membership.name)
        return self.vacant_since + place * CLAIM_STEP_US

    async def _claim(self) -> None:
        cluster = self.membership.cluster
        preconditions = [self.membership.precondition()]
        if cluster.leader is None:
            preconditions.append(Precondition(LEADER, 0))
        else:
            claim = cluster.leader.value
            preconditions.append(Precondition(LEADER, cluster.leader.version))
            if (
                claim.name != self.membership.name
            ):  # this key is the proof that the old leader's lease ended
                preconditions.append(
                    Precondition(member_key(claim.name), cluster.member_version(claim.name))
                )
        claim = Claim(
            self.membership.name, self.membership.incarnation, self.membership.record_version
        )
        version = await self.membership.store.compare_and_swap(
            preconditions, [Put(LEADER, claim, self.membership.session_lease)]
        )
        self.membership.cluster.leader = Versioned(claim, version)
        log.info("leading as %s/%s", self.membership.name, self.membership.incarnation)
        self.membership.wake.set()

    async def _grant(self, key: str) -> None:
        cluster = self.membership.cluster
        assert cluster.leader is not None
        last_token = cluster.fencing_token or Versioned(Counter(0), 0)
        preconditions = [
            self.membership.precondition(),
            Precondition(LEADER, cluster.leader.version),
            Precondition(FENCING_TOKEN, last_token.version),
        ]
        held = cluster.grants.get(key)
        preconditions.append(Precondition(key, held.version if held else 0))
        target = cluster.next_holder(key, self.membership.name) or self.membership.name
        named = {held.value.name if held is not None else "", target} - {"", self.membership.name}
        for name in sorted(named):  # the old shard leader's lease has ended; the new one lives
            preconditions.append(Precondition(member_key(name), cluster.member_version(name)))
        grant = Grant(target, cluster.members[target].value.incarnation, last_token.value.last + 1)
        if key in self.membership.duty_keys:
            # An older member that joins in this very moment makes the grant fail.
            preconditions += versions.member_preconditions(
                cluster, cluster.members.keys() - named - {self.membership.name}
            )
            grant.granted_at = wall_us()
        version = await self.membership.store.compare_and_swap(
            preconditions, [Put(FENCING_TOKEN, Counter(grant.fencing_token)), Put(key, grant)]
        )
        cluster.fencing_token = Versioned(Counter(grant.fencing_token), version)
        cluster.note_grant(key, grant, version)
        log.info(
            "%s leased to %s with fencing token %d",
            grant_label(key),
            grant.name,
            grant.fencing_token,
        )
        self.membership.changed()
