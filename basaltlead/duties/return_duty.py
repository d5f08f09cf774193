"""The duty of returning: machines that are recorded as to be returned are deleted in the cloud."""

import asyncio

import msgspec
from msgspec import Struct

from basaltlead.clients.base import Backoff
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.machine_deletion import MOST_NAMES, MachineDeletion
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, SCALE_IN, StoredScaleIn
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Drop, Precondition, Put

PAUSE_S = 0.5  # between two looks, should nothing have changed


class OpenReturn(Struct):
    """A recorded return, and the machines of it that are still to be deleted."""

    stored: StoredScaleIn
    version: int
    left: list[str]


class ReturnDuty(DutyHolder):
    """Follows the recorded returns, and carries out each that is open. No other machine is ever
    named to the cloud."""

    duty = Duty.RETURN

    async def run(self) -> None:
        self.returning = MachineDeletion(self.cloud, self)
        self.open: dict[str, OpenReturn] = {}
        self.wake = asyncio.Event()
        self.background.spawn(self._delete_recorded(), "loop return")
        await follow_rows(self.store, SCALE_IN, self.membership.watch_ms, self._put, self._drop)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        known = self.open.get(key)
        if known is not None:
            known.version = max(known.version, version)
            return
        stored = msgspec.json.decode(raw, type=StoredScaleIn)
        self.open[key] = OpenReturn(stored, version, list(stored.names))
        self.wake.set()

    def _drop(self, key: str) -> None:
        self.open.pop(key, None)

    async def _delete_recorded(self) -> None:
        backoff = Backoff(500_000, 4_000_000, self.membership.chance)
        while True:
            await wait_for_event(self.wake, PAUSE_S)
            if not self.holds_valid_lease:
                continue
            try:
                await self._delete_some()
                backoff.reset()
            except ServiceError as fault:
                log.info("deleting machines: %s", fault)
                await backoff.rest()
                continue
            for key in [key for key, one in self.open.items() if not one.left]:
                await self._settle(key)
            await self._note_refusals()

    async def _delete_some(self) -> None:
        """Send as many machines as one call takes, of several returns together."""
        now = now_us()
        left = [name for one in self.open.values() for name in one.left]
        names = list(dict.fromkeys(self.returning.due(left, now)))[:MOST_NAMES]
        if not names:
            return
        gone = set(await self.returning.delete(names, now))
        for one in self.open.values():
            one.left = [name for name in one.left if name not in gone]
        if len(left) > len(names):
            self.wake.set()

    async def _settle(self, key: str) -> None:
        """Drop the records of the machines, then that of their return: whoever finds the return
        standing deletes the machines once more, which does nothing, and goes on from there."""
        one = self.open.get(key)
        if one is None:
            return
        precondition = Precondition(key, one.version)
        records = [MACHINE + name for name in one.stored.names]
        # With the last of them go the return itself and the page of history.
        *batches, last = list(self.store.limits.drops(records, beside=2)) or [[]]
        history_event = event("returned", key[len(SCALE_IN) :], one.stored.at, one.stored.names)
        try:
            for some in batches:
                drops = list(map(Drop, some))
                await self.store.compare_and_swap(
                    [*self.preconditions(), precondition], drops, low_priority=True
                )
            await self.history.commit(
                [precondition], [*map(Drop, last), Drop(key)], history_event, True
            )
        except ServiceError as fault:
            log.info("return %s not settled: %s", key, fault)
            await asyncio.sleep(0.2)
            return
        self.open.pop(key, None)

    async def _note_refusals(self) -> None:
        """Show to operators what the cloud refuses to delete."""
        for key, one in list(self.open.items()):
            reasons = [
                self.returning.refused[n][1] for n in one.left if n in self.returning.refused
            ]
            if not reasons or one.stored.refused:
                continue
            noted = msgspec.structs.replace(one.stored, refused=reasons[0][:200])
            history_event = event("refused", key[len(SCALE_IN) :], one.stored.at, one.left)
            try:
                await self.history.commit(
                    [Precondition(key, one.version)], [Put(key, noted)], history_event, True
                )
            except ServiceError as fault:
                log.info("refusal of %s not recorded: %s", key, fault)
                continue
            one.stored = noted
