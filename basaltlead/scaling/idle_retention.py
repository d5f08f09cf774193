"""Which idle machines of a shard are retained during quiet times.

Retaining them costs money, which is bounded by the operators' settings and reserved in the
key-value store before it is spent.
"""

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.core.entities import Machine
from basaltlead.core.offers import unit_price
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_budget import QuietBudget, StoredQuiet
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import QUIET

LOAD_SHORTEST_RETRY_US = 200_000
LOAD_LONGEST_RETRY_US = 2_000_000


class IdleRetention:
    """Decides for one shard which idle machines are retained, if a calendar is configured.

    No machine is retained before `load` has read what earlier shard leaders have reserved.
    """

    def __init__(self, context: ShardContext, quiet_times: QuietTimes) -> None:
        operator = context.settings.operator
        assert operator.quiet is not None
        self.context = context
        self.quiet_times = quiet_times
        self.key = f"{QUIET}{context.number}"
        self.budget = QuietBudget(operator.quiet.max_cost / operator.shards, self._reserve)
        self.loaded = False
        self.reserving = False

    async def load(self) -> None:
        """Read what earlier shard leaders have reserved; tries until it succeeds."""
        backoff = Backoff(
            LOAD_SHORTEST_RETRY_US, LOAD_LONGEST_RETRY_US, self.context.membership.rng
        )
        while not self.loaded:
            try:
                row = await self.context.store.get(self.key)
            except (RequestFailed, Unavailable) as fault:
                log.info("quiet time reservation not read: %s", fault)
                await backoff.wait()
                continue
            if row is not None:
                self.context.store.versions[self.key] = row.version
                self.budget.load(msgspec.json.decode(row.value, type=StoredQuiet))
            self.loaded = True

    def begin(self, now: int) -> None:
        """Begin a pass over the machines at `now` (steady clock); may reserve more money."""
        quiet = self.quiet_times.current() if self.loaded else None
        if self.budget.begin(quiet, now) and not self.reserving:
            self.reserving = True
            self.context.spawn(self._reserve_more(), "reserve for a quiet time")

    def keeps(self, machine: Machine) -> bool:
        """Is an idle machine retained until the next pass? If so, that is charged."""
        if not self.loaded or self.quiet_times.current() is None:
            return False
        return self.budget.keeps(unit_price(machine.machine_type, machine.spot))

    async def _reserve_more(self) -> None:
        try:
            await self.budget.reserve_more()
        finally:
            self.reserving = False

    async def _reserve(self, stored: StoredQuiet) -> bool:
        """Record a reservation; False if that is not confirmed."""
        try:
            await self.context.store.put({self.key: stored})
        except (PreconditionFailed, RequestFailed, Unavailable, SessionLeaseExpired) as fault:
            log.info("quiet time reservation not recorded: %s", fault)
            return False
        return True
