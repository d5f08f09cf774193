"""Reads KNOWN-RED.txt, the list of tests that may fail because of a known, unfixed fault."""

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRed(NamedTuple):
    """An entry: the test's id, why it fails, and the issue that tracks the fault."""

    test: str
    cause: str
    issue: str


class MalformedFile(Exception):
    """The file has a malformed line or too many entries."""


def parse(text: str) -> list[KnownRed]:
    """Parse the entries of the file; raises MalformedFile."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise MalformedFile(f"line {number}: not '<test id> | <cause> | <issue>'")
        entries.append(KnownRed(*parts))
    if len(entries) > MAX_ENTRIES:
        raise MalformedFile(f"{len(entries)} entries, {MAX_ENTRIES} are allowed")
    return entries


def read() -> list[KnownRed]:
    """Return the entries of the repository's file, or none if there is no file."""
    return parse(FILE.read_text()) if FILE.exists() else []
