"""Messages between controllers and the key-value store."""

from typing import Any

import msgspec
from msgspec import Struct

from basaltlead.wire.names import PROTOCOL_NAMES


class Row(Struct, rename=PROTOCOL_NAMES):
    """A key with its value and version."""

    key: str
    value: msgspec.Raw
    version: int


class Rows(Struct, rename=PROTOCOL_NAMES):
    """A part of the rows under a prefix, and the store's revision when it was read."""

    rows: list[Row]
    revision: int
    more: bool = False


class Precondition(Struct, rename=PROTOCOL_NAMES):
    """A condition of a transaction: the key must have this version; 0: it must not exist."""

    key: str
    version: int


class Put(Struct, omit_defaults=True, rename=PROTOCOL_NAMES | {"key": "Put"}):
    """A change: a key to be written. With a session lease it is dropped when that lease ends."""

    key: str
    value: Any
    session_lease: int | None = None


class Drop(Struct, rename=PROTOCOL_NAMES | {"key": "Drop"}):
    """A change: a key to be removed."""

    key: str


class Transaction(Struct, rename=PROTOCOL_NAMES):
    """Changes that are made together if all preconditions hold."""

    preconditions: list[Precondition]
    apply: list[Put | Drop] | list[Any]


class Outcome(Struct, rename=PROTOCOL_NAMES):
    """The answer to a transaction; `failed` are the keys whose preconditions did not hold."""

    revision: int
    failed: list[str] = []


class SessionLease(Struct, rename=PROTOCOL_NAMES):
    """A new lease, to which keys may be attached."""

    session_lease: int


class Change(Struct, rename=PROTOCOL_NAMES):
    """A key that was written or removed."""

    version: int
    put: str | None = None
    drop: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct, rename=PROTOCOL_NAMES):
    """The answer to a watch: what has changed under a prefix up to a revision."""

    revision: int
    log: list[Change]
