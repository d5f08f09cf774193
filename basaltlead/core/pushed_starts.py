"""What was pushed to a machine since it was last told to forget attempts, for the log."""

from collections.abc import Sequence

from basaltlead.core.jobs import US
from basaltlead.core.task_keys import AttemptKey

MAX_LOGGED_ATTEMPTS = 5  # attempts named in a log line


class PushedStarts:
    """The number of starts that were pushed to a machine, the first of them, and when the last was
    pushed, in microseconds."""

    __slots__ = ("count", "first", "last_at")

    def __init__(self) -> None:
        self.count = 0
        self.first: list[AttemptKey] = []
        self.last_at = 0

    def add(self, keys: Sequence[AttemptKey], now: int) -> None:
        """Add starts that are pushed now."""
        if not keys:
            return
        self.count += len(keys)
        self.first += keys[: MAX_LOGGED_ATTEMPTS - len(self.first)]
        self.last_at = now

    def clear(self) -> None:
        """Begin anew, since the machine is told to forget attempts."""
        self.count = 0
        self.first = []

    def describe(self, now: int) -> str:
        """How many starts were pushed, which, and how long ago the last one was."""
        if not self.count:
            return "no starts pushed since the last such line"
        names = describe_attempts(self.first, self.count)
        return f"{names} pushed since the last such line, {(now - self.last_at) / US:.1f} s ago"


def describe_attempts(keys: Sequence[AttemptKey], count: int) -> str:
    """The number of attempts, and the first of them with their attempt numbers."""
    names = ", ".join(
        f"{key.ref}/{key.task_index} attempt {key.attempt_number}"
        for key in keys[:MAX_LOGGED_ATTEMPTS]
    )
    more = ", ..." if count > MAX_LOGGED_ATTEMPTS else ""
    return f"{count} ({names}{more})"
