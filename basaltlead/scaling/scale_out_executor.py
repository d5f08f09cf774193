"""Carrying out a shard's scale-out requests under the shard's own lease.

That is the shard leader's task only while duties are not granted on their own (an older controller
is among the members); otherwise the holder of the duty of renting does it.
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

UNCLAIMED_PAUSE_S = 1.0  # between two checks for requests that fall to the shard leader


class ScaleOutExecutor:
    """Sends recorded scale-out requests to the cloud; `running` holds a task for each of them."""

    def __init__(self, context: ShardContext, cloud: Cloud, requests: ScaleOutRequests) -> None:
        self.context = context
        self.requests = requests
        self.machine_rental = MachineRental(
            context.store.client, cloud, context.lease, context.membership.rng
        )
        self.running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, stored: StoredScaleOut) -> None:
        """Begin to carry out a recorded request."""
        self.running[name] = self.context.spawn(
            self.carry_out(name, stored), f"scale-out request {name}"
        )

    async def carry_out(self, name: str, stored: StoredScaleOut) -> None:
        """Send a request until the cloud answers it, and record the outcome."""
        if name not in self.requests.pending:
            self.requests.expect(name, stored)
        try:
            names = await self.machine_rental.rent(
                name, stored, partial(self.requests.rejected, name)
            )
            version = self.context.store.versions.pop(SCALE_OUT + name, 0)
            if names is None:
                self.requests.no_capacity(name)
                await self.machine_rental.record_outcome(name, None, version)
            else:
                stored.names, stored.refused = names, msgspec.UNSET
                self.requests.rented(name, stored)
                await self.machine_rental.record_outcome(name, stored, version)
        except ServiceError as fault:
            log.info("scale-out request %s: outcome not recorded: %s", name, fault)
        finally:
            self.requests.expect_no_more(name)
            self.running.pop(name, None)

    async def run_unclaimed(self) -> None:
        """Start the open requests that nobody carries out any more; never returns.

        When an older controller joins the members, the holder of the duty of renting stops, and
        what it has left open falls to the shard leader.
        """
        while True:
            await asyncio.sleep(UNCLAIMED_PAUSE_S)
            if self.context.membership.duties_granted or not self.context.lease.holds_valid_lease:
                continue
            for name, stored in list(self.context.intents.scale_outs.items()):
                if stored.names is None and name not in self.running:
                    self.start(name, stored)
