"""Leader election, and the granting of shards and duties by the leader."""

import asyncio

from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import (
    FENCING_TOKEN,
    LEADER,
    RESERVED_TOKENS,
    FencingTokenCounter,
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

# A candidate delays its claim by this for each candidate before it in the failover order. It is
# well above the time by which the watches of controllers differ, and well below the time that a
# failover may take.
CLAIM_STAGGER_US = 150_000
POLL_INTERVAL_S = 0.5  # between two passes if nothing has changed
# Ranges of the random pause after a failed transaction: candidates must not collide again.
CONFLICT_PAUSE_S = (0.02, 0.1)
FAILURE_PAUSE_S = (0.1, 0.4)


class LeaderElection:
    """Claims the leadership when no living controller has it, and as leader grants shards and
    duties."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.tokens_per_shard_grant = RESERVED_TOKENS
        self.vacant_since: int | None = None  # None while a living leader is known

    async def run(self) -> None:
        """Claim the leadership whenever it is vacant, and as leader grant the shards and duties
        that nobody holds; never returns."""
        pause_s = POLL_INTERVAL_S
        while True:
            await wait_for_event(self.membership.wake, pause_s)
            pause_s = POLL_INTERVAL_S
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
                elif self.membership.is_leader:
                    await self._grant_vacant()
            except PreconditionFailed as conflict:
                log.debug("claim or grant failed: %s changed concurrently", conflict)
                await asyncio.sleep(self.membership.rng.uniform(*CONFLICT_PAUSE_S))
            except ServiceError as error:
                log.debug("claim or grant not confirmed: %s", error)
                await asyncio.sleep(self.membership.rng.uniform(*FAILURE_PAUSE_S))

    async def _claim_in_turn(self) -> float:
        """Claim the leadership if it is our turn. Returns the seconds until the next pass."""
        if (
            now_us() < self.membership.claim_cooldown_until
            and len(self.membership.cluster.members) > 1
        ):
            return POLL_INTERVAL_S
        turn_in_us = self._turn_us() - now_us()
        if turn_in_us > 0:
            return min(POLL_INTERVAL_S, turn_in_us / 1e6)
        await self._claim()
        return POLL_INTERVAL_S

    def _turn_us(self) -> int:
        """When it is this candidate's turn to claim the leadership. Every candidate gets a turn,
        since those before it may have failed: a member key exists until its session lease expires.
        """
        if self.vacant_since is None:
            self.vacant_since = now_us()
        if not self.membership.cluster.last_leader_of_shard_0:
            return self.vacant_since
        position = self.membership.cluster.failover_order().index(self.membership.name)
        return self.vacant_since + position * CLAIM_STAGGER_US

    async def _claim(self) -> None:
        cluster = self.membership.cluster
        preconditions = [self.membership.precondition()]
        if cluster.leader is None:
            preconditions.append(Precondition(LEADER, 0))
        else:
            previous = cluster.leader.value
            preconditions.append(Precondition(LEADER, cluster.leader.version))
            if previous.name != self.membership.name:
                # Proves that the previous leader's lease has expired: the key is gone or changed.
                preconditions.append(
                    Precondition(member_key(previous.name), cluster.member_version(previous.name))
                )
        member_record = self.membership.session.member_record()
        version = await self.membership.store.compare_and_swap(
            preconditions, [Put(LEADER, member_record, self.membership.session.lease_id)]
        )
        self.membership.watch.note_leader(member_record, version)
        log.info("elected leader as %s/%s", self.membership.name, self.membership.incarnation)
        self.membership.wake.set()

    async def _grant_vacant(self) -> None:
        """Grant the shards, then the duties, that no living controller holds."""
        keys = list(self.membership.shard_keys)
        if self.membership.duties_granted:
            keys += self.membership.duty_keys
        for key in self.membership.cluster.without_holder(keys):
            held = self.membership.cluster.grants.get(key)
            if held is None or self.membership.deferrals.may_replace(held.value):
                await self._grant(key)

    async def _grant(self, key: str) -> None:
        """Grant a shard or duty with the next fencing token, a shard with some in reserve."""
        cluster = self.membership.cluster
        assert cluster.leader is not None
        counter = cluster.fencing_token or Versioned(FencingTokenCounter(0), 0)
        is_duty = key in self.membership.duty_keys
        tokens = counter.value.next_tokens(1 if is_duty else self.tokens_per_shard_grant)
        held = cluster.grants.get(key)
        target = cluster.next_holder(key, self.membership.name) or self.membership.name
        preconditions = [
            self.membership.precondition(),
            Precondition(LEADER, cluster.leader.version),
            Precondition(FENCING_TOKEN, counter.version),
            Precondition(key, held.version if held else 0),
        ]
        # The member preconditions fail unless the previous holder's lease has expired and the new
        # holder is alive.
        named = {held.value.name if held is not None else "", target} - {"", self.membership.name}
        preconditions += versions.member_preconditions(cluster, sorted(named))
        grant = Grant(target, cluster.members[target].value.incarnation, tokens.start)
        if len(tokens) > 1:
            grant.token_count = len(tokens)
        if is_duty:
            # The grant fails if a member of an older version joins concurrently.
            preconditions += versions.member_preconditions(
                cluster, cluster.members.keys() - named - {self.membership.name}
            )
            grant.granted_at = wall_us()
        version = await self.membership.store.compare_and_swap(
            preconditions,
            [Put(FENCING_TOKEN, FencingTokenCounter(tokens[-1])), Put(key, grant)],
        )
        # Update the view that the grant was based on: the watch may have replaced
        # `membership.cluster` during the write by a view with a newer token.
        cluster.note_fencing_token(FencingTokenCounter(tokens[-1]), version)
        cluster.note_grant(key, grant, version)
        log.info(
            "%s granted to %s with fencing token %d: revision %d, previous grant revision %d",
            grant_label(key),
            grant.name,
            grant.fencing_token,
            version,
            held.version if held is not None else 0,
        )
        self.membership.on_change()
