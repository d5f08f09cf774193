"""The scale-out requests of a shard, and what their outcomes mean for its machines and offers."""

import msgspec

from basaltlead.core.entities import Machine
from basaltlead.core.offers import Offer, OfferBook
from basaltlead.duties.machine_rental import MAX_REASON_CHARS
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut


def offer_of(stored: StoredScaleOut) -> Offer:
    """What a request asks the cloud for."""
    return Offer(stored.type_name, stored.zone, stored.spot)


class ScaleOutRequests:
    """Takes in what becomes of scale-out requests, whoever carries them out.

    The recorded requests themselves are `context.intents.scale_outs`. `pending` holds, for each
    request without an outcome, stand-ins for the machines that it should bring, so that sizing
    the fleet does not request them again.
    """

    def __init__(self, context: ShardContext, offer_book: OfferBook) -> None:
        self.context = context
        self.offer_book = offer_book
        self.pending: dict[str, list[Machine]] = {}

    @property
    def rejected_offers(self) -> set[Offer]:
        """Offers with an open request that the cloud has rejected for good.

        The request is sent again from time to time; another one for the same offer would only be
        rejected too.
        """
        return {
            offer_of(stored)
            for stored in self.context.intents.scale_outs.values()
            if stored.names is None and stored.refused is not msgspec.UNSET
        }

    def held_counts(self) -> dict[Offer, int]:
        """How many machines the shard holds of each offer."""
        counts: dict[Offer, int] = {}
        for machine in self.context.shard.machines.values():
            offer = Offer(machine.machine_type.name, machine.zone, machine.spot)
            counts[offer] = counts.get(offer, 0) + 1
        return counts

    def add_pending(self, name: str, stored: StoredScaleOut) -> None:
        """Count on the machines that a request should bring."""
        machine_type = self.context.machine_type(stored.type_name)
        now = now_us()
        self.pending[name] = [
            Machine(f"{name}/{i}", machine_type, stored.zone, stored.spot, now)
            for i in range(stored.number)
        ]

    def remove_pending(self, name: str) -> None:
        """Stop counting on the machines of a request: it has an outcome, or was not recorded."""
        self.pending.pop(name, None)

    def on_rented(self, name: str, stored: StoredScaleOut) -> None:
        """Take in a request whose machines are rented; there may be fewer than requested."""
        names = stored.names or []
        self.context.intents.scale_outs[name] = stored
        self.add_machines(stored, names)
        if name in self.pending and len(names) < stored.number:
            self._note_shortage(stored)

    def on_no_capacity(self, name: str) -> None:
        """Take in that the cloud has no machine for a request."""
        stored = self.context.intents.scale_outs.pop(name, None)
        if name in self.pending and stored is not None:
            self._note_shortage(stored)

    async def on_rejected(self, name: str, reason: str) -> None:
        """Take in that the cloud has rejected a request for good.

        Its machines no longer count as expected, so that another offer is requested instead.
        """
        self.context.intents.scale_outs[name].refused = reason[:MAX_REASON_CHARS]
        self.remove_pending(name)

    def add_machines(self, stored: StoredScaleOut, names: list[str]) -> None:
        """Add the machines of a request to the shard, except those that are already deleted."""
        now = now_us()
        returning = self.context.intents.returning
        machine_type = self.context.machine_type(stored.type_name)
        for name in names:
            if name in self.context.shard.gone:
                continue
            machine = Machine(name, machine_type, stored.zone, stored.spot, now)
            machine.made_at = now - age_us(stored.at)
            machine.terminating = name in returning
            self.context.shard.add_machine(machine)

    def note_version(self, name: str, version: int) -> None:
        """Note the version of a request's record, unless a newer one is known."""
        key = SCALE_OUT + name
        versions = self.context.store.versions
        versions[key] = max(versions.get(key, 0), version)

    def _note_shortage(self, stored: StoredScaleOut) -> None:
        """Note that the cloud has no more machines of an offer than the shard holds now."""
        offer = offer_of(stored)
        self.offer_book.refused(offer, self.held_counts().get(offer, 0), now_us())
