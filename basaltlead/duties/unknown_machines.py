"""Which of the rented machines nobody knows: pure decisions of the duty of reclaiming.

The cloud's list lags. It may still show a machine that was deleted, and a scale-out request's
machines may stand in it before their names are recorded. So a machine counts as abandoned only if
it is listed without being known for longer than a list may lag, and no open request may have
brought it.
"""

from collections.abc import Collection, Iterable

from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from basaltlead.wire.cloud import RentedMachine

LAG_FACTOR = 2  # a list is up to so many times as old as the settings say
GRACE_MARGIN_US = 2 * US
FAILED_STAGE = "failed"  # the stage of a machine that has stopped by itself, in the cloud's list


def compute_grace_period_us(list_lag_s: float) -> int:
    """For how long a machine must be listed, and stand in no record, to count as abandoned."""
    return int(LAG_FACTOR * list_lag_s * US) + GRACE_MARGIN_US


class UnknownMachines:
    """Machines that are listed and stand in no record, and since when."""

    def __init__(self, grace_period_us: int) -> None:
        """Machines count as abandoned after so many microseconds."""
        self.grace_period_us = grace_period_us
        self.since: dict[str, int] = {}

    def update(
        self, machines: Iterable[RentedMachine], known: Collection[str], listed_at: int
    ) -> None:
        """Take in a list that was requested at `listed_at`, and the names of all machines that
        stood in any record after that."""
        unknown = {machine.name for machine in machines if machine.name not in known}
        self.since = {name: self.since.get(name, listed_at) for name in unknown}

    def abandoned(
        self, machines: Iterable[RentedMachine], pending_offers: Collection[Offer], listed_at: int
    ) -> list[RentedMachine]:
        """Those machines of the list that no shard will ever record. An offer that is requested at
        the moment may have brought any machine of its type, zone and kind."""
        return [
            machine
            for machine in machines
            if machine.name in self.since
            and listed_at - self.since[machine.name] > self.grace_period_us
            and Offer(machine.type, machine.zone, machine.spot) not in pending_offers
        ]
