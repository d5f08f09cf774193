"""The duties that this controller currently holds."""

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

HOLDER_TYPES: dict[Duty, type[DutyHolder]] = {
    holder_type.duty: holder_type
    for holder_type in (RentDuty, ReturnDuty, ReclaimDuty, CleanUpDuty)
}


class HeldDuties:
    """Keeps a `DutyHolder` for each duty that is granted to this incarnation of the controller."""

    def __init__(self, services: DutyServices, controller_count: int) -> None:
        """`controller_count` controllers share the cloud's rate limit while no duty is granted."""
        self.services = services
        self.membership = services.membership
        self.cloud = services.cloud
        self.controller_count = controller_count
        self.cloud_rate = 0.0  # this controller's current share, in calls per second
        self.holders: dict[Duty, DutyHolder] = {}

    def reconcile(self) -> None:
        """Stop and create holders to match the current grants; called when the cluster changes."""
        if not self.membership.duty_keys:
            return
        for duty in Duty:
            held = self.membership.held_grant(duty.key) if self.membership.version else None
            holder = self.holders.get(duty)
            if holder is not None and (held is None or held.version != holder.version):
                log.info("duty %s: grant lost or replaced, stopping its holder", duty)
                self.holders.pop(duty).stop()
                holder = None
            if holder is None and held is not None:
                holder = self.holders[duty] = HOLDER_TYPES[duty](
                    self.services, held.value, held.version
                )
                # The new holder gets the full CLOUD_SILENCE_LIMIT_US to reach the cloud.
                self.cloud.reset_unanswered()
                holder.start()
        self._update_cloud_rate()

    def _update_cloud_rate(self) -> None:
        """Limit the calls to the cloud to this controller's share of the common rate limit."""
        share = 1 / self.controller_count
        if self.membership.duties_granted:
            duty_shares = (CLOUD_RATE_SHARES.get(duty, 0.0) for duty in self.holders)
            share = BASE_CLOUD_RATE_SHARE + sum(duty_shares)
        rate = self.services.settings.facts.cloud.rps * share
        if rate != self.cloud_rate:
            self.cloud_rate = rate
            self.cloud.set_rate(rate)

    async def release_stepped_down(self) -> None:
        """Release the duties whose holders have stepped down, so that others can acquire them."""
        self._step_down_without_cloud()
        for duty, holder in list(self.holders.items()):
            if holder.stepped_down and await self.membership.release(
                duty.key, release_leadership=False
            ):
                holder.stop()
                if self.holders.get(duty) is holder:  # else it was granted here again meanwhile
                    del self.holders[duty]
                self._update_cloud_rate()

    def _step_down_without_cloud(self) -> None:
        """Step down from the duties that need the cloud if it has not responded for too long.

        Another controller may be able to reach it. During an outage of its own, the cloud responds
        with 503, which is no reason to change the holder.
        """
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
                log.info("duty %s: no response from the cloud for too long, releasing it", duty)
                holder.step_down()

    async def hand_over(self, key: str) -> bool:
        """Release a duty so that a member without any duty can acquire it.

        Returns False if this controller does not hold it.
        """
        for duty, holder in self.holders.items():
            if duty.key == key and holder.holds_valid_lease:
                holder.step_down()
                await self.release_stepped_down()
                return True
        return False
