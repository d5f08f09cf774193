"""Executes a shard's scale-out requests under the shard's own lease.

The shard leader does so only while the duties have no grants of their own, which is the case while
a controller of an older version is a member. Otherwise the holder of the rent duty executes them.
"""

import asyncio
from functools import partial

import msgspec

from basaltlead.clients.cloud import Cloud
from basaltlead.duties.machine_rental import MachineRental
from basaltlead.errors import ServiceError
from basaltlead.runtime.logs import log
from basaltlead.scaling.scale_out_requests import ScaleOutRequests
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut

UNCLAIMED_PAUSE_S = 1.0  # between two checks for requests that no duty holder executes


class ScaleOutExecutor:
    """Sends recorded scale-out requests to the cloud; `running` maps their names to tasks."""

    def __init__(self, context: ShardContext, cloud: Cloud, requests: ScaleOutRequests) -> None:
        self.context = context
        self.requests = requests
        self.machine_rental = MachineRental(
            context.store.client, cloud, context.lease, context.membership.rng
        )
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, stored: StoredScaleOut) -> None:
        """Start a task that executes a recorded request."""
        self.running[name] = self.context.spawn(
            self.execute(name, stored), f"scale-out request {name}"
        )

    async def execute(self, name: str, stored: StoredScaleOut) -> None:
        """Send a request until the cloud answers, and record the outcome."""
        if name not in self.requests.pending:
            self.requests.add_pending(name, stored)
        try:
            names = await self.machine_rental.rent(
                name, stored, partial(self.requests.on_rejected, name)
            )
            version = self.context.store.versions.pop(SCALE_OUT + name, 0)
            if names is None:
                self.requests.on_no_capacity(name)
                await self.machine_rental.record_outcome(name, None, version)
            else:
                stored.names, stored.refused = names, msgspec.UNSET
                self.requests.on_rented(name, stored)
                await self.machine_rental.record_outcome(name, stored, version)
        except ServiceError as error:
            log.info("scale-out request %s: outcome not recorded: %s", name, error)
        finally:
            self.requests.remove_pending(name)
            self.running.pop(name, None)

    async def run_unclaimed(self) -> None:
        """Start the open requests that no duty holder executes; never returns.

        When a controller of an older version becomes a member, the holder of the rent duty stops,
        and the shard leader takes over its open requests.
        """
        while True:
            await asyncio.sleep(UNCLAIMED_PAUSE_S)
            if self.context.membership.duties_granted or not self.context.lease.holds_valid_lease:
                continue
            for name, stored in list(self.context.intents.scale_outs.items()):
                if stored.names is None and name not in self.running:
                    self.start(name, stored)
