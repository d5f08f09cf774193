"""The records in the key-value store, and their conversion to the types of the core.

c/...               members, leader, grants, the count of fencing tokens (see core/cluster_view)
open/<job>          a job that is accepted and not over; the key is never rewritten
open/<job>/...      results of some of its tasks (see result_rows)
over/<job>          the final state of a job
lease/<job>         which shard starts which tasks of a job
hire/<id>           a scale-out: written before the cloud is called, with the machines' names after
mach/<name>         a machine that tasks may have been started on
team/<name>         budget and bids
types               the cloud's machine types
return/<id>         a scale-in: machines that are to be returned, written before the cloud is called
quiet/<shard>       what is reserved to retain idle machines in the present quiet time
history/<duty>/<n>  what the holders of a duty did, in a ring of pages

The names of keys and fields are stored, and outlive any rename in the code (see `rename`).
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

SHAPES = {"batch": Shape.ARRAY, "group": Shape.GANG, "service": Shape.SERVICE}  # by name sent


class StoredJob(Struct, omit_defaults=True):
    """An accepted job. A service has a field of its own, so that a controller of a version that
    would take it for an array can't read the record (see cluster/versions)."""

    job: Submission | None = None
    at: int = 0  # time of day of its acceptance
    service: Submission | None = None

    @staticmethod
    def of(sent: Submission, at: int) -> "StoredJob":
        """The record of a submission that was accepted at a time of day."""
        if SHAPES[sent.shape] is Shape.SERVICE:
            return StoredJob(at=at, service=sent)
        return StoredJob(job=sent, at=at)

    @property
    def submission(self) -> Submission:
        """The job as it was submitted. Raises `msgspec.ValidationError` if there is none."""
        found = self.job if self.job is not None else self.service
        if found is None:
            raise msgspec.ValidationError("a stored job without its description")
        return found


class AssignedRange(NamedTuple):
    """Consecutive tasks of a job that one shard starts; stored as an array of three numbers."""

    first: int
    end: int  # not part of it
    shard: int


class TaskAssignment(Struct):
    """Which shard starts which tasks of a job."""

    parts: list[AssignedRange]

    def ranges_of(self, shard: int) -> list[TaskRange]:
        """The tasks of a shard, as (first, end)."""
        return [(part.first, part.end) for part in self.parts if part.shard == shard]


class FinalState(Struct):
    """How a job ended; `stage` is what users see."""

    stage: str
    done: int


class StoredScaleOut(Struct, rename={"type_name": "kind", "shard": "block"}):
    """A scale-out (an intent to rent machines), and the names of those that were rented for it."""

    type_name: str
    zone: str
    spot: bool
    number: int
    at: int
    names: list[str] | None = None
    shard: int = 0
    # Only of those that the holder of the rent duty carries out: the holder's fencing token at that
    # time, and why the cloud refuses the request for good, if it does.
    duty_token: int | UnsetType = UNSET
    refused: str | UnsetType = UNSET


class StoredScaleIn(Struct, omit_defaults=True):
    """A scale-in: machines that are to be returned. Once it is stored nothing may start on them."""

    names: list[str]
    token: int  # fencing token of the grant under which it was decided
    at: int
    why: str = ""
    refused: str = ""  # why the cloud refuses to delete some of them for good


class StoredMachine(Struct, rename={"type_name": "kind", "shard": "block"}):
    """A machine that tasks may have been started on."""

    type_name: str
    zone: str
    spot: bool
    address: str
    at: int
    shard: int = 0


def job_of(sent: Submission) -> Job:
    """A submission as the core's type."""
    return Job(
        ref=sent.ref,
        job_class=sent.job_class,
        team=sent.team,
        shape=SHAPES[sent.shape],
        rank=RANKS[sent.rank],
        tasks=sent.tasks,
        cpus=sent.cpus,
        gpus=sent.gpus,
        memory_gb=sent.memory_gb,
        image=sent.image,
        image_gb=sent.image_gb,
        types=None if sent.types is None else frozenset(sent.types),
        zone=sent.zone,
        one_zone=sent.one_zone,
        apart=sent.apart,
        spot=sent.spot,
        guess_us=int(sent.guess_s * US),
        checkpoint_interval_us=int(sent.checkpoint_interval_s * US),
        checkpoint_duration_s=sent.checkpoint_duration_s,
        due_us=None if sent.due_s is None else int(sent.due_s * US),
    )


def machine_type_of(sent: MachineTypeInfo) -> MachineType:
    """A machine type of the cloud as the core's type."""
    return MachineType(
        name=sent.name,
        cpus=sent.cpus,
        gpus=sent.gpus,
        memory_gb=sent.memory_gb,
        price=sent.price,
        spot_price=sent.spot_price,
        boot_us=int(sent.boot_s * US),
        cache_gb=sent.cache_gb,
        pull_gb_per_s=sent.pull_gb_per_s,
        zones=tuple(sent.zones),
    )
