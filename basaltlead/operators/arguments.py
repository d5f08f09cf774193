"""The command-line arguments of the operators' commands.

Separate from the code that runs the commands, since every start of a controller imports this too.
"""

import argparse
from enum import StrEnum


class Verb(StrEnum):
    """The first argument of the command line."""

    DUTIES = "duties"
    AUDIT = "audit"


# argparse has no public name for the return type of `add_subparsers`.
def add_to(verbs: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the operators' commands to the parser of the command line."""
    duties = verbs.add_parser(Verb.DUTIES.value, help="who holds which duty, and what is open")
    _add_common(duties)
    duties.add_argument("--json", action="store_true", help="as JSON")
    audit = verbs.add_parser(Verb.AUDIT.value, help="the recorded history of duties")
    export = audit.add_subparsers(dest="part", required=True).add_parser(
        "export", help="write the history as a Parquet file"
    )
    _add_common(export)
    export.add_argument("--out", metavar="FILE", required=True, help="the file to write")


def _add_common(command: argparse.ArgumentParser) -> None:
    command.add_argument("--config", metavar="FILE", required=True, help="a controller's TOML file")
    command.add_argument("--controller", metavar="NAME", help="ask this one instead")
