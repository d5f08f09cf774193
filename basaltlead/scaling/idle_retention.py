"""An owner's side of quiet times: which idle machines are kept, and what is reserved for them."""

import msgspec

from basaltlead.clients.base import Backoff, Unavailable
from basaltlead.core import fleet_sizing
from basaltlead.core.model import Machine
from basaltlead.net.http import Failed
from basaltlead.runtime.logs import log
from basaltlead.scaling.quiet_budget import QuietAllowance, StoredQuiet
from basaltlead.shard.leader import Owner
from basaltlead.storage.client import Conflict, SessionLeaseExpired
from basaltlead.storage.records import QUIET


class QuietKeeping:
    """Runs beside an Owner, if a calendar is configured."""

    def __init__(self, owner: Owner) -> None:
        assert owner.quiet_times is not None
        assert owner.settings.operator.quiet is not None
        self.owner = owner
        self.quiet_times = owner.quiet_times
        self.key = f"{QUIET}{owner.number}"
        most = owner.settings.operator.quiet.most_cost / owner.settings.operator.blocks
        self.allowance = QuietAllowance(most, self._reserve)
        self.loaded = False
        self.reserving = False

    async def load(self) -> None:
        """What an earlier owner has reserved."""
        backoff = Backoff(200_000, 2_000_000, self.owner.member.chance)
        while not self.loaded:
            try:
                row = await self.owner.state.get(self.key)
            except (Failed, Unavailable) as fault:
                log.info("reading quiet times: %s", fault)
                await backoff.rest()
                continue
            if row is not None:
                self.owner.versions[self.key] = row.version
                self.allowance.load(msgspec.json.decode(row.value, type=StoredQuiet))
            self.loaded = True

    def begin(self, now: int) -> None:
        """A pass over the machines begins."""
        quiet = self.quiet_times.current() if self.loaded else None
        if self.allowance.begin(quiet, now) and not self.reserving:
            self.reserving = True
            self.owner.spawn(self._reserve_more(), "reserve for quiet time")

    def keeps(self, machine: Machine) -> bool:
        """Is an idle machine kept?"""
        if not self.loaded or self.quiet_times.current() is None:
            return False
        return self.allowance.keeps(fleet_sizing.unit_price(machine.kind, machine.spot))

    async def _reserve_more(self) -> None:
        try:
            await self.allowance.reserve_more()
        finally:
            self.reserving = False

    async def _reserve(self, stored: StoredQuiet) -> bool:
        try:
            await self.owner.put({self.key: stored})
        except (Conflict, Failed, Unavailable, SessionLeaseExpired) as fault:
            log.info("reserving for a quiet time: %s", fault)
            return False
        return True
