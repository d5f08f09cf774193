"""Task states, exit reasons of attempts, and command verbs, as the worker protocol defines them.

A worker may report a value that is not listed here, for example one of a later version. Reported
values therefore stay plain strings and are only compared with members: a `StrEnum` member equals
its string. A task in an unknown state may be on its machine; an unknown exit reason counts against
neither the job nor the machine.

In Python 3.11 looking up a member on its class takes several times as long as comparing two
strings. States are compared for each task of each heartbeat, so modules import the members by name.
"""

from enum import StrEnum


class TaskState(StrEnum):
    """The state of a task on its machine.

    Two states are internal to the controller. PLANNED: the task is bound to a machine. SENT: its
    start command was sent, and no heartbeat has listed it yet. The others are reported by workers.
    """

    PLANNED = "planned"
    SENT = "sent"
    FETCHING = "fetching"  # its image is being fetched
    GATHERING = "gathering"  # waits until all tasks of its gang are ready
    RUNNING = "running"
    SAVING = "saving"  # was told to stop and is saving a checkpoint
    ENDED = "ended"


class ExitReason(StrEnum):
    """Why an attempt ended, as reported by its worker."""

    DONE = "done"  # it returned without an error
    STOPPED = "stopped"  # by a command
    PEERS = "peers"  # another task of its gang ended
    INCOMPLETE = "incomplete"  # its gang was not complete in time
    ERROR = "error"
    FULL = "full"  # the machine had too little free capacity
    IN_USE = "in_use"  # another attempt of the task was still on the machine
    NO_SUCH = "no_such"  # the worker did not find the job


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

# States in which no heartbeat has listed the attempt yet.
BEFORE_FIRST_REPORT = (PLANNED, SENT)
# States in which stopping the attempt loses no work.
BEFORE_FIRST_RUN = (PLANNED, SENT, FETCHING, GATHERING)
# States in which the image is on the machine.
IMAGE_PRESENT = (RUNNING, SAVING, GATHERING)
# States in which the task is running, or saving its progress after it ran.
EXECUTING = (RUNNING, SAVING)
# If one task of a gang ends for one of these reasons, the other tasks are stopped at once. See
# `AttemptTable.stop_incomplete` for INCOMPLETE.
GANG_ENDING_REASONS = frozenset(
    {
        ExitReason.PEERS,
        ExitReason.ERROR,
        ExitReason.FULL,
        ExitReason.NO_SUCH,
        ExitReason.IN_USE,
    }
)
