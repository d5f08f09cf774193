"""Carrying out rental requests that are recorded, for whoever holds the grant to do so."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from basaltlead.clients.base import Backoff, Unavailable
from basaltlead.clients.cloud import Cloud, NoCapacity, Refused
from basaltlead.duties.model import GrantHolder
from basaltlead.net.http import Failed
from basaltlead.runtime.logs import log
from basaltlead.storage.client import Conflict, State, TooLarge
from basaltlead.storage.records import HIRE, StoredHire
from basaltlead.wire.cloud import Hire
from basaltlead.wire.state import Drop, Guard, Put

IDLE_PAUSE_S = 0.5  # between two looks whether the grant is valid again
REFUSED_PAUSE_S = 60.0  # before a request that the cloud refuses for good is sent once more
MOST_REASON = 80  # characters of the cloud's reason that are recorded
MOST_TRIES = 8  # to record how a request ended

# Writes changes under guards; a duty's holder adds the page of its history.
Commit = Callable[[list[Guard], Sequence[Put | Drop]], Awaitable[None]]
# Called with the cloud's text when it refuses a request for good.
OnRefused = Callable[[str], Awaitable[None]]


class Renting:
    """Sends recorded requests to the cloud, and records how they ended.

    A request is sent under its recorded name only, so one that was sent twice, late, or by a
    holder that has been replaced, rents nothing beyond what was recorded.
    """

    def __init__(self, state: State, cloud: Cloud, holder: GrantHolder, chance: Random) -> None:
        self.state = state
        self.cloud = cloud
        self.holder = holder
        self.chance = chance

    def _acts(self) -> bool:
        return self.holder.acts

    async def ask(self, name: str, stored: StoredHire, refused: OnRefused) -> list[str] | None:
        """See a request through to the cloud's answer: the machines, or None if there are none to
        be had."""
        backoff = Backoff(200_000, 4_000_000, self.chance)
        request = Hire(name, stored.kind, stored.zone, stored.spot, stored.number)
        while True:
            if not self.holder.acts:
                await asyncio.sleep(IDLE_PAUSE_S)
                continue
            try:
                names = await self.cloud.hire(request, self._acts)
            except NoCapacity:
                spot = " (spot)" if stored.spot else ""
                log.info("no capacity: %s in %s%s", stored.kind, stored.zone, spot)
                return None
            except Refused as fault:
                log.error("hire %s is refused: %s", name, fault)
                await refused(str(fault))
                await asyncio.sleep(REFUSED_PAUSE_S)
            except (Failed, Unavailable) as fault:
                log.info("hire %s: %s", name, fault)
                await backoff.rest()
            else:
                log.info("hired %s: %s", name, ", ".join(names))
                return names

    async def settle(
        self, name: str, stored: StoredHire | None, version: int, commit: Commit | None = None
    ) -> None:
        """Record how a request ended. Guarded on its record as it was before: a try that goes
        unanswered must not bring the record back once it has been dropped."""
        key = HIRE + name
        change: Put | Drop = Drop(key) if stored is None else Put(key, stored)
        backoff = Backoff(200_000, 4_000_000, self.chance)
        for _ in range(MOST_TRIES):
            try:
                await (commit or self._write)([Guard(key, version)], [change])
                return
            except Conflict as conflict:
                if key not in conflict.failed:
                    raise
                return  # an earlier try was carried out
            except TooLarge:
                return  # without the names, the next holder asks for them again
            except (Failed, Unavailable):
                await backoff.rest()

    async def _write(self, guards: list[Guard], changes: Sequence[Put | Drop]) -> None:
        await self.state.multi([*self.holder.guards(), *guards], changes)
