"""Records in the key-value store, and their conversion to the types of the core.

c/...               members, leader, grants, the fencing token counter (see core/cluster_view)
open/<job>          an accepted job that has not ended; the key is never rewritten
open/<job>/...      results of some of its tasks (see result_rows)
over/<job>          the final state of a job
lease/<job>         the shard that starts each range of a job's tasks (not a lease)
hire/<id>           a scale-out: written before the cloud is called; machine names are added after
mach/<name>         a machine on which tasks may have been started
team/<name>         budget and bids of a team
types               the cloud's machine types
return/<id>         a scale-in: machines to be returned, written before the cloud is called
quiet/<shard>       the budget reserved to retain idle machines in the current quiet time
history/<duty>/<n>  actions of the holders of a duty, in a ring buffer of pages

Names of keys and fields are part of the stored format; attributes that are named differently in the
code keep the stored name through `rename`.
"""

from typing import NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType

from basaltlead.core.jobs import RANKS, US, Job, MachineType, Shape
from basaltlead.core.task_queue import TaskRange
from basaltlead.wire.cloud import MachineTypeInfo
from basaltlead.wire.users import Submission

OPEN = "open/"
OVER = "over/"
ASSIGNMENT = "lease/"
SCALE_OUT = "hire/"
MACHINE = "mach/"
TEAM = "team/"
TYPES = "types"
SCALE_IN = "return/"
HISTORY = "history/"
QUIET = "quiet/"

SHAPES = {"batch": Shape.ARRAY, "group": Shape.GANG, "service": Shape.SERVICE}  # by wire name


class StoredJob(Struct, omit_defaults=True):
    """An accepted job.

    Services are stored in a separate field, so that a controller of an older version, which would
    treat a service as an array, fails to read the record (see cluster/versions).
    """

    job: Submission | None = None
    at: int = 0  # wall-clock time of acceptance in microseconds
    service: Submission | None = None

    @staticmethod
    def of(submission: Submission, at: int) -> "StoredJob":
        """Create the record of a submission that was accepted at the wall-clock time `at`."""
        if SHAPES[submission.shape] is Shape.SERVICE:
            return StoredJob(at=at, service=submission)
        return StoredJob(job=submission, at=at)

    @property
    def submission(self) -> Submission:
        """The job as submitted. Raises `msgspec.ValidationError` if the record has none."""
        found = self.job if self.job is not None else self.service
        if found is None:
            raise msgspec.ValidationError("stored job has neither of the fields job and service")
        return found


class AssignedRange(NamedTuple):
    """A range of a job's tasks that one shard starts; stored as an array of three numbers."""

    first: int
    end: int  # exclusive
    shard: int


class TaskAssignment(Struct):
    """The shard that starts each range of a job's tasks."""

    parts: list[AssignedRange]

    def ranges_of(self, shard: int) -> list[TaskRange]:
        """Return the task ranges of a shard as (first, end), with `end` exclusive."""
        return [(part.first, part.end) for part in self.parts if part.shard == shard]


class FinalState(Struct):
    """The final state of a job; `stage` is the state that users see."""

    stage: str
    done: int


class StoredScaleOut(Struct, rename={"type_name": "kind", "shard": "block"}):
    """A scale-out: an intent to rent machines, and the names of the machines rented for it."""

    type_name: str
    zone: str
    spot: bool
    number: int
    at: int
    names: list[str] | None = None
    shard: int = 0
    # Set only if the holder of the rent duty executes the request: the holder's fencing token when
    # the request was recorded, and the reason if the cloud rejects the request permanently.
    duty_token: int | UnsetType = UNSET
    refused: str | UnsetType = UNSET


class StoredScaleIn(Struct, omit_defaults=True):
    """A scale-in: machines to be returned. Once it is stored, no task may start on them."""

    names: list[str]
    token: int  # fencing token of the grant under which it was decided
    at: int
    why: str = ""
    refused: str = ""  # reason if the cloud permanently rejects the deletion of some machines


class StoredMachine(Struct, rename={"type_name": "kind", "shard": "block"}):
    """A machine on which tasks may have been started."""

    type_name: str
    zone: str
    spot: bool
    address: str
    at: int
    shard: int = 0


def job_of(submission: Submission) -> Job:
    """Convert a submission to the core's type."""
    return Job(
        ref=submission.ref,
        job_class=submission.job_class,
        team=submission.team,
        shape=SHAPES[submission.shape],
        rank=RANKS[submission.rank],
        tasks=submission.tasks,
        cpus=submission.cpus,
        gpus=submission.gpus,
        memory_gb=submission.memory_gb,
        image=submission.image,
        image_gb=submission.image_gb,
        types=None if submission.types is None else frozenset(submission.types),
        zone=submission.zone,
        one_zone=submission.one_zone,
        spread_zones=submission.spread_zones,
        spot=submission.spot,
        estimated_run_us=int(submission.estimated_run_s * US),
        checkpoint_interval_us=int(submission.checkpoint_interval_s * US),
        checkpoint_duration_s=submission.checkpoint_duration_s,
        due_us=None if submission.due_s is None else int(submission.due_s * US),
    )


def machine_type_of(info: MachineTypeInfo) -> MachineType:
    """Convert a machine type of the cloud to the core's type."""
    return MachineType(
        name=info.name,
        cpus=info.cpus,
        gpus=info.gpus,
        memory_gb=info.memory_gb,
        price=info.price,
        spot_price=info.spot_price,
        boot_us=int(info.boot_s * US),
        cache_gb=info.cache_gb,
        pull_gb_per_s=info.pull_gb_per_s,
        zones=tuple(info.zones),
    )
