"""Controllers -> state service."""

from typing import Any

import msgspec
from msgspec import Struct


class Row(Struct, rename={"key": "Path", "value": "V", "version": "Stamp"}):
    key: str
    value: msgspec.Raw
    version: int


class Rows(Struct, rename={"rows": "Rows", "more": "HasNext", "revision": "Ledger"}):
    rows: list[Row]
    revision: int
    more: bool = False


class Guard(Struct, rename={"key": "Path", "version": "Stamp"}):
    key: str
    version: int


class Put(
    Struct, omit_defaults=True, rename={"key": "Put", "value": "V", "session_lease": "Permit"}
):
    key: str
    value: Any
    session_lease: int | None = None


class Drop(Struct, rename={"key": "Drop"}):
    key: str


class Transaction(Struct, rename={"guards": "Guards", "apply": "Apply"}):
    guards: list[Guard]
    apply: list[Put | Drop] | list[Any]


class Outcome(Struct, rename={"revision": "Ledger"}):
    revision: int
    failed: list[str] = []


class SessionLease(Struct, rename={"session_lease": "Permit"}):
    session_lease: int


class Change(Struct, rename={"put": "Put", "drop": "Drop", "value": "V", "version": "Stamp"}):
    version: int
    put: str | None = None
    drop: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct, rename={"revision": "Ledger", "log": "Log"}):
    revision: int
    log: list[Change]
