"""The leader, the shard leaders and the holders of duties, according to the key-value store.

A grant belongs to one incarnation of one member. It has provably ended once the member's key is
deleted (its session lease expired) or names another incarnation (the process was restarted). Every
write that replaces a holder has the keys that prove this as preconditions, so a write based on an
outdated view fails.
"""

from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec
from msgspec import UNSET, Struct, UnsetType

PREFIX = "c/"
LEADER = "c/leader"
MEMBER_PREFIX = "c/member/"
LOAD_PREFIX = "c/load/"
SHARD_PREFIX = "c/block/"
DUTY_PREFIX = "c/duty/"
FENCING_TOKEN = "c/baton"

# Fencing tokens that are reserved at a time for a shard leader. Attempt numbers contain the first
# token of a grant in 40 of their 64 bits: enough for 16 million grants.
RESERVED_TOKENS = 1 << 16

# Safety margins on the validity of a session lease: a fraction of its duration, for the drift of
# our clock against the key-value store's, and the resolution of timers.
CLOCK_DRIFT_DIVISOR = 500
TIMER_RESOLUTION_US = 20_000

V = TypeVar("V")


def member_key(name: str) -> str:
    """The key of a controller's member record, which exists while its session lease is valid."""
    return f"{MEMBER_PREFIX}{name}"


def load_key(shard: int) -> str:
    """The key under which a shard leader publishes the load of its shard."""
    return f"{LOAD_PREFIX}{shard}"


def shard_key(shard: int) -> str:
    """The key of the grant of a shard, which names its leader."""
    return f"{SHARD_PREFIX}{shard}"


def duty_key(duty: str) -> str:
    """The key of the grant of a duty, which names its holder (see `duties`)."""
    return f"{DUTY_PREFIX}{duty}"


def is_grant_key(key: str) -> bool:
    """Whether the key holds the grant of a shard or of a duty."""
    return key.startswith((SHARD_PREFIX, DUTY_PREFIX))


def grant_label(key: str) -> str:
    """What the grant with this key is for, for the log: "shard 0", "duty rent"."""
    if key.startswith(SHARD_PREFIX):
        return f"shard {key.removeprefix(SHARD_PREFIX)}"
    return f"duty {key.removeprefix(DUTY_PREFIX)}"


def _grant_prefix(key: str) -> str:
    """The kind of a grant: shard or duty. Each kind is balanced over the members independently."""
    return key.rpartition("/")[0]


class MemberRecord(Struct, rename={"incarnation": "life"}):  # the stored name
    """The value of the leader's key and of member keys."""

    name: str
    incarnation: str
    version: int = 0  # of the records that the member reads and writes (see cluster/versions.py)


class Grant(Struct, rename={"incarnation": "life", "fencing_token": "baton", "granted_at": "at"}):
    """The value of the key of a shard or a duty.

    After its release, `name` and `incarnation` are empty, and `avoid` is the member that released
    it. `token_count` is the number of tokens that the grant reserves, `fencing_token` being the
    first; unset in grants of duties and in those of versions that reserved no others.
    """

    name: str
    incarnation: str
    fencing_token: int
    avoid: str = ""
    granted_at: int | UnsetType = UNSET  # microseconds since 1970; of duties only
    token_count: int | UnsetType = UNSET

    @property
    def tokens(self) -> range:
        """The fencing tokens that the grant reserves."""
        count = 1 if self.token_count is UNSET else self.token_count
        return range(self.fencing_token, self.fencing_token + count)


class Load(Struct):
    """The load of a shard in CPUs, published by its leader twice a market round."""

    waiting: float  # requested by waiting tasks
    free: float


class FencingTokenCounter(Struct):
    """The last fencing token that was issued or reserved."""

    last: int

    def next_tokens(self, count: int) -> range:
        """The next tokens, which are reserved once the counter stands at the last of them."""
        return range(self.last + 1, self.last + 1 + count)


class Versioned(Struct, Generic[V], frozen=True):
    """The value of a key, and its version: the revision of its last change."""

    value: V
    version: int


class ClusterView:
    """The known values and versions of the keys under `PREFIX`."""

    def __init__(self) -> None:
        self.members: dict[str, Versioned[MemberRecord]] = {}  # by name
        self.leader: Versioned[MemberRecord] | None = None
        self.grants: dict[str, Versioned[Grant]] = {}  # by the keys of shards and duties
        self.fencing_token: Versioned[FencingTokenCounter] | None = None
        self.loads: dict[int, Load] = {}  # by shard

    def note_member(self, record: MemberRecord, version: int) -> None:
        """Store the record of a member."""
        self.members[record.name] = Versioned(record, version)

    def note_leader(self, record: MemberRecord, version: int) -> None:
        """Store the record of the leader unless a newer one is known."""
        if self.leader is None or self.leader.version <= version:
            self.leader = Versioned(record, version)

    def note_fencing_token(self, counter: FencingTokenCounter, version: int) -> None:
        """Store the last fencing token unless a newer one is known."""
        if self.fencing_token is None or self.fencing_token.version <= version:
            self.fencing_token = Versioned(counter, version)

    def newer_than(self, revision: int) -> "ClusterView":
        """A view of what was written after this revision; loads, which have no version, are not
        part of it."""
        newer = ClusterView()
        newer.members = {n: known for n, known in self.members.items() if known.version > revision}
        newer.grants = {
            key: known for key, known in self.grants.items() if known.version > revision
        }
        if self.leader is not None and self.leader.version > revision:
            newer.leader = self.leader
        if self.fencing_token is not None and self.fencing_token.version > revision:
            newer.fencing_token = self.fencing_token
        return newer

    def drop(self, key: str, version: int) -> None:
        """Remove a key that was deleted at this version. The record of a member or of the leader
        that was written later stays; keys of grants and loads are never deleted."""
        if key == LEADER:
            if self.leader is not None and self.leader.version <= version:
                self.leader = None
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if name in self.members and self.member_version(name) <= version:
                del self.members[name]

    def put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        """Store the value of a key. A value that is older than the known one is ignored.

        Raises `msgspec.DecodeError` or `ValueError` for a key or a value that can't be read.
        """
        if key == LEADER:
            self.note_leader(msgspec.json.decode(raw, type=MemberRecord), version)
        elif key == FENCING_TOKEN:
            self.note_fencing_token(msgspec.json.decode(raw, type=FencingTokenCounter), version)
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if self.member_version(name) <= version:
                self.members[name] = Versioned(msgspec.json.decode(raw, type=MemberRecord), version)
        elif key.startswith(LOAD_PREFIX):
            shard = int(key.removeprefix(LOAD_PREFIX))
            self.loads[shard] = msgspec.json.decode(raw, type=Load)
        elif is_grant_key(key):
            self.note_grant(key, msgspec.json.decode(raw, type=Grant), version)

    def note_grant(self, key: str, grant: Grant, version: int) -> None:
        """Store a grant unless a newer one is known: our own writes are reported by their response
        and by the watch, in either order."""
        known = self.grants.get(key)
        if known is None or known.version <= version:
            self.grants[key] = Versioned(grant, version)

    def is_alive(self, name: str, incarnation: str) -> bool:
        """Whether this incarnation of a member is known to have a member key."""
        member = self.members.get(name)
        return member is not None and member.value.incarnation == incarnation

    def member_version(self, name: str) -> int:
        """The version of a member's key, for preconditions; 0 if the key does not exist."""
        member = self.members.get(name)
        return member.version if member is not None else 0

    @property
    def leader_alive(self) -> bool:
        """Whether there is a leader, and the incarnation that became leader has a member key."""
        return self.leader is not None and self.is_alive(
            self.leader.value.name, self.leader.value.incarnation
        )

    def holder(self, key: str) -> str | None:
        """The live member that a shard or duty is granted to; None if there is none."""
        held = self.grants.get(key)
        if held is None or not self.is_alive(held.value.name, held.value.incarnation):
            return None
        return held.value.name

    def next_holder(self, key: str, leader: str) -> str | None:
        """The member to which the leader should grant a shard or duty; None if there is no member.

        It is the one with the fewest grants of this kind, then with the fewest of any kind, then
        the leader itself. The member that released the grant last is chosen only if there is no
        other.
        """
        same_kind = dict.fromkeys(self.members, 0)
        any_kind = dict.fromkeys(self.members, 0)
        for other in self.grants:
            name = self.holder(other)
            if name is not None:
                any_kind[name] += 1
                same_kind[name] += _grant_prefix(other) == _grant_prefix(key)
        held = self.grants.get(key)
        avoid = held.value.avoid if held is not None else ""
        return min(
            any_kind,
            key=lambda name: (
                name == avoid,
                same_kind[name],
                any_kind[name],
                name != leader,
                name,
            ),
            default=None,
        )

    def grant_to_hand_over(self, member: str) -> str | None:
        """The key of a grant that this member should hand over, since another member has none of
        its kind; None if there is no such grant."""
        own_keys: dict[str, list[str]] = {}
        holders: dict[str, set[str]] = {}
        for key in self.grants:
            name = self.holder(key)
            if name is not None:
                holders.setdefault(_grant_prefix(key), set()).add(name)
            if name == member:
                own_keys.setdefault(_grant_prefix(key), []).append(key)
        for prefix, keys in own_keys.items():
            if len(keys) > 1 and self.members.keys() - holders[prefix]:
                # The first duty by name is clean-up, which does not need access to the cloud. The
                # first shard is kept: it also has the machines that belong to no shard.
                return min(keys) if keys[0].startswith(DUTY_PREFIX) else max(keys)
        return None

    @property
    def last_leader_of_shard_0(self) -> str:
        """The present leader of the first shard or, if there is none, the last one, whether it
        failed or released the shard; empty if there never was one."""
        held = self.grants.get(shard_key(0))
        if held is None:
            return ""
        return held.value.name or held.value.avoid

    def failover_order(self) -> list[str]:
        """The members in the order in which they should replace the last shard leader: first those
        after it in the workers' lists of controllers.

        Only the duration of a failover depends on this order. A worker whose controller stops
        answering tries the next one in its list. If that controller is the new shard leader, no
        time is lost. If that controller failed earlier, the worker waits for another 4 s, and a
        short worker lease expires before the worker tries another controller. With this order,
        failed controllers come after the new shard leader in the list, not before it. The order of
        the workers' lists is not specified; names with numbers are assumed to be listed by number.
        """
        names = sorted(self.members, key=list_order)
        last = list_order(self.last_leader_of_shard_0)
        return sorted(names, key=lambda name: (list_order(name) <= last, list_order(name)))

    def without_holder(self, keys: Iterable[str]) -> list[str]:
        """Those of the given shards and duties that have no live holder."""
        return [key for key in keys if self.holder(key) is None]


def list_order(name: str) -> tuple[int, str]:
    """Sort key that orders names by their number: "node-9" before "node-10"."""
    return (len(name), name)


def session_validity_end(sent_us: int, ttl_us: int) -> int:
    """The time, in microseconds of our clock, until which a renewal sent at `sent_us` provably
    keeps a session lease of `ttl_us` valid.

    The key-value store counts from the time at which it handles the renewal, which is later.
    """
    return sent_us + ttl_us - ttl_us // CLOCK_DRIFT_DIVISOR - TIMER_RESOLUTION_US
