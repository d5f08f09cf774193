"""The history of duties as a Parquet file, page by page, so that memory stays bounded."""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq
from msgspec import Struct

from basaltlead.duties.history import HistoryPage
from basaltlead.wire.peers import HistoryAnswer

SCHEMA = pa.schema(
    [
        ("duty", pa.string()),
        ("sequence", pa.int64()),  # counts the events of a duty from its first
        ("at", pa.timestamp("us", tz="UTC")),
        ("token", pa.int64()),
        ("holder", pa.string()),
        ("action", pa.string()),
        ("about", pa.string()),
        ("since", pa.timestamp("us", tz="UTC")),  # when that was recorded; null: does not apply
        ("count", pa.int64()),
        ("names", pa.list_(pa.string())),
    ]
)


class Exported(Struct):
    """How much was written, and of which duties the first events are gone."""

    events: int
    cut: dict[str, int]


def export(pages: Iterable[HistoryAnswer], out: str) -> Exported:
    """Write a file that is whole or not there: first under another name, then renamed."""
    done = Exported(0, {})
    partial = Path(f"{out}.partial")
    try:
        with pq.ParquetWriter(partial, SCHEMA, compression="zstd") as writer:
            for duty, ring in _rings(pages):
                ring.sort(key=lambda page: page.number)
                if ring[0].first:
                    done.cut[duty] = ring[0].first
                for page in ring:
                    writer.write_batch(_batch(duty, page))
                    done.events += len(page.events)
        with open(partial, "rb") as written:
            os.fsync(written.fileno())
        partial.rename(out)
    finally:
        partial.unlink(missing_ok=True)
    return done


def _rings(pages: Iterable[HistoryAnswer]) -> Iterator[tuple[str, list[HistoryPage]]]:
    """The pages of one duty after the other; a ring is bounded."""
    duty, ring = "", list[HistoryPage]()
    for answer in pages:
        of = answer.key.split("/")[1]
        if of != duty and ring:
            yield duty, ring
            ring = []
        duty = of
        ring.append(msgspec.json.decode(answer.page, type=HistoryPage))
    if ring:
        yield duty, ring


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
