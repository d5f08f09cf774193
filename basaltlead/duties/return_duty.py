"""The return duty: has the cloud delete the machines of the recorded scale-ins."""

import asyncio

import msgspec
from msgspec import Struct

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import Grant
from basaltlead.duties.history import Action, Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.machine_deletion import MAX_DELETIONS_PER_CALL, MachineDeletion
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, SCALE_IN, StoredScaleIn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

PASS_INTERVAL_S = 0.5  # between two passes over the open scale-ins, if none is added
RETRY_PAUSE_S = 0.2  # after the outcome of a scale-in could not be recorded
MAX_REASON_CHARS = 200  # of the cloud's reason, which is recorded


class OpenScaleIn(Struct):
    """A recorded scale-in, with those of its machines that are not deleted yet."""

    stored: StoredScaleIn
    version: int  # of its record
    undeleted: list[str]


class ReturnDuty(DutyHolder):
    """Watches the scale-in records, and deletes their machines in the cloud, but no others."""

    duty = Duty.RETURN

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.machine_deletion = MachineDeletion(self.cloud, self)
        self.open_scale_ins: dict[str, OpenScaleIn] = {}  # by key
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Watch the scale-in records and delete their machines until cancelled."""
        self.background.spawn(self._execute(), "loop return machines")
        await follow_rows(
            self.store, SCALE_IN, self.membership.watch_timeout_ms, self._put, self._drop
        )

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        known = self.open_scale_ins.get(key)
        if known is not None:  # the record changes only in the reason of a rejection
            known.version = max(known.version, version)
            return
        stored = msgspec.json.decode(raw, type=StoredScaleIn)
        self.open_scale_ins[key] = OpenScaleIn(stored, version, list(stored.names))
        self.wake.set()

    def _drop(self, key: str) -> None:
        self.open_scale_ins.pop(key, None)

    async def _execute(self) -> None:
        backoff = Backoff(500_000, 4_000_000, self.membership.rng)
        while True:
            await wait_for_event(self.wake, PASS_INTERVAL_S)
            if not self.holds_valid_lease:
                continue
            try:
                await self._delete_batch()
            except ServiceError as error:
                log.info("machine deletion not confirmed, will be retried: %s", error)
                await backoff.wait()
                continue
            backoff.reset()
            for key in [
                key for key, scale_in in self.open_scale_ins.items() if not scale_in.undeleted
            ]:
                await self._record_outcome(key)
            await self._record_rejections()

    async def _delete_batch(self) -> None:
        """Delete as many machines as one call allows, from all open scale-ins."""
        now = now_us()
        undeleted = [
            name for scale_in in self.open_scale_ins.values() for name in scale_in.undeleted
        ]
        batch = list(dict.fromkeys(self.machine_deletion.due(undeleted, now)))[
            :MAX_DELETIONS_PER_CALL
        ]
        if not batch:
            return
        deleted = set(await self.machine_deletion.delete(batch, now))
        for scale_in in self.open_scale_ins.values():
            scale_in.undeleted = [name for name in scale_in.undeleted if name not in deleted]
        if len(undeleted) > len(batch):
            self.wake.set()

    async def _record_outcome(self, key: str) -> None:
        """Delete the records of the machines, then the scale-in record.

        If this is interrupted, the next holder finds the scale-in record. The holder deletes the
        machines again, which has no effect, and then the remaining records.
        """
        scale_in = self.open_scale_ins.get(key)
        if scale_in is None:
            return
        unchanged = Precondition(key, scale_in.version)
        stored = scale_in.stored
        records = [MACHINE + name for name in stored.names]
        # The last batch shares its transaction with the scale-in record and the history page,
        # which are two more operations.
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
        except ServiceError as error:
            log.info("scale-in record %s: outcome not recorded, will be retried: %s", key, error)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self.open_scale_ins.pop(key, None)

    async def _record_rejections(self) -> None:
        """Record for operators why the cloud has rejected the deletion of a machine: the first
        reason for each scale-in."""
        rejected = self.machine_deletion.rejected
        for key, scale_in in list(self.open_scale_ins.items()):
            reasons = [rejected[name].reason for name in scale_in.undeleted if name in rejected]
            if not reasons or scale_in.stored.refused:
                continue
            changed = msgspec.structs.replace(
                scale_in.stored, refused=reasons[0][:MAX_REASON_CHARS]
            )
            try:
                await self.history.commit(
                    [Precondition(key, scale_in.version)],
                    [Put(key, changed)],
                    Event.of(
                        Action.REFUSED,
                        key[len(SCALE_IN) :],
                        scale_in.stored.at,
                        scale_in.undeleted,
                    ),
                    low_priority=True,
                )
            except ServiceError as error:
                log.info("scale-in record %s: rejection not recorded: %s", key, error)
                continue
            scale_in.stored = changed
