"""Quiet times: when idle machines are retained and clean-up waits.

Without imports, as every controller loads this module; the calendar (quiet_calendar) needs
libraries that only deployments with quiet times have.
"""

from typing import NamedTuple, Protocol


class QuietTime(NamedTuple):
    """One occurrence, in times of day in microseconds; the end is not part of it."""

    start: int
    end: int


class QuietTimes(Protocol):
    """The quiet times that the operators have set."""

    def current(self) -> QuietTime | None:
        """The quiet time that is now, if there is one."""
