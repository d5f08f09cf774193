"""Messages between workers and controllers: heartbeats and commands."""

from typing import Annotated

from msgspec import Meta, Struct

from basaltlead.wire.names import PROTOCOL_NAMES

Whole = Annotated[int, Meta(ge=0)]


class TaskStatus(Struct, rename=PROTOCOL_NAMES):
    """A task in a heartbeat; `saved` is whether it saved a checkpoint when it was stopped."""

    task: Annotated[str, Meta(max_length=60, pattern=r"^req-[0-9]{6,15}/[0-9]{1,6}\Z")]
    attempt_number: Whole
    stage: str
    why: str | None = None
    saved: bool | None = None


class Heartbeat(Struct, rename=PROTOCOL_NAMES):
    """A worker's periodic report of its machine and the tasks on it.

    The epoch changes with each expiry of the worker's lease, and the sequence number orders the
    messages within an epoch. `fencing_token` is the highest token that the worker has seen, and
    `preemption_notice_s` the time until the cloud reclaims a spot machine.
    """

    machine: Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9_.-]+\Z")]
    address: Annotated[str, Meta(max_length=40, pattern=r"^[0-9.]+:[0-9]+\Z")]
    type: str
    zone: str
    spot: bool
    epoch: Whole
    sequence: Whole
    fencing_token: Whole
    tasks: list[TaskStatus]
    preemption_notice_s: float | None = None


class WorkerCommand(Struct, omit_defaults=True, rename=PROTOCOL_NAMES):
    """A command for one attempt at a task; `grace_s` is the time for saving a checkpoint."""

    verb: str
    task: str
    attempt_number: int
    grace_s: float | None = None


class HeartbeatResponse(Struct, rename=PROTOCOL_NAMES):
    """The response to a heartbeat."""

    fencing_token: int
    commands: list[WorkerCommand]


class DirectCommand(Struct, rename=PROTOCOL_NAMES):
    """Commands pushed to a worker outside heartbeats: the request body of /do."""

    fencing_token: int
    epoch: int
    commands: list[WorkerCommand]


class Redirect(Struct, rename=PROTOCOL_NAMES):
    """The response to a heartbeat that was sent to the wrong controller: names the right one."""

    controller: str
