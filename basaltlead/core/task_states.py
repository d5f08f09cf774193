"""The states of a task, why an attempt ended, and the commands for a task.

The values are the words of the worker protocol. A worker may report a word that is not listed here,
for example one of a later version, so reported words are kept as the plain strings that they are
and only compared with members: a `StrEnum` member equals its string. An unknown state is one of a
task that may be on its machine; an unknown exit reason blames neither the job nor the machine.

In Python 3.11 reading a member from its class takes several times as long as comparing two strings.
States are compared for each task of each heartbeat, so modules import the members by name.
"""

from enum import StrEnum


class TaskState(StrEnum):
    """What is known of a task on its machine.

    PLANNED and SENT are the controller's own: bound to a machine; its start command was sent, and
    no heartbeat has listed it so far. The others are as the worker reports them.
    """

    PLANNED = "planned"
    SENT = "sent"
    FETCHING = "fetching"  # its image is on the way
    GATHERING = "gathering"  # a gang's task waits until all of the gang are ready
    RUNNING = "running"
    SAVING = "saving"  # it was asked to stop and saves a checkpoint
    ENDED = "ended"


class ExitReason(StrEnum):
    """Why a worker says that an attempt ended."""

    DONE = "done"  # it returned without an error
    STOPPED = "stopped"  # by a command
    PEERS = "peers"  # another task of its gang ended
    INCOMPLETE = "incomplete"  # its gang was not complete in time
    ERROR = "error"
    FULL = "full"  # the machine had no room for it
    IN_USE = "in_use"  # another attempt of the task was still on the machine
    NO_SUCH = "no_such"  # the worker does not find the job


class CommandVerb(StrEnum):
    """What a command tells a worker to do with an attempt."""

    RUN = "run"
    HALT = "halt"
    FORGET = "forget"  # drop an ended attempt from its list


PLANNED = TaskState.PLANNED
SENT = TaskState.SENT
FETCHING = TaskState.FETCHING
GATHERING = TaskState.GATHERING
RUNNING = TaskState.RUNNING
SAVING = TaskState.SAVING
ENDED = TaskState.ENDED

RUN = CommandVerb.RUN
HALT = CommandVerb.HALT
FORGET = CommandVerb.FORGET

# No heartbeat has listed the attempt so far.
BEFORE_FIRST_REPORT = (PLANNED, SENT)
# Nothing is lost if the attempt is stopped.
BEFORE_FIRST_RUN = (PLANNED, SENT, FETCHING, GATHERING)
# Its image has arrived on the machine.
IMAGE_PRESENT = (RUNNING, SAVING, GATHERING)
# It runs, or ran and saves what it has done.
EXECUTING = (RUNNING, SAVING)
# The end of one task with one of these ends its gang's attempt: the others are cleared away.
GANG_ENDING_REASONS = frozenset(
    {
        ExitReason.PEERS,
        ExitReason.INCOMPLETE,
        ExitReason.ERROR,
        ExitReason.FULL,
        ExitReason.NO_SUCH,
        ExitReason.IN_USE,
    }
)
