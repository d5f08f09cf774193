"""The failover deferrals that this controller has granted, and when it may replace a holder.

A shard leader that can't renew its session lease asks every other controller not to replace it for
a short time (see lease_extension for the requesting side). That is safe only if this side honours
the deferrals that it granted: until one has ended, `may_replace` returns False.
"""

from typing import NamedTuple

from basaltlead.cluster.cluster_watch import ClusterWatch
from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.core.cluster_view import Grant
from basaltlead.runtime.clock import now_us


class MemberIncarnation(NamedTuple):
    """One session of one controller (see session_lease)."""

    name: str
    incarnation: str


class FailoverDeferrals:
    """Grants deferrals, and tracks when all deferrals that a holder may have been granted have
    ended."""

    def __init__(self, session: SessionLeaseKeeper, watch: ClusterWatch) -> None:
        self.session = session
        self.watch = watch
        self.started_at = now_us()
        self.deferred_until: dict[MemberIncarnation, int] = {}

    def defer_failover(self, name: str, incarnation: str, span_us: int) -> int:
        """Defer the replacement of a shard leader. Returns the granted span in microseconds, at
        most `span_us`; 0 is a refusal.

        A controller that reaches the key-value store refuses: if only the shard leader has lost the
        store, another controller should serve its machines.
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
        """Whether all deferrals granted to this holder have ended.

        That includes those that an earlier run of this process may have granted. They last a
        session lease at most, so a process waits that long after its start, plus a hundredth for
        clock drift. A holder that was replaced by its own next incarnation needs no deferral
        (test_no_holder_is_replaced_before_its_deferrals_have_ended).
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
