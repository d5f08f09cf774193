"""Workers <-> controllers: reports and orders."""

from typing import Annotated

from msgspec import Meta, Struct

Whole = Annotated[int, Meta(ge=0)]


class TaskStatus(
    Struct,
    rename={
        "task": "Piece",
        "attempt_number": "Try",
        "stage": "Stage",
        "why": "Cause",
        "saved": "Saved",
    },
):
    """One task in a worker's report."""

    task: Annotated[str, Meta(max_length=60, pattern=r"^req-[0-9]{6,15}/[0-9]{1,6}\Z")]
    attempt_number: Whole
    stage: str
    why: str | None = None
    saved: bool | None = None


class Heartbeat(
    Struct,
    rename={
        "machine": "Anvil",
        "address": "Addr",
        "type": "Grade",
        "zone": "Yard",
        "spot": "Loaners",
        "epoch": "Shift",
        "sequence": "Tick",
        "fencing_token": "Baton",
        "preemption_notice_s": "RecallS",
        "tasks": "Pieces",
    },
):
    """What is on a machine."""

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


class WorkerCommand(
    Struct,
    omit_defaults=True,
    rename={"verb": "Verb", "task": "Piece", "attempt_number": "Try", "grace_s": "WindDownS"},
):
    """A command for one task."""

    verb: str
    task: str
    attempt_number: int
    grace_s: float | None = None


class HeartbeatResponse(Struct, rename={"fencing_token": "Baton", "commands": "Orders"}):
    """The answer to a report."""

    fencing_token: int
    commands: list[WorkerCommand]


class DirectCommand(
    Struct, rename={"fencing_token": "Baton", "epoch": "Shift", "commands": "Orders"}
):
    """The body of /do."""

    fencing_token: int
    epoch: int
    commands: list[WorkerCommand]


class Redirect(Struct, rename={"controller": "Foreman"}):
    """Names the controller to report to."""

    controller: str
