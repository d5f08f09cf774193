"""What was pushed to a machine since it was last told to forget attempts, for the log."""

from collections.abc import Iterable

from basaltlead.core.jobs import US


class PushedStarts:
    """The number of starts that were pushed to a machine, the range of their attempt numbers, and
    when the last was pushed, in microseconds."""

    __slots__ = ("count", "highest", "last_at", "lowest")

    def __init__(self) -> None:
        self.count = 0
        self.lowest = 0
        self.highest = 0
        self.last_at = 0

    def add(self, attempt_numbers: Iterable[int], now: int) -> None:
        """Add starts that are pushed now."""
        for number in attempt_numbers:
            self.lowest = min(self.lowest, number) if self.count else number
            self.highest = max(self.highest, number)
            self.count += 1
            self.last_at = now

    def clear(self) -> None:
        """Begin anew, since the machine is told to forget attempts."""
        self.count = self.lowest = self.highest = 0

    def describe(self, now: int) -> str:
        """How many starts were pushed, their attempt numbers, and how long ago the last one was."""
        if not self.count:
            return "no starts pushed since the last time"
        age_s = (now - self.last_at) / US
        return (
            f"{self.count} starts pushed since the last time, "
            f"attempts {self.lowest} to {self.highest}, {age_s:.1f} s before"
        )
