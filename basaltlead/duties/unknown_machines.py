"""Which of the rented machines nobody knows: pure decisions of the duty of reclaiming.

The cloud's list lags. It may still show a machine that was deleted, and a rental request's machines
may stand in it before their names are recorded. So a machine counts as abandoned only if it is
listed without being known for longer than a list may lag, and no open request may have brought it.
"""

from collections.abc import Collection, Iterable

from basaltlead.core.entities import US
from basaltlead.core.offers import Offer
from basaltlead.wire.cloud import RentedMachine

LAG_TIMES = 2  # a list is up to so many times as old as the settings say
MARGIN_US = 2 * US
FAILED = "failed"  # the stage of a machine that has stopped by itself


def patience_us(list_lag_s: float) -> int:
    """For how long a machine must be listed, and known to nobody, to count as abandoned."""
    return int(LAG_TIMES * list_lag_s * US) + MARGIN_US


class UnknownMachines:
    """Machines that were listed and are known to nobody, and since when."""

    def __init__(self, patience: int) -> None:
        self.patience = patience
        self.since: dict[str, int] = {}

    def listed(self, machines: Iterable[RentedMachine], known: Collection[str], asked: int) -> None:
        """Take in a list that was asked for at `asked`, and all that is known as of later."""
        unknown = {one.name for one in machines if one.name not in known}
        self.since = {name: self.since.get(name, asked) for name in unknown}

    def abandoned(
        self, machines: Iterable[RentedMachine], in_progress: Collection[Offer], asked: int
    ) -> list[RentedMachine]:
        """Those that nobody will come for. A request in progress may have brought any machine of
        its kind."""
        return [
            one
            for one in machines
            if one.name in self.since
            and asked - self.since[one.name] > self.patience
            and Offer(one.type, one.zone, one.spot) not in in_progress
        ]
