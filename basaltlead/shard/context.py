"""The state that the components of a shard leader share."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from msgspec import Struct, field

from basaltlead.clients.workers import WorkerClient
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.jobs import US, MachineType
from basaltlead.core.shard import Shard
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.shard.lease import ShardLease
from basaltlead.shard.store import ShardStore
from basaltlead.storage.records import StoredScaleIn, StoredScaleOut
from basaltlead.storage.result_rows import ResultLayout

UNKNOWN_BOOT_US = 60 * US


class ScalingIntents(Struct):
    """Recorded decisions about machines: `scale_outs` by request name, `scale_ins` by key."""

    scale_outs: dict[str, StoredScaleOut] = field(default_factory=dict)
    scale_ins: dict[str, StoredScaleIn] = field(default_factory=dict)

    @property
    def returning(self) -> set[str]:
        """Names of the machines that are recorded as to be returned."""
        return {name for scale_in in self.scale_ins.values() for name in scale_in.names}


class ShardContext(Struct, frozen=True):
    """The lease to check, the store to write to, and the jobs and machines of one shard."""

    settings: Settings
    membership: Membership
    lease: ShardLease
    store: ShardStore
    shard: Shard
    layout: ResultLayout
    machine_types: dict[str, MachineType]
    tasks: BackgroundTasks
    workers: WorkerClient
    intents: ScalingIntents = field(default_factory=ScalingIntents)
    # Set when tasks may be ready to start.
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def number(self) -> int:
        """The number of the shard."""
        return self.lease.number

    @property
    def sharded(self) -> bool:
        """Whether the work is divided among several shards."""
        return self.settings.operator.shards > 1

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        """Run a coroutine in the background until it ends or the shard is released."""
        return self.tasks.spawn(coroutine, name)

    def machine_type(self, name: str) -> MachineType:
        """The machine type of that name. One that the cloud has not listed has no capacity."""
        known = self.machine_types.get(name)
        if known is not None:
            return known
        return MachineType(name, 0.0, 0.0, 0.0, 0.0, None, UNKNOWN_BOOT_US, 1.0, 1.0, ())
