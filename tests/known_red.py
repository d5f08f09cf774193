"""KNOWN-RED.txt: tests that may fail for a fault that is known and not mended yet."""

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRed(NamedTuple):
    """A test, why it fails, and the issue that is to mend it."""

    test: str
    cause: str
    issue: str


class MalformedFile(Exception):
    """The file is not as it must be."""


def parse(text: str) -> list[KnownRed]:
    """The entries of the file."""
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
    """The entries of the repository's file; none if it is not there."""
    return parse(FILE.read_text()) if FILE.exists() else []
