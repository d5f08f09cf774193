"""The duties that this controller holds at the moment."""

from basaltlead.duties.clean_up_duty import CleanUpDuty
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.model import (
    BASE_CLOUD_RATE_SHARE,
    CLOUD_RATE_SHARES,
    CLOUD_SILENCE_LIMIT_US,
    Duty,
)
from basaltlead.duties.reclaim_duty import ReclaimDuty
from basaltlead.duties.rent_duty import RentDuty
from basaltlead.duties.return_duty import ReturnDuty
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log

HOLDERS: dict[Duty, type[DutyHolder]] = {
    holder.duty: holder for holder in (RentDuty, ReturnDuty, ReclaimDuty, CleanUpDuty)
}


class HeldDuties:
    """Keeps one holder for each duty that is granted to this incarnation of the controller."""

    def __init__(self, services: DutyServices, callers: int) -> None:
        """Without granted duties, `callers` controllers share the cloud's rate of calls."""
        self.services = services
        self.membership = services.membership
        self.cloud = services.cloud
        self.callers = callers
        self.cloud_rate = 0.0  # calls a second that are ours at the moment
        self.holders: dict[Duty, DutyHolder] = {}

    def changed(self) -> None:
        """Stop and create holders by the grants that stand; called when the cluster changes."""
        if not self.membership.duty_keys:
            return
        for duty in Duty:
            held = self.membership.held_grant(duty.key) if self.membership.version else None
            holder = self.holders.get(duty)
            if holder is not None and (held is None or held.version != holder.version):
                log.info("duty %s: the grant is lost or was renewed, stopping its holder", duty)
                self.holders.pop(duty).stop()
                holder = None
            if holder is None and held is not None:
                holder = self.holders[duty] = HOLDERS[duty](self.services, held.value, held.version)
                # The new holder gets the whole limit to reach the cloud.
                self.cloud.reset_unanswered()
                holder.start()
        self._update_cloud_rate()

    def _update_cloud_rate(self) -> None:
        """Take our share of the cloud's rate: it counts the calls of all controllers together."""
        share = 1 / self.callers
        if self.membership.duties_granted:
            duty_shares = (CLOUD_RATE_SHARES.get(duty, 0.0) for duty in self.holders)
            share = BASE_CLOUD_RATE_SHARE + sum(duty_shares)
        rate = self.services.settings.facts.cloud.rps * share
        if rate != self.cloud_rate:
            self.cloud_rate = rate
            self.cloud.set_rate(rate)

    async def release_stepped_down(self) -> None:
        """Release the duties whose holders have stepped down, for other controllers to acquire."""
        self._step_down_without_cloud()
        for duty, holder in list(self.holders.items()):
            if holder.stepped_down and await self.membership.release(duty.key, leader_too=False):
                holder.stop()
                if self.holders.get(duty) is holder:  # else it was granted to us anew meanwhile
                    del self.holders[duty]
                self._update_cloud_rate()

    def _step_down_without_cloud(self) -> None:
        """Step down from the duties that need the cloud if it has not answered us for too long:
        another controller may reach it. An outage of the cloud is answered (503), and no reason
        to change the holder."""
        since = self.cloud.unanswered_since
        if (
            not since
            or now_us() - since < CLOUD_SILENCE_LIMIT_US
            or len(self.membership.cluster.members) < 2
        ):
            return
        for duty in CLOUD_RATE_SHARES:
            holder = self.holders.get(duty)
            if holder is not None and not holder.stepped_down:
                log.info("duty %s: no answer from the cloud for too long, releasing it", duty)
                holder.step_down()

    async def hand_over(self, key: str) -> bool:
        """Release a duty that a member without any should have. False if we do not hold it."""
        for duty, holder in self.holders.items():
            if duty.key == key and holder.holds_valid_lease:
                holder.step_down()
                await self.release_stepped_down()
                return True
        return False
