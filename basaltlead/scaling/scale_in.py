"""Scale-in of a shard: returns machines that are marked as terminating to the cloud.

While the duties have grants of their own, the shard leader only writes scale-in records for these
machines, and the holder of the return duty deletes the machines. Otherwise the shard leader deletes
them under its own lease.
"""

import asyncio

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.duties.machine_deletion import MAX_DELETIONS_PER_CALL, MachineDeletion
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    ServiceError,
    SessionLeaseExpired,
    Unavailable,
)
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import MACHINE, SCALE_IN, StoredScaleIn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

POLL_INTERVAL_S = 0.3  # between two checks for terminating machines
MIN_RETRY_DELAY_US = 500_000
MAX_RETRY_DELAY_US = 4_000_000
OTHER_PRECONDITIONS = 4  # of a scale-in record's transaction, in addition to one for each machine
RECORD_BYTES = 512  # reserved in a scale-in record in addition to the names of its machines
NAME_BYTES = 32  # reserved in the record for each machine name
DROP_ATTEMPTS = 5  # to delete the records of deleted machines
DROP_RETRY_S = 0.5


class ScaleIn:
    """Writes scale-in records for a shard's terminating machines or deletes the machines, and
    watches the scale-in records.

    Its background tasks end when the shard is released.
    """

    def __init__(self, context: ShardContext, cloud: Cloud) -> None:
        self.context = context
        self.machine_deletion = MachineDeletion(cloud, context.lease)
        self.sequence = 0

    def start(self) -> None:
        """Start the background tasks. They resume what is marked or recorded already."""
        self.context.spawn(self._return_terminating(), "loop scale-in")
        if self.context.membership.duty_keys:
            self.context.spawn(self._follow(), "loop scale-in watch")

    async def _return_terminating(self) -> None:
        """Write scale-in records for the machines that are marked as terminating, or delete the
        machines; never returns."""
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, self.context.membership.rng)
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            names = [m.name for m in self.context.shard.machines.values() if m.terminating]
            if not names or not self.context.lease.holds_valid_lease:
                continue
            try:
                if self.context.membership.duties_granted:
                    await self._record(names)
                else:
                    await self._delete(names)
                backoff.reset()
            except ServiceError as error:
                log.info("scale-in not confirmed, will be retried: %s", error)
                await backoff.wait()

    # While the duties have grants of their own

    async def _record(self, names: list[str]) -> None:
        """Write a scale-in record, so that the holder of the return duty deletes the machines.

        The write has the lease and the known version of each machine's record as preconditions.
        So every later leader of the shard reads the scale-in record before it acts.
        """
        recorded = self.context.intents.returning
        names = [name for name in names if name not in recorded][: self._max_machines_per_record()]
        if not names:
            return
        self.sequence += 1
        fencing_token = self.context.lease.fencing_token
        key = f"{SCALE_IN}{fencing_token}-{self.sequence}"
        stored = StoredScaleIn(names, fencing_token, wall_us())
        versions = self.context.store.versions
        preconditions = [
            Precondition(MACHINE + name, versions.get(MACHINE + name, 0)) for name in names
        ]
        try:
            put = Put(key, stored)
            await self.context.store.commit([put], [Precondition(key, 0), *preconditions])
        except PreconditionFailed as conflict:
            await self._refresh_versions(conflict.failed)
        except SessionLeaseExpired:
            return
        else:
            self._note_recorded(key, stored)

    def _max_machines_per_record(self) -> int:
        """The number of machines that one scale-in record may have."""
        limits = self.context.store.limits
        return max(
            1,
            min(
                MAX_DELETIONS_PER_CALL,
                limits.preconditions - OTHER_PRECONDITIONS,
                (limits.value_bytes - RECORD_BYTES) // NAME_BYTES,
            ),
        )

    async def _refresh_versions(self, failed: list[str]) -> None:
        """Read the versions of machine records whose known versions are outdated.

        The next attempt to record the scale-in then succeeds.
        """
        for key in failed:
            if key.startswith(MACHINE):
                await self.context.store.refresh_version(key)

    # Under the shard's own lease

    async def _delete(self, names: list[str]) -> None:
        """Delete machines, and remove from the shard those whose deletion the cloud confirms."""
        now = now_us()
        due = self.machine_deletion.due(names, now)[:MAX_DELETIONS_PER_CALL]
        if not due:
            return
        deleted = await self.machine_deletion.delete(due, now)
        machines = self.context.shard.machines
        records = [MACHINE + n for n in deleted if n in machines and machines[n].recorded]
        for name in deleted:
            self._forget_machine(name)
        completed = [
            key
            for key, scale_in in self.context.intents.scale_ins.items()
            if not machines.keys() & set(scale_in.names)
        ]
        for key in completed:
            self.context.intents.scale_ins.pop(key, None)
        # Deleting the records has low priority; the next machine deletions need not wait for it.
        self.context.spawn(self._drop_records([*records, *completed]), "drop machine records")

    def _forget_machine(self, name: str) -> None:
        machine = self.context.shard.machines.get(name)
        if machine is not None:
            self.context.workers.forget(machine.address)
        self.context.shard.drop_machine(name, now_us())
        self.context.store.versions.pop(MACHINE + name, None)
        self.context.wake.set()

    async def _drop_records(self, keys: list[str]) -> None:
        """Delete records, with as many in one transaction as the key-value store accepts."""
        for batch in self.context.store.limits.delete_batches(keys):
            await self._drop_batch(batch)

    async def _drop_batch(self, keys: list[str]) -> None:
        drops = list(map(Drop, keys))
        for _ in range(DROP_ATTEMPTS):
            try:
                await self.context.store.commit(drops, low_priority=True)
            except (RequestFailed, Unavailable):
                await asyncio.sleep(DROP_RETRY_S)
            except (PreconditionFailed, SessionLeaseExpired):
                return  # the lease is lost: the next shard leader deletes these records
            else:
                return

    # Watching the scale-in records: the holder of the reclaim duty also writes them, and the holder
    # of the return duty deletes them

    async def _follow(self) -> None:
        store, watch_timeout_ms = (
            self.context.store.client,
            self.context.membership.watch_timeout_ms,
        )
        await follow_rows(
            store, SCALE_IN, watch_timeout_ms, self._changed, self._dropped, self._known_keys
        )

    def _known_keys(self) -> list[str]:
        return list(self.context.intents.scale_ins)

    def _changed(self, key: str, raw: msgspec.Raw, _version: int) -> None:
        self._note_recorded(key, msgspec.json.decode(raw, type=StoredScaleIn))

    def _note_recorded(self, key: str, stored: StoredScaleIn) -> None:
        """Mark the machines of a scale-in record as terminating, so that they get no more tasks.

        This shard leader or the holder of the reclaim duty has written the record.
        """
        self.context.intents.scale_ins[key] = stored
        for name in stored.names:
            machine = self.context.shard.machines.get(name)
            if machine is not None:
                machine.terminating = True

    def _dropped(self, key: str) -> None:
        """Remove the machines of a deleted scale-in record: the cloud has deleted all of them."""
        stored = self.context.intents.scale_ins.pop(key, None)
        for name in stored.names if stored is not None else ():
            if name in self.context.shard.machines:
                self._forget_machine(name)
