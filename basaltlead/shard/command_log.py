"""Log lines that show why a command was allowed, and which starts a machine still knows."""

import asyncio
import logging
from collections.abc import Iterable, Sequence

from basaltlead.core.command_message import TaskCommand
from basaltlead.core.entities import Machine
from basaltlead.core.shard import Shard
from basaltlead.core.task_states import FORGET
from basaltlead.runtime.logs import log

MAX_LOGGED_ATTEMPTS = 5  # attempts of a machine that are named in a log line
WRITE_INTERVAL_S = 1.0


def log_commands(
    shard: Shard, machine: Machine, commands: Iterable[TaskCommand], pushed: bool, now: int
) -> None:
    """Log, at `debug`, what the shard leader knew for each start or halt that it sent."""
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
            shard.tokens.of(machine),
            shard.version,
            job_state.version if job_state is not None else 0,
            machine.epoch,
            machine.lease.describe(now),
            len(shard.unsynced),
        )


class ForgottenAttemptsLog:
    """Logs what machines are told to forget, in one line a second for all of them: a line for each
    answer to a heartbeat would be most of what a controller writes."""

    def __init__(self) -> None:
        self._entries: list[str] = []

    def add(
        self,
        machine: Machine,
        commands: Sequence[TaskCommand],
        shown_token: int,
        sent_token: int,
        now: int,
    ) -> None:
        """Add what an answer tells a machine to forget, and what was pushed to it before.

        It is written within a second, also if no other answer follows or the shard is released.
        """
        forgotten = [command for command in commands if command.verb == FORGET]
        if not forgotten:
            return
        if not self._entries:
            asyncio.get_running_loop().call_later(WRITE_INTERVAL_S, self._write)
        self._entries.append(
            f"machine {machine.name} {_describe_attempts(forgotten)}, epoch {machine.epoch}, "
            f"fencing token {shown_token} shown, {sent_token} sent, "
            f"{machine.pushed_starts.describe(now)}"
        )
        machine.pushed_starts.clear()

    def _write(self) -> None:
        log.info("told to forget attempts: %s", "; ".join(self._entries))
        self._entries.clear()


def _describe_attempts(commands: Sequence[TaskCommand]) -> str:
    """The number of attempts, and the first of them with their attempt numbers."""
    names = ", ".join(
        f"{command.ref}/{command.index} attempt {command.attempt_number}"
        for command in commands[:MAX_LOGGED_ATTEMPTS]
    )
    more = ", ..." if len(commands) > MAX_LOGGED_ATTEMPTS else ""
    return f"{len(commands)} ({names}{more})"
