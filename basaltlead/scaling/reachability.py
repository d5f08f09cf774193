"""Whether silent machines are in trouble, or rather this controller's own network."""

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.silent_zones import SILENT_COUNT
from basaltlead.runtime.clock import now_us
from basaltlead.shard.context import ShardContext

LOST_AFTER_LEASES = 4  # machines that are silent for so many leases count as gone in any case
WORKER_REQUEST_TIMEOUT_US = 4 * US  # how long a worker waits for a controller's answer
CONTROLLER_RETRY_INTERVAL_US = US  # between a worker's attempts to reach the next controller
UNREACHABLE_US = 4 * US  # a machine that our commands do not reach for so long is no capacity
# A heartbeat is recent for so many heartbeat intervals, or for that long if that is longer.
RECENT_HEARTBEATS = 3
MIN_RECENT_US = 4 * US


class Reachability:
    """What the heartbeats of a shard's machines tell of the network between us and them."""

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self.all_silent_at = now_us()  # when no machine was heard, most recently

    @staticmethod
    def unreachable(machine: Machine, now: int) -> bool:
        """Have our commands not reached the machine for a while, although its heartbeats arrive?"""
        return bool(machine.unreachable_since) and now - machine.unreachable_since > UNREACHABLE_US

    def all_silent(self, now: int) -> bool:
        """Have several machines fallen silent, so that none is heard any more?

        That is more likely trouble of our own network, in which we would not hear of new machines
        either. False again once it has lasted for `LOST_AFTER_LEASES`.
        """
        machines = self.context.shard.machines.values()
        heard_at = [m.heard_at for m in machines if m.up and m.heard_at]
        silent = len(heard_at) >= SILENT_COUNT and not self.any_heard(now)
        return (
            silent and now - max(heard_at) < LOST_AFTER_LEASES * self.context.shard.timing.lease_us
        )

    def recently_heard(self, machine: Machine, now: int) -> bool:
        """Has the machine sent a heartbeat lately? A few missing ones do not matter."""
        interval = self.context.shard.timing.heartbeat_interval_us
        recent = max(MIN_RECENT_US, RECENT_HEARTBEATS * interval)
        return bool(machine.heard_at) and now - machine.heard_at < recent

    def any_heard(self, now: int) -> bool:
        """Has any machine sent a heartbeat lately?"""
        return any(self.recently_heard(m, now) for m in self.context.shard.machines.values())

    def heard_by_zone(self, now: int) -> dict[str, list[bool]]:
        """By zone, for each machine that was ever heard, whether it still is."""
        heard: dict[str, list[bool]] = {}
        for machine in self.context.shard.machines.values():
            if machine.up and machine.heard_at:
                still_heard = not machine.lost and self.recently_heard(machine, now)
                heard.setdefault(machine.zone, []).append(still_heard)
        return heard

    def losses_confirmed(self, now: int) -> bool:
        """Is it certain enough that lost machines are gone, rather than cut off with all others?

        So it is if other machines have been heard for as long as a worker may need to find us
        again: when all were silent at once, those that do not return with the first of them are
        not lost for that. In any case it is after `LOST_AFTER_LEASES` of silence.
        """
        if not self.any_heard(now):
            self.all_silent_at = now
        timing = self.context.shard.timing
        nodes = self.context.settings.facts.nodes
        return_us = (
            timing.heartbeat_interval_us * 5 // 4
            + WORKER_REQUEST_TIMEOUT_US
            + nodes * CONTROLLER_RETRY_INTERVAL_US
        )
        lost = [m for m in self.context.shard.machines.values() if m.lost]
        return now - self.all_silent_at > return_us or all(
            now - m.heard_at > LOST_AFTER_LEASES * timing.lease_us for m in lost
        )
