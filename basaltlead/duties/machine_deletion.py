"""Deleting machines in the cloud, so that one that it refuses holds up no other."""

from basaltlead.clients.cloud import Cloud
from basaltlead.duties.model import GrantHolder
from basaltlead.errors import RequestRejected
from basaltlead.runtime.logs import log

MOST_NAMES = 100  # the cloud deletes that many at once
REFUSED_PAUSE_US = 60_000_000  # before a machine that the cloud won't delete is tried again


class MachineDeletion:
    """Sends deletions under a grant. Deleting twice does nothing the second time."""

    def __init__(self, cloud: Cloud, holder: GrantHolder) -> None:
        self.cloud = cloud
        self.holder = holder
        self.refused: dict[str, tuple[int, str]] = {}  # when tried again, and the cloud's reason

    def _holds_valid_lease(self) -> bool:
        return self.holder.holds_valid_lease

    def due(self, names: list[str], now: int) -> list[str]:
        """Those that may be sent now."""
        return [name for name in names if now >= self.refused.get(name, (0, ""))[0]]

    async def delete(self, names: list[str], now: int) -> list[str]:
        """Try to delete these once; those that are gone. Raises what the cloud's trouble raises.

        A batch that the cloud refuses for good is halved until the names that it refuses stand
        alone."""
        try:
            await self.cloud.delete(names, self._holds_valid_lease)
        except RequestRejected as fault:
            if len(names) > 1:
                middle = len(names) // 2
                gone = await self.delete(names[:middle], now)
                return gone + await self.delete(names[middle:], now)
            log.error("machine %s can't be deleted: %s", names[0], fault)
            self.refused[names[0]] = (now + REFUSED_PAUSE_US, str(fault))
            return []
        for name in names:
            self.refused.pop(name, None)
        return names
