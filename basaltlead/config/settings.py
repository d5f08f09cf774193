"""The settings: their fields, the values that are allowed, and what is derived from them.

They come from the platform's TOML file and the operators' optional YAML file (see loader), whose
names they keep. Durations end in `_s` (seconds), `_ms` or `_us`.
"""

from typing import Annotated

from msgspec import Meta, Struct

from basaltlead.storage.limits import StoreLimits

US = 1_000_000
SESSION_LEASE_SHARE = 0.3  # of a worker's lease

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9_.-]+$")]
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
Positive = Annotated[float, Meta(gt=0, lt=1e9)]
Amount = Annotated[float, Meta(ge=0, lt=1e9)]
Count = Annotated[int, Meta(ge=1, lt=1_000_000)]


class Peer(Struct):
    """Another controller."""

    member: Name
    location: str
    address: Address


class Services(Struct):
    """The addresses of the cloud and of the key-value store (`state`)."""

    cloud: Address
    state: Address


class Team(Struct):
    """A team, with its guarantee (`cpus`, `gpus`) and limit (`cpus_max`, `gpus_max`); 0: none."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct, rename={"job_class": "class"}):
    """When jobs of a class should start or finish; which of the fields apply depends on `kind`."""

    kind: str
    job_class: str = ""
    within_s: Amount = 0.0
    share: Amount = 0.0
    times: Amount = 1.0


class Workers(Struct):
    """The durations that all workers keep to."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


# A transaction of a single change can't move a job from its open key to its final one.
TransactionOps = Annotated[int, Meta(ge=2, lt=1_000_000)]


class NextStateLimits(Struct, frozen=True):
    """Limits of the key-value store that will hold from some moment on, without notice; those that
    are absent stay as they are."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOps | None = None


class StateLimits(Struct):
    """Limits of the key-value store: requests and writes a second, kilobytes in a value, operations
    in a transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: TransactionOps
    next: NextStateLimits = NextStateLimits()


class CloudLimits(Struct):
    """The cloud's limit on requests a second, and how old its list of machines may be."""

    rps: Positive
    list_lag_s: Amount


class Quota(Struct, frozen=True):
    """What the process may use: processor cores, megabytes of memory, and file descriptors."""

    core_share: Positive = 1.0
    mem_mb: Positive = 256.0
    fd_limit: Count = 500


class Facts(Struct):
    """The platform's description of the deployment."""

    nodes: Count
    zones: list[str]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    clock_off_ms: Amount = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: Quota = Quota()


class Quiet(Struct, frozen=True, forbid_unknown_fields=True, rename={"max_cost": "most_cost"}):
    """Quiet times: the path of an iCalendar file, and what idle machines may cost in each one."""

    calendar: str
    max_cost: Positive


class Operator(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"shards": "blocks", "session_lease_s": "right_s"},
):
    """The operators' own YAML file. Every field has a default; see docs/operations.md."""

    round_s: Annotated[float, Meta(ge=1, le=600)] = 10.0
    refill_s: Annotated[float, Meta(ge=1, le=86_400)] = 300.0
    budget: Positive = 1000.0
    reserve_price: Positive = 0.01
    threshold: Annotated[float, Meta(ge=0, le=1)] = 0.05
    idle_share: Annotated[float, Meta(ge=0, le=100)] = 0.6
    shards: Annotated[int, Meta(ge=1, le=16)] = 1  # `blocks` in the file
    session_lease_s: Annotated[float, Meta(ge=1, le=600)] | None = None
    duties: bool = False
    quiet: Quiet | None = None


class Settings(Struct):
    """All settings of one controller."""

    member: Name
    location: str
    front: Address
    internal_addr: Address
    services: Services
    facts: Facts
    known: list[Peer] = []
    operator: Operator = Operator()

    @property
    def store_limits(self) -> StoreLimits:
        """The limits of the key-value store that every request keeps to.

        An announced change of them (`next`) comes without notice, so the lower of both limits
        applies from the start.
        """
        now, later = self.facts.state, self.facts.state.next
        return StoreLimits(
            rps=_lower(now.rps, later.rps),
            write_rps=_lower(now.write_rps, later.write_rps),
            value_bytes=int(_lower(now.value_kb, later.value_kb) * 1024),
            operations=now.txn_ops if later.txn_ops is None else min(now.txn_ops, later.txn_ops),
        )

    @property
    def staleness_us(self) -> int:
        """How long a shard leader may act without reading the cancellations, in microseconds.

        Let L be the time at which its last successful read of them was sent, or the request that
        every other controller answered with what it had confirmed (see cancellation_exchange). All
        cancellations confirmed before L are known to it, so one that it does not know of was
        confirmed to its user after L.

        A heartbeat is answered with 200 only while the clock reads less than L + staleness:
        `holds_valid_lease` is evaluated in the same turn of the event loop in which the answer is
        written, so a process that was suspended before that turn answers nothing, and one that is
        suspended after it has answered a heartbeat that was sent before. The worker's lease counts
        from when that heartbeat was *sent*, so it is over at L + staleness + lease at the latest,
        however long the answer was under way. Pushed commands renew nothing, and one that is
        executed late starts nothing that outlives the lease.

        Clocks drift by 0.05%, and a worker checks its lease only now and then: a hundredth of the
        lease, a tenth of what remains and a second are reserved for that. So the task is gone
        within `cancel_s` of L, and the user was told after L.
        """
        workers = self.facts.workers
        return int(((workers.cancel_s - workers.lease_s * 1.01) * 0.9 - 1.0) * US)

    @property
    def session_lease_us(self) -> int:
        """How long a session lease lasts, in microseconds.

        By default a third of a worker's lease: when a shard leader is lost, its workers give it up
        after 4 to 6 s, and find the next shard leader in place before their leases run out.
        """
        lease_s = self.operator.session_lease_s
        if lease_s is None:
            lease_s = self.facts.workers.lease_s * SESSION_LEASE_SHARE
        return min(int(lease_s * US), self.staleness_us)


def _lower(now: float, later: float | None) -> float:
    return now if later is None else min(now, later)
