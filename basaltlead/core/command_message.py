"""Commands for attempts, and the messages that carry them to a machine."""

from collections.abc import Callable

from msgspec import Struct

from basaltlead.core.task_states import CommandVerb


class TaskCommand(Struct):
    """A command for one attempt of a task."""

    verb: CommandVerb
    ref: str
    index: int
    attempt_number: int
    grace_s: float | None = None  # for halts: the time that the task has to save a checkpoint


class MessageLimit(Struct, frozen=True):
    """How much fits into one message with commands."""

    max_bytes: int  # of all its commands together
    size_of: Callable[[TaskCommand], int]  # bytes that a command takes, as it is sent


def _no_bytes(_: TaskCommand) -> int:
    return 0


UNLIMITED = MessageLimit(0, _no_bytes)  # for a shard whose commands are not sent


class CommandMessage:
    """The commands of one message. What does not fit is left for a later one."""

    def __init__(self, limit: MessageLimit) -> None:
        self.commands: list[TaskCommand] = []
        self._limit = limit
        self._bytes_left = limit.max_bytes

    def add(self, *commands: TaskCommand) -> bool:
        """Add commands that belong together. False if they don't all fit: then none is added, now
        or later, so that commands keep their order."""
        size = sum(map(self._limit.size_of, commands))
        if size > self._bytes_left:
            self._bytes_left = 0
            return False
        self._bytes_left -= size
        self.commands += commands
        return True
