"""Reserves more fencing tokens for a shard leader before its range is used up."""

import asyncio

from basaltlead.core.cluster_view import (
    FENCING_TOKEN,
    RESERVED_TOKENS,
    FencingTokenCounter,
)
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.shard.results import attempt_write
from basaltlead.wire.store import Precondition, Put

CHECK_INTERVAL_S = 1.0
MIN_UNUSED_TOKENS = RESERVED_TOKENS // 2


class TokenReservation:
    """Keeps enough fencing tokens in reserve under one grant, however long that lasts.

    A grant of a version that reserved none begins without any.
    """

    def __init__(self, context: ShardContext) -> None:
        self.context = context
        self.tokens = context.shard.tokens

    async def run(self) -> None:
        """Reserve tokens whenever few are left; never returns."""
        while True:
            if self.tokens.unused < MIN_UNUSED_TOKENS and self.context.lease.holds_valid_lease:
                await attempt_write(self._reserve())
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _reserve(self) -> None:
        """Reserve the next range of the counter.

        The write depends on our grant: the next one is above all tokens that were reserved under
        this one. A range whose reservation is not answered is not used.
        """
        cluster = self.context.membership.cluster
        if cluster.fencing_token is None:
            return
        reserved = cluster.fencing_token.value.next_tokens(RESERVED_TOKENS)
        counter = FencingTokenCounter(reserved[-1])
        version = await self.context.store.commit(
            [Put(FENCING_TOKEN, counter)],
            [Precondition(FENCING_TOKEN, cluster.fencing_token.version)],
            low_priority=True,
        )
        cluster.note_fencing_token(counter, version)
        self.tokens.add(reserved)
        log.info(
            "shard %d: fencing tokens %d to %d reserved",
            self.context.number,
            reserved[0],
            reserved[-1],
        )
