"""The shards that this controller leads."""

from collections.abc import Callable

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import Grant, Versioned, shard_key
from basaltlead.runtime.logs import log
from basaltlead.shard.leader import ShardLeader


class ShardRegistry:
    """Keeps a shard leader for each shard that is granted to this incarnation of the controller."""

    def __init__(
        self,
        membership: Membership,
        shards: int,
        start_leader: Callable[[int, Versioned[Grant]], ShardLeader],
    ) -> None:
        """`start_leader` builds and starts the leader of a shard under a grant."""
        self.membership = membership
        self.shards = shards
        self.start_leader = start_leader
        self.leaders: dict[int, ShardLeader] = {}

    # Grants

    def apply_grants(self) -> None:
        """Start leaders for granted shards, and stop those whose grant was lost or renewed."""
        for number in range(self.shards):
            grant = (
                self.membership.held_grant(shard_key(number)) if self.membership.version else None
            )
            leader = self.leaders.get(number)
            if leader is not None and (grant is None or grant.version != leader.lease.version):
                log.info("shard %d released: its grant was lost or renewed", number)
                self.leaders.pop(number).stop()
                leader = None
            if leader is None and grant is not None:
                log.info(
                    "shard %d acquired with fencing token %d, grant of revision %d",
                    number,
                    grant.value.fencing_token,
                    grant.version,
                )
                self.leaders[number] = self.start_leader(number, grant)

    async def release_stepped_down(self) -> None:
        """Release shards whose leader has stepped down or is isolated, for others to acquire."""
        for number, leader in list(self.leaders.items()):
            if not leader.lease.stepped_down and leader.is_isolated():
                log.info("shard %d: no heartbeat for too long, stepping down", number)
                leader.lease.end()
            if leader.lease.stepped_down:
                await self._release(number, leader, release_leadership=True)

    async def hand_over(self, key: str) -> None:
        """Release a shard, so that a controller without one can lead it."""
        for number, leader in list(self.leaders.items()):
            if shard_key(number) == key and leader.holds_valid_lease:
                leader.lease.end()
                await self._release(number, leader, release_leadership=False)

    async def _release(self, number: int, leader: ShardLeader, release_leadership: bool) -> None:
        if await self.membership.release(shard_key(number), release_leadership):
            leader.stop()
            if self.leaders.get(number) is leader:  # else it was granted to us again
                del self.leaders[number]

    # Cancellations

    def close_job(self, ref: str) -> None:
        """Close a cancelled job: stop its tasks."""
        for leader in self.leaders.values():
            leader.close_job(ref)

    def cancellations_as_of(self) -> int | None:
        """The time up to which all shards know the cancellations; None if no shard was loaded."""
        times = [leader.lease.cancellations_as_of for leader in self.leaders.values()]
        return min((time for time in times if time is not None), default=None)

    def confirm_cancellations(self, since: int, until: int) -> None:
        """See `ShardLease.confirm_cancellations`."""
        for leader in self.leaders.values():
            leader.lease.confirm_cancellations(since, until)

    # Connections to workers

    def worker_connections(self) -> int:
        """How many connections to workers are open."""
        return sum(len(leader.context.workers.pools) for leader in self.leaders.values())

    def close_idle_connection(self) -> bool:
        """Close one idle connection to a worker; False if there is none."""
        return any(leader.context.workers.close_idle() for leader in self.leaders.values())
