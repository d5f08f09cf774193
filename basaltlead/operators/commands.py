"""The operators' commands: `basaltlead duties` and `basaltlead audit export`."""

import argparse
import sys
from datetime import UTC, datetime

import msgspec

from basaltlead.config.loader import load
from basaltlead.errors import SettingsError
from basaltlead.operators import client
from basaltlead.runtime.clock import wall_us
from basaltlead.wire.peers import DutiesAnswer

BAD_SETTINGS, UNREACHABLE, NOT_KNOWN, NO_LIBRARY, NOT_WRITTEN = 2, 3, 4, 5, 6


def add_to(verbs: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the commands to the command line."""
    duties = verbs.add_parser("duties", help="who holds which duty, and what is open")
    _add_common(duties)
    duties.add_argument("--json", action="store_true", help="as JSON")
    audit = verbs.add_parser("audit", help="the recorded history of duties")
    export = audit.add_subparsers(dest="part", required=True).add_parser(
        "export", help="write the history as a Parquet file"
    )
    _add_common(export)
    export.add_argument("--out", metavar="FILE", required=True, help="the file to write")


def _add_common(command: argparse.ArgumentParser) -> None:
    command.add_argument("--config", metavar="FILE", required=True, help="a controller's TOML file")
    command.add_argument("--controller", metavar="NAME", help="ask this one instead")


def run(options: argparse.Namespace) -> int:
    """Run one of the commands; its exit status."""
    try:
        address = client.address_of(load(options.config), options.controller)
        if options.verb == "duties":
            return _show(client.duties(address), options.json)
        return _export(address, options.out)
    except SettingsError as fault:
        return _failed(str(fault), BAD_SETTINGS)
    except client.Unreachable as fault:
        return _failed(str(fault), UNREACHABLE)
    except client.NotKnown as fault:
        return _failed(str(fault), NOT_KNOWN)


def _failed(text: str, status: int) -> int:
    print(f"basaltlead: {text}", file=sys.stderr)
    return status


def _show(answer: DutiesAnswer, as_json: bool) -> int:
    if as_json:
        print(msgspec.json.encode(answer).decode())
        return 0
    if not answer.granted:
        print("duties are not granted on their own: the blocks' owners carry them out")
    print(f"{'duty':10} {'holder':20} {'token':>8} since")
    for one in answer.duties:
        holder = one.holder or "nobody"
        print(f"{one.duty:10} {holder:20} {one.token:>8} {_time(one.since)}")
    print(f"open intents: {answer.open_count}")
    for intent in answer.intents:
        age_s = max(0, wall_us() - intent.since) / 1e6
        refused = f", refused: {intent.refused}" if intent.refused else ""
        machines = f"{intent.machines} machine{'s' if intent.machines != 1 else ''}"
        print(f"{intent.kind:10} {intent.name:20} {machines}, for {age_s:.0f} s{refused}")
    return 0


def _time(at: int) -> str:
    return datetime.fromtimestamp(at // 1_000_000, UTC).isoformat() if at else "-"


def _export(address: str, out: str) -> int:
    try:
        from basaltlead.operators.audit_export import export
    except ImportError as fault:
        return _failed(f"{fault}: install basaltlead[operators]", NO_LIBRARY)
    try:
        done = export(client.history(address), out)
    except OSError as fault:
        return _failed(f"{out}: {fault.strerror or fault}", NOT_WRITTEN)
    print(f"{done.events} events written to {out}")
    for duty, first in done.cut.items():
        print(f"{duty}: the first {first} events are no longer kept")
    return 0
