"""Which reports of a machine are believed, and what they say of it.

The list of a machine's tasks is trusted only from reports that show our fencing token: the worker
then drops every command of an earlier shard leader, so its list is complete but for our own
commands (test_heartbeat_without_our_fencing_token_does_not_sync_the_machine).
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum, auto
from typing import Any

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.fleet import Fleet
from basaltlead.core.reports import ReportedTask, WorkerReport
from basaltlead.core.task_keys import PlainAttemptKey, parse_task
from basaltlead.core.task_reports import TaskReports
from basaltlead.core.task_states import SENT
from basaltlead.core.timing import Timing


class HeartbeatOutcome(Enum):
    """What a heartbeat proves, and so how it is answered."""

    REFUSED = auto()  # not with 200: that would renew the worker's lease
    OUTDATED = auto()  # 200 without commands: a late copy, nobody waits for its answer any more
    UNPROVEN = auto()  # 200 with halts only: a copy, or from a machine that does not hear us
    ACCEPTED = auto()  # 200 with commands


REFUSED, OUTDATED, UNPROVEN, ACCEPTED = (
    HeartbeatOutcome  # by name: see task_states on the cost of members
)


class HeartbeatReconciler:
    """Compares what machines report with the attempts that are bound to them."""

    def __init__(
        self,
        fencing_token: int,
        timing: Timing,
        fleet: Fleet,
        attempts: AttemptTable,
        task_reports: TaskReports,
    ) -> None:
        self._fencing_token = fencing_token
        self._timing = timing
        self._fleet = fleet
        self._attempts = attempts
        self._task_reports = task_reports

    def receive(self, machine: Machine, heartbeat: WorkerReport, now: int) -> HeartbeatOutcome:
        """Take in a heartbeat, as far as it proves anything.

        A report that does not show our fencing token may be a copy from long ago, or come from a
        machine that our answers don't reach. It is answered, so that a live machine can show it
        next time, but for one lease at most: after that the silence ends the machine's own lease,
        and nothing waits for it any longer
        (test_machine_that_never_shows_the_fencing_token_does_not_block_older_jobs_for_ever,
        test_late_copy_of_an_old_heartbeat_is_ignored).
        """
        messages = machine.messages
        if heartbeat.fencing_token > self._fencing_token or heartbeat.epoch < messages.min_epoch:
            return REFUSED
        if (heartbeat.epoch, heartbeat.sequence) <= (messages.epoch, messages.heartbeat_sequence):
            return OUTDATED
        shows_token = heartbeat.fencing_token == self._fencing_token
        if not shows_token:
            messages.unsynced_since = messages.unsynced_since or now
            if now - messages.unsynced_since > self._timing.lease_us:
                return REFUSED
            if machine.lost:  # only what shows our fencing token proves that it is back
                return UNPROVEN
        if heartbeat.epoch > messages.epoch:
            self._fleet.begin_epoch(machine, heartbeat.epoch, now)
        messages.heartbeat_sequence = heartbeat.sequence
        is_newest = heartbeat.sequence > messages.sequence
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address
        notice_s = heartbeat.preemption_notice_s
        self._fleet.update_preemption_notice(machine, notice_s, is_newest, now)
        if shows_token:
            self._apply_heartbeat(machine, heartbeat, is_newest, now)
        return ACCEPTED

    def _apply_heartbeat(
        self, machine: Machine, heartbeat: WorkerReport, is_newest: bool, now: int
    ) -> None:
        """Take in a heartbeat that shows our fencing token."""
        messages = machine.messages
        if messages.unsynced_since:  # it did not show it before
            messages.unsynced_since = 0
            self._fleet.confirm_reachable(machine)
        doubted_at = max(messages.epoch_started_at, machine.unreachable_since)
        if now - doubted_at > self._timing.lease_expiry_us:
            # Had it not heard us, its lease, and with it its agent epoch, would have ended.
            self._fleet.confirm_reachable(machine)
        listed = self._apply_tasks(machine, heartbeat.tasks, is_newest, now)
        for attempt in list(machine.attempts.values()):
            if attempt.attempt_key not in listed:
                self._handle_unlisted(attempt, heartbeat.sequence, now)
        self._finish_list(machine, listed, is_newest, now)
        messages.record_list(heartbeat.sequence)

    def receive_answer(
        self, machine: Machine, answer: WorkerReport, now: int, pushed_starts: Iterable[Attempt]
    ) -> None:
        """Take in the answer to pushed commands. `pushed_starts` are the starts that it proves to
        be executed. An attempt that it does not list is not ended by that: only heartbeats, whose
        answers carry start commands, tell in their order what is not there."""
        messages = machine.messages
        if answer.epoch == messages.epoch:
            for attempt in pushed_starts:
                attempt.sent_sequence = max(attempt.sent_sequence, answer.sequence)
        if answer.epoch < messages.min_epoch:
            return
        if answer.epoch > messages.epoch:
            self._fleet.begin_epoch(machine, answer.epoch, now)
        if answer.epoch < messages.epoch:
            return
        self._fleet.confirm_reachable(machine)
        if answer.sequence <= messages.sequence or answer.fencing_token != self._fencing_token:
            return
        listed = self._apply_tasks(machine, answer.tasks, True, now)
        self._finish_list(machine, listed, True, now)
        messages.record_list(answer.sequence)

    def _apply_tasks(
        self, machine: Machine, tasks: Sequence[ReportedTask], is_newest: bool, now: int
    ) -> set[PlainAttemptKey]:
        """Take in the listed tasks, if the list is the newest; the keys of their attempts."""
        attempts: Mapping[Any, Attempt] = machine.attempts  # looked up by plain tuples
        listed: set[PlainAttemptKey] = set()
        for reported in tasks:
            ref, index = parse_task(reported.task)
            key = (ref, index, reported.attempt_number)
            listed.add(key)
            if not is_newest:
                continue
            attempt = attempts.get((ref, index))
            if attempt is None or attempt.attempt_number != reported.attempt_number:
                self._task_reports.reconcile_unknown(machine, key, reported, now)
                continue
            if attempt.stage == SENT:
                self._fleet.confirm_reachable(machine)
            self._task_reports.progress(attempt, reported, now)
        return listed

    def _finish_list(
        self, machine: Machine, listed: set[PlainAttemptKey], is_newest: bool, now: int
    ) -> None:
        """A list that shows our fencing token was taken in."""
        if is_newest:
            for key in [key for key in machine.orphaned_attempts if key not in listed]:
                del machine.orphaned_attempts[key]
        if not machine.synced:
            self._fleet.confirm_synced(machine, now)

    def _handle_unlisted(self, attempt: Attempt, sequence: int, now: int) -> None:
        """A heartbeat does not list an attempt of ours."""
        if attempt.start_in_flight or attempt.start_unacknowledged or not attempt.may_be_on_machine:
            # An unanswered pushed start binds its task to the machine
            # (test_unacknowledged_start_is_kept_although_a_heartbeat_does_not_list_it).
            return
        if attempt.sent_sequence and attempt.sent_sequence >= sequence:
            return  # the answer that carried the start command came after this heartbeat
        if attempt.stage == SENT and attempt.stop_grace_s is None:
            self._attempts.plan_again(attempt)  # the answer was lost
        else:
            self._attempts.remove(attempt, now)
