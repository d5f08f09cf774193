"""The settings: fields, their ranges, and values derived from them.

They are read from the platform's TOML file and the operators' optional YAML file (see loader), and
keep the names of those files, except where `rename` maps an attribute to one. Suffixes name the
unit of a duration: `_s` (seconds), `_ms` or `_us`.
"""

from typing import Annotated

from msgspec import Meta, Struct

from basaltlead.storage.limits import StoreLimits

US = 1_000_000
SESSION_LEASE_SHARE = 0.3  # default session lease, as a fraction of a worker's lease

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
    """A team with its guarantee (`cpus`, `gpus`) and limit (`cpus_max`, `gpus_max`). 0 means no
    guarantee or no limit."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct, rename={"job_class": "class"}):
    """When jobs of a class should start or finish. `kind` decides which other fields apply, see
    `core.objectives.ObjectiveType`."""

    kind: str
    job_class: str = ""
    within_s: Amount = 0.0
    share: Amount = 0.0
    times: Amount = 1.0


class Workers(Struct):
    """Durations that all workers apply."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


# A job moves from its open key to its final key in one transaction, which takes two operations.
TransactionOps = Annotated[int, Meta(ge=2, lt=1_000_000)]


class NextStateLimits(Struct, frozen=True):
    """Announced limits of the key-value store, which may take effect at any time; absent ones don't
    change."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOps | None = None


class StateLimits(Struct):
    """Limits of the key-value store: requests and writes per second, kilobytes per value, and
    operations per transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: TransactionOps
    next: NextStateLimits = NextStateLimits()


class CloudLimits(Struct):
    """The cloud's limit on requests per second, and the maximum age of its list of machines."""

    rps: Positive
    list_lag_s: Amount


class Quota(Struct, frozen=True):
    """Resource limits of the process: processor cores, megabytes of memory, file descriptors."""

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
    """Quiet times: the path of an iCalendar file, and the maximum cost of idle machines in each."""

    calendar: str
    max_cost: Positive


class Operator(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"shards": "blocks", "session_lease_s": "right_s"},
):
    """The operators' YAML file. Every field has a default; see docs/operations.md."""

    round_s: Annotated[float, Meta(ge=1, le=600)] = 10.0
    refill_s: Annotated[float, Meta(ge=1, le=86_400)] = 300.0
    budget: Positive = 1000.0
    reserve_price: Positive = 0.01
    threshold: Annotated[float, Meta(ge=0, le=1)] = 0.05
    idle_share: Annotated[float, Meta(ge=0, le=100)] = 0.6
    shards: Annotated[int, Meta(ge=1, le=16)] = 1
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
        """The limits of the key-value store that every request respects.

        Announced limits (`next`) may take effect at any time, so the lower of the current and the
        announced limit applies from the start.
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

        Let L be the time at which the shard leader sent its last successful read of the
        cancellations, or the deferral request to which every other controller responded with its
        confirmed cancellations (see cancellation_exchange). The shard leader knows all
        cancellations confirmed before L, so one that it does not know was confirmed to the user
        after L.

        A heartbeat gets status 200 only while the clock is below L + staleness. `holds_valid_lease`
        is evaluated in the same iteration of the event loop that writes the response. A process
        that is suspended before that iteration sends nothing, and one that is suspended later has
        already responded, to a heartbeat that was sent even earlier. The worker's lease counts from
        when it *sent* that heartbeat, so it expires at L + staleness + lease at the latest, however
        long the response was in transit. Pushed commands don't renew the lease, and a command that
        is executed late starts nothing that outlives the lease.

        Clocks drift by 0.05%, and a worker checks its lease only periodically. The margin for both
        is one percent of the lease, a tenth of the remaining time, and one second. So the task has
        ended within `cancel_s` of L, and the user was told after L.
        """
        workers = self.facts.workers
        return int(((workers.cancel_s - workers.lease_s * 1.01) * 0.9 - 1.0) * US)

    @property
    def session_lease_us(self) -> int:
        """The duration of a session lease, in microseconds.

        The default is 0.3 of a worker's lease. Workers stop trying a failed shard leader after 4 to
        6 s, and with this duration they reach the next one before their leases expire.
        """
        lease_s = self.operator.session_lease_s
        if lease_s is None:
            lease_s = self.facts.workers.lease_s * SESSION_LEASE_SHARE
        return min(int(lease_s * US), self.staleness_us)


def _lower(now: float, later: float | None) -> float:
    return now if later is None else min(now, later)
