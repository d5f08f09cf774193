"""The interfaces of worker reports that reconciliation depends on."""

from collections.abc import Sequence
from typing import Protocol


class ReportedTask(Protocol):
    """A task in a worker's report."""

    task: str  # "<job>/<index>"
    attempt_number: int
    stage: str  # a TaskState, or a value that this version does not know
    why: str | None  # of an ended task: an ExitReason, or a value that this version does not know


class WorkerReport(Protocol):
    """A heartbeat, or an answer to pushed commands, which has the same content."""

    machine: str
    address: str
    epoch: int
    sequence: int
    fencing_token: int
    preemption_notice_s: float | None

    @property
    def tasks(self) -> Sequence[ReportedTask]:
        """All attempts on the machine, including ended ones that are not forgotten yet."""
