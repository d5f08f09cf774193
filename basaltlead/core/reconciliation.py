"""Decides which reports of a machine are trusted, and applies them to its attempts.

The list of a machine's tasks is trusted only if the report carries our fencing token: the worker
then rejects every command of an earlier shard leader, so only our own commands can still change the
list (test_heartbeat_with_an_earlier_fencing_token_does_not_sync_the_machine). Its entries are
applied only if no newer list was applied before.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum, auto
from typing import Any

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.fleet import Fleet
from basaltlead.core.reports import ReportedTask, WorkerReport
from basaltlead.core.task_keys import PlainAttemptKey, parse_task
from basaltlead.core.task_reports import TaskReports
from basaltlead.core.task_states import SENT
from basaltlead.core.timing import Timing


class HeartbeatOutcome(Enum):
    """How a heartbeat was classified, which determines its HTTP response."""

    REFUSED = auto()  # an error status, since 200 would renew the worker's lease
    OUTDATED = auto()  # 200 without commands: a delayed copy, whose answer nobody waits for
    UNPROVEN = auto()  # 200 with halts only: a copy, or our answers don't reach the machine
    ACCEPTED = auto()  # 200 with commands


# Module constants, since looking up a member on its class is slow: see task_states.
REFUSED, OUTDATED, UNPROVEN, ACCEPTED = HeartbeatOutcome


class HeartbeatReconciler:
    """Compares what machines report with the attempts that are bound to them."""

    def __init__(
        self,
        tokens: FencingTokens,
        timing: Timing,
        fleet: Fleet,
        attempts: AttemptTable,
        task_reports: TaskReports,
    ) -> None:
        self._tokens = tokens
        self._timing = timing
        self._fleet = fleet
        self._attempts = attempts
        self._task_reports = task_reports

    def receive(self, machine: Machine, heartbeat: WorkerReport, now: int) -> HeartbeatOutcome:
        """Apply a heartbeat as far as it can be trusted, and return its classification.

        A report without our fencing token may be an old copy, or come from a machine that our
        answers don't reach. Such reports are answered for one lease duration, so that a live
        machine learns the token and shows it in its next heartbeat. After that they are refused:
        the machine's lease then expires, and jobs need not wait for the machine any longer
        (test_machine_that_never_shows_the_fencing_token_does_not_block_older_jobs_for_ever,
        test_late_copy_of_an_old_heartbeat_is_ignored).
        """
        messages = machine.messages
        if self._tokens.are_replaced_by(heartbeat.fencing_token):
            return REFUSED
        if heartbeat.epoch < messages.min_epoch:
            return REFUSED
        if (heartbeat.epoch, heartbeat.sequence) <= (messages.epoch, messages.heartbeat_sequence):
            return OUTDATED
        has_token = self._tokens.contains(heartbeat.fencing_token)
        if has_token:
            self._tokens.note_shown(machine, heartbeat.fencing_token)
        else:
            messages.token_missing_since = messages.token_missing_since or now
            if now - messages.token_missing_since > self._timing.lease_us:
                return REFUSED
            if machine.lost:
                # Only a report with our fencing token proves that the machine is alive.
                return UNPROVEN
        if heartbeat.epoch > messages.epoch:
            self._fleet.begin_epoch(machine, heartbeat.epoch, now)
        messages.heartbeat_sequence = heartbeat.sequence
        # An answer to a push may already have delivered a newer list.
        is_newest = heartbeat.sequence > messages.sequence
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address
        notice_s = heartbeat.preemption_notice_s
        self._fleet.update_preemption_notice(machine, notice_s, is_newest, now)
        if has_token:
            self._apply_heartbeat(machine, heartbeat, is_newest, now)
        return ACCEPTED

    def _apply_heartbeat(
        self, machine: Machine, heartbeat: WorkerReport, is_newest: bool, now: int
    ) -> None:
        """Apply a heartbeat that carries our fencing token."""
        messages = machine.messages
        if messages.token_missing_since:
            # Earlier heartbeats lacked our token, so the machine has since received an answer.
            messages.token_missing_since = 0
            self._fleet.confirm_reachable(machine)
        # Since when it has not been certain that our answers reach the machine.
        uncertain_since = max(messages.epoch_started_at, machine.unreachable_since)
        if now - uncertain_since > self._timing.lease_expiry_us:
            # Without an answer its lease would have expired by now and its agent epoch ended.
            self._fleet.confirm_reachable(machine)
        listed = self._apply_tasks(machine, heartbeat.tasks, is_newest, now)
        for attempt in list(machine.attempts.values()):
            if attempt.attempt_key not in listed:
                self._handle_unlisted(attempt, heartbeat.sequence, now)
        self._finish_list(machine, listed, is_newest, now)
        messages.record_list(heartbeat.sequence)

    def receive_push_response(
        self, machine: Machine, answer: WorkerReport, now: int, pushed_starts: Iterable[Attempt]
    ) -> None:
        """Apply the answer to pushed commands. `pushed_starts` are the starts that it proves to be
        executed.

        An attempt that the answer does not list is kept, since its start command may still be on
        its way. Only heartbeats, whose answers carry start commands, are ordered relative to those
        commands, so only they prove that an attempt is not on the machine.
        """
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
        if not self._tokens.contains(answer.fencing_token):
            return
        self._tokens.note_shown(machine, answer.fencing_token)
        if answer.sequence <= messages.sequence:
            return
        listed = self._apply_tasks(machine, answer.tasks, True, now)
        self._finish_list(machine, listed, True, now)
        messages.record_list(answer.sequence)

    def _apply_tasks(
        self, machine: Machine, tasks: Sequence[ReportedTask], is_newest: bool, now: int
    ) -> set[PlainAttemptKey]:
        """Apply the listed tasks if the list is the newest; return the keys of their attempts."""
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
            self._task_reports.apply(attempt, reported, now)
        return listed

    def _finish_list(
        self, machine: Machine, listed: set[PlainAttemptKey], is_newest: bool, now: int
    ) -> None:
        """After a task list that came with our fencing token: drop the orphaned attempts that the
        newest list lacks, and mark the machine synced."""
        if is_newest:
            for key in [key for key in machine.orphaned_attempts if key not in listed]:
                del machine.orphaned_attempts[key]
        if not machine.synced:
            self._fleet.confirm_synced(machine, now)

    def _handle_unlisted(self, attempt: Attempt, sequence: int, now: int) -> None:
        """Keep, resend or remove an attempt of ours that a heartbeat does not list."""
        if attempt.start_in_flight or attempt.start_unacknowledged or not attempt.may_be_on_machine:
            # A pushed start without an answer keeps its task bound to the machine
            # (test_attempt_of_a_closed_job_is_kept_until_its_unacknowledged_start_is_halted).
            return
        if attempt.sent_sequence and attempt.sent_sequence >= sequence:
            # The worker may not have had the start command yet when it sent this heartbeat.
            return
        if attempt.stage == SENT:
            self._attempts.handle_unexecuted_start(attempt)  # the answer with the start was lost
        else:
            self._attempts.remove(attempt, now)
