"""The lease of a shard: the right to act for it, while that is provably valid."""

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import Grant, shard_key
from basaltlead.core.jobs import US
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.wire.store import Precondition


class ShardLease:
    """The grant of a shard to this incarnation of this controller.

    Every action of a shard leader checks `holds_valid_lease` at the moment it is done, and every
    write carries `preconditions`, so that the writes of a replaced leader fail.
    """

    def __init__(
        self, membership: Membership, number: int, grant: Grant, version: int, staleness_us: int
    ) -> None:
        self.membership = membership
        self.number = number
        self.grant = grant
        self.version = version
        self.staleness_us = staleness_us
        self.stepped_down = False  # permanent: a new grant has a new lease
        # The time up to which all confirmed cancellations are known. None until the open jobs have
        # been listed once, and no worker's lease may be renewed until then: since the previous
        # leader's last read, which is an unknown time ago, jobs may have been cancelled whose tasks
        # are still running
        # (test_shard_leader_that_could_not_load_its_shard_renews_no_worker_lease).
        self.cancellations_as_of: int | None = None

    @property
    def holds_valid_lease(self) -> bool:
        """Whether session lease, grant and view of the cancellations are provably valid now.

        The bound on the age of the cancellation view is derived at `Settings.staleness_us`
        (test_shard_leader_stops_when_cancellations_can_not_be_confirmed_any_more).
        """
        return (
            self.membership.holds_valid_lease
            and not self.stepped_down
            and self.membership.incarnation == self.grant.incarnation
            and self.cancellations_as_of is not None
            and now_us() < self.cancellations_as_of + self.staleness_us
        )

    @property
    def fencing_token(self) -> int:
        """The number that workers compare: they reject commands with a lower one."""
        return self.grant.fencing_token

    def preconditions(self) -> list[Precondition]:
        """The preconditions of every write under this lease: the session lease and the grant."""
        return [self.membership.precondition(), Precondition(shard_key(self.number), self.version)]

    def end(self) -> None:
        """Stop acting permanently."""
        self.stepped_down = True

    def step_down(self) -> None:
        """Stop acting permanently, and wake the election."""
        self.end()
        self.membership.wake.set()

    def cancellations_listed(self, requested_at: int) -> None:
        """Record the first listing of the open jobs: all cancellations confirmed before the request
        are known."""
        self.cancellations_as_of = requested_at

    def cancellations_read(self, requested_at: int) -> None:
        """Record that all cancellations confirmed before `requested_at` are known."""
        self.cancellations_as_of = max(self.cancellations_as_of or requested_at, requested_at)
        log.debug(
            "shard %d: cancellations known by a read requested %.2f s ago",
            self.number,
            (now_us() - requested_at) / US,
        )

    def confirm_cancellations(self, since: int, until: int) -> None:
        """Record that every other controller listed what it confirmed between these two times.

        Together that is equivalent to a read at `until`, provided that the cancellations were known
        up to `since` before
        (test_shard_leader_acts_throughout_a_long_outage_while_all_controllers_answer).
        """
        if self.cancellations_as_of is not None and since <= self.cancellations_as_of:
            self.cancellations_as_of = max(self.cancellations_as_of, until)
