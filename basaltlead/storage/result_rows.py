"""The rows under an open job that hold which of its tasks are done, in values of bounded size.

There are two layouts. A *stretch* row, ``open/<job>/<shard>.<n>``, holds the results of 24,576
tasks, from task ``n * 24,576`` on. Where such a value might be larger than the key-value store
accepts, a job has *chunk* rows instead, ``open/<job>/<1000 + shard>.<n>``, which hold fewer tasks
and name the first one. A controller that knows stretch rows only reads of a chunk row how many
results it holds, and an empty list of them: it starts these tasks once more, and the workers, which
keep results, report them as done at once. Stretch rows that were stored under a higher limit stay
readable and are never written again; chunk rows hold only what those do not.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Shape
from basaltlead.storage.records import OPEN

SEGMENT_TASKS = 24_576  # tasks whose results share a stretch row: 4 KiB of text
CHUNK_SHARD_OFFSET = 1000  # shard numbers from this one on stand for chunk rows
CHUNK_OVERHEAD_BYTES = 128  # bytes of a chunk row in addition to its results
MIN_CHUNK_TASKS = 64  # tasks in a chunk row, however small the limit


class Progress(Struct):
    """A stretch row: `done` is a bitmap. Of a chunk row, the fields that are shown to users."""

    done: bytes
    count: int
    running: int = 0


class ProgressChunk(Struct):
    """A chunk row: `bits` holds the results from task `first` on; `done` is always empty."""

    done: bytes
    count: int
    running: int
    first: int
    bits: bytes


class ResultRow(Struct):
    """A row to be written, and the tasks whose results it adds."""

    key: str
    value: Progress | ProgressChunk
    tasks: list[int]


def chunk_size(value_bytes: int) -> int:
    """How many tasks' results fit into a value of so many bytes, a bit each: base64 makes four
    characters of three bytes."""
    return max(MIN_CHUNK_TASKS, (value_bytes - CHUNK_OVERHEAD_BYTES) // 4 * 3 * 8)


def progress_key(ref: str, shard: int, number: int) -> str:
    """The key of a row of results; `shard` is raised by `CHUNK_SHARD_OFFSET` for a chunk row."""
    return f"{OPEN}{ref}/{shard}.{number}"


def row_count(tasks: int, size: int) -> int:
    """How many rows of `size` tasks each a job of so many tasks may have."""
    return -(-tasks // size)


class ResultLayout:
    """In which rows results are kept, given the largest value in bytes."""

    def __init__(self, value_bytes: int) -> None:
        self.chunk_tasks = chunk_size(value_bytes)

    def uses_chunks(self, tasks: int) -> bool:
        """Whether the results of a job of so many tasks are kept in chunk rows."""
        return min(tasks, SEGMENT_TASKS) > self.chunk_tasks

    def keys(self, ref: str, tasks: int, shards: Iterable[int]) -> list[str]:
        """The key of every row that may hold results of a job."""
        out: list[str] = []
        for shard in shards:
            out += [progress_key(ref, shard, n) for n in range(row_count(tasks, SEGMENT_TASKS))]
            if self.uses_chunks(tasks):
                chunks = range(row_count(tasks, self.chunk_tasks))
                out += [progress_key(ref, CHUNK_SHARD_OFFSET + shard, n) for n in chunks]
        return out

    def max_rows(self, tasks: int, shards: int) -> int:
        """How many rows a job of so many tasks may have at most."""
        return shards * (row_count(tasks, SEGMENT_TASKS) + row_count(tasks, self.chunk_tasks))

    def unstored(self, job_state: JobState, shard: int) -> list[ResultRow]:
        """The rows to be written so that all results of this shard are stored. The first row shows
        how many tasks run, so it is written also if there is no result."""
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
        bits = bytes(job_state.own[first // 8 : (first + self.chunk_tasks) // 8])
        return ProgressChunk(b"", count_bits(bits), shown_running(job_state, number), first, bits)


def segment_row(job_state: JobState, number: int) -> Progress:
    """The stretch row with this number: what this shard has recorded of these tasks."""
    done = bytes(job_state.own[number * SEGMENT_TASKS // 8 : (number + 1) * SEGMENT_TASKS // 8])
    return Progress(done, count_bits(done), shown_running(job_state, number))


def shown_running(job_state: JobState, number: int) -> int:
    """How many tasks run; only the first row of a job shows that."""
    return job_state.running if number == 0 else 0


def count_bits(bits: bytes) -> int:
    """How many tasks a bitmap marks as done."""
    return sum(byte.bit_count() for byte in bits)


def load_results(
    job_state: JobState,
    shard: int,
    row_shard: int,
    number: int,
    raw: msgspec.Raw,
    layout: ResultLayout,
) -> None:
    """Take in a row that was recorded by `row_shard`.

    Results of a service mean nothing, whoever wrote them. Stretch rows of a job that has chunk rows
    now are never written again, so their results don't count as our own.
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
    """Note as done the tasks from `first` on whose bits are set."""
    for offset, byte in enumerate(bits):
        if byte:
            for bit in range(8):
                if byte >> bit & 1:
                    job_state.note(first + offset * 8 + bit, own)


class ResultRowId(NamedTuple):
    """Which row of results of a job: the shard that its key names, and its number."""

    shard: int
    number: int


class OpenKey(NamedTuple):
    """A key under `open/`: the job, and the row of results, None if it is the job's own key."""

    ref: str
    result_row: ResultRowId | None


def parse_open_key(key: str) -> OpenKey:
    """What a key under `open/` stands for."""
    ref, _, tail = key[len(OPEN) :].partition("/")
    shard, _, number = tail.partition(".")
    if shard.isdigit() and number.isdigit():
        return OpenKey(ref, ResultRowId(int(shard), int(number)))
    return OpenKey(ref, None)
