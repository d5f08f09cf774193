"""Carrying out scale-out requests that are recorded, for whoever holds the grant to do so."""

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

LEASE_CHECK_PAUSE_S = 0.5  # between two checks whether the lease is valid again
REJECTED_PAUSE_S = 60.0  # before a request that the cloud has rejected is sent once more
MOST_REASON = 80  # characters of the cloud's reason that are recorded
MOST_RECORDING_ATTEMPTS = 8

# Makes changes under preconditions; a duty's holder adds an event to its history.
Commit = Callable[[list[Precondition], Sequence[Put | Drop]], Awaitable[None]]
# Called with the cloud's text when it rejects a request.
OnRejected = Callable[[str], Awaitable[None]]


class MachineRental:
    """Sends recorded requests to the cloud, and records their outcome.

    A request is sent under its recorded name only, and the cloud rents once under a name. So a
    request that is sent twice, late, or by a holder that has been replaced rents nothing beyond
    what was recorded.
    """

    def __init__(
        self, store: KeyValueStore, cloud: Cloud, holder: GrantHolder, rng: Random
    ) -> None:
        self.store = store
        self.cloud = cloud
        self.holder = holder
        self.rng = rng

    def _holds_valid_lease(self) -> bool:
        return self.holder.holds_valid_lease

    async def rent(
        self, name: str, stored: StoredScaleOut, on_rejected: OnRejected
    ) -> list[str] | None:
        """Send a request until the cloud has carried it out; the names of the machines, or None if
        there is no capacity. Nothing is sent while the lease is not valid."""
        backoff = Backoff(200_000, 4_000_000, self.rng)
        request = RentRequest(name, stored.type_name, stored.zone, stored.spot, stored.number)
        while True:
            if not self.holder.holds_valid_lease:
                await asyncio.sleep(LEASE_CHECK_PAUSE_S)
                continue
            try:
                names = await self.cloud.rent(request, self._holds_valid_lease)
            except NoCapacity:
                spot = " (spot)" if stored.spot else ""
                log.info(
                    "scale-out request %s: no capacity: %s in %s%s",
                    name,
                    stored.type_name,
                    stored.zone,
                    spot,
                )
                return None
            except RequestRejected as fault:
                await self._wait_after_rejection(name, str(fault), on_rejected)
            except (RequestFailed, Unavailable) as fault:
                log.info("scale-out request %s: no result, will be retried: %s", name, fault)
                await backoff.wait()
            else:
                log.info("scale-out request %s: rented %s", name, ", ".join(names))
                return names

    async def _wait_after_rejection(self, name: str, reason: str, on_rejected: OnRejected) -> None:
        """Log and report a rejection, and wait until the request may be sent once more."""
        log.error("scale-out request %s is rejected by the cloud: %s", name, reason)
        await on_rejected(reason)
        await asyncio.sleep(REJECTED_PAUSE_S)

    async def record_outcome(
        self, name: str, stored: StoredScaleOut | None, version: int, commit: Commit | None = None
    ) -> None:
        """Record the outcome of a request whose record has this version: `stored` with the names
        of the machines, or None, which drops the record. Raises PreconditionFailed if the grant is
        lost.

        The write has the record's version as a precondition: a late copy of an attempt that was
        not answered must not bring the record back once it has been dropped.
        """
        key = SCALE_OUT + name
        change: Put | Drop = Drop(key) if stored is None else Put(key, stored)
        backoff = Backoff(200_000, 4_000_000, self.rng)
        for _ in range(MOST_RECORDING_ATTEMPTS):
            try:
                await (commit or self._write)([Precondition(key, version)], [change])
            except PreconditionFailed as conflict:
                if key not in conflict.failed:
                    raise
                return  # an earlier attempt was carried out
            except TransactionTooLarge:
                return  # without the names, the next holder sends the request again
            except (RequestFailed, Unavailable):
                await backoff.wait()
            else:
                return

    async def _write(
        self, preconditions: list[Precondition], changes: Sequence[Put | Drop]
    ) -> None:
        await self.store.compare_and_swap([*self.holder.preconditions(), *preconditions], changes)
