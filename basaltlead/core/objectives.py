"""The service-level objectives of job classes, and the due times that follow from them."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from basaltlead.core.demand import NO_DUE, Due
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US

MIN_SAMPLES = 3  # tasks that must have run before their mean replaces the estimate


class ObjectiveType(StrEnum):
    """The kinds of objectives that decide when a job is due, as named in the settings."""

    DEADLINE = "deadline"  # jobs should be done by a multiple of their deadline
    WAIT = "wait"  # tasks should start within a span
    FINISHED = "finished"  # jobs should be done within a span


class Objective(Protocol):
    """An objective on starting or finishing, as given in the settings."""

    kind: str
    job_class: str
    within_s: float
    times: float


class ServiceLevelObjectives(Struct, frozen=True):
    """When jobs of each class should start or be done. The lists start with the tightest
    objective."""

    start_limits_us: dict[str, list[int]] = {}  # time for tasks to start
    finish_limits_us: dict[str, list[int]] = {}  # time for a job to be done
    deadline_factors: dict[str, list[float]] = {}  # multiples of a deadline

    @staticmethod
    def of(objectives: Iterable[Objective]) -> "ServiceLevelObjectives":
        """Collect objectives as given in the settings."""
        start_limits_us: dict[str, list[int]] = {}
        finish_limits_us: dict[str, list[int]] = {}
        deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            job_class = objective.job_class
            within_us = int(objective.within_s * US)
            match objective.kind:
                case ObjectiveType.DEADLINE:
                    deadline_factors.setdefault(job_class, []).append(objective.times)
                case ObjectiveType.WAIT if objective.within_s > 0:
                    start_limits_us.setdefault(job_class, []).append(within_us)
                case ObjectiveType.FINISHED if objective.within_s > 0:
                    finish_limits_us.setdefault(job_class, []).append(within_us)
        for by_class in (start_limits_us, finish_limits_us, deadline_factors):
            for values in by_class.values():
                values.sort()
        return ServiceLevelObjectives(start_limits_us, finish_limits_us, deadline_factors)

    def due(self, job_state: JobState, now: int) -> Due:
        """When the job should be done: the first of its deadline and its class's objectives that it
        can still meet.

        Tasks of an array that must have started by some time are done one run later. A service is
        never done.
        """
        job = job_state.job
        if job.service:
            return NO_DUE
        if job.due_us is not None:
            spans = [
                int(job.due_us * factor)
                for factor in self.deadline_factors.get(job.job_class, [1.0])
            ]
        else:
            spans = list(self.finish_limits_us.get(job.job_class, ()))
        if not job.gang:
            spans += [
                span + job.estimated_run_us for span in self.start_limits_us.get(job.job_class, ())
            ]
        if not spans:
            return NO_DUE
        run_us = (
            job_state.ran_us // job_state.ran_count
            if job_state.ran_count >= MIN_SAMPLES
            else job.estimated_run_us
        )
        for span in sorted(spans):
            # Estimates are often wrong: what would miss by a quarter of a run may still be on time.
            if now + run_us * 3 // 4 <= job_state.submitted_at + span:
                return Due(job_state.submitted_at + span)
        return Due(None, late=True)

    def has_objective(self, job_state: JobState, now: int) -> bool:
        """Whether the job has a deadline or an objective of its class, even if it is late by now. A
        service always counts as having one, since its users rely on it to run."""
        return job_state.job.service or self.due(job_state, now) != NO_DUE
