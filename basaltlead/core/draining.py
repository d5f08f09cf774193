"""Moves tasks off machines that are faulty (failing or slow) or about to be preempted."""

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.jobs import US
from basaltlead.core.task_states import BEFORE_FIRST_RUN, RUNNING, SENT
from basaltlead.core.timing import Timing


class Drainer:
    """Stops the attempts on draining machines, each as late as its job allows."""

    def __init__(self, attempts: AttemptTable, timing: Timing) -> None:
        self._attempts = attempts
        # A stop that is sent this long before the machine goes is executed in time.
        self._stop_lead_us = 2 * timing.heartbeat_interval_us + US

    def drain(self, machine: Machine, now: int) -> None:
        """Stop the attempts that are due, saving progress where possible."""
        if not machine.is_draining:
            return
        left_us = None if machine.preemption_at is None else machine.preemption_at - now
        for attempt in list(machine.attempts.values()):
            if attempt.stop_grace_s is None:
                self._drain_attempt(attempt, left_us)

    def _drain_attempt(self, attempt: Attempt, left_us: int | None) -> None:
        """Stop an attempt if it is due. `left_us` is the time until the machine goes; None if it is
        not known."""
        machine, job = attempt.machine, attempt.job_state.job
        if attempt.stage in BEFORE_FIRST_RUN and attempt.stage != SENT:
            self._attempts.stop(attempt, 0.0)
        elif job.service:  # a plan moves it once it fits elsewhere; this is the last moment
            if left_us is not None and left_us <= self._stop_lead_us:
                self._attempts.stop(attempt, 0.0)
        elif job.checkpoint_interval_us > 0 and attempt.stage == RUNNING:
            need_us = int(job.checkpoint_duration_s * US) + self._stop_lead_us
            if left_us is None or left_us <= need_us:
                self._attempts.stop_gracefully(attempt)
        elif machine.faulty and (machine.failed_jobs or machine.straggler_jobs):
            self._attempts.stop(attempt, 0.0)
