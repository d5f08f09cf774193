"""The duty of renting: requests that the shard leaders have recorded are sent and settled."""

import asyncio
from functools import partial

import msgspec

from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.machine_rental import MOST_REASON, MachineRental
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Precondition, Put

MOST_REQUESTS = 6  # that are under way at once


class RentDuty(DutyHolder):
    """Follows the recorded requests, and carries out each that is open."""

    duty = Duty.RENT

    async def run(self) -> None:
        self.machine_rental = MachineRental(self.store, self.cloud, self, self.membership.chance)
        self.versions: dict[str, int] = {}  # of the records of open requests
        self.open: dict[str, asyncio.Task[None]] = {}
        self.settling: set[str] = set()
        self.turns = asyncio.Semaphore(MOST_REQUESTS)
        await follow_rows(self.store, SCALE_OUT, self.membership.watch_ms, self._put, self._drop)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(SCALE_OUT) :]
        stored = msgspec.json.decode(raw, type=StoredScaleOut)
        if stored.names is not None:
            self._close(name)
            return
        self.versions[name] = version
        if name not in self.open:
            coroutine = self._carry_out(name, stored)
            self.open[name] = self.background.spawn(coroutine, f"hire {name}")

    def _drop(self, key: str) -> None:
        self._close(key[len(SCALE_OUT) :])

    def _close(self, name: str) -> None:
        """Settled, by us or by somebody else."""
        self.versions.pop(name, None)
        task = self.open.pop(name, None)
        if task is not None and name not in self.settling:
            task.cancel()

    async def _carry_out(self, name: str, stored: StoredScaleOut) -> None:
        released = False

        async def refused(reason: str) -> None:
            # One that the cloud refuses for good holds up no other.
            nonlocal released
            if not released:
                released = True
                self.turns.release()
            await self._note_refusal(name, stored, reason)

        await self.turns.acquire()
        try:
            names = await self.machine_rental.ask(name, stored, refused)
            await self._settle(name, stored, names)
        except ServiceError as fault:
            log.info("hire %s not settled: %s", name, fault)
            # Its record stands as it was: it is taken up again with the next grant, or here.
            await asyncio.sleep(1.0)
            if self.open.pop(name, None) is not None and name in self.versions:
                coroutine = self._carry_out(name, stored)
                self.open[name] = self.background.spawn(coroutine, f"hire {name}")
        finally:
            if not released:
                self.turns.release()

    async def _settle(self, name: str, stored: StoredScaleOut, names: list[str] | None) -> None:
        if names is None:
            done, history_event = None, event("no capacity", name, stored.at)
        else:
            done = msgspec.structs.replace(stored, names=names, refused=msgspec.UNSET)
            history_event = event("rented", name, stored.at, names)
        commit = partial(self.history.commit, event=history_event)
        self.settling.add(name)
        try:
            await self.machine_rental.settle(name, done, self.versions.get(name, 0), commit)
        finally:
            self.settling.discard(name)

    async def _note_refusal(self, name: str, stored: StoredScaleOut, reason: str) -> None:
        """Show it to operators and to the shard leader, which asks for something else."""
        if stored.refused is not msgspec.UNSET:
            return
        stored.refused = reason[:MOST_REASON]
        preconditions = [Precondition(SCALE_OUT + name, self.versions.get(name, 0))]
        changes = [Put(SCALE_OUT + name, stored)]
        try:
            await self.history.commit(preconditions, changes, event("refused", name, stored.at))
        except ServiceError as fault:
            stored.refused = msgspec.UNSET
            log.info("refusal of %s not recorded: %s", name, fault)
