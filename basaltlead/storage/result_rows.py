"""The rows under an open job that hold which of its tasks are done, in values of bounded size.

There are two layouts. A *stretch* row, ``open/<job>/<shard>.<n>``, holds the results of 24,576
tasks from a fixed place on. Where such a value might be larger than the key-value store takes, a
job has *chunk* rows instead, ``open/<job>/<1000 + shard>.<n>``, which hold fewer tasks and say from
which one on. Controllers that know stretch rows only read of a chunk row how many results it holds,
and that the list of those is empty: they start its tasks once more, and the workers, which keep
results, let them end at once. Stretch rows that were stored larger stay readable and are never
written again; chunk rows hold only what those do not.
"""

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import Shape
from basaltlead.storage.records import OPEN

STRETCH = 24_576  # tasks whose results share a stretch row: 4 KiB of text
CHUNK_SHARDS = 1000  # shard numbers from this one on stand for chunk rows
CHUNK_OVERHEAD = 128  # bytes of a chunk row beside its results
LEAST_CHUNK = 64  # tasks in a chunk row, however small the limit


class Progress(Struct):
    """A stretch row; of a chunk row, what is shown to users."""

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
    """A row to be written, and the tasks whose results it brings."""

    key: str
    value: Progress | ProgressChunk
    tasks: list[int]


def chunk_size(value_bytes: int) -> int:
    """Tasks whose results fit into one value: base64 makes four characters of three bytes."""
    return max(LEAST_CHUNK, (value_bytes - CHUNK_OVERHEAD) // 4 * 3 * 8)


def progress_key(ref: str, shard: int, number: int) -> str:
    """The key of a row of results."""
    return f"{OPEN}{ref}/{shard}.{number}"


def count_of(tasks: int, size: int) -> int:
    """Rows of `size` tasks each that a job of so many tasks may have."""
    return -(-tasks // size)


class ResultLayout:
    """In which rows results are kept, given the size of a value."""

    def __init__(self, value_bytes: int) -> None:
        self.chunk = chunk_size(value_bytes)

    def chunked(self, tasks: int) -> bool:
        """Are the results of a job of so many tasks kept in chunk rows?"""
        return min(tasks, STRETCH) > self.chunk

    def keys(self, ref: str, tasks: int, shards: Iterable[int]) -> list[str]:
        """Every row that may hold results of a job."""
        out: list[str] = []
        for shard in shards:
            out += [progress_key(ref, shard, n) for n in range(count_of(tasks, STRETCH))]
            if self.chunked(tasks):
                chunks = range(count_of(tasks, self.chunk))
                out += [progress_key(ref, CHUNK_SHARDS + shard, n) for n in chunks]
        return out

    def most_rows(self, tasks: int, shards: int) -> int:
        """How many rows a job of so many tasks may have."""
        return shards * (count_of(tasks, STRETCH) + count_of(tasks, self.chunk))

    def unstored(self, job_state: JobState, shard: int) -> list[ResultRow]:
        """The rows to be written so that no result of ours is unstored. The first row shows how
        many tasks run; it is there also if there is no result."""
        chunked = self.chunked(job_state.job.tasks)
        size = self.chunk if chunked else STRETCH
        parts: dict[int, list[int]] = {}
        for index in job_state.unstored:
            parts.setdefault(index // size, []).append(index)
        rows: list[ResultRow] = []
        for number, tasks in (parts or {0: []}).items():
            if chunked:
                key = progress_key(job_state.job.ref, CHUNK_SHARDS + shard, number)
                rows.append(ResultRow(key, self._chunk_row(job_state, number), tasks))
            else:
                key = progress_key(job_state.job.ref, shard, number)
                rows.append(ResultRow(key, stretch_row(job_state, number), tasks))
        return rows

    def _chunk_row(self, job_state: JobState, number: int) -> ProgressChunk:
        first = number * self.chunk
        bits = bytes(job_state.own[first // 8 : (first + self.chunk) // 8])
        return ProgressChunk(b"", count_bits(bits), shown_running(job_state, number), first, bits)


def stretch_row(job_state: JobState, number: int) -> Progress:
    """The row of one stretch: what this shard recorded of it."""
    done = bytes(job_state.own[number * STRETCH // 8 : (number + 1) * STRETCH // 8])
    return Progress(done, count_bits(done), shown_running(job_state, number))


def shown_running(job_state: JobState, number: int) -> int:
    """The first row of a job says how many of its tasks run."""
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
    """Take in a row that was recorded by `row_shard`. Results of a service mean nothing, whoever
    wrote them. Stretch rows of a job that has chunk rows now are not ours to write again."""
    if job_state.job.shape is Shape.SERVICE:
        return
    if row_shard >= CHUNK_SHARDS:
        chunk = msgspec.json.decode(raw, type=ProgressChunk)
        note_bits(job_state, chunk.first, chunk.bits, own=row_shard - CHUNK_SHARDS == shard)
        return
    row = msgspec.json.decode(raw, type=Progress)
    own = row_shard == shard and not layout.chunked(job_state.job.tasks)
    note_bits(job_state, number * STRETCH, row.done, own)


def note_bits(job_state: JobState, first: int, bits: bytes, own: bool) -> None:
    """Note the tasks from `first` on whose bits are set as done."""
    for offset, byte in enumerate(bits):
        if byte:
            for bit in range(8):
                if byte >> bit & 1:
                    job_state.note(first + offset * 8 + bit, own)


def split_open(key: str) -> tuple[str, tuple[int, int] | None]:
    """The job, and the shard and number (None: the job itself), of a key under `open/`."""
    ref, _, tail = key[len(OPEN) :].partition("/")
    shard, _, number = tail.partition(".")
    return ref, (int(shard), int(number)) if shard.isdigit() and number.isdigit() else None
