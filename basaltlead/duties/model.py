"""The duties, their shares of the cloud's rate of calls, and what a holder of a grant provides."""

from enum import StrEnum
from typing import Protocol

from basaltlead.core.cluster_view import duty_key
from basaltlead.core.jobs import US
from basaltlead.wire.store import Precondition


class Duty(StrEnum):
    """What one controller at a time does for the whole deployment. The values are stored."""

    RENT = "rent"
    RETURN = "return"
    RECLAIM = "reclaim"
    CLEAN_UP = "clean-up"

    @property
    def key(self) -> str:
        """The key of the store that names the duty's holder."""
        return duty_key(self.value)


DUTY_KEYS = tuple(duty.key for duty in Duty)

# The cloud limits the calls of all controllers together. Each duty that calls it has its share of
# that rate; every controller has the base share besides, for listing the machine types and for a
# call that was under way when a duty moved.
CLOUD_RATE_SHARES = {Duty.RENT: 0.5, Duty.RETURN: 0.2, Duty.RECLAIM: 0.15}
BASE_CLOUD_RATE_SHARE = 0.05
# After so long without any answer from the cloud, a holder releases its duties to another
# controller, which may reach the cloud.
CLOUD_SILENCE_LIMIT_US = 15 * US


class GrantHolder(Protocol):
    """Whoever acts under a grant: the holder of a duty, or the leader of a shard."""

    @property
    def holds_valid_lease(self) -> bool:
        """Whether the grant is provably valid now; to be checked at the moment of sending."""

    def preconditions(self) -> list[Precondition]:
        """The preconditions that each write under the grant must have, so that the store refuses
        writes of a holder that has been replaced."""
