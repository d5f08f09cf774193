"""What is kept in the state service, and its way to and from the core's terms.

c/...            members, leader, blocks, the counter of fencing tokens (core/leadership)
open/<job>       a job that is accepted and not over; the key is never rewritten
open/<job>/<n>   results of one stretch of its tasks
over/<job>       the final state of a job
hire/<id>        a hire: written before its request, with the names after it
mach/<name>      a machine that tasks may have been started on
team/<name>      budget and bids
"""

from msgspec import Struct

from basaltlead.core.model import RANKS, US, Job, Kind, Work
from basaltlead.wire.cloud import MachineType
from basaltlead.wire.users import Submission

OPEN = "open/"
OVER = "over/"
LEASE = "lease/"
HIRE = "hire/"
MACHINE = "mach/"
TEAM = "team/"
TYPES = "types"

STRETCH = 24_576  # tasks whose results share one key: 4 KiB of text


class StoredJob(Struct):
    job: Submission
    at: int  # time of day of its acceptance


class Progress(Struct):
    done: bytes
    count: int
    running: int = 0


class Lease(Struct):
    """Tasks by block: (first, end, block)."""

    parts: list[tuple[int, int, int]]

    def of(self, block: int) -> list[tuple[int, int]]:
        return [(low, high) for low, high, owner in self.parts if owner == block]


class Final(Struct):
    stage: str
    done: int


class StoredHire(Struct):
    kind: str
    zone: str
    spot: bool
    number: int
    at: int
    names: list[str] | None = None
    block: int = 0


class StoredMachine(Struct):
    kind: str
    zone: str
    spot: bool
    address: str
    at: int
    block: int = 0


def job_of(sent: Submission) -> Job:
    return Job(
        ref=sent.ref, job_class=sent.job_class, team=sent.team, gang=sent.shape == "group",
        rank=RANKS[sent.rank], tasks=sent.tasks, cpus=sent.cpus, gpus=sent.gpus,
        memory_gb=sent.memory_gb, image=sent.image, image_gb=sent.image_gb,
        types=None if sent.types is None else frozenset(sent.types), zone=sent.zone,
        one_zone=sent.one_zone, apart=sent.apart, spot=sent.spot,
        guess_us=int(sent.guess_s * US), mark_every_us=int(sent.mark_every_s * US),
        mark_s=sent.mark_s, due_us=None if sent.due_s is None else int(sent.due_s * US),
    )  # fmt: skip


def kind_of(sent: MachineType) -> Kind:
    return Kind(
        name=sent.name, cpus=sent.cpus, gpus=sent.gpus, memory_gb=sent.memory_gb,
        price=sent.price, spot_price=sent.spot_price, boot_us=int(sent.boot_s * US),
        cache_gb=sent.cache_gb, pull_gb_per_s=sent.pull_gb_per_s, zones=tuple(sent.zones),
    )  # fmt: skip


def stretches(work: Work) -> dict[int, list[int]]:
    """Results not yet stored, by stretch."""
    out: dict[int, list[int]] = {}
    for index in work.unstored:
        out.setdefault(index // STRETCH, []).append(index)
    return out


def progress_of(work: Work, stretch: int) -> Progress:
    low, high = stretch * STRETCH // 8, (stretch + 1) * STRETCH // 8
    done = bytes(work.own[low:high])
    running = work.running if stretch == 0 else 0
    return Progress(done, sum(byte.bit_count() for byte in done), running)


def load_progress(work: Work, stretch: int, progress: Progress, own: bool) -> None:
    """Take in stored results, our block's own or another's."""
    low = stretch * STRETCH // 8
    for offset, byte in enumerate(progress.done):
        if byte:
            for bit in range(8):
                if byte >> bit & 1:
                    work.note((low + offset) * 8 + bit, own)


def split_open(key: str) -> tuple[str, tuple[int, int] | None]:
    """The job, and the block and stretch (None: the job itself), of a key under `open/`."""
    ref, _, tail = key[len(OPEN) :].partition("/")
    block, _, stretch = tail.partition(".")
    return ref, (int(block), int(stretch)) if block.isdigit() and stretch.isdigit() else None


def progress_key(ref: str, block: int, stretch: int) -> str:
    return f"{OPEN}{ref}/{block}.{stretch}"


def stretch_count(tasks: int) -> int:
    return -(-tasks // STRETCH)
