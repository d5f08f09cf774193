"""Controllers -> state service."""

from typing import Any

import msgspec
from msgspec import Struct


class Row(Struct, rename={"key": "Path", "value": "V", "stamp": "Stamp"}):
    key: str
    value: msgspec.Raw
    stamp: int


class Rows(Struct, rename={"rows": "Rows", "more": "HasNext", "revision": "Ledger"}):
    rows: list[Row]
    revision: int
    more: bool = False


class Guard(Struct, rename={"key": "Path", "stamp": "Stamp"}):
    key: str
    stamp: int


class Put(Struct, omit_defaults=True, rename={"key": "Put", "value": "V", "hold": "Permit"}):
    key: str
    value: Any
    hold: int | None = None


class Drop(Struct, rename={"key": "Drop"}):
    key: str


class Transaction(Struct, rename={"guards": "Guards", "apply": "Apply"}):
    guards: list[Guard]
    apply: list[Put | Drop] | list[Any]


class Outcome(Struct, rename={"revision": "Ledger"}):
    revision: int
    failed: list[str] = []


class Hold(Struct, rename={"hold": "Permit"}):
    hold: int


class Change(Struct, rename={"put": "Put", "drop": "Drop", "value": "V", "stamp": "Stamp"}):
    stamp: int
    put: str | None = None
    drop: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct, rename={"revision": "Ledger", "log": "Log"}):
    revision: int
    log: list[Change]
