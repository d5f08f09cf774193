"""The keys by which tasks and attempts are known.

A key equals the plain tuple of its fields, which is made several times as fast. So where keys are
only looked up, for each task of each heartbeat, they are plain tuples.
"""

from typing import NamedTuple


class TaskKey(NamedTuple):
    """One task of a job."""

    ref: str  # of the job
    task_index: int


class AttemptKey(NamedTuple):
    """One attempt of a task."""

    ref: str  # of the job
    task_index: int
    attempt_number: int


PlainAttemptKey = tuple[str, int, int]


def parse_task(task: str) -> tuple[str, int]:
    """The job and the index of a task as the worker protocol names it: "<job>/<index>"."""
    ref, _, index = task.rpartition("/")
    return ref, int(index)
