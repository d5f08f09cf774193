"""Quiet times, during which idle machines are retained and clean-up waits.

Every controller loads this module; the calendar (scaling/quiet_calendar) needs libraries that only
deployments with quiet times have.
"""

from typing import NamedTuple, Protocol


class QuietTime(NamedTuple):
    """One occurrence of a quiet time, in microseconds of wall-clock time; the end is exclusive."""

    start: int
    end: int


class QuietTimes(Protocol):
    """The quiet times that the operators have set."""

    def current(self) -> QuietTime | None:
        """The quiet time in effect now, if there is one."""
