"""A shard leader's side of quiet times: which idle machines are kept, and what is reserved for
them."""

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.core.entities import Machine
from basaltlead.core.offers import unit_price
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_budget import QuietBudget, StoredQuiet
from basaltlead.scaling.quiet_times import QuietTimes
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import QUIET


class IdleRetention:
    """Runs beside a shard leader, if a calendar is configured."""

    def __init__(self, context: ShardContext, quiet_times: QuietTimes) -> None:
        operator = context.settings.operator
        assert operator.quiet is not None
        self.context = context
        self.quiet_times = quiet_times
        self.key = f"{QUIET}{context.number}"
        self.allowance = QuietBudget(operator.quiet.most_cost / operator.shards, self._reserve)
        self.loaded = False
        self.reserving = False

    async def load(self) -> None:
        """What an earlier shard leader has reserved."""
        backoff = Backoff(200_000, 2_000_000, self.context.membership.chance)
        while not self.loaded:
            try:
                row = await self.context.store.get(self.key)
            except (RequestFailed, Unavailable) as fault:
                log.info("reading quiet times: %s", fault)
                await backoff.wait()
                continue
            if row is not None:
                self.context.store.versions[self.key] = row.version
                self.allowance.load(msgspec.json.decode(row.value, type=StoredQuiet))
            self.loaded = True

    def begin(self, now: int) -> None:
        """A pass over the machines begins."""
        quiet = self.quiet_times.current() if self.loaded else None
        if self.allowance.begin(quiet, now) and not self.reserving:
            self.reserving = True
            self.context.spawn(self._reserve_more(), "reserve for quiet time")

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
            await self.context.store.put({self.key: stored})
        except (PreconditionFailed, RequestFailed, Unavailable, SessionLeaseExpired) as fault:
            log.info("reserving for a quiet time: %s", fault)
            return False
        return True
