"""Quiet times from an iCalendar file: when idle machines are kept and clean-up rests.

Needs icalendar and recurring-ical-events, and the time zones of tzdata; imported only where such a
file is configured.
"""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, NamedTuple

import icalendar
import recurring_ical_events
from icalendar.parser import Contentline

from basaltlead.core.entities import US
from basaltlead.errors import SettingsError
from basaltlead.runtime.clock import wall_us
from basaltlead.runtime.logs import log

LONGEST = timedelta(hours=24)  # a quiet time lasts no longer
HORIZON = timedelta(hours=6)  # occurrences are worked out so far ahead
CHECK_US = 60 * US  # between two looks whether the file has changed
MOST_BYTES = 1 << 20  # of a calendar


class QuietTime(NamedTuple):
    """One occurrence, in times of day."""

    start: int
    end: int


def _fault(path: str, line: int, field: str, text: str) -> SettingsError:
    return SettingsError(f"{path}: line {line}: {field}: {text}")


def _logical_lines(text: str) -> list[tuple[int, str]]:
    """Lines with their numbers; those that go on with a space belong to the one before."""
    out: list[tuple[int, str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line[:1] in (" ", "\t") and out:
            out[-1] = (out[-1][0], out[-1][1] + line[1:])
        elif line.strip():
            out.append((number, line))
    return out


def _line_of(lines: list[tuple[int, str]], event: int, field: str) -> int:
    """The line of a field of an event, or where the event begins."""
    begins = [place for place, (_, line) in enumerate(lines) if line.upper() == "BEGIN:VEVENT"]
    start = begins[event]
    end = begins[event + 1] if event + 1 < len(begins) else len(lines)
    for number, line in lines[start:end]:
        if line.upper().startswith((f"{field}:", f"{field};")):
            return number
    return lines[start][0]


def read(path: str) -> icalendar.Calendar:
    """A calendar that can be used. Raises SettingsError with line and field."""
    try:
        raw = Path(path).read_bytes()
        text = raw.decode()
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not UTF-8") from None
    if len(raw) > MOST_BYTES:
        raise SettingsError(f"{path}: larger than {MOST_BYTES} bytes")
    lines = _logical_lines(text)
    for number, line in lines:
        try:
            Contentline(line).parts()  # type: ignore[no-untyped-call]
        except ValueError:
            raise _fault(path, number, line[:40], "not a content line") from None
    try:
        calendar = icalendar.Calendar.from_ical(text)
    except (ValueError, IndexError) as fault:
        raise _fault(path, 1, "VCALENDAR", str(fault)) from None
    events = calendar.walk("VEVENT")
    if not events:
        raise _fault(path, 1, "VEVENT", "no quiet time")
    for place, event in enumerate(events):
        for field, text in _faults(event):
            raise _fault(path, _line_of(lines, place, field), field, text)
    return calendar


def _faults(event: Any) -> list[tuple[str, str]]:
    """What makes an event unusable: field and reason."""
    if event.errors:
        return [(str(field), str(text)) for field, text in event.errors]
    start = event.get("DTSTART")
    if start is None or not isinstance(start.dt, datetime):
        return [("DTSTART", "needs a date and a time of day")]
    if start.dt.tzinfo is None:
        return [("DTSTART", f"needs a known time zone, not {start.params.get('TZID', 'none')}")]
    if "DTEND" not in event and "DURATION" not in event:
        return [("DTEND", "is missing")]
    field = "DTEND" if "DTEND" in event else "DURATION"
    span = event["DTEND"].dt - start.dt if field == "DTEND" else event["DURATION"].dt
    if not timedelta(0) < span <= LONGEST:
        return [(field, f"a quiet time lasts longer than nothing, and {LONGEST} at most")]
    return []


class QuietTimes:
    """The occurrences of a calendar around now. A file that goes bad leaves the last good one in
    force."""

    def __init__(self, path: str, clock: Callable[[], int] = wall_us) -> None:
        self.path = path
        self.clock = clock
        self.calendar = read(path)
        self.changed_at = self._changed_at()
        self.checked_at = clock()
        self.until = 0  # occurrences are known up to here
        self.known: list[QuietTime] = []

    def _changed_at(self) -> float:
        try:
            return Path(self.path).stat().st_mtime
        except OSError:
            return 0.0

    def current(self) -> QuietTime | None:
        """The quiet time that is now; of several the one that began first."""
        now = self.clock()
        if not 0 <= now - self.checked_at < CHECK_US:
            self._refresh(now)
        if not self.until - 2 * HORIZON // timedelta(microseconds=1) <= now < self.until:
            self._expand(now)
        return min((one for one in self.known if one.start <= now < one.end), default=None)

    def _refresh(self, now: int) -> None:
        self.checked_at = now
        changed_at = self._changed_at()
        if changed_at == self.changed_at:
            return
        try:
            self.calendar = read(self.path)
        except SettingsError as fault:
            log.error("quiet times stay as they were: %s", fault)
        else:
            log.info("quiet times read again from %s", self.path)
            self.until = 0
        self.changed_at = changed_at

    def _expand(self, now: int) -> None:
        at = datetime.fromtimestamp(now / US, UTC)
        found = recurring_ical_events.of(self.calendar).between(at - LONGEST, at + HORIZON)
        self.known = sorted(
            QuietTime(_micros(one["DTSTART"].dt), _micros(one["DTEND"].dt)) for one in found
        )
        self.until = now + HORIZON // timedelta(microseconds=1)


def _micros(at: datetime) -> int:
    return int(at.timestamp() * US)
