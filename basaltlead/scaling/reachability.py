"""Distinguishes failed machines from a failure of this controller's own network.

The distinction is made from the heartbeats of all machines.
"""

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.silent_zones import MIN_SILENT_MACHINES
from basaltlead.runtime.clock import now_us
from basaltlead.shard.context import ShardContext

# Lease durations of silence after which a machine counts as lost even if all machines are silent.
LOST_AFTER_LEASES = 4
WORKER_REQUEST_TIMEOUT_US = 4 * US  # how long a worker waits for a controller's response
CONTROLLER_RETRY_INTERVAL_US = US  # between a worker's attempts to reach the next controller
UNREACHABLE_US = 4 * US  # a machine that commands don't reach for this long counts as no capacity
# A heartbeat is recent for this many heartbeat intervals, and for at least the time below.
RECENT_HEARTBEATS = 3
MIN_RECENT_US = 4 * US


class Reachability:
    """Judges from heartbeats which machines of a shard this controller can reach."""

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self.all_silent_at = now_us()  # the last time without a recent heartbeat of any machine

    @staticmethod
    def unreachable(machine: Machine, now: int) -> bool:
        """Whether commands have not reached the machine for more than `UNREACHABLE_US`, even if its
        heartbeats arrive."""
        return bool(machine.unreachable_since) and now - machine.unreachable_since > UNREACHABLE_US

    def all_silent(self, now: int) -> bool:
        """Whether several machines have sent heartbeats before and no machine does now.

        The likely cause is this controller's own network, in which case heartbeats of new machines
        would not arrive either. False once the silence has lasted for `LOST_AFTER_LEASES`.
        """
        machines = self.context.shard.machines.values()
        heard_at = [m.last_heartbeat_at for m in machines if m.up and m.last_heartbeat_at]
        silent = len(heard_at) >= MIN_SILENT_MACHINES and not self.any_heard(now)
        return (
            silent and now - max(heard_at) < LOST_AFTER_LEASES * self.context.shard.timing.lease_us
        )

    def recently_heard(self, machine: Machine, now: int) -> bool:
        """Whether a recent heartbeat of the machine has arrived. A few may be missing."""
        interval = self.context.shard.timing.heartbeat_interval_us
        recent = max(MIN_RECENT_US, RECENT_HEARTBEATS * interval)
        return bool(machine.last_heartbeat_at) and now - machine.last_heartbeat_at < recent

    def any_heard(self, now: int) -> bool:
        """Whether a recent heartbeat of any machine has arrived."""
        return any(self.recently_heard(m, now) for m in self.context.shard.machines.values())

    def heard_by_zone(self, now: int) -> dict[str, list[bool]]:
        """For each zone, whether each machine that has ever sent a heartbeat still does."""
        heard: dict[str, list[bool]] = {}
        for machine in self.context.shard.machines.values():
            if machine.up and machine.last_heartbeat_at:
                still_heard = not machine.lost and self.recently_heard(machine, now)
                heard.setdefault(machine.zone, []).append(still_heard)
        return heard

    def losses_confirmed(self, now: int) -> bool:
        """Whether machines marked as lost may be treated as failed.

        If all machines were silent, the lost ones may only have been unreachable. After such an
        outage a worker needs some time to find this controller again, so a machine that sends no
        heartbeat yet when the first ones do may still be up. The losses are confirmed once other
        machines have been heard for that time, or after `LOST_AFTER_LEASES` of silence in any case.
        """
        if not self.any_heard(now):
            self.all_silent_at = now
        timing = self.context.shard.timing
        nodes = self.context.settings.facts.nodes
        reconnect_us = (
            timing.heartbeat_interval_us * 5 // 4
            + WORKER_REQUEST_TIMEOUT_US
            + nodes * CONTROLLER_RETRY_INTERVAL_US
        )
        lost = [m for m in self.context.shard.machines.values() if m.lost]
        return now - self.all_silent_at > reconnect_us or all(
            now - m.last_heartbeat_at > LOST_AFTER_LEASES * timing.lease_us for m in lost
        )
