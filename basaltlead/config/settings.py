"""Settings: the platform's TOML file and the operators' optional YAML file.

Fields nobody here knows are ignored, since the platform may add some. Everything else is checked
once, at the start, and a fault names its field.
"""

import tomllib
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from basaltlead.errors import SettingsError
from basaltlead.storage.limits import StoreLimits

US = 1_000_000

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
    """Where the outside services are."""

    cloud: Address
    state: Address


class Team(Struct):
    """A team's guarantee and limit; 0: none."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct, rename={"job_class": "class"}):
    """An aim on the starts or the ends of a class of jobs."""

    kind: str
    job_class: str = ""
    within_s: Amount = 0.0
    share: Amount = 0.0
    times: Amount = 1.0


class Workers(Struct):
    """Spans that all workers keep to."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


# A transaction of a single change can't move a job from open to over.
TransactionOps = Annotated[int, Meta(ge=2, lt=1_000_000)]


class NextStateLimits(Struct, frozen=True):
    """What the key-value store will limit to from some moment on, without notice."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOps | None = None


class StateLimits(Struct):
    """Limits of the key-value store."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: TransactionOps
    next: NextStateLimits = NextStateLimits()


class CloudLimits(Struct):
    """Limits of the cloud, and how old its lists are."""

    rps: Positive
    list_lag_s: Amount


class Quota(Struct, frozen=True):
    """What the process may use."""

    core_share: Positive = 1.0
    mem_mb: Positive = 256.0
    fd_limit: Count = 500


class Facts(Struct):
    """What the platform says of the deployment."""

    nodes: Count
    zones: list[str]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    clock_off_ms: Amount = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: Quota = Quota()


class Quiet(Struct, frozen=True, forbid_unknown_fields=True):
    """Quiet times: an iCalendar file, and what idle machines may cost in each of them."""

    calendar: str
    most_cost: Positive


class Operator(Struct, frozen=True, forbid_unknown_fields=True, rename={"shards": "blocks"}):
    """The operators' own YAML file. Every field has a default; see docs/operations.md."""

    round_s: Annotated[float, Meta(ge=1, le=600)] = 10.0
    refill_s: Annotated[float, Meta(ge=1, le=86_400)] = 300.0
    budget: Positive = 1000.0
    reserve_price: Positive = 0.01
    threshold: Annotated[float, Meta(ge=0, le=1)] = 0.05
    idle_share: Annotated[float, Meta(ge=0, le=100)] = 0.6
    shards: Annotated[int, Meta(ge=1, le=16)] = 1
    right_s: Annotated[float, Meta(ge=1, le=600)] | None = None
    duties: bool = False
    quiet: Quiet | None = None


class Settings(Struct):
    """Everything that a controller is told at its start."""

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
        """What holds both before and after the announced change: it comes without notice, so
        everything is kept to the lower of both limits from the start."""
        now, later = self.facts.state, self.facts.state.next
        return StoreLimits(
            rps=_lower(now.rps, later.rps),
            write_rps=_lower(now.write_rps, later.write_rps),
            value_bytes=int(_lower(now.value_kb, later.value_kb) * 1024),
            operations=now.txn_ops if later.txn_ops is None else min(now.txn_ops, later.txn_ops),
        )

    @property
    def staleness_us(self) -> int:
        """How long a shard leader may act without a look at the cancellations.

        Let L be the time at which its last good look was asked for, or every other controller's
        word of what it had confirmed (see Peers). What was told before L is known by it, so a
        cancellation it does not know of was told to its user after L.
        A report is answered with 200 only while the clock reads less than L + staleness
        (`holds_valid_lease` is asked in the turn in which the answer is written, so a process that
        stood still before that turn answers nothing; one that stands still after it has answered a
        report that was sent before). The worker's lease counts from when that report was *sent*, so
        it is over at L + staleness + lease at the latest, however long the answer was under way.
        Direct commands renew nothing, and one that is executed late starts nothing that outlives
        the lease. Clocks drift by 0.05% and a worker looks at its lease now and then: a hundredth
        of the lease, a tenth of the rest and a second are left for that. So the task is gone within
        `cancel_s` of L, and the user was told later than that.
        """
        w = self.facts.workers
        return int(((w.cancel_s - w.lease_s * 1.01) * 0.9 - 1.0) * US)

    @property
    def session_lease_us(self) -> int:
        """How long a session lease lasts. A third of a worker's lease: when a shard leader is lost,
        its workers give it up after 4 to 6 s, and find the next shard leader in place before their
        leases run out."""
        wished = self.operator.right_s
        if wished is None:
            wished = self.facts.workers.lease_s * 0.3
        return min(int(wished * US), self.staleness_us)


def _lower(now: float, later: float | None) -> float:
    return now if later is None else min(now, later)


def _convert(data: Any, target: Any, where: str) -> Any:
    try:
        return msgspec.convert(data, target, strict=target is not Operator)
    except msgspec.ValidationError as fault:
        text = str(fault)
        what, _, path = text.partition(" - at `$")
        field = path.rstrip("`").lstrip(".")
        raise SettingsError(f"{where}: {field + ': ' if field else ''}{what}") from None


def load(path: str, operator_path: str | None = None) -> Settings:
    """Read and check both files."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise SettingsError(f"{path}: not TOML: {fault}") from None
    data.pop("operator", None)
    settings: Settings = _convert(data, Settings, path)
    if operator_path is not None:
        settings.operator = _load_operator(operator_path)
    if settings.session_lease_us < US // 2:
        raise SettingsError(f"{path}: facts.workers.cancel_s: too short for lease_s")
    return settings


def _load_operator(path: str) -> Operator:
    import yaml  # read only when such a file is given: controllers pay for every import

    try:
        with open(path, encoding="utf-8") as file:
            data = yaml.safe_load(file)
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as fault:
        raise SettingsError(f"{path}: not YAML: {' '.join(str(fault).split())}") from None
    operator: Operator = _convert({} if data is None else data, Operator, path)
    if operator.quiet is not None:
        _check_calendar(operator.quiet.calendar, path)
    return operator


def _check_calendar(calendar: str, path: str) -> None:
    try:
        from basaltlead.scaling import quiet_calendar  # libraries that only this needs
    except ImportError as fault:
        raise SettingsError(f"{path}: quiet: {fault}: install basaltlead[operators]") from None
    quiet_calendar.read_calendar(calendar)
