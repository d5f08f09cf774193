"""Exports the history of duties to a Parquet file.

Memory is bounded: the file is written duty by duty, and the history of each duty is a ring buffer.
"""

import os
from collections.abc import Iterable, Iterator
from itertools import groupby
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq
from msgspec import Struct

from basaltlead.duties.history import HistoryPage
from basaltlead.wire.peers import HistoryResponse

SCHEMA = pa.schema(
    [
        ("duty", pa.string()),
        ("sequence", pa.int64()),  # position among all events of the duty, from 0
        ("at", pa.timestamp("us", tz="UTC")),
        ("token", pa.int64()),
        ("holder", pa.string()),
        ("action", pa.string()),
        ("about", pa.string()),
        ("since", pa.timestamp("us", tz="UTC")),  # of the intent; null if there is none
        ("count", pa.int64()),
        ("names", pa.list_(pa.string())),
    ]
)


class ExportSummary(Struct):
    """The number of events written, and by duty the number of the earliest events that were
    overwritten in the ring buffer."""

    events: int
    overwritten: dict[str, int]


def export(pages: Iterable[HistoryResponse], out: str) -> ExportSummary:
    """Write pages, which must be grouped by duty, to a file.

    The file is written under a temporary name and then renamed, so it is complete or does not
    exist. Raises OSError, and any exception that `pages` raises.
    """
    summary = ExportSummary(0, {})
    partial = Path(f"{out}.partial")
    try:
        with pq.ParquetWriter(partial, SCHEMA, compression="zstd") as writer:
            for duty, ring in _rings(pages):
                ring.sort(key=lambda page: page.number)
                if ring[0].first:
                    summary.overwritten[duty] = ring[0].first
                for page in ring:
                    writer.write_batch(_batch(duty, page))
                    summary.events += len(page.events)
        with open(partial, "rb") as written:
            os.fsync(written.fileno())
        partial.rename(out)
    finally:
        partial.unlink(missing_ok=True)
    return summary


def _rings(pages: Iterable[HistoryResponse]) -> Iterator[tuple[str, list[HistoryPage]]]:
    """Yield each duty with all of its pages, in the order of their keys in the ring buffer."""
    for duty, responses in groupby(pages, key=lambda response: response.key.split("/")[1]):
        yield duty, [msgspec.json.decode(response.page, type=HistoryPage) for response in responses]


def _batch(duty: str, page: HistoryPage) -> pa.RecordBatch:
    rows = [
        {
            "duty": duty,
            "sequence": page.first + place,
            "at": event.at,
            "token": event.token,
            "holder": event.holder,
            "action": event.action,
            "about": event.about,
            "since": event.since or None,
            "count": event.count,
            "names": event.names,
        }
        for place, event in enumerate(page.events)
    ]
    return pa.RecordBatch.from_pylist(rows, schema=SCHEMA)
