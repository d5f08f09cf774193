"""Rows under an open job that record which of its tasks are done, in values of bounded size.

There are two layouts. A *segment* row, ``open/<job>/<shard>.<n>``, holds the results of 24,576
tasks, starting at task ``n * 24,576``. If such a value could exceed the store's limit, the job has
*chunk* rows instead, ``open/<job>/<1000 + shard>.<n>``, which hold fewer tasks and state the first
of them. A controller of a version without chunk rows reads the number of results and an empty
bitmap from a chunk row. It starts the tasks of that row again, and the workers, which keep results,
report them as done at once. Segment rows that were stored under a higher limit remain readable and
are never rewritten; chunk rows hold only results that are not in segment rows.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Shape
from basaltlead.storage.records import OPEN

SEGMENT_TASKS = 24_576  # tasks per segment row: their bitmap is 4 KiB in base64
CHUNK_SHARD_OFFSET = 1000  # added to the shard number in the keys of chunk rows
CHUNK_OVERHEAD_BYTES = 128  # size of a chunk row without its bitmap
MIN_CHUNK_TASKS = 64  # applies however small the store's limit is


class Progress(Struct):
    """A segment row; `done` is a bitmap. Chunk rows are decoded as this type too, where only the
    counts that users see are needed."""

    done: bytes
    count: int
    running: int = 0


class ProgressChunk(Struct):
    """A chunk row; `bits` is the bitmap of the tasks from `first` on. `done` is always empty, and
    kept for controllers without chunk rows."""

    done: bytes
    count: int
    running: int
    first: int
    bits: bytes


class ResultRow(Struct):
    """A row to be written, and the tasks whose results it newly stores."""

    key: str
    value: Progress | ProgressChunk
    tasks: list[int]


def chunk_size(value_bytes: int) -> int:
    """Return how many tasks fit into a chunk row of at most `value_bytes`, at one bit per task;
    base64 encodes three bytes as four characters."""
    return max(MIN_CHUNK_TASKS, (value_bytes - CHUNK_OVERHEAD_BYTES) // 4 * 3 * 8)


def progress_key(ref: str, shard: int, number: int) -> str:
    """Return the key of a result row; for a chunk row `shard` includes `CHUNK_SHARD_OFFSET`."""
    return f"{OPEN}{ref}/{shard}.{number}"


def row_count(tasks: int, size: int) -> int:
    """Return how many rows of `size` tasks each cover a job of `tasks` tasks."""
    return -(-tasks // size)


class ResultLayout:
    """The rows in which results are stored, given the largest allowed value in bytes."""

    def __init__(self, value_bytes: int) -> None:
        self.chunk_tasks = chunk_size(value_bytes)

    def uses_chunks(self, tasks: int) -> bool:
        """Return whether the results of a job of `tasks` tasks are stored in chunk rows."""
        return min(tasks, SEGMENT_TASKS) > self.chunk_tasks

    def keys(self, ref: str, tasks: int, shards: Iterable[int]) -> list[str]:
        """Return the keys of all rows that may hold results of a job."""
        out: list[str] = []
        for shard in shards:
            out += [progress_key(ref, shard, n) for n in range(row_count(tasks, SEGMENT_TASKS))]
            if self.uses_chunks(tasks):
                chunks = range(row_count(tasks, self.chunk_tasks))
                out += [progress_key(ref, CHUNK_SHARD_OFFSET + shard, n) for n in chunks]
        return out

    def max_rows(self, tasks: int, shards: int) -> int:
        """Return the maximum number of rows of a job of `tasks` tasks, of both layouts."""
        return shards * (row_count(tasks, SEGMENT_TASKS) + row_count(tasks, self.chunk_tasks))

    def unstored(self, job_state: JobState, shard: int) -> list[ResultRow]:
        """Return the rows to write so that all results of this shard are stored.

        The first row also shows how many tasks are running, so it is returned even if there is no
        new result.
        """
        uses_chunks = self.uses_chunks(job_state.job.tasks)
        size = self.chunk_tasks if uses_chunks else SEGMENT_TASKS
        parts: dict[int, list[int]] = {}
        for index in job_state.unstored:
            parts.setdefault(index // size, []).append(index)
        rows: list[ResultRow] = []
        for number, tasks in (parts or {0: []}).items():
            if uses_chunks:
                key = progress_key(job_state.job.ref, CHUNK_SHARD_OFFSET + shard, number)
                rows.append(ResultRow(key, self._chunk_row(job_state, number), tasks))
            else:
                key = progress_key(job_state.job.ref, shard, number)
                rows.append(ResultRow(key, segment_row(job_state, number), tasks))
        return rows

    def _chunk_row(self, job_state: JobState, number: int) -> ProgressChunk:
        first = number * self.chunk_tasks
        bits = bytes(job_state.own_done[first // 8 : (first + self.chunk_tasks) // 8])
        return ProgressChunk(b"", count_bits(bits), shown_running(job_state, number), first, bits)


def segment_row(job_state: JobState, number: int) -> Progress:
    """Return the segment row with this number, with the results that this shard recorded."""
    done = bytes(
        job_state.own_done[number * SEGMENT_TASKS // 8 : (number + 1) * SEGMENT_TASKS // 8]
    )
    return Progress(done, count_bits(done), shown_running(job_state, number))


def shown_running(job_state: JobState, number: int) -> int:
    """Return the number of running tasks to store in a row: 0 for all but the first row."""
    return job_state.running if number == 0 else 0


def count_bits(bits: bytes) -> int:
    """Return how many tasks a bitmap marks as done."""
    return sum(byte.bit_count() for byte in bits)


def load_results(
    job_state: JobState,
    shard: int,
    row_shard: int,
    number: int,
    raw: msgspec.Raw,
    layout: ResultLayout,
) -> None:
    """Apply a stored result row to the state of a job; `row_shard` is the shard number in its key,
    which includes `CHUNK_SHARD_OFFSET` for a chunk row.

    Results of services are ignored, whichever controller wrote them. A shard's own results are
    those that it writes again. So the results in segment rows of a job that now has chunk rows are
    not its own, since these rows are never rewritten.
    """
    if job_state.job.shape is Shape.SERVICE:
        return
    if row_shard >= CHUNK_SHARD_OFFSET:
        chunk = msgspec.json.decode(raw, type=ProgressChunk)
        record_bitmap(
            job_state, chunk.first, chunk.bits, own=row_shard - CHUNK_SHARD_OFFSET == shard
        )
        return
    row = msgspec.json.decode(raw, type=Progress)
    own = row_shard == shard and not layout.uses_chunks(job_state.job.tasks)
    record_bitmap(job_state, number * SEGMENT_TASKS, row.done, own)


def record_bitmap(job_state: JobState, first: int, bits: bytes, own: bool) -> None:
    """Record as done the tasks whose bits are set, counted from task `first`."""
    for offset, byte in enumerate(bits):
        if byte:
            for bit in range(8):
                if byte >> bit & 1:
                    job_state.record_result(first + offset * 8 + bit, own)


class ResultRowId(NamedTuple):
    """Identifies a result row of a job: the shard number in its key, which includes
    `CHUNK_SHARD_OFFSET` for a chunk row, and the row number."""

    shard: int
    number: int


class OpenKey(NamedTuple):
    """A key under `open/`: the job, and the result row or None for the job's own key."""

    ref: str
    result_row: ResultRowId | None

    @property
    def is_job(self) -> bool:
        """Whether it is the job's own key, which exists while the job is open."""
        return self.result_row is None


def parse_open_key(key: str) -> OpenKey:
    """Parse a key under `open/`."""
    ref, _, tail = key[len(OPEN) :].partition("/")
    shard, _, number = tail.partition(".")
    if shard.isdigit() and number.isdigit():
        return OpenKey(ref, ResultRowId(int(shard), int(number)))
    return OpenKey(ref, None)
