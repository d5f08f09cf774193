"""The holder of one duty: it lives from the grant of the duty until that is lost."""

from typing import TYPE_CHECKING

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import Grant
from basaltlead.duties.history import History, event
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Precondition

if TYPE_CHECKING:
    from basaltlead.scaling.quiet_times import QuietTimes


class DutyHolder:
    """What all duties have in common. A new grant means a new holder."""

    duty: Duty

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        store: KeyValueStore,
        cloud: Cloud,
        grant: Grant,
        version: int,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.store = store
        self.cloud = cloud
        self.grant = grant
        self.version = version
        self.quiet_times: QuietTimes | None = None
        self.stepped_down = False  # we have stopped acting, for good
        self.background = BackgroundTasks(self.step_down)
        self.history = History(store, self, self.duty, membership.name, grant.fencing_token)

    @property
    def holds_valid_lease(self) -> bool:
        """The session lease and the grant are provably valid, and every member knows duties."""
        return (
            self.membership.holds_valid_lease
            and not self.stepped_down
            and self.membership.incarnation == self.grant.incarnation
            and self.membership.duties_granted
        )

    def preconditions(self) -> list[Precondition]:
        """What every write of the holder is guarded on."""
        return [self.membership.precondition(), Precondition(self.duty.key, self.version)]

    def step_down(self) -> None:
        """Stop acting: the duty is handed back for another controller to take."""
        self.stepped_down = True
        self.membership.wake.set()

    def start(self) -> None:
        self.background.spawn(self._begin(), f"loop {self.duty}")

    def stop(self) -> None:
        self.stepped_down = True
        self.background.cancel()

    async def _begin(self) -> None:
        backoff = Backoff(100_000, 1_000_000, self.membership.chance)
        while True:
            try:
                await self.history.load()
                await self.history.commit([], [], event("taken up"))
                break
            except ServiceError as fault:
                log.info("taking up duty %s: %s", self.duty, fault)
                await backoff.wait()
        log.info("duty %s taken up with fencing token %d", self.duty, self.grant.fencing_token)
        await self.run()

    async def run(self) -> None:
        """The duty itself."""
        raise NotImplementedError
