"""Reconciles a shard's machines with the cloud's list of rented machines."""

import asyncio
from collections.abc import Callable

from basaltlead.clients.cloud import Cloud
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.duties.unknown_machines import FAILED_STAGE
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.scaling.termination import TerminationReason, mark_terminating
from basaltlead.shard.context import ShardContext
from basaltlead.wire.cloud import RentedMachine

MIN_PAUSE_S = 4.0  # between two reads of the list
RECORDING_GRACE_S = 30  # a shard may take this long to record the names of machines it has rented


class MachineListReconciler:
    """Adds rented machines that no shard knows, and marks failed machines for return.

    It works only while the duties have no grants of their own. Otherwise the holder of the reclaim
    duty does this for all shards.
    """

    def __init__(
        self,
        context: ShardContext,
        cloud: Cloud,
        scale_out: ScaleOut,
        shard_of: Callable[[str], int | None],
    ) -> None:
        """`shard_of` returns the shard that a machine belongs to, or None if it is unknown."""
        self.context = context
        self.cloud = cloud
        self.scale_out = scale_out
        self.shard_of = shard_of

    async def run(self) -> None:
        """Read and reconcile the list periodically; never returns."""
        pause_s = max(MIN_PAUSE_S, self.context.settings.facts.cloud.list_lag_s)
        while True:
            await asyncio.sleep(pause_s)
            if (
                not self.context.lease.holds_valid_lease
                or not self.context.machine_types
                or self.context.membership.duties_granted
            ):
                continue
            try:
                rented = await self.cloud.machines()
            except ServiceError as error:
                log.info("machine list not read from the cloud: %s", error)
                continue
            self._reconcile(rented, now_us())
            await self.scale_out.drop_completed()

    def _reconcile(self, rented: list[RentedMachine], now: int) -> None:
        shard = self.context.shard
        for listed in rented:
            if listed.name in shard.deleted_machines:
                continue
            machine = shard.machines.get(listed.name)
            if machine is None:
                if self._belongs_to_other_shard(listed):
                    continue
                machine = self._add(listed, now)
            if listed.stage == FAILED_STAGE and not machine.terminating:
                mark_terminating(machine, TerminationReason.FAILED)

    def _belongs_to_other_shard(self, listed: RentedMachine) -> bool:
        """Whether an unknown machine belongs, or may belong, to another shard.

        With several shards, the one that requested it may not have recorded its name yet. After
        `RECORDING_GRACE_S` the machine goes to the first shard.
        """
        if self.shard_of(listed.name) not in (None, self.context.number):
            return True
        return self.context.sharded and (
            self.context.number != 0 or listed.age_s < RECORDING_GRACE_S
        )

    def _add(self, listed: RentedMachine, now: int) -> Machine:
        machine_type = self.context.machine_type(listed.type)
        machine = Machine(listed.name, machine_type, listed.zone, listed.spot, now)
        machine.created_at = now - int(listed.age_s * US)
        self.context.shard.add_machine(machine)
        log.info(
            "unknown machine %s added from the cloud's list, stage %s", listed.name, listed.stage
        )
        return machine
