"""The scale-out requests of a shard, and how their outcomes change its machines and offers."""

import msgspec

from basaltlead.core.entities import Machine
from basaltlead.core.offers import Offer, OfferAvailability
from basaltlead.duties.machine_rental import MAX_REASON_CHARS
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut


def offer_of(stored: StoredScaleOut) -> Offer:
    """The offer that a request is for."""
    return Offer(stored.type_name, stored.zone, stored.spot)


class ScaleOutRequests:
    """Tracks scale-out requests and applies their outcomes, whichever process executes them.

    The recorded requests are in `context.intents.scale_outs`. `pending` holds placeholder machines
    for each request without an outcome, so that fleet sizing does not request them again.
    """

    def __init__(self, context: ShardContext, offer_availability: OfferAvailability) -> None:
        self.context = context
        self.offer_availability = offer_availability
        self.pending: dict[str, list[Machine]] = {}

    @property
    def rejected_offers(self) -> set[Offer]:
        """Offers whose open request was rejected by the cloud.

        The request itself is retried at intervals. A second request for the same offer would be
        rejected as well.
        """
        return {
            offer_of(stored)
            for stored in self.context.intents.scale_outs.values()
            if stored.names is None and stored.refused is not msgspec.UNSET
        }

    def machine_counts(self) -> dict[Offer, int]:
        """The number of machines of each offer that the shard holds."""
        counts: dict[Offer, int] = {}
        for machine in self.context.shard.machines.values():
            offer = Offer(machine.machine_type.name, machine.zone, machine.spot)
            counts[offer] = counts.get(offer, 0) + 1
        return counts

    def add_pending(self, name: str, stored: StoredScaleOut) -> None:
        """Add a placeholder for each machine of a request to `pending`."""
        machine_type = self.context.machine_type(stored.type_name)
        now = now_us()
        self.pending[name] = [
            Machine(f"{name}/{i}", machine_type, stored.zone, stored.spot, now)
            for i in range(stored.number)
        ]

    def remove_pending(self, name: str) -> None:
        """Remove the placeholders of a request that has an outcome, was rejected, or could not be
        recorded."""
        self.pending.pop(name, None)

    def on_rented(self, name: str, stored: StoredScaleOut) -> None:
        """Handle a request whose machines are rented; there may be fewer than requested."""
        names = stored.names or []
        self.context.intents.scale_outs[name] = stored
        self.add_machines(stored, names)
        if name in self.pending and len(names) < stored.number:
            self._note_shortage(stored)

    def on_no_capacity(self, name: str) -> None:
        """Handle a request for which the cloud has no capacity."""
        stored = self.context.intents.scale_outs.pop(name, None)
        if name in self.pending and stored is not None:
            self._note_shortage(stored)

    async def on_rejected(self, name: str, reason: str) -> None:
        """Handle a request that the cloud has rejected; a coroutine function, as `MachineRental`
        requires.

        Its placeholders are removed, so that fleet sizing requests another offer instead.
        """
        self.context.intents.scale_outs[name].refused = reason[:MAX_REASON_CHARS]
        self.remove_pending(name)

    def add_machines(self, stored: StoredScaleOut, names: list[str]) -> None:
        """Add the machines of a request to the shard, except those that it knows to be deleted."""
        now = now_us()
        returning = self.context.intents.returning
        machine_type = self.context.machine_type(stored.type_name)
        for name in names:
            if name in self.context.shard.deleted_machines:
                continue
            machine = Machine(name, machine_type, stored.zone, stored.spot, now)
            machine.created_at = now - age_us(stored.at)
            machine.terminating = name in returning
            self.context.shard.add_machine(machine)

    def note_version(self, name: str, version: int) -> None:
        """Note the version of a request's record, unless a newer one is known."""
        key = SCALE_OUT + name
        versions = self.context.store.versions
        versions[key] = max(versions.get(key, 0), version)

    def _note_shortage(self, stored: StoredScaleOut) -> None:
        """Record that the cloud has no more machines of an offer than the shard holds now."""
        offer = offer_of(stored)
        self.offer_availability.record_shortage(
            offer, self.machine_counts().get(offer, 0), now_us()
        )
