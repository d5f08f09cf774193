"""The base class of duty holders. A holder acts from the grant of a duty until that grant ends."""

from abc import ABC, abstractmethod

from msgspec import Struct

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import Grant
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.duties.history import Action, Event, History
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Precondition


class DutyServices(Struct, frozen=True):
    """The dependencies that all duty holders of a process share."""

    settings: Settings
    membership: Membership
    store: KeyValueStore
    cloud: Cloud
    quiet_times: QuietTimes | None  # None if no calendar is configured


class DutyHolder(ABC):
    """Holds one duty under one grant. Each new grant of a duty gets a new holder."""

    duty: Duty

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        """`version` is the version of the grant's key in the store."""
        self.settings = services.settings
        self.membership = services.membership
        self.store = services.store
        self.cloud = services.cloud
        self.grant = grant
        self.version = version
        self.stepped_down = False  # set once, when the holder stops acting
        self.background = BackgroundTasks(self.step_down)
        self.history = History(
            self.store, self, self.duty, self.membership.name, grant.fencing_token
        )

    @property
    def holds_valid_lease(self) -> bool:
        """Whether the holder may act now. Check it immediately before sending.

        It requires that the session lease and the grant are provably valid, and that every member
        of the cluster supports duties with grants of their own.
        """
        return (
            self.membership.holds_valid_lease
            and not self.stepped_down
            and self.membership.incarnation == self.grant.incarnation
            and self.membership.duties_granted
        )

    def preconditions(self) -> list[Precondition]:
        """The preconditions of each write: this member's key and the duty's key are unchanged.

        With them, the store rejects late writes even if the local clock shows a valid lease
        (test_late_transaction_of_a_replaced_holder_is_refused).
        """
        return [self.membership.precondition(), Precondition(self.duty.key, self.version)]

    def step_down(self) -> None:
        """Stop acting. The duty is then released, so that another controller can acquire it."""
        self.stepped_down = True
        self.membership.wake.set()

    def start(self) -> None:
        """Start the duty's background tasks."""
        self.background.spawn(self._begin(), f"loop {self.duty}")

    def stop(self) -> None:
        """Stop acting and cancel the background tasks."""
        self.stepped_down = True
        self.background.cancel()

    async def _begin(self) -> None:
        await self._record_acquisition()
        log.info("duty %s acquired with fencing token %d", self.duty, self.grant.fencing_token)
        await self.run()

    async def _record_acquisition(self) -> None:
        backoff = Backoff(100_000, 1_000_000, self.membership.rng)
        while True:
            try:
                await self.history.load()
                await self.history.commit([], [], Event.of(Action.ACQUIRED))
            except ServiceError as error:
                log.info(
                    "duty %s: acquisition not recorded, will be retried: %s",
                    self.duty,
                    error,
                )
                await backoff.wait()
            else:
                return

    @abstractmethod
    async def run(self) -> None:
        """Perform the duty until cancelled."""
