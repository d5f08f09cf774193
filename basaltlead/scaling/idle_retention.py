"""Decides which idle machines of a shard are retained during quiet times.

Retained machines cost money. The operators' settings limit the amount, and it is reserved in the
key-value store before it is spent.
"""

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.core.entities import Machine
from basaltlead.core.offers import unit_price
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.errors import PreconditionFailed, RequestFailed, SessionLeaseExpired, Unavailable
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_budget import QuietBudget, StoredQuietReservation
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import QUIET

MIN_LOAD_RETRY_DELAY_US = 200_000
MAX_LOAD_RETRY_DELAY_US = 2_000_000


class IdleRetention:
    """Retains idle machines of one shard within its budget.

    It exists only if a calendar is configured. No machine is retained before `load` has read what
    earlier shard leaders reserved.
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
        """Read what earlier shard leaders reserved. Retries until it succeeds."""
        backoff = Backoff(
            MIN_LOAD_RETRY_DELAY_US, MAX_LOAD_RETRY_DELAY_US, self.context.membership.rng
        )
        while not self.loaded:
            try:
                row = await self.context.store.get(self.key)
            except (RequestFailed, Unavailable) as error:
                log.info("quiet time reservation not read: %s", error)
                await backoff.wait()
                continue
            if row is not None:
                self.context.store.versions[self.key] = row.version
                self.budget.load(msgspec.json.decode(row.value, type=StoredQuietReservation))
            self.loaded = True

    def begin_pass(self, now: int) -> None:
        """Begin a pass over the machines at `now` on the monotonic clock; may reserve money."""
        quiet = self.quiet_times.current() if self.loaded else None
        if self.budget.begin_pass(quiet, now) and not self.reserving:
            self.reserving = True
            self.context.spawn(self._reserve_more(), "reserve for a quiet time")

    def retain(self, machine: Machine) -> bool:
        """Retain an idle machine until the next pass and charge its cost to the budget.

        Returns False if the machine is not retained.
        """
        if not self.loaded or self.quiet_times.current() is None:
            return False
        return self.budget.charge(unit_price(machine.machine_type, machine.spot))

    async def _reserve_more(self) -> None:
        try:
            await self.budget.reserve_more()
        finally:
            self.reserving = False

    async def _reserve(self, stored: StoredQuietReservation) -> bool:
        """Record a reservation. False if the store has not confirmed it."""
        try:
            await self.context.store.put({self.key: stored})
        except (PreconditionFailed, RequestFailed, Unavailable, SessionLeaseExpired) as error:
            log.info("quiet time reservation not recorded: %s", error)
            return False
        return True
