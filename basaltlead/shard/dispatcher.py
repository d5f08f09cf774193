"""Commands that are pushed to a shard's machines, in addition to those in heartbeat responses.

The dispatcher also probes machines that commands may not reach, and writes the record that must
exist before the first task is started on a machine.
"""

import asyncio
from typing import NamedTuple

import msgspec

from basaltlead.clients.workers import CommandResponse
from basaltlead.config.settings import Settings
from basaltlead.core.command_message import TaskCommand
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.jobs import US
from basaltlead.errors import PreconditionFailed, RequestFailed, ServiceError
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import log
from basaltlead.shard.command_log import log_commands
from basaltlead.shard.context import ShardContext
from basaltlead.shard.worker_commands import to_worker_command
from basaltlead.storage.records import MACHINE, StoredMachine
from basaltlead.wire.store import Precondition, Put
from basaltlead.wire.workers import DirectCommand

MIN_WORKER_SOCKETS = 8  # always available for connections to workers
WORKER_SOCKETS_DIVISOR = 5  # a fifth of the limit on file descriptors, if that is more
PUSH_BACKOFF_US = 2 * US  # how long nothing is pushed to a machine that did not answer
# A machine that is not synced is probed up to this often, with pauses, until it answers.
MAX_PROBES = 6
PROBE_PAUSE_S = 0.5


class PushedCommands(NamedTuple):
    """Commands for a machine, and the agent epoch and token for which they were decided.

    When they are sent, the machine may already be known to be in its next epoch. The attempts that
    they would start have then been dropped
    (test_push_decided_in_one_epoch_is_not_executed_in_the_next).
    """

    fencing_token: int
    epoch: int
    commands: list[TaskCommand]
    starts: list[Attempt]


def worker_sockets(settings: Settings) -> int:
    """The maximum number of sockets for connections to workers.

    They share the limit on file descriptors with incoming connections, which take precedence.
    """
    return max(MIN_WORKER_SOCKETS, settings.facts.quota.fd_limit // WORKER_SOCKETS_DIVISOR)


class WorkerDispatcher:
    """Pushes commands to machines, probes them, and writes the records of new ones."""

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self.lease = context.lease
        self.shard = context.shard
        self.workers = context.workers
        # A probe of a silent machine takes its whole timeout: without this limit, hundreds of them
        # would delay the commands for other machines.
        self._probe_slots = asyncio.Semaphore(max(2, worker_sockets(context.settings) // 2))
        self._probing: set[str] = set()
        self._recording: set[str] = set()
        self.last_token_shown_at = 0  # when any machine last showed our fencing token

    def _holds_valid_lease(self) -> bool:
        return self.lease.holds_valid_lease

    def close(self) -> None:
        """Close the connections to all workers."""
        for address in list(self.workers.pools):
            self.workers.forget(address)

    def note_token_shown(self, now: int) -> None:
        """Record that a machine has shown our fencing token."""
        self.last_token_shown_at = now

    def push_all(self, now: int) -> None:
        """Push the commands that can't wait for the next heartbeat, except to machines with a push
        in flight or in backoff."""
        shard = self.shard
        for name in list(shard.push_queue):
            machine = shard.machines.get(name)
            if machine is None:
                del shard.push_queue[name]
                continue
            if machine.push_in_flight or now < machine.push_backoff_until:
                continue
            commands, starts = shard.take_push_commands(machine)
            if not shard.has_pending_commands(machine):
                del shard.push_queue[name]
            if commands:
                machine.push_in_flight = True
                log_commands(shard, machine, commands, pushed=True, now=now)
                machine.pushed_starts.add((start.attempt_number for start in starts), now)
                push = PushedCommands(shard.tokens.of(machine), machine.epoch, commands, starts)
                self.context.spawn(self._push(machine, push), f"push {machine.name}")

    async def _push(self, machine: Machine, push: PushedCommands) -> None:
        starts = push.starts
        executed: bool | None = None  # None: unknown
        try:
            executed, heartbeat = await self._send(machine, push)
            if self.lease.stepped_down or heartbeat.machine != machine.name:
                executed = None
            else:
                self.shard.receive_push_response(heartbeat, now_us(), starts if executed else ())
        except RequestFailed as error:
            log.debug("commands pushed to %s not confirmed: %s", machine.name, error)
            executed = None if error.sent else False
        finally:
            machine.push_in_flight = False
            self.shard.acknowledge_starts(starts, executed)
            if executed is not True:  # if it is alive, the answers to its heartbeats carry commands
                machine.push_backoff_until = now_us() + PUSH_BACKOFF_US
            if executed is None:
                self.shard.mark_unreachable(machine, now_us())
            self.context.wake.set()

    async def _send(self, machine: Machine, push: PushedCommands) -> CommandResponse:
        """Send commands. Returns whether they were executed, and the report in the machine's
        response."""
        worker_commands = [to_worker_command(command) for command in push.commands]
        request = DirectCommand(push.fencing_token, push.epoch, worker_commands)
        return await self.workers.command(machine.address, request, self._holds_valid_lease)

    def record(self, machine: Machine) -> None:
        """Record a machine that has shown our fencing token.

        A machine must be recorded in the key-value store before its first task, so that the next
        shard leader knows where tasks may be. It must have shown the token, since a delayed
        heartbeat must not bring back a machine that was deleted
        (test_no_task_starts_on_a_machine_that_is_not_recorded).
        """
        if machine.name not in self._recording:
            self._recording.add(machine.name)
            self.context.spawn(self._record(machine), f"record {machine.name}")

    async def _record(self, machine: Machine) -> None:
        key = MACHINE + machine.name
        stored = StoredMachine(
            machine.machine_type.name,
            machine.zone,
            machine.spot,
            machine.address,
            wall_us(),
            self.context.number,
        )
        store = self.context.store
        try:
            # Fails if a record exists: a machine belongs to the first shard that records it.
            changes, unrecorded = [Put(key, stored)], [Precondition(key, 0)]
            store.versions[key] = await store.commit(changes, unrecorded, low_priority=True)
        except PreconditionFailed as conflict:
            if key not in conflict.failed or not await self._recorded_by_us(machine):
                return
        except ServiceError as error:
            log.info(
                "machine %s not recorded, retrying on its next heartbeat: %s", machine.name, error
            )
            return
        finally:
            self._recording.discard(machine.name)
        if not machine.terminating:
            machine.recorded = True
            self.shard.request_plan()
            self.context.wake.set()
            log.info(
                "machine %s (%s in %s) recorded",
                machine.name,
                machine.machine_type.name,
                machine.zone,
            )

    async def _recorded_by_us(self, machine: Machine) -> bool:
        """Whether the existing record names this shard, since an unanswered write of ours may have
        been executed. A machine of another shard is dropped."""
        try:
            row = await self.context.store.get(MACHINE + machine.name)
        except ServiceError:
            return False
        if row is None:
            return False
        if msgspec.json.decode(row.value, type=StoredMachine).shard == self.context.number:
            self.context.store.versions[row.key] = row.version
            return True
        log.info("machine %s belongs to another shard", machine.name)
        self.shard.machines.pop(machine.name, None)
        return False

    def probe(self, machine: Machine) -> None:
        """Push an empty list of commands to a machine. Its response shows our fencing token, and
        that commands reach it, before its next heartbeat."""
        if machine.name not in self._probing and now_us() >= machine.push_backoff_until:
            self._probing.add(machine.name)
            self.context.spawn(self._probe(machine), f"probe {machine.name}")

    async def _probe(self, machine: Machine) -> None:
        epoch = machine.epoch or 1  # if it is wrong, the response tells the right one
        try:
            for _ in range(MAX_PROBES):
                known = self.shard.machines.get(machine.name) is machine
                if not self.lease.holds_valid_lease or not known:
                    return
                try:
                    request = DirectCommand(self.shard.tokens.of(machine), epoch, [])
                    async with self._probe_slots:
                        executed, heartbeat = await self.workers.command(
                            machine.address, request, self._holds_valid_lease
                        )
                except RequestFailed:
                    if machine.name not in self.shard.unsynced:
                        machine.push_backoff_until = now_us() + PUSH_BACKOFF_US
                        return  # its next heartbeat triggers another probe
                    await asyncio.sleep(PROBE_PAUSE_S)
                    continue
                if heartbeat.machine != machine.name:
                    return
                epoch = heartbeat.epoch
                if executed and self.lease.holds_valid_lease:
                    self.shard.receive_push_response(heartbeat, now_us())
                    self.note_token_shown(now_us())
                    if machine.synced and not machine.recorded:
                        self.record(machine)
                    self.context.wake.set()
                    return
        finally:
            self._probing.discard(machine.name)
