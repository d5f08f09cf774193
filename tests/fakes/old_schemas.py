"""The records and messages of the version before services, field by field, as it reads them.

Copied from its sources, and not to be changed: it ignores fields that it does not know, and can't
read a record that lacks one without a default.
"""

from typing import Literal

import msgspec
from msgspec import Struct

from basaltlead.wire.users import Submission as _Submission


class Claim(Struct, rename={"incarnation": "life"}):
    name: str
    incarnation: str


class Grant(Struct, rename={"incarnation": "life", "fencing_token": "baton"}):
    name: str
    incarnation: str
    fencing_token: int
    avoid: str = ""


class Load(Struct):
    waiting: float
    free: float


class Counter(Struct):
    last: int


class StoredJob(Struct):
    job: _Submission
    at: int


class Progress(Struct):
    done: bytes
    count: int
    running: int = 0


class Lease(Struct):
    parts: list[tuple[int, int, int]]


class Final(Struct):
    stage: str
    done: int


class StoredHire(Struct):
    kind: str
    zone: str
    spot: bool
    number: int
    at: int
    names: list[str] | None = None
    block: int = 0


class StoredMachine(Struct):
    kind: str
    zone: str
    spot: bool
    address: str
    at: int
    block: int = 0


class TeamRecord(Struct):
    left: float
    bids: dict[str, float] = {}


class Ask(Struct, tag="ask", tag_field="is", rename={"incarnation": "life"}):
    seq: int
    name: str
    incarnation: str
    span_us: int
    blind_us: int | None = None


class Promise(
    Struct, tag="promise", tag_field="is", rename={"partitioned": "lonely", "incarnation": "life"}
):
    seq: int
    name: str
    incarnation: str
    span_us: int
    partitioned: bool = False
    cancelled: list[str] | None = None


class Cancelled(Struct, tag="cancelled", tag_field="is"):
    refs: list[str]


Message = Ask | Promise | Cancelled

Stage = Literal["done", "withdrawn"]


def type_of(key: str) -> type[Struct] | None:
    """What the old version reads a key as; None for keys that it never looks at."""
    prefix, _, rest = key.partition("/")
    if prefix == "c":
        kind = rest.partition("/")[0]
        return {
            "member": Claim, "leader": Claim, "block": Grant, "load": Load, "baton": Counter,
        }.get(kind)  # fmt: skip
    if prefix == "open":
        return Progress if "/" in rest else StoredJob
    return {
        "over": Final, "hire": StoredHire, "mach": StoredMachine, "team": TeamRecord,
        "lease": Lease,
    }.get(prefix)  # fmt: skip


def read(key: str, value: object) -> Struct | None:
    """The record as the old version reads it. Raises msgspec.ValidationError if it can't."""
    kind = type_of(key)
    return None if kind is None else msgspec.json.decode(msgspec.json.encode(value), type=kind)
