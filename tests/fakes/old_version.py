"""A controller as it was before services: what it writes, and what it makes of newer records.

It runs the present code with the old schemas: its member key names no version, it stores results
in stretch rows only, and it reads stored jobs and results as the old version did. `tests/data`
holds records that the old version itself has written.
"""

import msgspec

from basaltlead.config.settings import Settings
from basaltlead.controller import Controller
from basaltlead.core.cluster_view import Grant
from basaltlead.shard.leader import ShardLeader
from basaltlead.storage.result_rows import CHUNK_SHARDS, ResultLayout, split_open
from tests.fakes import old_schemas


class OldShardLeader(ShardLeader):
    """Takes a service for an array, and of a chunk row sees an empty list."""

    def _take_open(self, key: str, raw: msgspec.Raw, version: int, now: int) -> None:
        _, part = split_open(key)
        if part is None:
            stored = msgspec.json.decode(raw, type=old_schemas.StoredJob)
            raw = msgspec.Raw(msgspec.json.encode(stored))
        elif part[0] >= CHUNK_SHARDS:
            assert not msgspec.json.decode(raw, type=old_schemas.Progress).done
            return
        super()._take_open(key, raw, version, now)


class OldController(Controller):
    """A controller of the old version."""

    shard_leader_class = OldShardLeader

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.membership.session.record_version = 0
        self.membership.duty_keys = []

    def _acquire_shard(self, number: int, grant: Grant, version: int) -> None:
        super()._acquire_shard(number, grant, version)
        self.shard_leaders[number].layout = ResultLayout(1 << 30)
