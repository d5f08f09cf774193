"""The operators' commands `duties` and `audit export`, and quiet times."""

import asyncio
import os
from datetime import datetime
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pyarrow.parquet as pq
import pytest

from basaltlead import cli
from basaltlead.core.jobs import US
from basaltlead.core.quiet_times import QuietTime
from basaltlead.duties.history import RING_PAGES, Action, Event, HistoryPage
from basaltlead.duties.model import Duty
from basaltlead.errors import SettingsError
from basaltlead.operators import client
from basaltlead.operators.audit_export import export
from basaltlead.scaling.quiet_budget import HOUR_US, QuietBudget, StoredQuietReservation
from basaltlead.scaling.quiet_calendar import QuietCalendar, read_calendar
from basaltlead.wire.peers import (
    DutiesRequest,
    DutiesResponse,
    HeldDuty,
    HistoryRequest,
    HistoryResponse,
    OpenIntent,
)
from tests.duty_support import DUTIES_ON, start_with_duties
from tests.fakes import Deployment
from tests.simulation import Loop, simulated
from tests.tools.run_loopback import as_toml

SECOND = 1_000_000


# The command `duties`


@simulated
async def test_controllers_give_equal_answers_and_report_unknown_during_a_store_outage(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)

    deployment.cloud.refused_names.add("large")
    await deployment.submit(deployment.job(1, Cores=8.0))
    await asyncio.sleep(15)
    addresses = [f"{deployment.host(name)}:8081" for name in deployment.nodes]
    responses = [await client._send_request(item, DutiesRequest()) for item in addresses]
    assert responses[0] == responses[1] == responses[2]
    response = responses[0]
    assert isinstance(response, DutiesResponse)
    assert response.granted
    assert not response.unknown
    assert {item.duty: item.holder for item in response.duties} == {
        d: deployment.holder(d) for d in Duty
    }
    assert response.open_count == len(response.intents) > 0
    assert all("400" in item.refused for item in response.intents)
    pages = [await client._send_request(item, HistoryRequest("")) for item in addresses]
    assert pages[0] == pages[1] == pages[2]
    deployment.store.down = True
    for wait_s in (1, 20):  # right after the start of the outage, and once it is detected
        await asyncio.sleep(wait_s)
        for address in addresses:
            assert (await client._send_request(address, DutiesRequest())).unknown
            assert (await client._send_request(address, HistoryRequest(""))).unknown
    deployment.store.end_outage()


@pytest.fixture
def config(tmp_path: Path) -> str:
    path = tmp_path / "settings.toml"
    loop = asyncio.new_event_loop()
    deployment = Deployment(Loop())
    loop.close()
    path.write_text(as_toml(deployment.settings_file("node-0")))
    return str(path)


def _stub_response(response: Any, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    called_addresses: list[str] = []

    async def respond(address: str, request: Any) -> Any:
        called_addresses.append(address)
        if isinstance(response, Exception):
            raise response
        return response

    monkeypatch.setattr(client, "_send_request", respond)
    return called_addresses


def test_duties_command_shows_holders_and_open_intents(
    config: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    response = DutiesResponse(
        "",
        True,
        [HeldDuty("rent", "node-2", 7, 5 * SECOND), HeldDuty("return", "", 0, 0)],
        [OpenIntent("rent", "h-1-1", 3, 5 * SECOND, "cloud: 400")],
        1,
    )
    called_addresses = _stub_response(response, monkeypatch)
    assert cli.main(["duties", "--config", config]) == 0
    output = capsys.readouterr().out

    assert "rent       node-2                      7 1970-01-01T00:00:05+00:00" in output
    assert "nobody" in output
    assert "open intents: 1" in output
    assert "refused: cloud: 400" in output
    assert cli.main(["duties", "--json", "--controller", "node-1", "--config", config]) == 0
    assert msgspec.json.decode(capsys.readouterr().out, type=DutiesResponse) == response
    assert called_addresses == ["10.0.0.1:8081", "10.0.0.2:8081"]


@pytest.mark.parametrize(
    ("response", "arguments", "status", "text"),
    [
        (OSError(111, "Connection refused"), [], 3, "10.0.0.1:8081: Connection refused"),
        (TimeoutError(), [], 3, "no answer within 5 s"),
        (client.Unreachable("it closed the connection"), [], 3, "closed"),
        (DutiesResponse("the state service does not answer"), [], 4, "not known: the state"),
        (DutiesResponse(), ["--controller", "node-9"], 2, "no controller node-9"),
        (DutiesResponse(), ["--config", "/nowhere.toml"], 2, "/nowhere.toml: No such file"),
    ],
    ids=["refused", "timeout", "closed", "unknown", "no such controller", "no such file"],
)
def test_errors_have_a_text_and_an_exit_status(
    response: Any,
    arguments: list[str],
    status: int,
    text: str,
    config: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    _stub_response(response, monkeypatch)
    assert cli.main(["duties", "--config", config, *arguments]) == status
    assert text in capsys.readouterr().err


# The command `audit export`, and the recorded history


def _pages(duty: str, low: int, high: int) -> list[HistoryResponse]:
    """Return pages of ten events each, in the order of their keys in the ring."""
    pages = []
    for number in range(low, high):
        events = [
            Event.of(Action.RETURNED, f"{number}-{n}", SECOND, ["m-1", "m-2"]) for n in range(10)
        ]
        raw = msgspec.json.encode(HistoryPage(number, number * 10, events))
        pages.append(
            HistoryResponse("", f"history/{duty}/{number % RING_PAGES:03d}", msgspec.Raw(raw))
        )
    return sorted(pages, key=lambda page: page.key)


def test_exported_history_is_complete_ordered_and_marks_truncation(tmp_path: Path) -> None:
    out = tmp_path / "history.parquet"

    done = export([*_pages("rent", 0, 3), *_pages("return", 30, 30 + RING_PAGES)], str(out))
    assert (done.events, done.overwritten) == (30 + 10 * RING_PAGES, {"return": 300})
    file = pq.ParquetFile(out)
    assert file.metadata.row_group(0).column(0).compression == "ZSTD"
    rows = [row for batch in file.iter_batches(batch_size=64) for row in batch.to_pylist()]

    assert len(rows) == done.events
    assert [r["sequence"] for r in rows if r["duty"] == "return"] == list(range(300, 940))
    assert rows[0]["count"] == 2
    assert rows[0]["names"] == ["m-1", "m-2"]


def test_failed_export_leaves_no_file(tmp_path: Path) -> None:
    def failing_pages() -> Any:
        yield from _pages("rent", 0, 2)
        raise client.StateUnavailable("the state service does not answer")

    with pytest.raises(client.StateUnavailable):
        export(failing_pages(), str(tmp_path / "history.parquet"))
    assert list(tmp_path.iterdir()) == []


@simulated
async def test_the_recorded_history_is_bounded(loop: Loop, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("basaltlead.duties.history.RING_PAGES", 3)

    deployment = await start_with_duties(loop)
    name = deployment.acting_holder(Duty.RETURN)
    history = deployment.controllers[name].duties.holders[Duty.RETURN].history

    for number in range(400):
        await history.commit([], [], Event.of(Action.RETURNED, f"1-{number}", SECOND, ["m-1"]))
    rows = [v[0] for k, v in deployment.store.keys.items() if k.startswith("history/return/")]
    assert len(rows) == 3
    newest = max(rows, key=lambda page: page["number"])

    assert newest["first"] + len(newest["events"]) == 401  # including the acquisition of the duty
    assert not deployment.duty_checker.violations


# Quiet times

CALENDAR = """BEGIN:VCALENDAR
VERSION:2.0
PRODID:-//example//EN
BEGIN:VEVENT
UID:1
DTSTART;TZID={zone}:20260101T010000
DTEND;TZID={zone}:20260101T050000
RRULE:FREQ=DAILY
END:VEVENT
END:VCALENDAR
"""


def _calendar(folder: Path, zone: str = "Europe/Berlin", **changes: str) -> str:
    text = CALENDAR.format(zone=zone)
    for old, new in changes.items():
        lines = [new if line.startswith(old) else line for line in text.splitlines()]
        text = "\n".join(lines)
    path = folder / "quiet.ics"
    path.write_text(text)
    return str(path)


def _timestamp_us(zone: str, *moment: int) -> int:
    return int(datetime(*moment, tzinfo=ZoneInfo(zone)).timestamp() * US)  # type: ignore[misc,arg-type]


@pytest.mark.parametrize(
    ("day", "hours"),
    [((2026, 3, 28), 4), ((2026, 3, 29), 3), ((2026, 10, 25), 5), ((2026, 10, 26), 4)],
    ids=["before spring", "spring", "autumn", "after autumn"],
)
def test_quiet_time_follows_the_clock_of_its_time_zone(
    day: tuple[int, int, int], hours: int, tmp_path: Path
) -> None:
    """It lasts from 01:00 to 05:00 local time, an hour less or more when the clocks change."""
    start = _timestamp_us("Europe/Berlin", *day, 1)
    now = [start - 1]
    calendar = QuietCalendar(_calendar(tmp_path), lambda: now[0])
    assert calendar.current() is None
    now[0] = start
    assert calendar.current() == QuietTime(start, start + hours * HOUR_US)
    now[0] = start + hours * HOUR_US - 1
    assert calendar.current() is not None
    now[0] += 1

    assert calendar.current() is None


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"DTSTART": "DTSTART:20260101T010000"}, "line 6: DTSTART: needs a known time zone"),
        ({"DTSTART": "DTSTART;TZID=Moon/Sea:20260101T010000"}, "line 6: DTSTART: needs a known"),
        ({"DTSTART": "DTSTART;VALUE=DATE:20260101"}, "line 6: DTSTART: needs a date and a time"),
        ({"DTEND": "DTEND:banana"}, "line 7: DTEND: "),
        ({"DTEND": "DTEND;TZID=Europe/Berlin:20260104T010000"}, "line 7: DTEND: a quiet time"),
        ({"DTEND": "SUMMARY:no end"}, "line 4: DTEND: is missing"),
        ({"RRULE": "RRULE:FREQ=NOW"}, "line 8: RRULE: "),
        ({"UID": "what is this"}, "line 5: what is this: not a content line"),
    ],
    ids=[
        "no zone",
        "unknown zone",
        "date without time",
        "malformed end",
        "end before start",
        "no end",
        "malformed rule",
        "malformed line",
    ],
)
def test_bad_calendar_is_refused_with_line_and_field(
    changes: dict[str, str],
    text: str,
    config: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = _calendar(tmp_path, **changes)
    operator = tmp_path / "operator.yaml"
    operator.write_text(f"quiet: {{calendar: {path}, most_cost: 2.0}}\n")

    assert cli.main(["serve", "--operator", str(operator), "--config", config]) == 2
    assert text in capsys.readouterr().err


def test_calendar_that_becomes_invalid_leaves_the_last_valid_one_in_force(tmp_path: Path) -> None:
    now = [_timestamp_us("Europe/Berlin", 2026, 5, 5, 2)]
    path = _calendar(tmp_path)
    calendar = QuietCalendar(path, lambda: now[0])
    assert calendar.current() is not None
    Path(path).write_text("nonsense")
    os.utime(path, (1, 1))
    with pytest.raises(SettingsError):
        read_calendar(path)
    now[0] += 120 * SECOND
    assert calendar.current() is not None
    _calendar(tmp_path, "Asia/Tokyo")
    os.utime(path, (2, 2))
    now[0] += 120 * SECOND

    assert calendar.current() is None  # it is 9:00 there


@simulated
async def test_spending_stays_within_the_quiet_budget_across_failovers(loop: Loop) -> None:
    stored: list[StoredQuietReservation] = []

    async def reserve(reservation: StoredQuietReservation) -> bool:
        stored.append(reservation)
        return True

    spent, now = 0.0, 0

    for _ in range(40):  # each time, a new shard leader loads the last reservation
        budget = QuietBudget(2.0, reserve)
        if stored:
            budget.load(stored[-1])
        for _ in range(200):
            now += SECOND
            if budget.begin_pass(QuietTime(1, HOUR_US), now):
                await budget.reserve_more()
            spent += 3.0 / 3600 * budget.charge(3.0)

    assert 0.5 < spent <= 2.0 + 1e-9


@simulated
async def test_idle_machines_are_retained_in_a_quiet_time_within_the_budget(
    loop: Loop, tmp_path: Path
) -> None:
    day = CALENDAR.format(zone="UTC").replace("T01", "T00").replace("T05", "T23")
    path = tmp_path / "quiet.ics"
    path.write_text(day.replace("2026", "2020"))
    quiet = {"calendar": str(path), "most_cost": 0.02}  # 12 minutes of a spot machine
    deployment = Deployment(loop, operator={"quiet": quiet, **DUTIES_ON})
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    machine_count = len(deployment.cloud.machines)
    await asyncio.sleep(200)  # without quiet times they are returned within 100 s
    assert len(deployment.cloud.machines) == machine_count
    # The budget ends long before 23:00
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=900.0)

    deployment.assert_no_violation()
