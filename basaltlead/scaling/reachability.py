"""Who is heard, and whether silence is more likely the machines' trouble or our own."""

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.silent_zones import SILENT_COUNT
from basaltlead.runtime.clock import now_us
from basaltlead.shard.context import ShardContext

BLIND_LEASES = 4  # after so long of hearing nobody we believe that they are gone
ANSWER_US = 4 * US  # for how long a worker waits for an answer; it tries others a second apart
UNREACHABLE_US = 4 * US  # a machine that has not heard us for so long is no capacity


class Reachability:
    """What a shard leader's reports tell of its links."""

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self.silent_at = now_us()  # when nobody was heard

    @staticmethod
    def unreachable(machine: Machine, now: int) -> bool:
        """Have our orders not reached it for a while, although its reports reach us?"""
        return bool(machine.unreachable_since) and now - machine.unreachable_since > UNREACHABLE_US

    def blind(self, now: int) -> bool:
        """Have several machines fallen silent, and nobody is heard? For a while that is more
        likely our own trouble than theirs, and we would not hear of new ones either."""
        lease = self.context.shard.timing.lease_us
        heard = [m.heard_at for m in self.context.shard.machines.values() if m.up and m.heard_at]
        silent = len(heard) >= SILENT_COUNT and not self.anybody_heard(now)
        return silent and now - max(heard) < BLIND_LEASES * lease

    def heard(self, machine: Machine, now: int) -> bool:
        """Has it reported lately, lost answers and all?"""
        recent = max(4 * US, 3 * self.context.shard.timing.heartbeat_interval_us)
        return bool(machine.heard_at) and now - machine.heard_at < recent

    def anybody_heard(self, now: int) -> bool:
        """Has any machine reported lately?"""
        return any(self.heard(m, now) for m in self.context.shard.machines.values())

    def heard_by_zone(self, now: int) -> dict[str, list[bool]]:
        """Of each zone, which of the machines that were ever heard still are."""
        out: dict[str, list[bool]] = {}
        for machine in self.context.shard.machines.values():
            if machine.up and machine.heard_at:
                is_heard = not machine.lost and self.heard(machine, now)
                out.setdefault(machine.zone, []).append(is_heard)
        return out

    def others_heard(self, now: int) -> bool:
        """Have others been heard all the time a worker may take to find us again? When all were
        silent at once, those that are not back with the first one are not lost for that."""
        if not self.anybody_heard(now):
            self.silent_at = now
        timing = self.context.shard.timing
        nodes = self.context.settings.facts.nodes
        back_us = timing.heartbeat_interval_us * 5 // 4 + ANSWER_US + nodes * US
        lost = [m for m in self.context.shard.machines.values() if m.lost]
        return now - self.silent_at > back_us or all(
            now - m.heard_at > BLIND_LEASES * timing.lease_us for m in lost
        )
