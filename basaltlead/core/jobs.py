"""Jobs, machine types and amounts of resources.

A job and its machine types do not change while the job is open. Times are in microseconds, memory
and image sizes in gigabytes.
"""

from enum import Enum

from msgspec import Struct

US = 1_000_000  # one second, in microseconds
EPS = 1e-6  # tolerance in comparisons of amounts, which are sums of fractions

# A replica that has run for this long shows that its service can run.
STABLE_RUN_US = 30 * US
# The remaining run time assumed for every replica: much longer than any span that plans consider.
SERVICE_RUN_TIME_US = 24 * 3600 * US

RANKS = {"best_effort": 0, "standard": 1, "high": 2, "production": 3}
# A worker's report, with the tasks that it lists, must fit into 64 KiB
# (test_report_of_a_full_machine_fits_into_a_request).
MAX_TASKS_PER_MACHINE = 400
MIN_SIZE_CPUS = 0.1  # the fewest CPUs that a task counts as
MIN_PULL_GB_PER_S = 0.01  # assumed for a machine type without a known rate


class Shape(Enum):
    """How the tasks of a job relate to each other."""

    ARRAY = "array"  # independent tasks, each of which runs to completion
    GANG = "gang"  # all tasks run at the same time or none does
    SERVICE = "service"  # replicas that run until the job is cancelled


class Job(Struct, frozen=True):
    """A job as a user submitted it."""

    ref: str
    job_class: str
    team: str
    shape: Shape
    rank: int  # see RANKS; a higher rank is served first
    tasks: int
    # Requirements of one task.
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    # Placement constraints.
    types: frozenset[str] | None  # names of machine types; None: any
    zone: str | None  # None: any
    one_zone: bool  # all tasks in the same zone
    spread_zones: bool  # at most half of the tasks, rounded up, in the same zone
    spot: bool  # may also run on spot machines
    estimated_run_us: int  # the user's estimate of how long a task runs
    checkpoint_interval_us: int  # 0: its tasks save no checkpoints
    checkpoint_duration_s: float
    due_us: int | None  # the deadline, counted from submission

    @property
    def gang(self) -> bool:
        """Whether its tasks all run at the same time."""
        return self.shape is Shape.GANG

    @property
    def service(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return self.shape is Shape.SERVICE

    @property
    def min_concurrent_tasks(self) -> int:
        """How many of its tasks the team's limit must allow at once for the job to be served."""
        return 1 if self.shape is Shape.ARRAY else self.tasks

    @property
    def single_shard(self) -> bool:
        """Whether one shard leader must place all of its tasks, because it has to see them
        together."""
        return self.gang or self.one_zone or self.spread_zones

    @property
    def size(self) -> float:
        """CPUs that one task counts as, at least MIN_SIZE_CPUS."""
        return max(self.cpus, MIN_SIZE_CPUS)

    @property
    def zone_cap(self) -> int:
        """The maximum number of its tasks in one zone."""
        return (self.tasks + 1) // 2 if self.spread_zones else self.tasks


def fitting_task_count(job: Job, cpus: float, gpus: float, memory_gb: float, tasks: int) -> int:
    """How many tasks of a job fit into these amounts, at most `tasks` and all of them."""
    most = float(min(job.tasks, tasks))
    if job.cpus > EPS:
        most = min(most, (cpus + EPS) // job.cpus)
    if job.gpus > EPS:
        most = min(most, (gpus + EPS) // job.gpus)
    if job.memory_gb > EPS:
        most = min(most, (memory_gb + EPS) // job.memory_gb)
    return max(0, int(most))


class MachineType(Struct, frozen=True):
    """A machine type that the cloud rents out."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float  # per hour
    spot_price: float | None  # per hour; None: not offered as a spot machine
    boot_us: int
    cache_gb: float  # size of the image cache
    pull_gb_per_s: float  # rate at which images are fetched
    zones: tuple[str, ...]

    def fetch_s(self, job: Job) -> float:
        """Seconds to fetch the job's image if the machine fetches no other image meanwhile."""
        return job.image_gb / max(self.pull_gb_per_s, MIN_PULL_GB_PER_S)

    def capacity_for(self, job: Job) -> int:
        """How many tasks of a job fit on an empty machine."""
        return fitting_task_count(job, self.cpus, self.gpus, self.memory_gb, MAX_TASKS_PER_MACHINE)


def allowed(job: Job, machine_type: str, zone: str, spot: bool) -> bool:
    """Whether the job's constraints allow its tasks on such a machine."""
    return (
        (job.types is None or machine_type in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
    )


class Resources:
    """What a machine has for tasks: amounts of the three resources, and places in its report.

    Negative where more is taken than there is. All that asks what a machine still takes asks this:
    planning, preemption, the sending of starts, and fleet sizing.
    """

    __slots__ = ("cpus", "gpus", "memory_gb", "tasks")

    def __init__(
        self, cpus: float, gpus: float, memory_gb: float, tasks: int = MAX_TASKS_PER_MACHINE
    ) -> None:
        self.cpus = cpus
        self.gpus = gpus
        self.memory_gb = memory_gb
        self.tasks = tasks

    def fits(self, job: Job) -> bool:
        """Whether there is room for one task of the job."""
        return (
            job.cpus <= self.cpus + EPS
            and job.gpus <= self.gpus + EPS
            and job.memory_gb <= self.memory_gb + EPS
            and self.tasks > 0
        )

    def capacity_for(self, job: Job) -> int:
        """How many tasks of a job fit, at most all of them."""
        return fitting_task_count(job, self.cpus, self.gpus, self.memory_gb, self.tasks)

    def take(self, job: Job, times: int = 1) -> None:
        """Take the room of this many tasks of the job; a negative number releases it."""
        self.cpus -= job.cpus * times
        self.gpus -= job.gpus * times
        self.memory_gb -= job.memory_gb * times
        self.tasks -= times

    def copy(self) -> "Resources":
        """A copy that can be changed independently."""
        return Resources(self.cpus, self.gpus, self.memory_gb, self.tasks)

    @staticmethod
    def of(machine_type: MachineType) -> "Resources":
        """All resources of a machine of this type."""
        return Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
