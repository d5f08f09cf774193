"""Keys that identify tasks and attempts.

A key equals the plain tuple of its fields, and the tuple is created several times as fast. Lookups
that happen for each task of each heartbeat therefore use plain tuples.
"""

from typing import NamedTuple


class TaskKey(NamedTuple):
    """Identifies one task of a job."""

    ref: str  # of the job
    task_index: int


class AttemptKey(NamedTuple):
    """Identifies one attempt of a task."""

    ref: str  # of the job
    task_index: int
    attempt_number: int


PlainAttemptKey = tuple[str, int, int]


def parse_task(task: str) -> tuple[str, int]:
    """Return job and index of a task from its name in the worker protocol, "<job>/<index>"."""
    ref, _, index = task.rpartition("/")
    return ref, int(index)
