"""Moving work off machines that will be taken away."""

from basaltlead.core.attempt_table import AttemptTable
from basaltlead.core.entities import Attempt, Machine
from basaltlead.core.jobs import US
from basaltlead.core.task_states import BEFORE_FIRST_RUN, RUNNING, SENT
from basaltlead.core.timing import Timing


class Drainer:
    """Stops what is on a machine with a preemption notice, or on a faulty one, at its time."""

    def __init__(self, attempts: AttemptTable, timing: Timing) -> None:
        self._attempts = attempts
        # A command that is sent so long before the end is executed in time.
        self._stop_lead_us = 2 * timing.heartbeat_interval_us + US

    def drain(self, machine: Machine, now: int) -> None:
        """Stop what is to stop by now, saving what can be saved."""
        if not machine.is_draining:
            return
        left_us = None if machine.preemption_at is None else machine.preemption_at - now
        for attempt in list(machine.attempts.values()):
            if attempt.stop_grace_s is None:
                self._drain_attempt(attempt, left_us)

    def _drain_attempt(self, attempt: Attempt, left_us: int | None) -> None:
        """Stop an attempt if its time has come: `left_us` until the machine goes, None if that is
        not known."""
        machine, job = attempt.machine, attempt.job_state.job
        if attempt.stage in BEFORE_FIRST_RUN and attempt.stage != SENT:
            self._attempts.stop(attempt, 0.0)
        elif job.service:  # a plan moves it once there is a place for it, or it goes now
            if left_us is not None and left_us <= self._stop_lead_us:
                self._attempts.stop(attempt, 0.0)
        elif job.checkpoint_interval_us > 0 and attempt.stage == RUNNING:
            need_us = int(job.checkpoint_duration_s * US) + self._stop_lead_us
            if left_us is None or left_us <= need_us:
                self._attempts.stop_gracefully(attempt)
        elif machine.draining and (machine.failed_jobs or machine.straggler_jobs):
            self._attempts.stop(attempt, 0.0)
