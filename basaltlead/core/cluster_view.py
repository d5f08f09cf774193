"""Who leads, who owns which shard and who holds which duty, read off the records in the state
service.

A lease belongs to one incarnation of one member. It has provably ended once the member's key is
gone (its session lease ran out) or names another incarnation (the process restarted). Every claim
is guarded on the very keys that prove this, so a claim from an old view fails.
"""

from collections.abc import Iterable

import msgspec
from msgspec import UNSET, Struct, UnsetType

PREFIX = "c/"
LEADER = "c/leader"
MEMBER_PREFIX = "c/member/"
LOAD_PREFIX = "c/load/"
FENCING_TOKEN = "c/baton"


def member_key(name: str) -> str:
    """The key that stands for as long as a controller's session lease."""
    return f"{MEMBER_PREFIX}{name}"


def load_key(shard: int) -> str:
    """The key under which a shard leader tells its load."""
    return f"{LOAD_PREFIX}{shard}"


SHARD_PREFIX = "c/block/"
DUTY_PREFIX = "c/duty/"


def shard_key(shard: int) -> str:
    """The key that says who owns a shard."""
    return f"{SHARD_PREFIX}{shard}"


def duty_key(duty: str) -> str:
    """The key that says who holds a duty (see duties)."""
    return f"{DUTY_PREFIX}{duty}"


def is_grant_key(key: str) -> bool:
    """Is it the key of something that the leader grants?"""
    return key.startswith((SHARD_PREFIX, DUTY_PREFIX))


def spoken(key: str) -> str:
    """What a grant's key stands for, in the log: "shard 0", "duty rent"."""
    _, grant_kind, name = key.split("/")
    return f"{grant_kind} {name}"


def _grant_kind(key: str) -> str:
    """Blocks and duties are spread over the members each for themselves."""
    return key.rpartition("/")[0]


class Claim(Struct, rename={"incarnation": "life"}):  # as it is stored
    """The value of the leader's key and of member keys."""

    name: str
    incarnation: str
    version: int = 0  # of the records that the member reads and writes (see upgrade)


class Grant(Struct, rename={"incarnation": "life", "fencing_token": "baton", "granted_at": "at"}):
    """The value of the key of a shard or a duty. One that was handed back names nobody, and whom
    to avoid."""

    name: str
    incarnation: str
    fencing_token: int
    avoid: str = ""
    granted_at: int | UnsetType = UNSET  # time of day, of duties


class Load(Struct):
    """What a shard leader tells the others each round, in CPUs: tasks that wait, free room."""

    waiting: float
    free: float


class Counter(Struct):
    """The last fencing token that was given out."""

    last: int


class ClusterView:
    """The picture: values and versions of the keys under PREFIX."""

    def __init__(self) -> None:
        self.members: dict[str, tuple[Claim, int]] = {}
        self.leader: tuple[Claim, int] | None = None
        self.grants: dict[str, tuple[Grant, int]] = {}  # by the keys of shards and duties
        self.fencing_token: tuple[Counter, int] | None = None
        self.loads: dict[int, Load] = {}

    def put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        """Take in a row. What was told late changes nothing. Raises if it can't be read."""
        if key == LEADER:
            self.leader = (msgspec.json.decode(raw, type=Claim), version)
        elif key == FENCING_TOKEN:
            self.fencing_token = (msgspec.json.decode(raw, type=Counter), version)
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if self.member_version(name) <= version:
                self.members[name] = (msgspec.json.decode(raw, type=Claim), version)
        elif key.startswith(LOAD_PREFIX):
            shard = int(key.removeprefix(LOAD_PREFIX))
            self.loads[shard] = msgspec.json.decode(raw, type=Load)
        elif is_grant_key(key):
            self.note_grant(key, msgspec.json.decode(raw, type=Grant), version)

    def note_grant(self, key: str, grant: Grant, version: int) -> None:
        """Take in a grant. The answer to our own write and the watch tell the same in any order."""
        known = self.grants.get(key)
        if known is None or known[1] <= version:
            self.grants[key] = (grant, version)

    def is_alive(self, name: str, incarnation: str) -> bool:
        member = self.members.get(name)
        return member is not None and member[0].incarnation == incarnation

    def member_version(self, name: str) -> int:
        member = self.members.get(name)
        return member[1] if member is not None else 0

    @property
    def leader_alive(self) -> bool:
        return self.leader is not None and self.is_alive(
            self.leader[0].name, self.leader[0].incarnation
        )

    def holder(self, key: str) -> str | None:
        """The living member that a shard or duty is granted to."""
        held = self.grants.get(key)
        if held is None or not self.is_alive(held[0].name, held[0].incarnation):
            return None
        return held[0].name

    def next_holder(self, key: str, me: str) -> str | None:
        """Whom to grant a shard or duty to: the living member with fewest of its kind, then with
        fewest grants at all, the leader itself among equals, and not whoever has just handed it
        back if there is anybody else."""
        alike = dict.fromkeys(self.members, 0)
        count = dict.fromkeys(self.members, 0)
        for other in self.grants:
            name = self.holder(other)
            if name is not None:
                count[name] += 1
                alike[name] += _grant_kind(other) == _grant_kind(key)
        held = self.grants.get(key)
        avoid = held[0].avoid if held is not None else ""
        return min(
            count,
            key=lambda name: (name == avoid, alike[name], count[name], name != me, name),
            default=None,
        )

    def grant_to_hand_over(self, me: str) -> str | None:
        """The key of a grant of ours that a member without any of its kind should have."""
        mine: dict[str, list[str]] = {}
        holders: dict[str, set[str]] = {}
        for key in self.grants:
            name = self.holder(key)
            if name is not None:
                holders.setdefault(_grant_kind(key), set()).add(name)
            if name == me:
                mine.setdefault(_grant_kind(key), []).append(key)
        for grant_kind, keys in mine.items():
            if len(keys) > 1 and self.members.keys() - holders[grant_kind]:
                # Of duties the first by name is clean-up, which also a member can do that does
                # not reach the cloud. The first shard is what machines of no shard fall to.
                return min(keys) if keys[0].startswith(DUTY_PREFIX) else max(keys)
        return None

    @property
    def previous_leader(self) -> str:
        """Who owned the first shard last, whether it was lost or handed back."""
        held = self.grants.get(shard_key(0))
        if held is None:
            return ""
        return held[0].name or held[0].avoid

    def failover_order(self) -> list[str]:
        """The members in the order in which they should replace the last shard leader: those listed
        after it first.

        A worker whose node falls silent tries the next one in its list. If that one is the new
        shard leader, the worker loses no time there; if it is a node that has been away for longer,
        the worker waits for another 4 s, and a short lease is over before it has tried a third.
        Taking turns in the order of the list keeps nodes that are away behind the shard leader, not
        before it. The order of the workers' lists is not specified: numbered names are taken to be
        listed by number. Nothing but the time that a failover takes depends on it.
        """
        names = sorted(self.members, key=list_order)
        last = list_order(self.previous_leader)
        return sorted(names, key=lambda name: (list_order(name) <= last, list_order(name)))

    def orphans(self, keys: Iterable[str]) -> list[str]:
        """Those of the shards and duties that have no living holder."""
        return [key for key in keys if self.holder(key) is None]


def list_order(name: str) -> tuple[int, str]:
    """Sorts numbered names by number: "node-9" before "node-10"."""
    return (len(name), name)


def session_validity_end(sent_us: int, ttl_us: int) -> int:
    """Until when a renewal sent at `sent_us` provably keeps a session lease: less the drift of our
    clock against the key-value store's, and less the resolution of timers."""
    return sent_us + ttl_us - ttl_us // 500 - 20_000
