"""The direct ways to a shard's machines: orders that can't wait for a report, questions whether a
machine hears us, and the record that must stand before its first task."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from basaltlead.clients.workers import Workers
from basaltlead.config.settings import Settings
from basaltlead.core.commands import TaskCommand
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.jobs import US
from basaltlead.errors import PreconditionFailed, RequestFailed, ServiceError
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.storage.records import MACHINE, StoredMachine
from basaltlead.wire.store import Precondition, Put
from basaltlead.wire.workers import DirectCommand, WorkerCommand

if TYPE_CHECKING:
    from basaltlead.shard.leader import ShardLeader


LEAST_SOCKETS = 8  # to workers, whoever else needs some


def to_worker_command(command: TaskCommand) -> WorkerCommand:
    """A task command as it is sent to a worker."""
    return WorkerCommand(
        command.verb, f"{command.ref}/{command.index}", command.attempt_number, command.grace_s
    )


def worker_sockets(settings: Settings) -> int:
    """How many of our sockets may go to workers at most; they share with those who come to us,
    and give way to them."""
    return max(LEAST_SOCKETS, settings.facts.quota.fd_limit // 5)


class WorkerDispatcher:
    """Runs beside an Owner and ends with it."""

    def __init__(self, shard_leader: "ShardLeader") -> None:
        self.shard_leader = shard_leader
        most = worker_sockets(shard_leader.settings)
        self.workers = Workers(most, lambda: shard_leader.sockets_left())
        # Questions to silent machines take their whole time: with hundreds of those, orders for
        # the others would have to wait behind them.
        self.asking = asyncio.Semaphore(max(2, most // 2))
        self.pushing: set[str] = set()  # machines with direct orders under way
        self.probing: set[str] = set()  # machines that are being asked whether they hear us
        self.recording: set[str] = set()  # machines that are being written down
        self.heard_at = 0  # the last word of any machine that shows our fencing token

    def _holds_valid_lease(self) -> bool:
        return self.shard_leader.holds_valid_lease

    def close(self) -> None:
        for address in list(self.workers.pools):
            self.workers.forget(address)

    def push_all(self, now: int) -> None:
        """Send what can't wait for the next report straight to the workers."""
        shard = self.shard_leader.shard
        for name in list(shard.urgent):
            machine = shard.machines.get(name)
            if machine is None:
                del shard.urgent[name]
                continue
            if name in self.pushing or now < machine.push_backoff_until:
                continue
            commands, pushed_starts = shard.take_push_commands(machine)
            if not shard.has_pending_commands(machine):
                del shard.urgent[name]
            if commands:
                self.pushing.add(machine.name)
                self.shard_leader.spawn(
                    self._push(machine, commands, pushed_starts), f"push {machine.name}"
                )

    async def _push(
        self, machine: Machine, commands: list[TaskCommand], pushed_starts: list[Attempt]
    ) -> None:
        executed: bool | None = None
        try:
            worker_commands = [to_worker_command(command) for command in commands]
            command = DirectCommand(
                self.shard_leader.grant.fencing_token, machine.epoch, worker_commands
            )
            executed, heartbeat = await self.workers.command(
                machine.address, command, self._holds_valid_lease
            )
            if self.shard_leader.stepped_down or heartbeat.machine != machine.name:
                executed = None
            else:
                self.shard_leader.shard.answer(
                    heartbeat, now_us(), pushed_starts if executed else ()
                )
        except RequestFailed as fault:
            log.debug("orders for %s: %s", machine.name, fault)
            executed = None if fault.sent else False
        finally:
            self.pushing.discard(machine.name)
            self.shard_leader.shard.acknowledge_starts(pushed_starts, executed)
            if executed is not True:  # its reports still reach us, if it lives
                machine.push_backoff_until = now_us() + 2 * US
            if executed is None:
                self.shard_leader.shard.mark_unreachable(machine, now_us())
            self.shard_leader.wake.set()

    def record(self, machine: Machine) -> None:
        """A machine must stand in the key-value store before its first task, so that the next
        shard leader knows where tasks may be. Only one that has shown our fencing token: a late
        copy must not bring back a machine that is gone."""
        if machine.name not in self.recording:
            self.recording.add(machine.name)
            self.shard_leader.spawn(self._store_machine(machine), f"record {machine.name}")

    async def _store_machine(self, machine: Machine) -> None:
        stored = StoredMachine(
            machine.machine_type.name,
            machine.zone,
            machine.spot,
            machine.address,
            wall_us(),
            self.shard_leader.number,
        )
        try:
            # Guarded on there being no such record: a machine belongs to the first shard that
            # writes it down.
            preconditions = [
                *self.shard_leader.preconditions(),
                Precondition(MACHINE + machine.name, 0),
            ]
            puts = [Put(MACHINE + machine.name, stored)]
            version = await self.shard_leader.store.compare_and_swap(
                preconditions, puts, low_priority=True
            )
            self.shard_leader.versions[MACHINE + machine.name] = version
        except PreconditionFailed as conflict:
            if MACHINE + machine.name not in conflict.failed or not await self._is_ours(machine):
                return
        except ServiceError as fault:
            log.info("recording %s: %s", machine.name, fault)
            return  # its next report tries again
        finally:
            self.recording.discard(machine.name)
        if not machine.terminating:
            machine.recorded = True
            self.shard_leader.shard.dirty = True
            self.shard_leader.wake.set()
            log.info(
                "machine %s (%s in %s) is up", machine.name, machine.machine_type.name, machine.zone
            )

    async def _is_ours(self, machine: Machine) -> bool:
        """Does the record that stands name this shard? An unanswered write of ours may have
        been executed. A machine of another shard's is none of our business."""
        try:
            row = await self.shard_leader.store.get(MACHINE + machine.name)
        except ServiceError:
            return False
        if row is None:
            return False
        if msgspec.json.decode(row.value, type=StoredMachine).shard == self.shard_leader.number:
            self.shard_leader.versions[row.key] = row.version
            return True
        log.info("machine %s belongs to another block", machine.name)
        self.shard_leader.shard.machines.pop(machine.name, None)
        return False

    def probe(self, machine: Machine) -> None:
        """Ask a machine directly, so that it shows our fencing token, and that our commands reach
        it, before its next report."""
        if machine.name not in self.probing and now_us() >= machine.push_backoff_until:
            self.probing.add(machine.name)
            self.shard_leader.spawn(self._probe(machine), f"probe {machine.name}")

    async def _probe(self, machine: Machine) -> None:
        epoch = machine.epoch or 1
        try:
            for _ in range(6):
                if (
                    not self.shard_leader.holds_valid_lease
                    or self.shard_leader.shard.machines.get(machine.name) is not machine
                ):
                    return
                try:
                    command = DirectCommand(self.shard_leader.grant.fencing_token, epoch, [])
                    async with self.asking:
                        executed, heartbeat = await self.workers.command(
                            machine.address, command, self._holds_valid_lease
                        )
                except RequestFailed:
                    if machine.name not in self.shard_leader.shard.unsynced:
                        machine.push_backoff_until = now_us() + 2 * US
                        return  # its next report asks again
                    await asyncio.sleep(0.5)
                    continue
                if heartbeat.machine != machine.name:
                    return
                epoch = heartbeat.epoch
                if executed and self.shard_leader.holds_valid_lease:
                    self.shard_leader.shard.answer(heartbeat, now_us())
                    self.heard_at = now_us()
                    if machine.synced and not machine.recorded:
                        self.record(machine)
                    self.shard_leader.wake.set()
                    return
        finally:
            self.probing.discard(machine.name)
