"""The duties that this controller holds at the moment: taken up and let go with their grants."""

from typing import TYPE_CHECKING

from basaltlead.clients.cloud import Cloud
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.duties.clean_up_duty import CleanUpDuty
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import CLOUD_PATIENCE_US, CLOUD_SHARES, LEAST_CLOUD_SHARE, Duty
from basaltlead.duties.reclaim_duty import ReclaimDuty
from basaltlead.duties.rent_duty import RentDuty
from basaltlead.duties.return_duty import ReturnDuty
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore

if TYPE_CHECKING:
    from basaltlead.scaling.quiet_times import QuietTimes

HOLDERS: dict[Duty, type[DutyHolder]] = {
    holder.duty: holder for holder in (RentDuty, ReturnDuty, ReclaimDuty, CleanUpDuty)
}


class HeldDuties:
    """Keeps one holder for each duty that is granted to this very incarnation."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        store: KeyValueStore,
        cloud: Cloud,
        callers: int,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.store = store
        self.cloud = cloud
        self.callers = callers  # controllers that call the cloud while duties are not granted
        self.cloud_rate = 0.0
        self.holders: dict[Duty, DutyHolder] = {}
        self.quiet_times: QuietTimes | None = None

    def changed(self) -> None:
        """The cluster has changed."""
        if not self.membership.duty_keys:
            return
        for duty in Duty:
            held = self.membership.held_grant(duty.key) if self.membership.version else None
            holder = self.holders.get(duty)
            if holder is not None and (held is None or held[1] != holder.version):
                log.info("duty %s let go", duty)
                self.holders.pop(duty).stop()
                holder = None
            if holder is None and held is not None:
                self.holders[duty] = HOLDERS[duty](
                    self.settings, self.membership, self.store, self.cloud, *held
                )
                self.holders[duty].quiet_times = self.quiet_times
                self.cloud.reset_unanswered()  # it has its own time to find out
                self.holders[duty].start()
        self._share_cloud()

    def _share_cloud(self) -> None:
        """The cloud counts all controllers' calls together: each duty has its part of them."""
        share = 1 / self.callers
        if self.membership.duties_granted:
            share = LEAST_CLOUD_SHARE + sum(CLOUD_SHARES.get(duty, 0.0) for duty in self.holders)
        rate = self.settings.facts.cloud.rps * share
        if rate != self.cloud_rate:
            self.cloud_rate = rate
            self.cloud.use_rate(rate)

    async def release_stepped_down(self) -> None:
        """Give up duties of ours whose work has failed, for others to take."""
        self._step_down_without_cloud()
        for duty, holder in list(self.holders.items()):
            if holder.stepped_down and await self.membership.release(duty.key, leader_too=False):
                holder.stop()
                if self.holders.get(duty) is holder:  # else it was granted to us anew meanwhile
                    del self.holders[duty]
                self._share_cloud()

    def _step_down_without_cloud(self) -> None:
        """While the cloud gives us no answer at all, others may reach it. Its outages are
        answered (503), and no reason to change the holder."""
        since = self.cloud.unanswered_since
        if (
            not since
            or now_us() - since < CLOUD_PATIENCE_US
            or len(self.membership.cluster.members) < 2
        ):
            return
        for duty in CLOUD_SHARES:
            holder = self.holders.get(duty)
            if holder is not None and not holder.stepped_down:
                log.info("duty %s: the cloud gives no answer, handing it back", duty)
                holder.step_down()

    async def hand_over(self, key: str) -> bool:
        """Hand back a duty that a member without any should have. False: it is none of ours."""
        for duty, holder in self.holders.items():
            if duty.key == key and holder.holds_valid_lease:
                holder.step_down()
                await self.release_stepped_down()
                return True
        return False
