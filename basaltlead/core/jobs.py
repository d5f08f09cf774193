"""What does not change while a job is open: jobs, machine types, and amounts of resources.

Times are microseconds, memory and images are gigabytes.
"""

from enum import Enum

from msgspec import Struct

US = 1_000_000  # a second
EPS = 1e-6  # amounts are sums of fractions, and are equal if they differ by less

# A replica that has run for so long shows that its service can run.
STABLE_RUN_US = 30 * US
# The run time that a replica is taken to have left, always: much longer than any span that plans
# consider.
SERVICE_RUN_TIME_US = 24 * 3600 * US

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}
MIN_SIZE_CPUS = 0.1  # what a task counts as at least
MIN_PULL_GB_PER_S = 0.01  # what a machine type without a known rate is taken to fetch


class Shape(Enum):
    """How the tasks of a job belong together."""

    ARRAY = "array"  # independent tasks, each of which runs to its end
    GANG = "gang"  # all tasks run at the same time, or none does
    SERVICE = "service"  # replicas, which run until the job is cancelled


class Job(Struct, frozen=True):
    """What a user submitted."""

    ref: str
    job_class: str
    team: str
    shape: Shape
    rank: int  # see RANKS; a higher one goes first
    tasks: int
    # What one task needs.
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    # Where its tasks may run.
    types: frozenset[str] | None  # names of machine types; None: any
    zone: str | None  # None: any
    one_zone: bool  # all tasks in the same zone
    spread_zones: bool  # no more than half of the tasks in the same zone
    spot: bool  # also on spot machines
    estimated_run_us: int  # how long a task runs, by the user's guess
    checkpoint_interval_us: int  # 0: its tasks save no checkpoints
    checkpoint_duration_s: float
    due_us: int | None  # from its submission

    @property
    def gang(self) -> bool:
        """Do its tasks run all at the same time?"""
        return self.shape is Shape.GANG

    @property
    def service(self) -> bool:
        """Do its tasks run until it is cancelled?"""
        return self.shape is Shape.SERVICE

    @property
    def min_concurrent_tasks(self) -> int:
        """How many of its tasks a team's limit must allow at once for it to be served."""
        return 1 if self.shape is Shape.ARRAY else self.tasks

    @property
    def single_shard(self) -> bool:
        """Must all of its tasks be placed by one shard leader, who sees them together?"""
        return self.gang or self.one_zone or self.spread_zones

    @property
    def size(self) -> float:
        """What one task counts as in CPUs; never nothing."""
        return max(self.cpus, MIN_SIZE_CPUS)

    @property
    def zone_cap(self) -> int:
        """How many of its tasks one zone may hold."""
        return (self.tasks + 1) // 2 if self.spread_zones else self.tasks


def fitting_task_count(job: Job, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of a job these amounts hold, at most all of them."""
    most = float(job.tasks)
    if job.cpus > EPS:
        most = min(most, (cpus + EPS) // job.cpus)
    if job.gpus > EPS:
        most = min(most, (gpus + EPS) // job.gpus)
    if job.memory_gb > EPS:
        most = min(most, (memory_gb + EPS) // job.memory_gb)
    return max(0, int(most))


class MachineType(Struct, frozen=True):
    """What the cloud rents out under one name."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float  # for an hour
    spot_price: float | None  # None: it is not offered as a spot machine
    boot_us: int
    cache_gb: float  # room for images
    pull_gb_per_s: float  # how fast images arrive
    zones: tuple[str, ...]

    def fetch_s(self, job: Job) -> float:
        """How long the job's image takes to arrive, if the machine fetches no other."""
        return job.image_gb / max(self.pull_gb_per_s, MIN_PULL_GB_PER_S)

    def capacity_for(self, job: Job) -> int:
        """How many tasks of a job fit on an empty machine."""
        return fitting_task_count(job, self.cpus, self.gpus, self.memory_gb)


def allowed(job: Job, machine_type: str, zone: str, spot: bool) -> bool:
    """May a task of the job be on such a machine at all?"""
    return (
        (job.types is None or machine_type in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
    )


class Resources:
    """Amounts of the three resources; below zero where more is taken than there is."""

    __slots__ = ("cpus", "gpus", "memory_gb")

    def __init__(self, cpus: float, gpus: float, memory_gb: float) -> None:
        self.cpus = cpus
        self.gpus = gpus
        self.memory_gb = memory_gb

    def fits(self, job: Job) -> bool:
        """Is there room for one task of the job?"""
        return (
            job.cpus <= self.cpus + EPS
            and job.gpus <= self.gpus + EPS
            and job.memory_gb <= self.memory_gb + EPS
        )

    def capacity_for(self, job: Job) -> int:
        """How many tasks of a job fit, at most all of them."""
        return fitting_task_count(job, self.cpus, self.gpus, self.memory_gb)

    def take(self, job: Job, times: int = 1) -> None:
        """Take the room of so many tasks of the job; a negative number gives it back."""
        self.cpus -= job.cpus * times
        self.gpus -= job.gpus * times
        self.memory_gb -= job.memory_gb * times

    def copy(self) -> "Resources":
        """Amounts to change without changing these."""
        return Resources(self.cpus, self.gpus, self.memory_gb)

    @staticmethod
    def of(machine_type: MachineType) -> "Resources":
        """All that a machine of this type has."""
        return Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
