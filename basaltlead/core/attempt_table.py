"""The attempts of a shard, from the decision to start them until they are provably gone."""

from collections.abc import Iterable

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.signals import ShardSignals
from basaltlead.core.task_states import PLANNED, RUNNING, SENT
from basaltlead.core.teams import TeamUsage

ATTEMPT_COUNTER_BITS = 24  # attempts a shard leader can start under one fencing token: 16 million


class AttemptTable:
    """Binds tasks to machines, and keeps account of what their teams use."""

    def __init__(self, fencing_token: int, jobs: OpenJobs, signals: ShardSignals) -> None:
        self.team_used: dict[str, TeamUsage] = {}
        self._fencing_token = fencing_token
        self._started = 0
        self._jobs = jobs
        self._signals = signals

    def next_attempt_number(self) -> int:
        """The number of a new attempt, unique without a write: fencing tokens are."""
        self._started += 1
        return (self._fencing_token << ATTEMPT_COUNTER_BITS) | self._started

    def used(self, team: str) -> TeamUsage:
        """What a team's tasks take, those counted that only may be there."""
        return self.team_used.get(team) or TeamUsage()

    def start(
        self, job_state: JobState, index: int, machine: Machine, attempt_number: int, now: int
    ) -> Attempt:
        """Bind a task to a machine; its start command goes out once there is room for it."""
        attempt = Attempt(job_state, index, machine, attempt_number, now)
        job_state.bind(attempt)
        machine.attempts[attempt.key] = attempt
        machine.book(attempt)
        self._signals.push_queue[machine.name] = None
        team = self.team_used.setdefault(job_state.job.team, TeamUsage())
        team.cpus += job_state.job.cpus
        team.gpus += job_state.job.gpus
        return attempt

    def plan_again(self, attempt: Attempt) -> None:
        """Its start command is provably not executed: it goes out again."""
        attempt.stage = PLANNED
        self._signals.push_queue[attempt.machine.name] = None

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Have it stopped, with so long to save a checkpoint. One that was never sent is gone at
        once; of any other its task is started elsewhere only after a report shows that it ended
        (test_stopped_task_starts_elsewhere_only_after_it_has_ended)."""
        if attempt.stage == PLANNED and not attempt.start_in_flight:
            self.remove(attempt, attempt.machine.idle_since)
        elif attempt.stop_grace_s is None or grace_s < attempt.stop_grace_s:
            if attempt.stop_grace_s is None:
                attempt.machine.unbook(attempt)
            attempt.stop_grace_s = grace_s
            self._signals.push_queue[attempt.machine.name] = None
        self._signals.plan_needed = True

    def stop_all(self, job_state: JobState) -> None:
        """Have all attempts of a job stopped at once."""
        for attempt in list(job_state.live.values()):
            self.stop(attempt, 0.0)

    def stop_gracefully(self, attempt: Attempt) -> None:
        """Stop it so that its progress is saved if that can be; a gang's tasks go together."""
        job = attempt.job_state.job
        together = list(attempt.job_state.live.values()) if job.gang else [attempt]
        may_save = job.checkpoint_interval_us > 0 and all(
            member.stage == RUNNING for member in together
        )
        for member in together:
            self.stop(member, job.checkpoint_duration_s if may_save else 0.0)

    def remove(self, attempt: Attempt, now: int) -> None:
        """It is provably not on its machine, or not any more."""
        job_state = attempt.job_state
        machine = attempt.machine
        if not job_state.unbind(attempt.index):
            return
        machine.attempts.pop(attempt.key, None)
        if attempt.stop_grace_s is None:
            machine.unbook(attempt)
        machine.add_usage(attempt, now)
        if not machine.attempts:
            machine.idle_since = now
        team = self.team_used[job_state.job.team]
        team.cpus -= job_state.job.cpus
        team.gpus -= job_state.job.gpus
        if not job_state.closed and not job_state.is_done(attempt.index):
            job_state.queue.put_back(attempt.index)
        self._jobs.discard_if_over(job_state)
        self._signals.plan_needed = True

    def acknowledge_starts(self, pushed_starts: Iterable[Attempt], executed: bool | None) -> None:
        """Pushed starts were executed, were not, or (None) nobody knows."""
        for attempt in pushed_starts:
            attempt.start_in_flight = False
            if executed is None:
                # The answer to the next heartbeat carries the start again.
                attempt.start_unacknowledged = True
            elif not executed and attempt.stage == SENT:
                self.plan_again(attempt)
                self._signals.plan_needed = True
