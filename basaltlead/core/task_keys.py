"""The keys by which tasks and attempts are known."""

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


def parse_task(task: str) -> TaskKey:
    """The key of a task as the worker protocol names it: "<job>/<index>"."""
    ref, _, index = task.rpartition("/")
    return TaskKey(ref, int(index))
