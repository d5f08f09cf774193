"""A controller of the version before services: what it writes, and how it reads newer records.

It runs the current code with the old schemas: its member key contains no version, it stores results
in segment rows only, and it reads stored jobs and results as the old version did. `tests/data`
holds records that were written by the old version itself.
"""

import msgspec

from basaltlead.config.settings import Settings
from basaltlead.controller import Controller
from basaltlead.shard.leader import ShardLeader
from basaltlead.shard.open_jobs_watch import OpenJobsWatch
from basaltlead.storage.result_rows import CHUNK_SHARD_OFFSET, ResultLayout, parse_open_key
from tests.fakes import old_schemas


class OldOpenJobsWatch(OpenJobsWatch):
    """Reads a service as an array, and a chunk row as an empty bitmap."""

    def apply_row(self, key: str, raw: msgspec.Raw, version: int, now: int) -> None:
        _, part = parse_open_key(key)
        if part is None:
            stored = msgspec.json.decode(raw, type=old_schemas.StoredJob)
            raw = msgspec.Raw(msgspec.json.encode(stored))
        elif part[0] >= CHUNK_SHARD_OFFSET:
            assert not msgspec.json.decode(raw, type=old_schemas.Progress).done
            return
        super().apply_row(key, raw, version, now)


class OldShardLeader(ShardLeader):
    """Reads open jobs as the old version did."""

    open_jobs_watch_class = OldOpenJobsWatch


class OldController(Controller):
    """A controller of the old version."""

    shard_leader_class = OldShardLeader

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.membership.session.record_version = 0
        self.membership.duty_keys = []

    def result_layout(self) -> ResultLayout:
        """Use segment rows only, whatever their size."""
        return ResultLayout(1 << 30)
