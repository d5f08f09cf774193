"""The machines of a shard, and whether our commands reach them."""

from collections.abc import Sequence

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.signals import Log, ShardSignals
from basaltlead.core.task_keys import TaskKey

MAX_LOGGED_TASKS = 5  # tasks named in a log line about a machine that killed them
# Limit on the retained names of rented machines (see shard/assignment.py) and of deleted ones, both
# of which lists and late reports may still contain. This is enough for three fleets of 6,000
# machines, and takes about 2 MB.
MAX_RETAINED_NAMES = 18_000


class Fleet:
    """Adds and drops machines, removes lost attempts, and tracks which machines are synced."""

    def __init__(
        self, fencing_token: int, attempts: AttemptTable, signals: ShardSignals, log: Log
    ) -> None:
        self.machines: dict[str, Machine] = {}
        # Machines that may hold tasks of an earlier shard leader, and have not sent our fencing
        # token.
        self.unsynced: set[str] = set()
        # Names of deleted machines, in the order of their deletion.
        self.deleted_machines: dict[str, None] = {}
        self._fencing_token = fencing_token
        self._attempts = attempts
        self._signals = signals
        self._log = log

    @property
    def has_unaccounted_tasks(self) -> bool:
        """Whether some machine has, or may have, a task that is not in the usage of its team."""
        return bool(self.unsynced) or any(
            not orphan.ended
            for machine in self.machines.values()
            for orphan in machine.orphaned_attempts.values()
        )

    # Adding and dropping

    def load(self, machine: Machine) -> None:
        """Add a machine that is recorded as in use when we acquire the shard."""
        machine.recorded = True
        self.machines[machine.name] = machine
        self.unsynced.add(machine.name)

    def add(self, machine: Machine) -> None:
        """Add a machine that can't hold any task yet, unless it is known."""
        self.machines.setdefault(machine.name, machine)

    def drop(self, name: str, now: int) -> None:
        """Drop a deleted machine, with all its attempts."""
        machine = self.machines.pop(name, None)
        self.deleted_machines[name] = None
        while len(self.deleted_machines) > MAX_RETAINED_NAMES:
            del self.deleted_machines[next(iter(self.deleted_machines))]
        if machine is not None:
            self._log_deletion(machine, now)
            self._remove_attempts(machine, now)

    def _log_deletion(self, machine: Machine, now: int) -> None:
        age_s = max(1, now - machine.created_at) / US
        up_s = (now - machine.usage.up_at) / US if machine.usage.up_at else 0.0
        spot = ", spot" if machine.spot else ""
        usage = machine.usage
        self._log(
            f"machine {machine.name} ({machine.machine_type.name}{spot}) deleted: "
            f"{age_s:.0f} s old, {up_s:.0f} s up, {usage.useful_s:.0f} s useful, "
            f"{usage.wasted_s:.0f} s wasted, {usage.starting_s:.0f} s starting"
        )

    def _remove_attempts(self, machine: Machine, now: int) -> None:
        """Remove all attempts of a machine on which provably nothing runs any more."""
        for attempt in list(machine.attempts.values()):
            self._attempts.remove(attempt, now)
        machine.orphaned_attempts.clear()
        self.unsynced.discard(machine.name)
        self._signals.push_queue.pop(machine.name, None)
        self._signals.plan_needed = True

    # Reachability

    def mark_lost(self, machine: Machine, now: int) -> None:
        """Mark a machine whose lease has expired as lost: it has killed all its tasks (see
        `WorkerLease`), and delayed reports of that agent epoch are obsolete."""
        self._log(
            f"machine {machine.name} lost (was {machine.state(now).name.lower()}, "
            f"fencing token {self._fencing_token}, epoch {machine.epoch}, "
            f"{machine.lease.describe(now)}): {_describe_tasks(list(machine.attempts))}"
        )
        machine.mark_lost()
        self.mark_unreachable(machine, now)
        self._remove_attempts(machine, now)

    def begin_epoch(self, machine: Machine, epoch: int, now: int) -> None:
        """Begin a new agent epoch of a machine. Everything that ran in the previous one was killed
        when that ended; attempts that were never sent to the machine stay bound to it."""
        if machine.epoch:
            ended = [
                attempt
                for attempt in machine.attempts.values()
                if attempt.may_be_on_machine or attempt.start_in_flight
            ]
            self._log(
                f"machine {machine.name} began epoch {epoch} (fencing token {self._fencing_token}, "
                f"{machine.lease.describe(now)}): "
                f"{_describe_tasks([attempt.key for attempt in ended])}"
            )
            for attempt in ended:
                self._attempts.remove(attempt, now)
            machine.orphaned_attempts.clear()
            machine.images.clear()
            self.mark_unreachable(machine, now)
        machine.begin_epoch(epoch, now)

    def confirm_synced(self, machine: Machine, now: int) -> None:
        """Record a report with our fencing token, whose list of tasks is complete."""
        machine.confirm_synced(now)
        self.unsynced.discard(machine.name)
        self._signals.plan_needed = True

    def mark_unreachable(self, machine: Machine, now: int) -> None:
        """Mark a machine that did not answer a command, was lost, or began a new epoch. Until
        something proves that our commands reach it, nothing is started on it and its capacity is
        not counted."""
        machine.unreachable_since = machine.unreachable_since or now

    def confirm_reachable(self, machine: Machine) -> None:
        """Record a proof that our commands reach the machine."""
        if machine.unreachable_since:
            machine.unreachable_since = 0
            self._signals.plan_needed = True

    def update_preemption_notice(
        self, machine: Machine, notice_s: float | None, is_newest: bool, now: int
    ) -> None:
        """Update when the cloud takes the machine back: `notice_s` from now, or not at all (None).
        Only the newest report may withdraw a notice."""
        if notice_s is None:
            if is_newest:
                machine.preemption_at = None
            return
        if machine.preemption_at is None:
            self._log(f"machine {machine.name} has a preemption notice: {notice_s:.1f} s left")
            self._signals.plan_needed = True
        machine.preemption_at = now + int(max(0.0, notice_s) * US)


def _describe_tasks(keys: Sequence[TaskKey]) -> str:
    """The number of tasks that are considered lost, and the first of them, for the log."""
    if not keys:
        return "no tasks lost"
    names = ", ".join(f"{key.ref}/{key.task_index}" for key in sorted(keys)[:MAX_LOGGED_TASKS])
    more = ", ..." if len(keys) > MAX_LOGGED_TASKS else ""
    return f"{len(keys)} tasks lost: {names}{more}"
