"""Decides which machines of a shard are returned to the cloud, and for which reason.

Here they are only marked as terminating. `ScaleIn` records their return or deletes them in the
cloud, and drops them from the shard once they are deleted.
"""

from enum import StrEnum

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.offers import unit_price
from basaltlead.runtime.logs import log
from basaltlead.scaling.idle_retention import IdleRetention
from basaltlead.scaling.reachability import Reachability
from basaltlead.shard.context import ShardContext

MIN_BILLED_US = 60 * US  # the cloud's minimum billing period for a machine
BILLING_MARGIN_US = 5 * US  # idle machines may be returned this long before its end
# A machine is overdue if it is not up after this multiple of its boot time plus the margin.
PROVISIONING_BOOT_FACTOR = 2.5
PROVISIONING_MARGIN_US = 5 * US
UNREACHABLE_AFTER_LEASES = 2  # lease durations after which an unreachable machine is returned
MIN_UNIT_PRICE = 1e-6  # keeps the break-even time finite for a machine that costs nothing


class TerminationReason(StrEnum):
    """Why a machine is returned. The values appear in the log."""

    NEVER_CAME_UP = "never came up"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    FAULTY = "faulty"
    IDLE = "idle"


def mark_terminating(machine: Machine, reason: TerminationReason) -> None:
    """Mark a machine for return to the cloud: no more tasks are started on it."""
    machine.terminating = True
    log.info("machine %s terminating: %s", machine.name, reason)


def provisioning_overdue(machine: Machine, now: int) -> bool:
    """Whether the machine has failed to come up in time.

    A recorded machine did come up, under an earlier shard leader. A new leader keeps it, even if it
    has not reported to this leader yet.
    """
    limit_us = int(machine.machine_type.boot_us * PROVISIONING_BOOT_FACTOR) + PROVISIONING_MARGIN_US
    return not machine.up and not machine.recorded and now - machine.created_at > limit_us


def break_even_idle_us(machine: Machine) -> float:
    """The idle time in microseconds that costs as much as replacing the machine.

    A replacement costs the boot time at the on-demand price, since spot machines may be unavailable
    when it is rented.
    """
    machine_type = machine.machine_type
    return (
        machine_type.boot_us
        * machine_type.price
        / max(unit_price(machine_type, machine.spot), MIN_UNIT_PRICE)
    )


class TerminationPolicy:
    """Marks as terminating those machines without attempts that should be returned."""

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
        """Mark the machines to be returned; `needed` names the machines that the demand needs."""
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
        """Why a machine without attempts should be returned; None if it should be kept."""
        if provisioning_overdue(machine, now):
            return TerminationReason.NEVER_CAME_UP
        if machine.lost and may_return_lost:
            return TerminationReason.LOST
        if self._unreachable_for_long(machine, now):
            return TerminationReason.UNREACHABLE
        if not self.context.shard.is_returnable(machine):
            return None
        if machine.faulty:
            return TerminationReason.FAULTY
        surplus = machine.name not in needed and self._idle_for_long(machine, now)
        return TerminationReason.IDLE if surplus and not self._retain(machine) else None

    def _retain(self, machine: Machine) -> bool:
        """Retain an idle machine for a quiet time if possible. Returns whether it is retained.

        Call it only for machines that would be returned otherwise, since each retained machine is
        charged to the quiet time's budget.
        """
        return self.idle_retention is not None and self.idle_retention.retain(machine)

    def _unreachable_for_long(self, machine: Machine, now: int) -> bool:
        since = max(machine.unreachable_since, machine.recovered_at)
        limit_us = UNREACHABLE_AFTER_LEASES * self.context.shard.timing.lease_expiry_us
        return bool(machine.unreachable_since) and now - since > limit_us

    def _idle_for_long(self, machine: Machine, now: int) -> bool:
        """Whether it has been idle for `idle_share` times its break-even time, and its minimum
        billing period is about to end or has ended."""
        idle_share = self.context.settings.operator.idle_share
        return (
            machine.up
            and machine.synced
            and now - machine.idle_since > idle_share * break_even_idle_us(machine)
            and now - machine.created_at > MIN_BILLED_US - BILLING_MARGIN_US
        )
