"""Executes recorded scale-out requests for the holder of the grant."""

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
REJECTED_PAUSE_S = 60.0  # before a request that the cloud has rejected is sent again
MAX_REASON_CHARS = 80  # of the cloud's reason, which is recorded
MAX_RECORDING_ATTEMPTS = 8

# Makes changes under preconditions. The holder of a duty also adds an event to its history.
Commit = Callable[[list[Precondition], Sequence[Put | Drop]], Awaitable[None]]
# Called with the cloud's reason when it rejects a request.
OnRejected = Callable[[str], Awaitable[None]]


class MachineRental:
    """Sends recorded requests to the cloud and records their outcome.

    A request is idempotent by its recorded name, as the cloud rents only once under a name. So a
    request that is sent twice, late, or by a replaced holder rents nothing more than was recorded.
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
        """Send a request until the cloud has executed it.

        Returns the names of the machines, or None if there is no capacity. Nothing is sent while
        the lease is not valid.
        """
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
            except RequestRejected as error:
                await self._wait_after_rejection(name, str(error), on_rejected)
            except (RequestFailed, Unavailable) as error:
                log.info("scale-out request %s: no result, will be retried: %s", name, error)
                await backoff.wait()
            else:
                log.info("scale-out request %s: rented %s", name, ", ".join(names))
                return names

    async def _wait_after_rejection(self, name: str, reason: str, on_rejected: OnRejected) -> None:
        """Log and report a rejection, and wait until the request may be sent again."""
        log.error("scale-out request %s rejected by the cloud: %s", name, reason)
        await on_rejected(reason)
        await asyncio.sleep(REJECTED_PAUSE_S)

    async def record_outcome(
        self, name: str, stored: StoredScaleOut | None, version: int, commit: Commit | None = None
    ) -> None:
        """Record the outcome of a request: `stored` with the machine names, or None to delete it.

        `version` is the version of the request's record and a precondition of the write. So a
        delayed duplicate of a write without a response can't create the record again after its
        deletion. Raises PreconditionFailed if the grant is lost.
        """
        key = SCALE_OUT + name
        change: Put | Drop = Drop(key) if stored is None else Put(key, stored)
        backoff = Backoff(200_000, 4_000_000, self.rng)
        for _ in range(MAX_RECORDING_ATTEMPTS):
            try:
                await (commit or self._write)([Precondition(key, version)], [change])
            except PreconditionFailed as conflict:
                if key not in conflict.failed:
                    raise
                return  # an earlier attempt was executed
            except TransactionTooLarge:
                return  # the names stay unrecorded, so the next holder sends the request again
            except (RequestFailed, Unavailable):
                await backoff.wait()
            else:
                return

    async def _write(
        self, preconditions: list[Precondition], changes: Sequence[Put | Drop]
    ) -> None:
        await self.store.compare_and_swap([*self.holder.preconditions(), *preconditions], changes)
