"""The right to act for one shard, and the proof that it is still valid."""

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import Grant, shard_key
from basaltlead.core.jobs import US
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.wire.store import Precondition


class ShardLease:
    """The grant of a shard to this incarnation of this controller.

    Whatever a shard leader does checks `holds_valid_lease` at the moment at which it is done, and
    every write carries `preconditions`, so that a leader that was replaced is refused.
    """

    def __init__(
        self, membership: Membership, number: int, grant: Grant, version: int, staleness_us: int
    ) -> None:
        self.membership = membership
        self.number = number
        self.grant = grant
        self.version = version
        self.staleness_us = staleness_us
        self.stepped_down = False  # for good: a new grant means a new lease
        # The time up to which all confirmed cancellations are known. None until the open jobs have
        # been listed once: what was cancelled since the previous leader's last read may still run
        # at its workers, for an unknown time already, so no worker's lease may be renewed before
        # (test_shard_leader_that_could_not_load_its_shard_renews_no_worker_lease).
        self.cancellations_as_of: int | None = None

    @property
    def holds_valid_lease(self) -> bool:
        """Are the session lease, the grant and the view of the cancellations provably valid now?

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
        """The number that workers compare: they drop commands with a lower one."""
        return self.grant.fencing_token

    def preconditions(self) -> list[Precondition]:
        """What every write under this lease depends on: the session lease and the grant."""
        return [self.membership.precondition(), Precondition(shard_key(self.number), self.version)]

    def end(self) -> None:
        """Stop acting for good."""
        self.stepped_down = True

    def step_down(self) -> None:
        """Stop acting for good, and have the election notice at once."""
        self.end()
        self.membership.wake.set()

    def cancellations_listed(self, requested_at: int) -> None:
        """Note the first list of the open jobs: all cancellations confirmed before are known."""
        self.cancellations_as_of = requested_at

    def cancellations_read(self, requested_at: int) -> None:
        """Note that all cancellations confirmed before `requested_at` are known."""
        self.cancellations_as_of = max(self.cancellations_as_of or requested_at, requested_at)
        log.debug(
            "shard %d: cancellations known by a read requested %.2f s ago",
            self.number,
            (now_us() - requested_at) / US,
        )

    def confirm_cancellations(self, since: int, until: int) -> None:
        """Note that every other controller listed what it confirmed between these two times.

        Together that is as good as a read at `until`, provided that the last read reaches to
        `since` (test_confirmations_of_all_controllers_bridge_a_long_outage).
        """
        if self.cancellations_as_of is not None and since <= self.cancellations_as_of:
            self.cancellations_as_of = max(self.cancellations_as_of, until)
