"""The duties, and what a holder of one must be able to show."""

from enum import StrEnum
from typing import Protocol

from basaltlead.core.cluster_view import duty_key
from basaltlead.core.entities import US
from basaltlead.wire.store import Precondition


class Duty(StrEnum):
    """What one controller at a time does for the whole deployment."""

    RENT = "rent"
    RETURN = "return"
    RECLAIM = "reclaim"
    CLEAN_UP = "clean-up"

    @property
    def key(self) -> str:
        """The key that says who holds it."""
        return duty_key(self.value)


DUTY_KEYS = tuple(duty.key for duty in Duty)

# Of the rate of calls that the cloud takes, the parts of the duties that call it. What is left is
# each controller's, for the machine types and for a call that was under way when a duty moved.
CLOUD_SHARES = {Duty.RENT: 0.5, Duty.RETURN: 0.2, Duty.RECLAIM: 0.15}
LEAST_CLOUD_SHARE = 0.05
CLOUD_PATIENCE_US = 15 * US  # a holder whose calls get no answer for so long lets another try


class GrantHolder(Protocol):
    """Whoever acts under a grant: the holder of a duty, or the leader of a shard."""

    @property
    def holds_valid_lease(self) -> bool:
        """Is the grant provably valid now? To be asked when something is sent."""

    def preconditions(self) -> list[Precondition]:
        """Conditions that every write under the grant depends on."""
