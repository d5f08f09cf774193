"""The machines of a shard: which there are, and whether they are heard."""

from collections.abc import Sequence

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.signals import Log, ShardSignals
from basaltlead.core.task_keys import TaskKey

MAX_LOGGED_TASKS = 5  # of those that were on a lost machine, in its log line
# Names of machines that are returned, or rented, are kept for as long as lists and late reports may
# show them. Three fleets of 6,000: some 2 MB.
MAX_RETAINED_NAMES = 18_000


class Fleet:
    """Adds, empties and drops machines, and keeps track of which show all that is on them."""

    def __init__(
        self, fencing_token: int, attempts: AttemptTable, signals: ShardSignals, log: Log
    ) -> None:
        self.machines: dict[str, Machine] = {}
        # Machines that may hold tasks of an earlier shard leader, and have not shown our fencing
        # token.
        self.unsynced: set[str] = set()
        self.deleted_machines: dict[
            str, None
        ] = {}  # names of machines that are deleted, the oldest first
        self._fencing_token = fencing_token
        self._attempts = attempts
        self._signals = signals
        self._log = log

    @property
    def has_unaccounted_tasks(self) -> bool:
        """Is there, or may there be, a task on some machine that we do not account for?"""
        return bool(self.unsynced) or any(
            not orphan.ended
            for machine in self.machines.values()
            for orphan in machine.orphaned_attempts.values()
        )

    # Which machines there are

    def load(self, machine: Machine) -> None:
        """Add one that the key-value store lists as in use when we acquire the shard."""
        machine.recorded = True
        self.machines[machine.name] = machine
        self.unsynced.add(machine.name)

    def add(self, machine: Machine) -> None:
        """Add one that can't hold any task yet, unless it is known."""
        self.machines.setdefault(machine.name, machine)

    def drop(self, name: str, now: int) -> None:
        """It is deleted: everything on it is gone."""
        machine = self.machines.pop(name, None)
        self.deleted_machines[name] = None
        while len(self.deleted_machines) > MAX_RETAINED_NAMES:
            del self.deleted_machines[next(iter(self.deleted_machines))]
        if machine is not None:
            self._log_return(machine, now)
            self._remove_attempts(machine, now)

    def _log_return(self, machine: Machine, now: int) -> None:
        age_s = max(1, now - machine.created_at) / US
        up_s = (now - machine.usage.up_at) / US if machine.usage.up_at else 0.0
        spot = ", spot" if machine.spot else ""
        usage = machine.usage
        self._log(
            f"machine {machine.name} ({machine.machine_type.name}{spot}) returned: "
            f"{age_s:.0f} s old, {up_s:.0f} s up, {usage.useful_s:.0f} s of use, "
            f"{usage.wasted_s:.0f} s wasted, {usage.fetching_s:.0f} s of fetches"
        )

    def _remove_attempts(self, machine: Machine, now: int) -> None:
        """All that was on it is provably gone."""
        for attempt in list(machine.attempts.values()):
            self._attempts.remove(attempt, now)
        machine.orphaned_attempts.clear()
        self.unsynced.discard(machine.name)
        self._signals.push_queue.pop(machine.name, None)
        self._signals.plan_needed = True

    # Whether they are heard

    def mark_lost(self, machine: Machine, now: int) -> None:
        """Its lease has expired, so it has killed all its tasks (see `WorkerLease`). Reports of
        that agent epoch that were held up on their way prove nothing any more."""
        self._log(
            f"machine {machine.name} lost (was {machine.state(now).name.lower()}, "
            f"fencing token {self._fencing_token}, epoch {machine.epoch}, "
            f"{machine.lease.describe(now)}): {_describe_tasks(list(machine.attempts))}"
        )
        machine.mark_lost()
        self.mark_unreachable(machine, now)
        self._remove_attempts(machine, now)

    def begin_epoch(self, machine: Machine, epoch: int, now: int) -> None:
        """Its agent is heard in a new epoch: what ran in the one before was killed when that
        ended. Attempts that were never sent to it stay bound to it."""
        if machine.epoch:
            over = [
                attempt
                for attempt in machine.attempts.values()
                if attempt.may_be_on_machine or attempt.start_in_flight
            ]
            self._log(
                f"machine {machine.name} in epoch {epoch} (fencing token {self._fencing_token}, "
                f"{machine.lease.describe(now)}): "
                f"{_describe_tasks([attempt.key for attempt in over])}"
            )
            for attempt in over:
                self._attempts.remove(attempt, now)
            machine.orphaned_attempts.clear()
            machine.images.clear()
            self.mark_unreachable(machine, now)
        machine.begin_epoch(epoch, now)

    def confirm_synced(self, machine: Machine, now: int) -> None:
        """It has shown our fencing token, and so all that is on it."""
        machine.confirm_synced(now)
        self.unsynced.discard(machine.name)
        self._signals.plan_needed = True

    def mark_unreachable(self, machine: Machine, now: int) -> None:
        """A command went unanswered, or its lease expired although we answered: until something
        proves that it hears us, nothing new is given to it, and nobody counts on it."""
        machine.unreachable_since = machine.unreachable_since or now

    def confirm_reachable(self, machine: Machine) -> None:
        """Something proves that our commands reach it."""
        if machine.unreachable_since:
            machine.unreachable_since = 0
            self._signals.plan_needed = True

    def update_preemption_notice(
        self, machine: Machine, notice_s: float | None, is_newest: bool, now: int
    ) -> None:
        """Take in in how many seconds the cloud takes the machine back, if it does. Only a newer
        report may withdraw a notice."""
        if notice_s is None:
            if is_newest:
                machine.preemption_at = None
            return
        if machine.preemption_at is None:
            self._log(f"machine {machine.name} has a preemption notice: {notice_s:.1f} s left")
            self._signals.plan_needed = True
        machine.preemption_at = now + int(max(0.0, notice_s) * US)


def _describe_tasks(keys: Sequence[TaskKey]) -> str:
    """How many tasks are taken for gone, and the first of them."""
    if not keys:
        return "no tasks gone"
    names = ", ".join(f"{key.ref}/{key.task_index}" for key in sorted(keys)[:MAX_LOGGED_TASKS])
    more = ", ..." if len(keys) > MAX_LOGGED_TASKS else ""
    return f"{len(keys)} tasks gone: {names}{more}"
