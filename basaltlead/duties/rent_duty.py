"""The rent duty: executes the scale-out requests that the shard leaders have recorded."""

import asyncio
from functools import partial

import msgspec

from basaltlead.core.cluster_view import Grant
from basaltlead.duties.history import Action, Event
from basaltlead.duties.holder import DutyHolder, DutyServices
from basaltlead.duties.machine_rental import MAX_REASON_CHARS, MachineRental
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows
from basaltlead.wire.store import Precondition, Put

MAX_CONCURRENT_REQUESTS = 6
RETRY_PAUSE_S = 1.0  # before a request whose outcome could not be recorded is sent again


class RequestSlot:
    """One of the slots for concurrent requests: acquired on entry and released once."""

    def __init__(self, slots: asyncio.Semaphore) -> None:
        self.slots = slots
        self.released = False

    async def __aenter__(self) -> "RequestSlot":
        await self.slots.acquire()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.release()

    def release(self) -> None:
        """Release the slot unless it is released already."""
        if not self.released:
            self.released = True
            self.slots.release()


class RentDuty(DutyHolder):
    """Watches the recorded requests and executes the open ones."""

    duty = Duty.RENT

    def __init__(self, services: DutyServices, grant: Grant, version: int) -> None:
        super().__init__(services, grant, version)
        self.machine_rental = MachineRental(self.store, self.cloud, self, self.membership.rng)
        self.versions: dict[str, int] = {}  # of the records of open requests, by name
        self.requests: dict[str, asyncio.Task[None]] = {}  # tasks that execute the open requests
        # Requests whose outcome is being recorded. The watch may deliver the record before the
        # store's response arrives, and must not cancel the task in that case.
        self.recording: set[str] = set()
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def run(self) -> None:
        """Watch the recorded requests and execute them until cancelled."""
        await follow_rows(
            self.store, SCALE_OUT, self.membership.watch_timeout_ms, self._put, self._drop
        )

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
        coroutine = self._execute(name, stored)
        self.requests[name] = self.background.spawn(coroutine, f"scale-out request {name}")

    def _close(self, name: str) -> None:
        """Handle a request whose outcome is recorded, by this or another controller."""
        self.versions.pop(name, None)
        task = self.requests.pop(name, None)
        if task is not None and name not in self.recording:
            task.cancel()

    async def _execute(self, name: str, stored: StoredScaleOut) -> None:
        async with RequestSlot(self.slots) as slot:
            on_rejected = partial(self._on_rejected, slot, name, stored)
            try:
                names = await self.machine_rental.rent(name, stored, on_rejected)
                await self._record_outcome(name, stored, names)
            except ServiceError as error:
                log.info(
                    "scale-out request %s: outcome not recorded, will be retried: %s",
                    name,
                    error,
                )
                # The record is unchanged, so the request is sent again, here or by the holder of
                # the next grant.
                await asyncio.sleep(RETRY_PAUSE_S)
                if self.requests.pop(name, None) is not None and name in self.versions:
                    self._start_request(name, stored)

    async def _on_rejected(
        self, slot: RequestSlot, name: str, stored: StoredScaleOut, reason: str
    ) -> None:
        slot.release()  # a rejected request must not block others
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
        """Record the cloud's reason for operators and for the shard leader.

        The shard leader then requests another offer.
        """
        if stored.refused is not msgspec.UNSET:
            return
        stored.refused = reason[:MAX_REASON_CHARS]
        preconditions = [Precondition(SCALE_OUT + name, self.versions.get(name, 0))]
        changes = [Put(SCALE_OUT + name, stored)]
        event = Event.of(Action.REFUSED, name, stored.at)
        try:
            await self.history.commit(preconditions, changes, event)
        except ServiceError as error:
            stored.refused = msgspec.UNSET
            log.info("scale-out request %s: rejection not recorded: %s", name, error)
