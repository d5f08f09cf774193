"""Commands for the tasks of workers."""

from msgspec import Struct


class TaskCommand(Struct):
    """An order for a worker."""

    verb: str
    ref: str
    index: int
    attempt_number: int
    grace_s: float | None = None
