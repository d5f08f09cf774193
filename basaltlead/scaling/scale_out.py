"""Scale-out of a shard: records requests for the machines that it needs.

Each request is recorded before the cloud is called. The holder of the rent duty executes it. While
the duties have no grants of their own, the shard leader executes it.
"""

from basaltlead.clients.cloud import Cloud
from basaltlead.core.offers import Offer, OfferAvailability
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.runtime.clock import wall_us
from basaltlead.runtime.logs import log
from basaltlead.scaling.scale_out_executor import ScaleOutExecutor
from basaltlead.scaling.scale_out_requests import ScaleOutRequests
from basaltlead.scaling.scale_out_watch import ScaleOutWatch
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.wire.store import Drop, Precondition, Put

MAX_MACHINES_PER_REQUEST = 50  # the cloud's limit for one call
RECORD_BYTES = 256  # reserved in a request's record in addition to the names of its machines
NAME_BYTES = 32  # reserved in the record for each machine name


class ScaleOut:
    """Records a shard leader's scale-out requests, and deletes the records of completed ones.

    Its background tasks end when the shard is released.
    """

    def __init__(
        self, context: ShardContext, cloud: Cloud, offer_availability: OfferAvailability
    ) -> None:
        self.context = context
        self.requests = ScaleOutRequests(context, offer_availability)
        self.executor = ScaleOutExecutor(context, cloud, self.requests)
        self.watch = ScaleOutWatch(context, self.requests, self.executor)
        self.sequence = 0

    def start(self) -> None:
        """Resume the requests that earlier shard leaders recorded, and start the watch."""
        for name, stored in list(self.context.intents.scale_outs.items()):
            if stored.names is not None:
                self.requests.add_machines(stored, stored.names)
            elif self.context.membership.duties_granted:
                self.requests.add_pending(name, stored)
            else:
                self.executor.start(name, stored)
        if self.context.membership.duty_keys:
            self.context.spawn(self.watch.run(), "loop scale-out watch")
            self.context.spawn(self.executor.run_unclaimed(), "loop unclaimed scale-outs")

    def request(self, offer: Offer, count: int) -> None:
        """Request `count` machines, or the most that one request may have if that is fewer."""
        self.sequence += 1
        name = f"h-{self.context.lease.fencing_token}-{self.sequence}"
        stored = StoredScaleOut(
            offer.type_name,
            offer.zone,
            offer.spot,
            min(count, self._max_machines_per_request()),
            wall_us(),
            None,
            self.context.number,
        )
        self.context.spawn(self._record(name, stored), f"scale-out request {name}")

    def _max_machines_per_request(self) -> int:
        """The number of machines that one request may have: their names must fit its record."""
        name_bytes = self.context.store.limits.value_bytes - RECORD_BYTES
        return max(1, min(MAX_MACHINES_PER_REQUEST, name_bytes // NAME_BYTES))

    async def _record(self, name: str, stored: StoredScaleOut) -> None:
        """Record a request before it is sent.

        The next shard leader or holder of the duty sends it again under the same name. The name
        makes it idempotent, so nothing is rented twice.
        """
        self.requests.add_pending(name, stored)
        # Names are never reused, so no record may exist under this one.
        preconditions = [Precondition(SCALE_OUT + name, 0)]
        delegated = self.context.membership.duties_granted
        if delegated:
            preconditions.append(self._hand_to_duty_holder(stored))
        try:
            version = await self.context.store.commit(
                [Put(SCALE_OUT + name, stored)], preconditions
            )
        except ServiceError as error:
            log.info("scale-out request %s not recorded: %s", name, error)
            self.requests.remove_pending(name)
            return
        if name in self.context.intents.scale_outs or name not in self.requests.pending:
            return  # the watch has delivered the record, or its outcome, before the commit returned
        self.requests.note_version(name, version)
        self.context.intents.scale_outs[name] = stored
        if not delegated:
            self.executor.start(name, stored)

    def _hand_to_duty_holder(self, stored: StoredScaleOut) -> Precondition:
        """Store the fencing token of the rent duty's holder in a request.

        Returns the precondition that the duty's grant is unchanged.
        """
        held = self.context.membership.cluster.grants.get(Duty.RENT.key)
        stored.duty_token = held.value.fencing_token if held is not None else 0
        return Precondition(Duty.RENT.key, held.version if held is not None else 0)

    async def drop_completed(self) -> None:
        """Delete the records of requests whose machines all have their own record or are gone."""
        machines = self.context.shard.machines
        for name, stored in list(self.context.intents.scale_outs.items()):
            if stored.names is None:
                continue
            if any(n in machines and not machines[n].recorded for n in stored.names):
                continue
            try:
                await self.context.store.commit([Drop(SCALE_OUT + name)], low_priority=True)
            except ServiceError:
                return  # retried after the next machine list
            self.context.intents.scale_outs.pop(name, None)
