"""The leader's place: claimed in turn, and what is granted from it."""

import asyncio

from basaltlead.clients.base import Unavailable
from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import (
    FENCING_TOKEN,
    LEADER,
    Claim,
    Counter,
    Grant,
    member_key,
    spoken,
)
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.client import Conflict, SessionLeaseExpired
from basaltlead.wire.state import Guard, Put

# A candidate for the leader's place waits for that long for each one before it in the order of
# succession: well above the time by which watches differ, well below what a takeover may take.
CLAIM_STEP_US = 150_000
LEAD_PAUSE_S = 0.5  # between two looks at the cluster, should nothing have changed


class Leading:
    """Claims the leader's key when nobody living has it, and grants blocks and duties."""

    def __init__(self, member: Membership) -> None:
        self.member = member
        self.vacant_since: int | None = None  # since when no leader is known to live

    async def run(self) -> None:
        """Claim the leader's key when nobody living has it; as leader, grant what nobody has."""
        pause_s = LEAD_PAUSE_S
        while True:
            await wait_for_event(self.member.wake, pause_s)
            pause_s = LEAD_PAUSE_S
            if self.member.cluster.leader_lives:
                self.vacant_since = None
            if not self.member.acts or self.member.name not in self.member.cluster.members:
                continue
            try:
                if not self.member.cluster.leader_lives:
                    pause_s = await self._claim_in_turn()
                elif self.member.leads:
                    await self._grant_orphans()
            except Conflict as conflict:
                log.debug("claim lost on %s", conflict)
                await asyncio.sleep(self.member.chance.uniform(0.02, 0.1))
            except (Failed, Unavailable, SessionLeaseExpired) as fault:
                log.debug("claim: %s", fault)
                await asyncio.sleep(self.member.chance.uniform(0.1, 0.4))

    async def _claim_in_turn(self) -> float:
        """Claim the leader's place once it is our turn; how long to wait until then."""
        if now_us() < self.member.shy_until and len(self.member.cluster.members) > 1:
            return LEAD_PAUSE_S
        turn_in_us = self._claim_turn_us() - now_us()
        if turn_in_us > 0:
            return min(LEAD_PAUSE_S, turn_in_us / 1e6)
        await self._claim()
        return LEAD_PAUSE_S

    async def _grant_orphans(self) -> None:
        """As leader: the blocks that nobody owns, then the duties that nobody holds."""
        keys = [
            *self.member.block_keys,
            *(self.member.duty_keys if self.member.duties_granted else ()),
        ]
        for key in self.member.cluster.orphans(keys):
            held = self.member.cluster.grants.get(key)
            if held is None or self.member.may_replace(held[0]):
                await self._grant(key)

    def _claim_turn_us(self) -> int:
        """When it is this candidate's turn to claim the leader's place. All may claim in the end:
        a key may outlive its process for a while."""
        if self.vacant_since is None:
            self.vacant_since = now_us()
        if not self.member.cluster.predecessor:
            return self.vacant_since
        place = self.member.cluster.succession().index(self.member.name)
        return self.vacant_since + place * CLAIM_STEP_US

    async def _claim(self) -> None:
        cluster = self.member.cluster
        guards = [self.member.guard()]
        if cluster.leader is None:
            guards.append(Guard(LEADER, 0))
        else:
            claim, version = cluster.leader
            guards.append(Guard(LEADER, version))
            if (
                claim.name != self.member.name
            ):  # this key is the proof that the old leader's lease ended
                guards.append(Guard(member_key(claim.name), cluster.member_version(claim.name)))
        claim = Claim(self.member.name, self.member.incarnation, self.member.record_version)
        version = await self.member.state.multi(
            guards, [Put(LEADER, claim, self.member.session_lease)]
        )
        self.member.cluster.leader = (claim, version)
        log.info("leading as %s/%s", self.member.name, self.member.incarnation)
        self.member.wake.set()

    async def _grant(self, key: str) -> None:
        cluster = self.member.cluster
        assert cluster.leader is not None
        counter, fencing_token_version = cluster.fencing_token or (Counter(0), 0)
        guards = [
            self.member.guard(),
            Guard(LEADER, cluster.leader[1]),
            Guard(FENCING_TOKEN, fencing_token_version),
        ]
        held = cluster.grants.get(key)
        guards.append(Guard(key, held[1] if held else 0))
        target = cluster.taker(key, self.member.name) or self.member.name
        named = {held[0].name if held is not None else "", target} - {"", self.member.name}
        for name in sorted(named):  # the old owner's lease has ended; the new one lives
            guards.append(Guard(member_key(name), cluster.member_version(name)))
        grant = Grant(target, cluster.members[target][0].incarnation, counter.last + 1)
        if key in self.member.duty_keys:
            # An older member that joins in this very moment makes the grant fail.
            guards += versions.member_guards(
                cluster, cluster.members.keys() - named - {self.member.name}
            )
            grant.granted_at = wall_us()
        version = await self.member.state.multi(
            guards, [Put(FENCING_TOKEN, Counter(grant.fencing_token)), Put(key, grant)]
        )
        cluster.fencing_token = (Counter(grant.fencing_token), version)
        cluster.note_grant(key, grant, version)
        log.info(
            "%s leased to %s with fencing token %d", spoken(key), grant.name, grant.fencing_token
        )
        self.member.changed()
