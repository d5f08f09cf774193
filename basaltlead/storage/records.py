"""What is kept in the key-value store, and its way to and from the core's terms.

c/...            members, leader, shards, the counter of fencing tokens (core/leadership)
open/<job>       a job that is accepted and not over; the key is never rewritten
open/<job>/...   results of some of its tasks (see result_rows)
over/<job>       the final state of a job
rental request/<id>        a rental request: written before its request, with the names after it
mach/<name>      a machine that tasks may have been started on
team/<name>      budget and bids
return/<id>      machines that are to be returned: written before the cloud is asked
quiet/<shard>    what is reserved to keep idle machines for the present quiet time
history/<duty>/<n>   what the holders of a duty did, in a ring of pages
"""

import msgspec
from msgspec import UNSET, Struct, UnsetType

from basaltlead.core.jobs import RANKS, US, Job, MachineType, Shape
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


class StoredJob(Struct, omit_defaults=True):
    """An accepted job. A service stands in a field of its own, so that a controller of a version
    that would take it for an array can't read the record (see upgrade)."""

    job: Submission | None = None
    at: int = 0  # time of day of its acceptance
    service: Submission | None = None

    @staticmethod
    def of(sent: Submission, at: int) -> "StoredJob":
        """The record of a submission."""
        if sent.shape == "service":
            return StoredJob(at=at, service=sent)
        return StoredJob(job=sent, at=at)

    @property
    def sent(self) -> Submission:
        """The job as it was submitted."""
        found = self.job if self.job is not None else self.service
        if found is None:
            raise msgspec.ValidationError("a stored job without its description")
        return found


SHAPES = {"batch": Shape.ARRAY, "group": Shape.GANG, "service": Shape.SERVICE}


class TaskAssignment(Struct):
    """Tasks by shard: (first, end, shard)."""

    parts: list[tuple[int, int, int]]

    def ranges_of(self, shard: int) -> list[tuple[int, int]]:
        return [(low, high) for low, high, shard_leader in self.parts if shard_leader == shard]


class Final(Struct):
    """How a job ended; `stage` is what users are told."""

    stage: str
    done: int


class StoredScaleOut(Struct, rename={"type_name": "kind", "shard": "block"}):
    """A rental request, and the machines that it brought."""

    type_name: str
    zone: str
    spot: bool
    number: int
    at: int
    names: list[str] | None = None
    shard: int = 0
    # Of requests that a duty's holder carries out: the fencing token of the holder at that time,
    # and why the cloud refuses the request for good, if it does.
    duty_token: int | UnsetType = UNSET
    refused: str | UnsetType = UNSET


class StoredScaleIn(Struct, omit_defaults=True):
    """Machines that are to be returned. From when this is stored nothing may start on them."""

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
    """A submission in the core's terms."""
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
    """A machine type in the core's terms."""
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
