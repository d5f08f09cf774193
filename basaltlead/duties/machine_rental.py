"""Carrying out rental requests that are recorded, for whoever holds the grant to do so."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.duties.model import GrantHolder
from basaltlead.errors import (
    NoCapacity,
    PreconditionFailed,
    RequestFailed,
    RequestRejected,
    TransactionTooLarge,
    Unavailable,
)
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.wire.cloud import RentRequest
from basaltlead.wire.store import Drop, Precondition, Put

IDLE_PAUSE_S = 0.5  # between two looks whether the grant is valid again
REFUSED_PAUSE_S = 60.0  # before a request that the cloud refuses for good is sent once more
MOST_REASON = 80  # characters of the cloud's reason that are recorded
MOST_TRIES = 8  # to record how a request ended

# Writes changes under guards; a duty's holder adds the page of its history.
Commit = Callable[[list[Precondition], Sequence[Put | Drop]], Awaitable[None]]
# Called with the cloud's text when it refuses a request for good.
OnRefused = Callable[[str], Awaitable[None]]


class MachineRental:
    """Sends recorded requests to the cloud, and records how they ended.

    A request is sent under its recorded name only, so one that was sent twice, late, or by a
    holder that has been replaced, rents nothing beyond what was recorded.
    """

    def __init__(
        self, store: KeyValueStore, cloud: Cloud, holder: GrantHolder, chance: Random
    ) -> None:
        self.store = store
        self.cloud = cloud
        self.holder = holder
        self.chance = chance

    def _holds_valid_lease(self) -> bool:
        return self.holder.holds_valid_lease

    async def ask(self, name: str, stored: StoredScaleOut, refused: OnRefused) -> list[str] | None:
        """See a request through to the cloud's answer: the machines, or None if there are none to
        be had."""
        backoff = Backoff(200_000, 4_000_000, self.chance)
        request = RentRequest(name, stored.type_name, stored.zone, stored.spot, stored.number)
        while True:
            if not self.holder.holds_valid_lease:
                await asyncio.sleep(IDLE_PAUSE_S)
                continue
            try:
                names = await self.cloud.rent(request, self._holds_valid_lease)
            except NoCapacity:
                spot = " (spot)" if stored.spot else ""
                log.info("no capacity: %s in %s%s", stored.type_name, stored.zone, spot)
                return None
            except RequestRejected as fault:
                log.error("hire %s is refused: %s", name, fault)
                await refused(str(fault))
                await asyncio.sleep(REFUSED_PAUSE_S)
            except (RequestFailed, Unavailable) as fault:
                log.info("hire %s: %s", name, fault)
                await backoff.wait()
            else:
                log.info("hired %s: %s", name, ", ".join(names))
                return names

    async def settle(
        self, name: str, stored: StoredScaleOut | None, version: int, commit: Commit | None = None
    ) -> None:
        """Record how a request ended. Guarded on its record as it was before: a try that goes
        unanswered must not bring the record back once it has been dropped."""
        key = SCALE_OUT + name
        change: Put | Drop = Drop(key) if stored is None else Put(key, stored)
        backoff = Backoff(200_000, 4_000_000, self.chance)
        for _ in range(MOST_TRIES):
            try:
                await (commit or self._write)([Precondition(key, version)], [change])
                return
            except PreconditionFailed as conflict:
                if key not in conflict.failed:
                    raise
                return  # an earlier try was carried out
            except TransactionTooLarge:
                return  # without the names, the next holder asks for them again
            except (RequestFailed, Unavailable):
                await backoff.wait()

    async def _write(
        self, preconditions: list[Precondition], changes: Sequence[Put | Drop]
    ) -> None:
        await self.store.compare_and_swap([*self.holder.preconditions(), *preconditions], changes)
