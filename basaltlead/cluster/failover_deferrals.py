"""The failover deferrals that this controller has granted, and when it may replace a holder.

A shard leader that can't renew its session lease asks every other controller not to replace it for
a short span (see lease_extension for the requesting side). That is safe only if this side keeps to
what it granted: until a deferral is over, `may_replace` refuses.
"""

from typing import NamedTuple

from basaltlead.cluster.cluster_watch import ClusterWatch
from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.core.cluster_view import Grant
from basaltlead.runtime.clock import now_us


class MemberIncarnation(NamedTuple):
    """One run of one controller."""

    name: str
    incarnation: str


class FailoverDeferrals:
    """Grants deferrals, and knows when all that may have been granted to a holder are over."""

    def __init__(self, session: SessionLeaseKeeper, watch: ClusterWatch) -> None:
        self.session = session
        self.watch = watch
        self.started_at = now_us()
        self.deferred_until: dict[MemberIncarnation, int] = {}

    def defer_failover(self, name: str, incarnation: str, span_us: int) -> int:
        """Defer the replacement of a shard leader for a span; the span granted, 0 for a refusal.

        While this controller reaches the key-value store it refuses: if the shard leader alone has
        lost it, somebody else should serve its machines.
        """
        members = self.watch.view.members
        replaced = bool(members) and not self.watch.view.is_alive(name, incarnation)
        if not self.session.partitioned or replaced or not incarnation or span_us <= 0:
            return 0
        span_us = min(span_us, self.session.ttl_us)
        now = now_us()
        self.deferred_until = {
            holder: until for holder, until in self.deferred_until.items() if until > now
        }
        self.deferred_until[MemberIncarnation(name, incarnation)] = now + span_us
        return span_us

    def may_replace(self, held: Grant) -> bool:
        """Whether all deferrals granted to this holder are over.

        That includes those that an earlier incarnation of this process may have granted: they last
        a session lease at most, so a process waits that long (and a hundredth for the drift of
        clocks) after its start. A holder that was replaced by its own next incarnation has no use
        for any (test_deferrals_are_kept_and_possibly_forgotten_ones_are_waited_out).
        """
        member = self.watch.view.members.get(held.name)
        if held.name == self.session.name or (
            member is not None and member.value.incarnation != held.incarnation
        ):
            return True
        now = now_us()
        holder = MemberIncarnation(held.name, held.incarnation)
        return now >= self.deferred_until.get(holder, 0) and (
            not held.name or now >= self.started_at + self.session.ttl_us * 101 // 100
        )
