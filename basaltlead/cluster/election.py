"""Leader election, and the grants of shards and duties that the leader makes."""

import asyncio

from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import (
    FENCING_TOKEN,
    LEADER,
    Counter,
    Grant,
    Versioned,
    grant_label,
    member_key,
)
from basaltlead.errors import PreconditionFailed, ServiceError
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.wire.store import Precondition, Put

# A candidate waits for that long for each one before it in the failover order: well above the time
# by which the watches of controllers differ, well below what a failover may take.
CLAIM_STEP_US = 150_000
PAUSE_S = 0.5  # between two passes, should nothing have changed
# Pauses after a transaction that failed, drawn at random so that candidates do not collide again.
CONFLICT_PAUSE_S = (0.02, 0.1)
FAULT_PAUSE_S = (0.1, 0.4)


class LeaderElection:
    """Claims the leader's key when no living controller has it, and as leader grants shards and
    duties."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.vacant_since: int | None = None  # since when no leader is known to live

    async def run(self) -> None:
        """Claim the leader's key whenever it is vacant, and as leader grant what nobody holds;
        never returns."""
        pause_s = PAUSE_S
        while True:
            await wait_for_event(self.membership.wake, pause_s)
            pause_s = PAUSE_S
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
                    await self._grant_vacant()
            except PreconditionFailed as conflict:
                log.debug("claim or grant not made: %s changed meanwhile", conflict)
                await asyncio.sleep(self.membership.rng.uniform(*CONFLICT_PAUSE_S))
            except ServiceError as fault:
                log.debug("claim or grant not made: %s", fault)
                await asyncio.sleep(self.membership.rng.uniform(*FAULT_PAUSE_S))

    async def _claim_in_turn(self) -> float:
        """Claim the leadership if it is our turn; how many seconds to wait until the next pass."""
        if now_us() < self.membership.no_claim_until and len(self.membership.cluster.members) > 1:
            return PAUSE_S
        turn_in_us = self._turn_us() - now_us()
        if turn_in_us > 0:
            return min(PAUSE_S, turn_in_us / 1e6)
        await self._claim()
        return PAUSE_S

    def _turn_us(self) -> int:
        """When it is this candidate's turn to claim the leadership. Every member's turn comes in
        the end, since the member key of one before it may outlive its process for a while."""
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
            previous = cluster.leader.value
            preconditions.append(Precondition(LEADER, cluster.leader.version))
            if previous.name != self.membership.name:
                # Its member key, gone or changed, is the proof that the old leader's lease ended.
                preconditions.append(
                    Precondition(member_key(previous.name), cluster.member_version(previous.name))
                )
        claim = self.membership.session.claim()
        version = await self.membership.store.compare_and_swap(
            preconditions, [Put(LEADER, claim, self.membership.session.lease)]
        )
        self.membership.watch.note_leader(claim, version)
        log.info("leading as %s/%s", self.membership.name, self.membership.incarnation)
        self.membership.wake.set()

    async def _grant_vacant(self) -> None:
        """Grant the shards that no living controller holds, then such duties."""
        keys = list(self.membership.shard_keys)
        if self.membership.duties_granted:
            keys += self.membership.duty_keys
        for key in self.membership.cluster.without_holder(keys):
            held = self.membership.cluster.grants.get(key)
            if held is None or self.membership.deferrals.may_replace(held.value):
                await self._grant(key)

    async def _grant(self, key: str) -> None:
        """Grant a shard or duty with the next fencing token."""
        cluster = self.membership.cluster
        assert cluster.leader is not None
        last_token = cluster.fencing_token or Versioned(Counter(0), 0)
        held = cluster.grants.get(key)
        target = cluster.next_holder(key, self.membership.name) or self.membership.name
        preconditions = [
            self.membership.precondition(),
            Precondition(LEADER, cluster.leader.version),
            Precondition(FENCING_TOKEN, last_token.version),
            Precondition(key, held.version if held else 0),
        ]
        # The old holder's lease has provably ended, and the new holder lives.
        named = {held.value.name if held is not None else "", target} - {"", self.membership.name}
        preconditions += versions.member_preconditions(cluster, sorted(named))
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
        # Into the view that the grant was decided on: a newer one may know a newer token.
        cluster.note_fencing_token(Counter(grant.fencing_token), version)
        cluster.note_grant(key, grant, version)
        log.info(
            "%s granted to %s with fencing token %d: revision %d, after the grant of revision %d",
            grant_label(key),
            grant.name,
            grant.fencing_token,
            version,
            held.version if held is not None else 0,
        )
        self.membership.on_change()
