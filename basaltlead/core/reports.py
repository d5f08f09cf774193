"""What the reconciliation needs of a worker's report, however it came."""

from collections.abc import Sequence
from typing import Protocol


class ReportedTask(Protocol):
    """A task in a worker's report."""

    task: str  # "<job>/<index>"
    attempt_number: int
    stage: str  # a TaskState, or a word that this version does not know
    why: str | None  # of an ended task: an ExitReason, or a word that is not known


class WorkerReport(Protocol):
    """A heartbeat, or the answer to pushed commands, which has the same content."""

    machine: str
    address: str
    epoch: int
    sequence: int
    fencing_token: int
    preemption_notice_s: float | None

    @property
    def tasks(self) -> Sequence[ReportedTask]:
        """All attempts on the machine, and those that ended and were not forgotten so far."""
