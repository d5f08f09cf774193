"""The duty of renting: scale-out requests that the shard leaders have recorded are carried out."""

import asyncio
from functools import partial

import msgspec

from basaltlead.core.cluster_view import Grant
from basaltlead.duties.history import Action, Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.machine_rental import MOST_REASON, MachineRental
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Precondition, Put

MOST_REQUESTS = 6  # that are under way at once
RETRY_PAUSE_S = 1.0  # before a request whose outcome could not be recorded is sent again


class RequestSlot:
    """A place among the requests that are under way: taken on entry, given back once."""

    def __init__(self, slots: asyncio.Semaphore) -> None:
        self.slots = slots
        self.released = False

    async def __aenter__(self) -> "RequestSlot":
        await self.slots.acquire()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.release()

    def release(self) -> None:
        """Give the place back, if that was not done before."""
        if not self.released:
            self.released = True
            self.slots.release()


class RentDuty(DutyHolder):
    """Follows the recorded requests, and carries out each that is open."""

    duty = Duty.RENT

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.machine_rental = MachineRental(self.store, self.cloud, self, self.membership.rng)
        self.versions: dict[str, int] = {}  # of the records of open requests, by name
        self.requests: dict[str, asyncio.Task[None]] = {}  # that carry out the open ones
        # Requests whose outcome is being recorded. The watch may show the record before the
        # store's answer arrives, and must not cancel the task then.
        self.recording: set[str] = set()
        self.slots = asyncio.Semaphore(MOST_REQUESTS)

    async def run(self) -> None:
        """Follow the recorded requests until cancelled."""
        await follow_rows(self.store, SCALE_OUT, self.membership.watch_ms, self._put, self._drop)

    def _put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(SCALE_OUT) :]
        stored = msgspec.json.decode(raw, type=StoredScaleOut)
        if stored.names is not None:
            self._close(name)
            return
        self.versions[name] = version
        if name not in self.requests:
            self._start_request(name, stored)

    def _drop(self, key: str) -> None:
        self._close(key[len(SCALE_OUT) :])

    def _start_request(self, name: str, stored: StoredScaleOut) -> None:
        coroutine = self._carry_out(name, stored)
        self.requests[name] = self.background.spawn(coroutine, f"scale-out request {name}")

    def _close(self, name: str) -> None:
        """The outcome of a request is recorded, by us or by another controller."""
        self.versions.pop(name, None)
        task = self.requests.pop(name, None)
        if task is not None and name not in self.recording:
            task.cancel()

    async def _carry_out(self, name: str, stored: StoredScaleOut) -> None:
        async with RequestSlot(self.slots) as slot:
            on_rejected = partial(self._on_rejected, slot, name, stored)
            try:
                names = await self.machine_rental.rent(name, stored, on_rejected)
                await self._record_outcome(name, stored, names)
            except ServiceError as fault:
                log.info(
                    "scale-out request %s: its outcome is not recorded, will be retried: %s",
                    name,
                    fault,
                )
                # Its record is unchanged, so the request is sent again: here, or by the holder of
                # the next grant.
                await asyncio.sleep(RETRY_PAUSE_S)
                if self.requests.pop(name, None) is not None and name in self.versions:
                    self._start_request(name, stored)

    async def _on_rejected(
        self, slot: RequestSlot, name: str, stored: StoredScaleOut, reason: str
    ) -> None:
        slot.release()  # a request that the cloud rejects holds up no other
        await self._record_rejection(name, stored, reason)

    async def _record_outcome(
        self, name: str, stored: StoredScaleOut, names: list[str] | None
    ) -> None:
        if names is None:
            outcome, event = None, Event.of(Action.NO_CAPACITY, name, stored.at)
        else:
            outcome = msgspec.structs.replace(stored, names=names, refused=msgspec.UNSET)
            event = Event.of(Action.RENTED, name, stored.at, names)
        commit = partial(self.history.commit, event=event)
        self.recording.add(name)
        try:
            await self.machine_rental.record_outcome(
                name, outcome, self.versions.get(name, 0), commit
            )
        finally:
            self.recording.discard(name)

    async def _record_rejection(self, name: str, stored: StoredScaleOut, reason: str) -> None:
        """Show the cloud's reason to operators, and to the shard leader, which requests another
        offer."""
        if stored.refused is not msgspec.UNSET:
            return
        stored.refused = reason[:MOST_REASON]
        preconditions = [Precondition(SCALE_OUT + name, self.versions.get(name, 0))]
        changes = [Put(SCALE_OUT + name, stored)]
        event = Event.of(Action.REFUSED, name, stored.at)
        try:
            await self.history.commit(preconditions, changes, event)
        except ServiceError as fault:
            stored.refused = msgspec.UNSET
            log.info("scale-out request %s: its rejection is not recorded: %s", name, fault)
