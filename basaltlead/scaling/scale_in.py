"""Scale-in of a shard: machines that are marked as terminating are returned to the cloud.

While duties are granted on their own, the shard leader only records them, and the holder of the
duty of returning deletes them. Otherwise the shard leader deletes them under its own lease.
"""

import asyncio

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.duties.machine_deletion import MOST_NAMES, MachineDeletion
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

PAUSE_S = 0.3  # between two checks for terminating machines
SHORTEST_RETRY_US = 500_000
LONGEST_RETRY_US = 4_000_000
OTHER_PRECONDITIONS = 4  # of a scale-in record's transaction, in addition to one for each machine
RECORD_BYTES = 512  # of a scale-in record, in addition to the names of its machines
NAME_BYTES = 32  # of each machine's name in the record
DROP_ATTEMPTS = 5  # to drop the records of deleted machines
DROP_RETRY_S = 0.5


class ScaleIn:
    """Records or deletes a shard leader's terminating machines, and follows what others record.

    Its background tasks end when the shard is released.
    """

    def __init__(self, context: ShardContext, cloud: Cloud) -> None:
        self.context = context
        self.machine_deletion = MachineDeletion(cloud, context.lease)
        self.sequence = 0

    def start(self) -> None:
        """Continue with what is marked or recorded, and follow the records."""
        self.context.spawn(self._return_terminating(), "loop scale-in")
        if self.context.membership.duty_keys:
            self.context.spawn(self._follow(), "loop scale-in watch")

    async def _return_terminating(self) -> None:
        """Record or delete the machines that are marked as terminating; never returns."""
        backoff = Backoff(SHORTEST_RETRY_US, LONGEST_RETRY_US, self.context.membership.rng)
        while True:
            await asyncio.sleep(PAUSE_S)
            names = [m.name for m in self.context.shard.machines.values() if m.terminating]
            if not names or not self.context.lease.holds_valid_lease:
                continue
            try:
                if self.context.membership.duties_granted:
                    await self._record(names)
                else:
                    await self._delete(names)
                backoff.reset()
            except ServiceError as fault:
                log.info("scale-in failed, will be retried: %s", fault)
                await backoff.wait()

    # While duties are granted on their own

    async def _record(self, names: list[str]) -> None:
        """Record machines to be deleted by the holder of the duty of returning.

        The write depends on the lease and on the version of each machine's record as it is known
        here: whoever leads the shard from then on reads the scale-in record before it acts.
        """
        recorded = self.context.intents.returning
        names = [name for name in names if name not in recorded][: self._max_names()]
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

    def _max_names(self) -> int:
        """How many machines one scale-in record may have."""
        limits = self.context.store.limits
        return max(
            1,
            min(
                MOST_NAMES,
                limits.preconditions - OTHER_PRECONDITIONS,
                (limits.value_bytes - RECORD_BYTES) // NAME_BYTES,
            ),
        )

    async def _refresh_versions(self, failed: list[str]) -> None:
        """Read the versions of machine records that have changed without our knowing, so that the
        next attempt to record the scale-in succeeds."""
        for key in failed:
            if key.startswith(MACHINE):
                await self.context.store.refresh_version(key)

    # Under the shard's own lease

    async def _delete(self, names: list[str]) -> None:
        """Delete machines, and forget those that the cloud confirms as deleted."""
        now = now_us()
        due = self.machine_deletion.due(names, now)[:MOST_NAMES]
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
        # Dropping records waits behind more urgent writes; the next deletions need not wait for it.
        self.context.spawn(self._drop_records([*records, *completed]), "drop machine records")

    def _forget_machine(self, name: str) -> None:
        machine = self.context.shard.machines.get(name)
        if machine is not None:
            self.context.workers.forget(machine.address)
        self.context.shard.drop_machine(name, now_us())
        self.context.store.versions.pop(MACHINE + name, None)
        self.context.wake.set()

    async def _drop_records(self, keys: list[str]) -> None:
        """Drop records, as many in one transaction as the key-value store accepts."""
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
                return  # the lease is over: these records are the next shard leader's concern
            else:
                return

    # Following the records, which the holders of duties write too

    async def _follow(self) -> None:
        store, watch_ms = self.context.store.client, self.context.membership.watch_ms
        known = list(self.context.intents.scale_ins)
        await follow_rows(store, SCALE_IN, watch_ms, self._changed, self._dropped, known)

    def _changed(self, key: str, raw: msgspec.Raw, _version: int) -> None:
        self._note_recorded(key, msgspec.json.decode(raw, type=StoredScaleIn))

    def _note_recorded(self, key: str, stored: StoredScaleIn) -> None:
        """Mark the machines of a scale-in record, be it ours or that of the duty of reclaiming:
        nothing may be started on them any more."""
        self.context.intents.scale_ins[key] = stored
        for name in stored.names:
            machine = self.context.shard.machines.get(name)
            if machine is not None:
                machine.terminating = True

    def _dropped(self, key: str) -> None:
        """Forget the machines of a scale-in record: all of them are deleted."""
        stored = self.context.intents.scale_ins.pop(key, None)
        for name in stored.names if stored is not None else ():
            if name in self.context.shard.machines:
                self._forget_machine(name)
