"""Controllers -> key-value store."""

from typing import Any

import msgspec
from msgspec import Struct


class Row(Struct, rename={"key": "Path", "value": "V", "version": "Stamp"}):
    """A key with its value and version."""

    key: str
    value: msgspec.Raw
    version: int


class Rows(Struct, rename={"rows": "Rows", "more": "HasNext", "revision": "Ledger"}):
    """Some keys under a prefix."""

    rows: list[Row]
    revision: int
    more: bool = False


class Precondition(Struct, rename={"key": "Path", "version": "Stamp"}):
    """A condition: the key must have this version; 0: not exist."""

    key: str
    version: int


class Put(
    Struct, omit_defaults=True, rename={"key": "Put", "value": "V", "session_lease": "Permit"}
):
    """A key to be written."""

    key: str
    value: Any
    session_lease: int | None = None


class Drop(Struct, rename={"key": "Drop"}):
    """A key to be removed."""

    key: str


class Transaction(Struct, rename={"preconditions": "Guards", "apply": "Apply"}):
    """Changes that are made together if all conditions hold."""

    preconditions: list[Precondition]
    apply: list[Put | Drop] | list[Any]


class Outcome(Struct, rename={"revision": "Ledger"}):
    """What came of a transaction."""

    revision: int
    failed: list[str] = []


class SessionLease(Struct, rename={"session_lease": "Permit"}):
    """A lease to which keys may be attached."""

    session_lease: int


class Change(Struct, rename={"put": "Put", "drop": "Drop", "value": "V", "version": "Stamp"}):
    """A key that was written or removed."""

    version: int
    put: str | None = None
    drop: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct, rename={"revision": "Ledger", "log": "Log"}):
    """What has changed under a prefix."""

    revision: int
    log: list[Change]
