"""A controller of the version before services: what it writes, and how it reads newer records.

It runs the current code with the old schemas: its member key contains no version, it stores results
in segment rows only, it reads stored jobs and results as the old version did, and its grants
reserve no fencing tokens. `tests/data` holds records that were written by the old version itself.
"""

from collections.abc import Callable

import msgspec

from basaltlead.config.settings import Settings
from basaltlead.controller import Controller
from basaltlead.core.entities import Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.market import Market
from basaltlead.shard.context import ShardContext
from basaltlead.shard.leader import ShardLeader
from basaltlead.shard.open_jobs_watch import OpenJobsWatch
from basaltlead.shard.token_reservation import TokenReservation
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


class OldFencingTokens(FencingTokens):
    """The only token of a grant: each command has it."""

    def allow_push(self, machine: Machine) -> bool:
        return True

    def allow_forget(self, machine: Machine) -> bool:
        return True


class OldTokenReservation(TokenReservation):
    """Reserves nothing."""

    async def run(self) -> None:
        pass


class OldShardLeader(ShardLeader):
    """Reads open jobs as the old version did, and uses the only token of its grant."""

    open_jobs_watch_class = OldOpenJobsWatch

    def __init__(
        self, context: ShardContext, market: Market, is_cancelled: Callable[[str], bool]
    ) -> None:
        super().__init__(context, market, is_cancelled)
        self.shard.tokens.__class__ = OldFencingTokens
        self.token_reservation = OldTokenReservation(context)


class OldController(Controller):
    """A controller of the old version."""

    shard_leader_class = OldShardLeader

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.membership.session.record_version = 0
        self.membership.duty_keys = []
        self.election.tokens_per_shard_grant = 1

    def result_layout(self) -> ResultLayout:
        """Use segment rows only, whatever their size."""
        return ResultLayout(1 << 30)
