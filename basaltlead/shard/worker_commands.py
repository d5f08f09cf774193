"""Task commands in the form in which they are sent to workers, and how many fit into a message."""

from basaltlead.clients.codec import encode
from basaltlead.core.command_message import MessageLimit, TaskCommand
from basaltlead.net.http.messages import MAX_BODY_BYTES
from basaltlead.wire.workers import DirectCommand, WorkerCommand

MAX_NUMBER = 2**64 - 1  # of tokens and epochs, by the protocol
# Pushed commands have more around them than those in answers to heartbeats.
ENVELOPE_BYTES = len(encode(DirectCommand(MAX_NUMBER, MAX_NUMBER, [])))
SEPARATOR_BYTES = 1


def to_worker_command(command: TaskCommand) -> WorkerCommand:
    """Convert a task command to the form in which it is sent to a worker."""
    task = f"{command.ref}/{command.index}"
    return WorkerCommand(command.verb, task, command.attempt_number, command.grace_s)


def _size_of(command: TaskCommand) -> int:
    return len(encode(to_worker_command(command))) + SEPARATOR_BYTES


# For requests to workers, and for answers to them, whose lines have the same limit.
MESSAGE_LIMIT = MessageLimit(MAX_BODY_BYTES - ENVELOPE_BYTES, _size_of)
