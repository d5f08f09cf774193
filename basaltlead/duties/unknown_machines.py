"""Detects rented machines that are in no record: the decisions of the reclaim duty, without I/O.

The cloud's list is out of date by some time. It may still contain a deleted machine, and it may
contain the machines of a scale-out request before their names are recorded. So a machine counts as
abandoned only if it has been listed without a record for longer than the list may lag, and no open
request may have rented it.
"""

from collections.abc import Collection, Iterable

from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from basaltlead.wire.cloud import RentedMachine

LAG_FACTOR = 2  # the age of a list may reach this multiple of the configured lag
GRACE_MARGIN_US = 2 * US
FAILED_STAGE = "failed"  # the stage in the cloud's list of a machine that has stopped by itself


def compute_grace_period_us(list_lag_s: float) -> int:
    """How long a machine must be listed without a record to count as abandoned."""
    return int(LAG_FACTOR * list_lag_s * US) + GRACE_MARGIN_US


class UnknownMachines:
    """Machines that are listed without a record, and since when."""

    def __init__(self, grace_period_us: int) -> None:
        """Machines count as abandoned after `grace_period_us`."""
        self.grace_period_us = grace_period_us
        self.since: dict[str, int] = {}

    def update(
        self, machines: Iterable[RentedMachine], known: Collection[str], listed_at: int
    ) -> None:
        """Update from a list that was requested at `listed_at`.

        `known` has the names of all machines in any record, as read after the list.
        """
        unknown = {machine.name for machine in machines if machine.name not in known}
        self.since = {name: self.since.get(name, listed_at) for name in unknown}

    def abandoned(
        self, machines: Iterable[RentedMachine], pending_offers: Collection[Offer], listed_at: int
    ) -> list[RentedMachine]:
        """The machines of the list that count as abandoned: presumably no shard will record them.

        `pending_offers` are the offers of open requests. Any machine of such an offer may have been
        rented by one of those requests.
        """
        return [
            machine
            for machine in machines
            if machine.name in self.since
            and listed_at - self.since[machine.name] > self.grace_period_us
            and Offer(machine.type, machine.zone, machine.spot) not in pending_offers
        ]
