"""The duties, their shares of the cloud's rate limit, and the interface of a grant's holder."""

from enum import StrEnum
from typing import Protocol

from basaltlead.core.cluster_view import duty_key
from basaltlead.core.jobs import US
from basaltlead.wire.store import Precondition


class Duty(StrEnum):
    """Work that one controller at a time performs for the whole deployment.

    The values are stored.
    """

    RENT = "rent"
    RETURN = "return"
    RECLAIM = "reclaim"
    CLEAN_UP = "clean-up"

    @property
    def key(self) -> str:
        """The key of the duty's grant in the store."""
        return duty_key(self.value)


DUTY_KEYS = tuple(duty.key for duty in Duty)

# The cloud's rate limit applies to all controllers together. Each duty that calls the cloud has a
# share of that rate. In addition, every controller has the base share, for listing the machine
# types and for calls that were in progress when a duty moved to another controller.
CLOUD_RATE_SHARES = {Duty.RENT: 0.5, Duty.RETURN: 0.2, Duty.RECLAIM: 0.15}
BASE_CLOUD_RATE_SHARE = 0.05
# After this time without any response from the cloud, a controller releases the duties that need
# it, since another controller may be able to reach the cloud.
CLOUD_SILENCE_LIMIT_US = 15 * US


class GrantHolder(Protocol):
    """The holder of a duty, or the leader of a shard, which acts under a grant."""

    @property
    def holds_valid_lease(self) -> bool:
        """Whether the grant is provably valid now. Check it immediately before sending."""

    def preconditions(self) -> list[Precondition]:
        """The preconditions that fence each write under the grant.

        With them, the store rejects writes of a holder that has been replaced.
        """
