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
    """A page of the rows under a prefix, and the store's revision when it was read."""

    rows: list[Row]
    revision: int
    more: bool = False


class Precondition(Struct, rename=PROTOCOL_NAMES):
    """A condition of a transaction: the key must have this version, or not exist if it is 0."""

    key: str
    version: int


class Put(Struct, omit_defaults=True, rename=PROTOCOL_NAMES | {"key": "Put"}):
    """A change that writes a key. With a session lease, the key is deleted when the lease ends."""

    key: str
    value: Any
    session_lease: int | None = None


class Drop(Struct, rename=PROTOCOL_NAMES | {"key": "Drop"}):
    """A change that deletes a key."""

    key: str


class Transaction(Struct, rename=PROTOCOL_NAMES):
    """Changes that are applied atomically if all preconditions hold."""

    preconditions: list[Precondition]
    apply: list[Put | Drop] | list[Any]


class Outcome(Struct, rename=PROTOCOL_NAMES):
    """The response to a transaction; `failed` lists the keys whose preconditions did not hold."""

    revision: int
    failed: list[str] = []


class SessionLease(Struct, rename=PROTOCOL_NAMES):
    """A new lease, to which keys may be attached."""

    session_lease: int


class Change(Struct, rename=PROTOCOL_NAMES):
    """A key that was written or deleted."""

    version: int
    put: str | None = None
    drop: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct, rename=PROTOCOL_NAMES):
    """The response to a watch: the changes under a prefix up to a revision."""

    revision: int
    log: list[Change]
