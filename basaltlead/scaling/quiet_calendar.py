"""Quiet times from an iCalendar file.

The module needs icalendar, recurring-ical-events and the time zones of tzdata. It is imported only
if such a file is configured.
"""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, NamedTuple

import icalendar
import recurring_ical_events
from icalendar.parser import Contentline

from basaltlead.core.jobs import US
from basaltlead.core.quiet_times import QuietTime
from basaltlead.errors import SettingsError
from basaltlead.runtime.clock import wall_us
from basaltlead.runtime.logs import log

MAX_EVENT_DURATION = timedelta(hours=24)
HORIZON = timedelta(hours=6)  # how far ahead occurrences are computed
HORIZON_US = HORIZON // timedelta(microseconds=1)
CHECK_INTERVAL_US = 60 * US  # between two checks for changes of the file
MAX_CALENDAR_BYTES = 1 << 20
MAX_SHOWN_CHARS = 40  # an error shows this much of a malformed line in place of a field name

EVENT = "VEVENT"
EVENT_BEGINS = f"BEGIN:{EVENT}"
START, END, DURATION = "DTSTART", "DTEND", "DURATION"


class Line(NamedTuple):
    """A content line after unfolding."""

    number: int  # of its first line in the file, counted from 1
    text: str


class EventProblem(NamedTuple):
    """A field that makes an event invalid, and the reason."""

    field: str
    reason: str


def _error(path: str, line: int, problem: EventProblem) -> SettingsError:
    return SettingsError(f"{path}: line {line}: {problem.field}: {problem.reason}")


def _content_lines(text: str) -> list[Line]:
    """The non-empty lines. A line that begins with a space or tab continues the one before."""
    lines: list[Line] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line[:1] in (" ", "\t") and lines:
            lines[-1] = Line(lines[-1].number, lines[-1].text + line[1:])
        elif line.strip():
            lines.append(Line(number, line))
    return lines


def _line_number(lines: list[Line], event: int, field: str) -> int:
    """The line number of a field of an event, or of the event's first line if it has no such field.

    `event` is the index of the event in the calendar.
    """
    begins = [index for index, line in enumerate(lines) if line.text.upper() == EVENT_BEGINS]
    start = begins[event]
    end = begins[event + 1] if event + 1 < len(begins) else len(lines)
    for line in lines[start:end]:
        if line.text.upper().startswith((f"{field}:", f"{field};")):
            return line.number
    return lines[start].number


def read_calendar(path: str) -> icalendar.Calendar:
    """Read a calendar file and validate its events.

    Raises SettingsError, with the line and the field, if the file or an event can't be used.
    """
    text = _read_text(path)
    lines = _content_lines(text)
    for line in lines:
        try:
            Contentline(line.text).parts()  # type: ignore[no-untyped-call]
        except ValueError:
            problem = EventProblem(line.text[:MAX_SHOWN_CHARS], "not a content line")
            raise _error(path, line.number, problem) from None
    try:
        calendar = icalendar.Calendar.from_ical(text)
    except (ValueError, IndexError) as error:
        raise _error(path, 1, EventProblem("VCALENDAR", str(error))) from None
    events = calendar.walk(EVENT)
    if not events:
        raise _error(path, 1, EventProblem(EVENT, "no quiet time"))
    for index, event in enumerate(events):
        for problem in _event_problems(event):
            raise _error(path, _line_number(lines, index, problem.field), problem)
    return calendar


def _read_text(path: str) -> str:
    try:
        raw = Path(path).read_bytes()
        text = raw.decode()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not UTF-8") from None
    if len(raw) > MAX_CALENDAR_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_CALENDAR_BYTES} bytes")
    return text


def _event_problems(event: Any) -> list[EventProblem]:
    """The problem that makes an event invalid, if any."""
    if event.errors:
        return [EventProblem(str(field), str(reason)) for field, reason in event.errors]
    start = event.get(START)
    if start is None or not isinstance(start.dt, datetime):
        return [EventProblem(START, "needs a date and a time of day")]
    if start.dt.tzinfo is None:
        zone = start.params.get("TZID", "none")
        return [EventProblem(START, f"needs a known time zone, not {zone}")]
    if END in event:
        field, span = END, event[END].dt - start.dt
    elif DURATION in event:
        field, span = DURATION, event[DURATION].dt
    else:
        return [EventProblem(END, "is missing")]
    if not timedelta(0) < span <= MAX_EVENT_DURATION:
        return [
            EventProblem(
                field, f"a quiet time must last longer than 0 s, and {MAX_EVENT_DURATION} at most"
            )
        ]
    return []


class QuietCalendar:
    """The quiet times of a calendar file.

    Changes of the file take effect within a minute. If the new file is invalid, the last valid
    calendar stays in use.
    """

    def __init__(self, path: str, clock: Callable[[], int] = wall_us) -> None:
        """Read the file. Raises SettingsError if it can't be used.

        `clock` returns the Unix time in microseconds.
        """
        self.path = path
        self.clock = clock
        self.calendar = read_calendar(path)
        self.modified_at = self._modified_at()
        self.checked_at = clock()
        self.known_until = 0  # Unix time up to which `occurrences` is computed
        self.occurrences: list[QuietTime] = []

    def _modified_at(self) -> float:
        """The file's modification time; 0 if the file can't be read."""
        try:
            return Path(self.path).stat().st_mtime
        except OSError:
            return 0.0

    def current(self) -> QuietTime | None:
        """The current quiet time; if several overlap, the one that began first."""
        now = self.clock()
        # The wall clock may be set back. The file is then checked and the occurrences computed
        # again as well.
        if not 0 <= now - self.checked_at < CHECK_INTERVAL_US:
            self._read_if_modified(now)
        if not self.known_until - 2 * HORIZON_US <= now < self.known_until:
            self._compute_occurrences(now)
        return min(
            (quiet for quiet in self.occurrences if quiet.start <= now < quiet.end), default=None
        )

    def _read_if_modified(self, now: int) -> None:
        self.checked_at = now
        modified_at = self._modified_at()
        if modified_at == self.modified_at:
            return
        try:
            self.calendar = read_calendar(self.path)
        except SettingsError as error:
            _log_unusable(error)
        else:
            log.info("quiet calendar reloaded from %s", self.path)
            self.known_until = 0
        self.modified_at = modified_at

    def _compute_occurrences(self, now: int) -> None:
        at = datetime.fromtimestamp(now / US, UTC)
        events = recurring_ical_events.of(self.calendar).between(
            at - MAX_EVENT_DURATION, at + HORIZON
        )
        self.occurrences = sorted(
            QuietTime(_to_us(event[START].dt), _to_us(event[END].dt)) for event in events
        )
        self.known_until = now + HORIZON_US


def _log_unusable(error: SettingsError) -> None:
    log.error("quiet calendar not reloaded, the previous one stays in use: %s", error)


def _to_us(at: datetime) -> int:
    return int(at.timestamp() * US)
