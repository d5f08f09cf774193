"""Deletes machines in the cloud; a rejected deletion does not block others."""

from typing import NamedTuple

from basaltlead.clients.cloud import Cloud
from basaltlead.core.jobs import US
from basaltlead.duties.model import GrantHolder
from basaltlead.errors import RequestRejected
from basaltlead.runtime.logs import log

MAX_DELETIONS_PER_CALL = 100  # the cloud's limit
REJECTED_PAUSE_US = 60 * US  # before a deletion that the cloud has rejected is sent again


class RejectedDeletion(NamedTuple):
    """A rejected deletion of one machine."""

    retry_at: int  # on the monotonic clock, in microseconds
    reason: str


class MachineDeletion:
    """Sends deletions under a grant.

    Deleting a machine twice is harmless, as the cloud never reuses the names of machines.
    """

    def __init__(self, cloud: Cloud, holder: GrantHolder) -> None:
        self.cloud = cloud
        self.holder = holder
        self.rejected: dict[str, RejectedDeletion] = {}  # by machine

    def _holds_valid_lease(self) -> bool:
        return self.holder.holds_valid_lease

    def due(self, names: list[str], now: int) -> list[str]:
        """The machines among `names` whose deletion may be sent now."""
        rejected = self.rejected
        return [name for name in names if name not in rejected or now >= rejected[name].retry_at]

    async def delete(self, names: list[str], now: int) -> list[str]:
        """Try once to delete machines, and return those that are deleted. Raises ServiceError.

        A rejected batch is split in halves until the rejected machines are isolated.
        """
        try:
            await self.cloud.delete(names, self._holds_valid_lease)
        except RequestRejected as error:
            if len(names) < 2:
                self._note_rejection(names[0], str(error), now)
                return []
            middle = len(names) // 2
            deleted = await self.delete(names[:middle], now)
            return deleted + await self.delete(names[middle:], now)
        for name in names:
            self.rejected.pop(name, None)
        return names

    def _note_rejection(self, name: str, reason: str, now: int) -> None:
        log.error("machine %s: deletion rejected by the cloud: %s", name, reason)
        self.rejected[name] = RejectedDeletion(now + REJECTED_PAUSE_US, reason)
