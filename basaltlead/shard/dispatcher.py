"""The direct ways to a block's machines: orders that can't wait for a report, questions whether a
machine hears us, and the record that must stand before its first task."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from basaltlead.clients.workers import Workers
from basaltlead.config.settings import Settings
from basaltlead.core.model import US, Attempt, Machine
from basaltlead.core.shard import TaskCommand
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE, Conflict
from basaltlead.storage.records import MACHINE, StoredMachine
from basaltlead.wire.state import Guard, Put
from basaltlead.wire.workers import Command, Order

if TYPE_CHECKING:
    from basaltlead.shard.leader import Owner


LEAST_SOCKETS = 8  # to workers, whoever else needs some


def order_of(command: TaskCommand) -> Order:
    """A task command as it is sent to a worker."""
    return Order(command.verb, f"{command.ref}/{command.index}", command.token, command.grace_s)


def worker_sockets(settings: Settings) -> int:
    """How many of our sockets may go to workers at most; they share with those who come to us,
    and give way to them."""
    return max(LEAST_SOCKETS, settings.facts.quota.fd_limit // 5)


class WorkerDispatcher:
    """Runs beside an Owner and ends with it."""

    def __init__(self, owner: "Owner") -> None:
        self.owner = owner
        most = worker_sockets(owner.settings)
        self.workers = Workers(most, lambda: owner.sockets_left())
        # Questions to silent machines take their whole time: with hundreds of those, orders for
        # the others would have to wait behind them.
        self.asking = asyncio.Semaphore(max(2, most // 2))
        self.pushing: set[str] = set()  # machines with direct orders under way
        self.probing: set[str] = set()  # machines that are being asked whether they hear us
        self.recording: set[str] = set()  # machines that are being written down
        self.heard_at = 0  # the last word of any machine that shows our fencing token

    def _acts(self) -> bool:
        return self.owner.acts

    def close(self) -> None:
        for address in list(self.workers.pools):
            self.workers.forget(address)

    def push_all(self, now: int) -> None:
        """Send what can't wait for the next report straight to the workers."""
        block = self.owner.block
        for name in list(block.urgent):
            machine = block.machines.get(name)
            if machine is None:
                del block.urgent[name]
                continue
            if name in self.pushing or now < machine.quiet_until:
                continue
            commands, flown = block.direct(machine, now)
            if not block.presses(machine):
                del block.urgent[name]
            if commands:
                self.pushing.add(machine.name)
                self.owner.spawn(self._push(machine, commands, flown), f"push {machine.name}")

    async def _push(
        self, machine: Machine, commands: list[TaskCommand], flown: list[Attempt]
    ) -> None:
        executed: bool | None = None
        try:
            orders = [order_of(command) for command in commands]
            command = Command(self.owner.grant.fencing_token, machine.session, orders)
            executed, report = await self.workers.command(machine.address, command, self._acts)
            if self.owner.resigned or report.machine != machine.name:
                executed = None
            else:
                self.owner.block.answer(report, now_us(), flown if executed else ())
        except Failed as fault:
            log.debug("orders for %s: %s", machine.name, fault)
            executed = None if fault.sent else False
        finally:
            self.pushing.discard(machine.name)
            self.owner.block.landed(flown, executed)
            if executed is not True:  # its reports still reach us, if it lives
                machine.quiet_until = now_us() + 2 * US
            if executed is None:
                self.owner.block.suspect(machine, now_us())
            self.owner.wake.set()

    def record(self, machine: Machine) -> None:
        """A machine must stand in the state service before its first task, so that the next
        owner knows where tasks may be. Only one that has shown our fencing token: a late copy
        must not bring back a machine that is gone."""
        if machine.name not in self.recording:
            self.recording.add(machine.name)
            self.owner.spawn(self._store_machine(machine), f"record {machine.name}")

    async def _store_machine(self, machine: Machine) -> None:
        stored = StoredMachine(
            machine.kind.name,
            machine.zone,
            machine.spot,
            machine.address,
            wall_us(),
            self.owner.number,
        )
        try:
            # Guarded on there being no such record: a machine belongs to the first block that
            # writes it down.
            guards = [*self.owner.guards(), Guard(MACHINE + machine.name, 0)]
            puts = [Put(MACHINE + machine.name, stored)]
            version = await self.owner.state.multi(guards, puts, can_wait=True)
            self.owner.versions[MACHINE + machine.name] = version
        except Conflict as conflict:
            if MACHINE + machine.name not in conflict.failed or not await self._is_ours(machine):
                return
        except TROUBLE as fault:
            log.info("recording %s: %s", machine.name, fault)
            return  # its next report tries again
        finally:
            self.recording.discard(machine.name)
        if not machine.deleting:
            machine.recorded = True
            self.owner.block.dirty = True
            self.owner.wake.set()
            log.info("machine %s (%s in %s) is up", machine.name, machine.kind.name, machine.zone)

    async def _is_ours(self, machine: Machine) -> bool:
        """Does the record that stands name this block? An unanswered write of ours may have
        been executed. A machine of another block's is none of our business."""
        try:
            row = await self.owner.state.get(MACHINE + machine.name)
        except TROUBLE:
            return False
        if row is None:
            return False
        if msgspec.json.decode(row.value, type=StoredMachine).block == self.owner.number:
            self.owner.versions[row.key] = row.version
            return True
        log.info("machine %s belongs to another block", machine.name)
        self.owner.block.machines.pop(machine.name, None)
        return False

    def probe(self, machine: Machine) -> None:
        """Ask a machine directly, so that it shows our fencing token, and that our commands reach
        it, before its next report."""
        if machine.name not in self.probing and now_us() >= machine.quiet_until:
            self.probing.add(machine.name)
            self.owner.spawn(self._probe(machine), f"probe {machine.name}")

    async def _probe(self, machine: Machine) -> None:
        session = machine.session or 1
        try:
            for _ in range(6):
                if (
                    not self.owner.acts
                    or self.owner.block.machines.get(machine.name) is not machine
                ):
                    return
                try:
                    command = Command(self.owner.grant.fencing_token, session, [])
                    async with self.asking:
                        executed, report = await self.workers.command(
                            machine.address, command, self._acts
                        )
                except Failed:
                    if machine.name not in self.owner.block.unsynced:
                        machine.quiet_until = now_us() + 2 * US
                        return  # its next report asks again
                    await asyncio.sleep(0.5)
                    continue
                if report.machine != machine.name:
                    return
                session = report.session
                if executed and self.owner.acts:
                    self.owner.block.answer(report, now_us())
                    self.heard_at = now_us()
                    if machine.synced and not machine.recorded:
                        self.record(machine)
                    self.owner.wake.set()
                    return
        finally:
            self.probing.discard(machine.name)
