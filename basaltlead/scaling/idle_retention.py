"""A shard leader's side of quiet times: which idle machines are kept, and what is reserved for
them."""

import msgspec

from basaltlead.clients.base import Backoff
from basaltlead.core.entities import Machine
from basaltlead.core.offers import unit_price
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_budget import QuietBudget, StoredQuiet
from basaltlead.shard.leader import ShardLeader
from basaltlead.storage.records import QUIET


class IdleRetention:
    """Runs beside an Owner, if a calendar is configured."""

    def __init__(self, shard_leader: ShardLeader) -> None:
        assert shard_leader.quiet_times is not None
        assert shard_leader.settings.operator.quiet is not None
        self.shard_leader = shard_leader
        self.quiet_times = shard_leader.quiet_times
        self.key = f"{QUIET}{shard_leader.number}"
        most = (
            shard_leader.settings.operator.quiet.most_cost / shard_leader.settings.operator.shards
        )
        self.allowance = QuietBudget(most, self._reserve)
        self.loaded = False
        self.reserving = False

    async def load(self) -> None:
        """What an earlier shard leader has reserved."""
        backoff = Backoff(200_000, 2_000_000, self.shard_leader.membership.chance)
        while not self.loaded:
            try:
                row = await self.shard_leader.store.get(self.key)
            except (RequestFailed, Unavailable) as fault:
                log.info("reading quiet times: %s", fault)
                await backoff.rest()
                continue
            if row is not None:
                self.shard_leader.versions[self.key] = row.version
                self.allowance.load(msgspec.json.decode(row.value, type=StoredQuiet))
            self.loaded = True

    def begin(self, now: int) -> None:
        """A pass over the machines begins."""
        quiet = self.quiet_times.current() if self.loaded else None
        if self.allowance.begin(quiet, now) and not self.reserving:
            self.reserving = True
            self.shard_leader.spawn(self._reserve_more(), "reserve for quiet time")

    def keeps(self, machine: Machine) -> bool:
        """Is an idle machine kept?"""
        if not self.loaded or self.quiet_times.current() is None:
            return False
        return self.allowance.keeps(unit_price(machine.machine_type, machine.spot))

    async def _reserve_more(self) -> None:
        try:
            await self.allowance.reserve_more()
        finally:
            self.reserving = False

    async def _reserve(self, stored: StoredQuiet) -> bool:
        try:
            await self.shard_leader.put({self.key: stored})
        except (PreconditionFailed, RequestFailed, Unavailable, SessionLeaseExpired) as fault:
            log.info("reserving for a quiet time: %s", fault)
            return False
        return True
