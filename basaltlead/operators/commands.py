"""The operators' commands: `basaltlead duties` and `basaltlead audit export`."""

import argparse
import sys
from datetime import UTC, datetime
from enum import IntEnum

import msgspec

from basaltlead.config.loader import load
from basaltlead.core.jobs import US
from basaltlead.errors import SettingsError
from basaltlead.operators import client
from basaltlead.operators.arguments import Verb
from basaltlead.runtime.clock import wall_us
from basaltlead.wire.peers import DutiesResponse, OpenIntent


class ExitStatus(IntEnum):
    """Exit statuses of the commands (docs/operations.md)."""

    OK = 0
    BAD_SETTINGS = 2
    UNREACHABLE = 3
    STATE_UNAVAILABLE = 4
    LIBRARY_MISSING = 5
    NOT_WRITTEN = 6


def run(options: argparse.Namespace) -> int:
    """Run the command given by the parsed arguments, and return its exit status. Errors are
    printed, not raised."""
    try:
        address = client.address_of(load(options.config), options.controller)
        if options.verb == Verb.DUTIES:
            return _show_duties(client.duties(address), options.json)
        return _export_history(address, options.out)
    except SettingsError as error:
        return _fail(str(error), ExitStatus.BAD_SETTINGS)
    except client.Unreachable as error:
        return _fail(str(error), ExitStatus.UNREACHABLE)
    except client.StateUnavailable as error:
        return _fail(str(error), ExitStatus.STATE_UNAVAILABLE)


def _fail(text: str, status: ExitStatus) -> ExitStatus:
    print(f"basaltlead: {text}", file=sys.stderr)
    return status


def _show_duties(response: DutiesResponse, as_json: bool) -> ExitStatus:
    if as_json:
        print(msgspec.json.encode(response).decode())
        return ExitStatus.OK
    if not response.granted:
        print("duties are not granted on their own: the blocks' owners carry them out")
    print(f"{'duty':10} {'holder':20} {'token':>8} since")
    for held in response.duties:
        holder = held.holder or "nobody"
        print(f"{held.duty:10} {holder:20} {held.token:>8} {_as_time(held.since)}")
    print(f"open intents: {response.open_count}")
    now = wall_us()
    for intent in response.intents:
        print(_as_line(intent, now))
    return ExitStatus.OK


def _as_line(intent: OpenIntent, now: int) -> str:
    age_s = max(0, now - intent.since) / US
    refused = f", refused: {intent.refused}" if intent.refused else ""
    machines = f"{intent.machines} machine{'s' if intent.machines != 1 else ''}"
    return f"{intent.kind:10} {intent.name:20} {machines}, for {age_s:.0f} s{refused}"


def _as_time(at: int) -> str:
    return datetime.fromtimestamp(at // US, UTC).isoformat() if at else "-"


def _export_history(address: str, out: str) -> ExitStatus:
    try:
        # Requires pyarrow, an optional dependency for this command only.
        from basaltlead.operators.audit_export import export
    except ImportError as error:
        return _fail(f"{error}: install basaltlead[operators]", ExitStatus.LIBRARY_MISSING)
    try:
        summary = export(client.history(address), out)
    except OSError as error:
        return _fail(f"{out}: {error.strerror or error}", ExitStatus.NOT_WRITTEN)
    print(f"{summary.events} events written to {out}")
    for duty, count in summary.overwritten.items():
        print(f"{duty}: the first {count} events are no longer kept")
    return ExitStatus.OK
