"""What does not change while the scheduler runs: jobs, machine types, amounts of resources."""

from enum import Enum

from msgspec import Struct

US = 1_000_000
EPS = 1e-6

# A replica that has run for so long shows that its service can run.
LASTING_US = 30 * US
# What a replica is taken to have before it wherever a run time is asked for: much longer than any
# span that plans look at.
STANDING_US = 24 * 3600 * US

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}


class Shape(Enum):
    """How the tasks of a job belong together."""

    ARRAY = "array"  # independent tasks, each of which runs to its end
    GANG = "gang"  # all tasks run at the same time, or none does
    SERVICE = "service"  # replicas, which run until the job is cancelled


class Job(Struct, frozen=True):
    """What a user asked for."""

    ref: str
    job_class: str
    team: str
    shape: Shape
    rank: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    apart: bool
    spot: bool
    guess_us: int
    checkpoint_interval_us: int
    checkpoint_duration_s: float
    due_us: int | None  # from its submission

    @property
    def gang(self) -> bool:
        return self.shape is Shape.GANG

    @property
    def service(self) -> bool:
        return self.shape is Shape.SERVICE

    @property
    def together(self) -> int:
        """How many of its tasks a team's limit must allow at once for it to be served."""
        return 1 if self.shape is Shape.ARRAY else self.tasks

    @property
    def whole(self) -> bool:
        """Must all of its tasks be placed by one shard leader, who sees them together?"""
        return self.gang or self.one_zone or self.apart

    @property
    def size(self) -> float:
        """What one task counts as in CPUs; never nothing."""
        return max(self.cpus, 0.1)

    @property
    def zone_cap(self) -> int:
        """How many of its tasks one zone may hold."""
        return (self.tasks + 1) // 2 if self.apart else self.tasks


def fitting(job: Job, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of a job these amounts hold."""
    most = float(job.tasks)
    if job.cpus > EPS:
        most = min(most, (cpus + EPS) // job.cpus)
    if job.gpus > EPS:
        most = min(most, (gpus + EPS) // job.gpus)
    if job.memory_gb > EPS:
        most = min(most, (memory_gb + EPS) // job.memory_gb)
    return max(0, int(most))


class MachineType(Struct, frozen=True):
    """A machine type."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    spot_price: float | None
    boot_us: int
    cache_gb: float
    pull_gb_per_s: float
    zones: tuple[str, ...]

    def fetch_s(self, job: Job) -> float:
        """How long the job's image takes to arrive, if the machine fetches no other."""
        return job.image_gb / max(self.pull_gb_per_s, 0.01)

    def holds(self, job: Job) -> int:
        """How many tasks of a job fit on an empty machine."""
        return fitting(job, self.cpus, self.gpus, self.memory_gb)


def allowed(job: Job, machine_type: str, zone: str, spot: bool) -> bool:
    """May a task of the job be on such a machine at all?"""
    return (
        (job.types is None or machine_type in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
    )


class Resources:
    """Amounts of the three resources."""

    __slots__ = ("cpus", "gpus", "memory_gb")

    def __init__(self, cpus: float, gpus: float, memory_gb: float) -> None:
        self.cpus = cpus
        self.gpus = gpus
        self.memory_gb = memory_gb

    def fits(self, job: Job) -> bool:
        return (
            job.cpus <= self.cpus + EPS
            and job.gpus <= self.gpus + EPS
            and job.memory_gb <= self.memory_gb + EPS
        )

    def holds(self, job: Job) -> int:
        """How many tasks of a job fit."""
        return fitting(job, self.cpus, self.gpus, self.memory_gb)

    def take(self, job: Job, times: int = 1) -> None:
        self.cpus -= job.cpus * times
        self.gpus -= job.gpus * times
        self.memory_gb -= job.memory_gb * times

    def copy(self) -> "Resources":
        return Resources(self.cpus, self.gpus, self.memory_gb)

    @staticmethod
    def of(machine_type: MachineType) -> "Resources":
        return Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
