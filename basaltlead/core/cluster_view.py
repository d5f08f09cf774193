"""Who leads, who leads which shard and who holds which duty, as the records in the key-value store
say.

A grant belongs to one incarnation of one member. It has provably ended once the member's key is
gone (its session lease expired) or names another incarnation (the process was restarted). Every
write that replaces a holder has the very keys that prove this as preconditions, so one that is
based on an outdated view fails.
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

# Taken off what is left of a session lease: a part of its duration, for the drift of our clock
# against the key-value store's, and the resolution of timers.
CLOCK_DRIFT_DIVISOR = 500
TIMER_RESOLUTION_US = 20_000

V = TypeVar("V")


def member_key(name: str) -> str:
    """The key that exists for as long as a controller's session lease is valid."""
    return f"{MEMBER_PREFIX}{name}"


def load_key(shard: int) -> str:
    """The key under which a shard leader publishes the load of its shard."""
    return f"{LOAD_PREFIX}{shard}"


def shard_key(shard: int) -> str:
    """The key of the grant of a shard: who leads it."""
    return f"{SHARD_PREFIX}{shard}"


def duty_key(duty: str) -> str:
    """The key of the grant of a duty: who holds it (see `duties`)."""
    return f"{DUTY_PREFIX}{duty}"


def is_grant_key(key: str) -> bool:
    """Whether it is the key of something that the leader grants: a shard or a duty."""
    return key.startswith((SHARD_PREFIX, DUTY_PREFIX))


def grant_label(key: str) -> str:
    """The name of what a grant's key stands for, for the log: "shard 0", "duty rent"."""
    if key.startswith(SHARD_PREFIX):
        return f"shard {key.removeprefix(SHARD_PREFIX)}"
    return f"duty {key.removeprefix(DUTY_PREFIX)}"


def _grant_prefix(key: str) -> str:
    """What a key grants. Shards and duties are spread over the members independently."""
    return key.rpartition("/")[0]


class MemberRecord(Struct, rename={"incarnation": "life"}):  # as it is stored
    """The value of the leader's key and of member keys."""

    name: str
    incarnation: str
    version: int = 0  # of the records that the member reads and writes (see cluster/versions.py)


class Grant(Struct, rename={"incarnation": "life", "fencing_token": "baton", "granted_at": "at"}):
    """The value of the key of a shard or a duty.

    A grant that was released names nobody, and in `avoid` the member that released it.
    """

    name: str
    incarnation: str
    fencing_token: int
    avoid: str = ""
    granted_at: int | UnsetType = UNSET  # microseconds since 1970; of duties only


class Load(Struct):
    """What a shard leader publishes about its shard each round, in CPUs."""

    waiting: float  # of tasks that wait
    free: float


class Counter(Struct):
    """The last fencing token that was given out."""

    last: int


class Versioned(Struct, Generic[V], frozen=True):
    """The value of a key, and the version of the key's last change."""

    value: V
    version: int


class ClusterView:
    """What is known of the keys under `PREFIX`: their values and versions."""

    def __init__(self) -> None:
        self.members: dict[str, Versioned[MemberRecord]] = {}  # by name
        self.leader: Versioned[MemberRecord] | None = None
        self.grants: dict[str, Versioned[Grant]] = {}  # by the keys of shards and duties
        self.fencing_token: Versioned[Counter] | None = None
        self.loads: dict[int, Load] = {}  # by shard

    def note_member(self, claim: MemberRecord, version: int) -> None:
        """Note the record of a member."""
        self.members[claim.name] = Versioned(claim, version)

    def note_leader(self, claim: MemberRecord, version: int) -> None:
        """Note who leads."""
        self.leader = Versioned(claim, version)

    def note_fencing_token(self, counter: Counter, version: int) -> None:
        """Note the last fencing token."""
        self.fencing_token = Versioned(counter, version)

    def drop(self, key: str, version: int) -> None:
        """Note that a key was dropped at a revision. A member's record that was written after that
        stays; grants and loads are not dropped."""
        if key == LEADER:
            self.leader = None
        elif key.startswith(MEMBER_PREFIX):
            name = key.removeprefix(MEMBER_PREFIX)
            if name in self.members and self.member_version(name) <= version:
                del self.members[name]

    def put(self, key: str, raw: msgspec.Raw, version: int) -> None:
        """Note the value of a key. An older one than is known of a member or a grant is ignored.

        Raises `msgspec.DecodeError` or `ValueError` for a key or a value that can't be read.
        """
        if key == LEADER:
            self.note_leader(msgspec.json.decode(raw, type=MemberRecord), version)
        elif key == FENCING_TOKEN:
            self.note_fencing_token(msgspec.json.decode(raw, type=Counter), version)
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
        """Note a grant. The answer to our own write and the watch report it in any order."""
        known = self.grants.get(key)
        if known is None or known.version <= version:
            self.grants[key] = Versioned(grant, version)

    def is_alive(self, name: str, incarnation: str) -> bool:
        """Whether this incarnation of a member has a member key, as far as is known."""
        member = self.members.get(name)
        return member is not None and member.value.incarnation == incarnation

    def member_version(self, name: str) -> int:
        """The version of a member's key, for preconditions; 0 if there is no such key."""
        member = self.members.get(name)
        return member.version if member is not None else 0

    @property
    def leader_alive(self) -> bool:
        """Whether there is a leader, and the incarnation that became leader has a member key."""
        return self.leader is not None and self.is_alive(
            self.leader.value.name, self.leader.value.incarnation
        )

    def holder(self, key: str) -> str | None:
        """The living member that a shard or duty is granted to."""
        held = self.grants.get(key)
        if held is None or not self.is_alive(held.value.name, held.value.incarnation):
            return None
        return held.value.name

    def next_holder(self, key: str, leader: str) -> str | None:
        """The member that a shard or duty should be granted to by the leader; None if there is no
        member.

        The one with fewest grants of this kind, then with fewest grants of any kind; among equals
        the leader itself. The member that released it last is taken only if there is no other.
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
        """The key of one of this member's grants that another one, which has none of this kind,
        should have; None if nothing is to be handed over."""
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
                # The first duty by name is clean-up, which also a member can do that does not
                # reach the cloud. The first shard stays: machines of no shard belong to it.
                return min(keys) if keys[0].startswith(DUTY_PREFIX) else max(keys)
        return None

    @property
    def previous_shard_leader(self) -> str:
        """The last leader of the first shard, whether it was lost or has released the shard; empty
        if there was none."""
        held = self.grants.get(shard_key(0))
        if held is None:
            return ""
        return held.value.name or held.value.avoid

    def failover_order(self) -> list[str]:
        """The members in the order in which they should replace the last shard leader: those listed
        after it first.

        A worker whose controller falls silent tries the next one in its list. If that one is the
        new shard leader, the worker loses no time there; if it is one that has been away for
        longer, the worker waits for another 4 s, and a short lease is over before it has tried a
        third. Following the order of the list keeps controllers that are away behind the shard
        leader, not before it. The order of the workers' lists is not specified: numbered names are
        taken to be listed by number. Nothing but the time that a failover takes depends on it.
        """
        names = sorted(self.members, key=list_order)
        last = list_order(self.previous_shard_leader)
        return sorted(names, key=lambda name: (list_order(name) <= last, list_order(name)))

    def without_holder(self, keys: Iterable[str]) -> list[str]:
        """Those of the shards and duties that have no living holder."""
        return [key for key in keys if self.holder(key) is None]


def list_order(name: str) -> tuple[int, str]:
    """Sort key that puts numbered names in order of number: "node-9" before "node-10"."""
    return (len(name), name)


def session_validity_end(sent_us: int, ttl_us: int) -> int:
    """Until when a renewal sent at `sent_us` provably keeps a session lease of `ttl_us` valid, in
    microseconds of our clock.

    The key-value store counts from when it handles the renewal, which is later than `sent_us`.
    """
    return sent_us + ttl_us - ttl_us // CLOCK_DRIFT_DIVISOR - TIMER_RESOLUTION_US
