"""The duty of returning: machines that are recorded as to be returned are deleted in the cloud."""

import asyncio

import msgspec
from msgspec import Struct

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import Grant
from basaltlead.duties.history import Action, Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.machine_deletion import MOST_NAMES, MachineDeletion
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, SCALE_IN, StoredScaleIn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

PASS_INTERVAL_S = 0.5  # between two passes over the open returns, if none is added
RETRY_PAUSE_S = 0.2  # after the outcome of a return could not be recorded
MOST_REASON = 200  # characters of the cloud's reason that are recorded


class OpenReturn(Struct):
    """A recorded return, and those of its machines that are not deleted so far."""

    stored: StoredScaleIn
    version: int  # of its record
    undeleted: list[str]


class ReturnDuty(DutyHolder):
    """Follows the recorded returns, and carries out each. It deletes no other machines."""

    duty = Duty.RETURN

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.machine_deletion = MachineDeletion(self.cloud, self)
        self.returns: dict[str, OpenReturn] = {}  # by key
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Follow the recorded returns, and carry them out, until cancelled."""
        self.background.spawn(self._carry_out(), "loop return machines")
        await follow_rows(self.store, SCALE_IN, self.membership.watch_ms, self._put, self._drop)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        known = self.returns.get(key)
        if known is not None:
            known.version = max(known.version, version)
            return
        stored = msgspec.json.decode(raw, type=StoredScaleIn)
        self.returns[key] = OpenReturn(stored, version, list(stored.names))
        self.wake.set()

    def _drop(self, key: str) -> None:
        self.returns.pop(key, None)

    async def _carry_out(self) -> None:
        backoff = Backoff(500_000, 4_000_000, self.membership.rng)
        while True:
            await wait_for_event(self.wake, PASS_INTERVAL_S)
            if not self.holds_valid_lease:
                continue
            try:
                await self._delete_batch()
            except ServiceError as fault:
                log.info("deleting machines: no result, will be retried: %s", fault)
                await backoff.wait()
                continue
            backoff.reset()
            for key in [key for key, found in self.returns.items() if not found.undeleted]:
                await self._record_outcome(key)
            await self._record_rejections()

    async def _delete_batch(self) -> None:
        """Delete as many machines as one call takes, of several returns together."""
        now = now_us()
        undeleted = [name for found in self.returns.values() for name in found.undeleted]
        batch = list(dict.fromkeys(self.machine_deletion.due(undeleted, now)))[:MOST_NAMES]
        if not batch:
            return
        deleted = set(await self.machine_deletion.delete(batch, now))
        for found in self.returns.values():
            found.undeleted = [name for name in found.undeleted if name not in deleted]
        if len(undeleted) > len(batch):
            self.wake.set()

    async def _record_outcome(self, key: str) -> None:
        """Drop the records of the machines, then that of their return.

        If this is interrupted, the next holder finds the return, deletes the machines once more,
        which does nothing, and drops the remaining records.
        """
        found = self.returns.get(key)
        if found is None:
            return
        unchanged = Precondition(key, found.version)
        stored = found.stored
        records = [MACHINE + name for name in stored.names]
        # The last batch is dropped together with the return, in addition to the page of history.
        *batches, last = list(self.store.limits.delete_batches(records, extra_operations=2)) or [[]]
        try:
            for batch in batches:
                await self.store.compare_and_swap(
                    [*self.preconditions(), unchanged], list(map(Drop, batch)), low_priority=True
                )
            await self.history.commit(
                [unchanged],
                [*map(Drop, last), Drop(key)],
                Event.of(Action.RETURNED, key[len(SCALE_IN) :], stored.at, stored.names),
                low_priority=True,
            )
        except ServiceError as fault:
            log.info("%s: its outcome is not recorded, will be retried: %s", key, fault)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self.returns.pop(key, None)

    async def _record_rejections(self) -> None:
        """Show to operators why the cloud does not delete machines of a return."""
        rejected = self.machine_deletion.rejected
        for key, found in list(self.returns.items()):
            reasons = [rejected[name].reason for name in found.undeleted if name in rejected]
            if not reasons or found.stored.refused:
                continue
            changed = msgspec.structs.replace(found.stored, refused=reasons[0][:MOST_REASON])
            try:
                await self.history.commit(
                    [Precondition(key, found.version)],
                    [Put(key, changed)],
                    Event.of(
                        Action.REFUSED, key[len(SCALE_IN) :], found.stored.at, found.undeleted
                    ),
                    low_priority=True,
                )
            except ServiceError as fault:
                log.info("%s: its rejection is not recorded: %s", key, fault)
                continue
            found.stored = changed
