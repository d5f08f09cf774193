"""Log lines at `debug` that show why a command was allowed, one for each start or halt."""

import logging
from collections.abc import Iterable

from basaltlead.core.commands import TaskCommand
from basaltlead.core.entities import Machine
from basaltlead.core.shard import Shard
from basaltlead.core.task_states import FORGET
from basaltlead.runtime.logs import log


def log_commands(
    shard: Shard, machine: Machine, commands: Iterable[TaskCommand], pushed: bool, now: int
) -> None:
    """Log what the shard leader knew when it sent commands to a machine."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    for command in commands:
        if command.verb == FORGET:
            continue
        job_state = shard.job_states.get(command.ref)
        log.debug(
            "%s %s/%d, attempt %d, %s to %s: fencing token %d of grant revision %d, "
            "job revision %d, epoch %d, %s, %d machines not in sync",
            command.verb,
            command.ref,
            command.index,
            command.attempt_number,
            "pushed" if pushed else "answered",
            machine.name,
            shard.fencing_token,
            shard.version,
            job_state.version if job_state is not None else 0,
            machine.epoch,
            machine.lease.describe(now),
            len(shard.unsynced),
        )
