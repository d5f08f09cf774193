"""The handling of heartbeats from a shard's workers."""

from basaltlead.clients.codec import encode
from basaltlead.core.command_message import TaskCommand
from basaltlead.core.entities import Machine
from basaltlead.net.http.messages import STATUS_OK, Response
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.command_log import ForgottenAttemptsLog, log_commands
from basaltlead.shard.context import ShardContext
from basaltlead.shard.dispatcher import WorkerDispatcher
from basaltlead.shard.worker_commands import to_worker_command
from basaltlead.wire.workers import Heartbeat, HeartbeatResponse


class HeartbeatHandler:
    """Processes heartbeats; each response renews the worker's lease and carries its commands."""

    def __init__(self, context: ShardContext, dispatcher: WorkerDispatcher) -> None:
        self.context = context
        self.lease = context.lease
        self.shard = context.shard
        self.dispatcher = dispatcher
        self._loaded = False
        self._forgotten_attempts_log = ForgottenAttemptsLog()
        # When machines were last answered before the shard was loaded, by machine name.
        self.answered_while_loading: dict[str, int] = {}

    def finish_loading(self) -> None:
        """Process heartbeats from now on, since the shard is loaded."""
        self._loaded = True

    def handle(self, heartbeat: Heartbeat) -> Response | None:
        """Answer a heartbeat. Returns None if this shard leader must not answer it."""
        if not self.lease.holds_valid_lease:
            return None
        now = now_us()
        if self.shard.tokens.are_replaced_by(heartbeat.fencing_token):
            return None
        if not self._loaded:
            self.answered_while_loading[heartbeat.machine] = now
            return self._renewal(self.shard.halts_for_closed_jobs(heartbeat))
        if heartbeat.machine in self.shard.machines:
            return self._apply(heartbeat, now)
        return self._handle_unknown(heartbeat, now)

    def _handle_unknown(self, heartbeat: Heartbeat, now: int) -> Response | None:
        """Answer a heartbeat from a machine without a record.

        The machine belongs to a scale-out request that was executed late or, if the heartbeat is a
        delayed copy, was returned by an earlier shard leader. Tasks are started on recorded
        machines only, so no task on this machine is wanted any more. Only a heartbeat with our
        fencing token proves that the machine still exists.
        """
        if heartbeat.machine in self.shard.deleted_machines:
            return None
        if heartbeat.fencing_token < self.lease.fencing_token:
            return self._renewal(self.shard.halts_for_closed_jobs(heartbeat))
        self._register_machine(heartbeat, now)
        return self._apply(heartbeat, now)

    def _apply(self, heartbeat: Heartbeat, now: int) -> Response | None:
        commands = self.shard.heartbeat(heartbeat, now)
        if commands is None:
            log.debug(
                "heartbeat from %s refused: epoch %d, sequence %d, fencing token %d",
                heartbeat.machine,
                heartbeat.epoch,
                heartbeat.sequence,
                heartbeat.fencing_token,
            )
            return None
        machine = self.shard.machines[heartbeat.machine]
        log_commands(self.shard, machine, commands, pushed=False, now=now)
        token = self.shard.tokens.of(machine)
        self._forgotten_attempts_log.add(machine, commands, heartbeat.fencing_token, token, now)
        if machine.last_heartbeat_at == now:  # else the heartbeat was outdated or unproven
            shows_token = self.shard.tokens.contains(heartbeat.fencing_token)
            self._after_heartbeat(machine, shows_token, now)
        if self.shard.plan_needed:
            self.context.wake.set()
        return self._renewal(commands, token)

    def _register_machine(self, heartbeat: Heartbeat, now: int) -> None:
        machine_type = self.context.machine_type(heartbeat.type)
        machine = Machine(heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, now)
        self.shard.add_machine(machine)

    def _after_heartbeat(self, machine: Machine, shows_token: bool, now: int) -> None:
        """Record a new machine, and probe one that commands may not reach."""
        if shows_token:
            self.dispatcher.note_token_shown(now)
            if not machine.recorded:
                self.dispatcher.record(machine)
        if machine.unreachable_since or not machine.synced:
            self.dispatcher.probe(machine)

    def _renewal(self, commands: list[TaskCommand], token: int | None = None) -> Response:
        """The answer with this token; by default that of the grant, which no machine that we do not
        know yet can have been raised above."""
        worker_commands = [to_worker_command(command) for command in commands]
        body = HeartbeatResponse(token or self.lease.fencing_token, worker_commands)
        return Response(STATUS_OK, encode(body))
