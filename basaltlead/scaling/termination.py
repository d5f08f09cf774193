"""Which machines of a shard are to be returned, and why."""

from enum import StrEnum

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.offers import unit_price
from basaltlead.runtime.logs import log
from basaltlead.scaling.idle_retention import IdleRetention
from basaltlead.scaling.reachability import Reachability
from basaltlead.shard.context import ShardContext

MIN_BILLED_US = 60 * US  # what the cloud bills for a machine at least
BILLING_MARGIN_US = 5 * US  # idle machines are returned so long before that time has passed
# A machine is overdue if it is not up after so many boot times of its type, and the margin.
PROVISIONING_BOOT_FACTOR = 2.5
PROVISIONING_MARGIN_US = 5 * US
UNREACHABLE_AFTER_LEASES = 2  # a machine is returned after so many lease spans of being unreachable
MIN_UNIT_PRICE = 1e-6  # keeps the replacement cost finite for a machine that costs nothing


class TerminationReason(StrEnum):
    """Why a machine is to be returned; the values appear in the log."""

    NEVER_CAME_UP = "never came up"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    FAULTY = "faulty"
    IDLE = "idle"


def mark_terminating(machine: Machine, reason: TerminationReason) -> None:
    """Mark a machine that is to be returned: from now on nothing is started on it."""
    machine.terminating = True
    log.info("machine %s terminating: %s", machine.name, reason)


def provisioning_overdue(machine: Machine, now: int) -> bool:
    """Should the machine have come up by now?

    A machine that is recorded did come up under an earlier shard leader, even if it has not
    reported to this one so far: a new shard leader must not return those.
    """
    limit_us = int(machine.machine_type.boot_us * PROVISIONING_BOOT_FACTOR) + PROVISIONING_MARGIN_US
    return not machine.up and not machine.recorded and now - machine.made_at > limit_us


def replacement_cost_us(machine: Machine) -> float:
    """For how many microseconds a machine may idle at the price of renting it anew.

    That price is its boot at the ordinary price, since a spot machine that is returned may not be
    had again.
    """
    machine_type = machine.machine_type
    return (
        machine_type.boot_us
        * machine_type.price
        / max(unit_price(machine_type, machine.spot), MIN_UNIT_PRICE)
    )


class TerminationPolicy:
    """Decides which machines without attempts are to be returned."""

    def __init__(
        self,
        context: ShardContext,
        reachability: Reachability,
        idle_retention: IdleRetention | None,
    ) -> None:
        """`idle_retention` keeps idle machines during quiet times; None without a calendar."""
        self.context = context
        self.reachability = reachability
        self.idle_retention = idle_retention

    def apply(self, needed: set[str], now: int) -> None:
        """Mark the machines that are to be returned, given the names of those that are needed."""
        may_return_lost = self.reachability.losses_confirmed(now)
        if self.idle_retention is not None:
            self.idle_retention.begin_pass(now)
        for machine in list(self.context.shard.machines.values()):
            if machine.attempts or machine.terminating:
                continue
            reason = self._reason(machine, needed, may_return_lost, now)
            if reason is not None:
                mark_terminating(machine, reason)

    def _reason(
        self, machine: Machine, needed: set[str], may_return_lost: bool, now: int
    ) -> TerminationReason | None:
        """Why a machine without attempts is to be returned; None if it is not."""
        if provisioning_overdue(machine, now):
            return TerminationReason.NEVER_CAME_UP
        if machine.lost and may_return_lost:
            return TerminationReason.LOST
        if self._unreachable_for_long(machine, now):
            return TerminationReason.UNREACHABLE
        if not self.context.shard.settled(machine):
            return None
        if machine.draining:
            return TerminationReason.FAULTY
        surplus = machine.name not in needed and self._idle_for_long(machine, now)
        return TerminationReason.IDLE if surplus and not self._retained(machine) else None

    def _retained(self, machine: Machine) -> bool:
        """Is an idle machine kept for a quiet time? Asked only for those that would be returned,
        since keeping one is charged to the quiet time's budget."""
        return self.idle_retention is not None and self.idle_retention.retain(machine)

    def _unreachable_for_long(self, machine: Machine, now: int) -> bool:
        since = max(machine.unreachable_since, machine.back_at)
        limit_us = UNREACHABLE_AFTER_LEASES * self.context.shard.timing.lease_expiry_us
        return bool(machine.unreachable_since) and now - since > limit_us

    def _idle_for_long(self, machine: Machine, now: int) -> bool:
        idle_share = self.context.settings.operator.idle_share
        return (
            machine.up
            and machine.synced
            and now - machine.idle_since > idle_share * replacement_cost_us(machine)
            and now - machine.made_at > MIN_BILLED_US - BILLING_MARGIN_US
        )
