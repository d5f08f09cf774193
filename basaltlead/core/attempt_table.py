"""The attempts of a shard, from the decision to start them until they have provably ended."""

from collections.abc import Iterable

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.open_jobs import OpenJobs
from basaltlead.core.signals import ShardSignals
from basaltlead.core.task_states import FETCHING, PLANNED, RUNNING, SENT
from basaltlead.core.teams import TeamUsage

ATTEMPT_COUNTER_BITS = 24  # 16 million attempts, then the next of the grant's tokens is used


class AttemptTable:
    """Binds tasks to machines, and tracks the resources that teams use."""

    def __init__(self, first_token: int, jobs: OpenJobs, signals: ShardSignals) -> None:
        self.team_used: dict[str, TeamUsage] = {}
        self._first_token = first_token
        self._started = 0
        self._jobs = jobs
        self._signals = signals

    def next_attempt_number(self) -> int:
        """The number of a new attempt. It is unique without a write to the store, since it contains
        a fencing token that the grant reserved."""
        self._started += 1
        return (self._first_token << ATTEMPT_COUNTER_BITS) + self._started

    def used(self, team: str) -> TeamUsage:
        """What a team's tasks use, including those that only may be on their machines."""
        return self.team_used.get(team) or TeamUsage()

    def start(
        self, job_state: JobState, index: int, machine: Machine, attempt_number: int, now: int
    ) -> Attempt:
        """Bind a task to a machine; its start command is sent once there is capacity for it."""
        attempt = Attempt(job_state, index, machine, attempt_number, now)
        job_state.bind(attempt)
        job_state.progressed_at = now
        machine.attempts[attempt.key] = attempt
        machine.book(attempt)
        self._signals.push_queue[machine.name] = None
        team = self.team_used.setdefault(job_state.job.team, TeamUsage())
        team.cpus += job_state.job.cpus
        team.gpus += job_state.job.gpus
        return attempt

    def handle_unexecuted_start(self, attempt: Attempt) -> None:
        """Handle a start command that provably has not been executed and never will be: send it
        again, or remove the attempt if it was stopped while the command was in flight.

        Nobody else would remove it: no start of a stopped attempt is sent, and a report says
        nothing about an attempt that was not sent to its machine
        (test_attempt_whose_start_is_in_flight_never_stays_bound).
        """
        if attempt.stop_grace_s is not None:
            self.remove(attempt, attempt.machine.idle_since)
            return
        attempt.stage = PLANNED
        self._signals.push_queue[attempt.machine.name] = None

    def stop(self, attempt: Attempt, grace_s: float) -> None:
        """Stop an attempt, with `grace_s` to save a checkpoint. If its start was never sent, it is
        removed at once; otherwise its task is started elsewhere only after a report shows that the
        attempt has ended (test_stopped_task_starts_elsewhere_only_after_it_has_ended)."""
        if attempt.stage == PLANNED and not attempt.start_in_flight:
            self.remove(attempt, attempt.machine.idle_since)
        elif attempt.stop_grace_s is None or grace_s < attempt.stop_grace_s:
            if attempt.stop_grace_s is None:
                attempt.machine.unbook(attempt)
            attempt.stop_grace_s = grace_s
            self._signals.push_queue[attempt.machine.name] = None
        self._signals.plan_needed = True

    def stop_all(self, job_state: JobState) -> None:
        """Stop all attempts of a job without a grace period."""
        for attempt in list(job_state.live.values()):
            self.stop(attempt, 0.0)

    def stop_incomplete(self, job_state: JobState) -> None:
        """Stop a gang of which a task has waited too long for the others. Those that fetch their
        image are stopped once they have it.

        A machine gives up a fetch that no task waits for. Without the image there the next start
        would fail like this one, and so would each later one
        (test_gang_starts_although_an_image_takes_longer_than_its_tasks_wait).
        """
        for attempt in list(job_state.live.values()):
            if attempt.stage == FETCHING and attempt.stop_grace_s is None:
                attempt.stops_after_fetch = True
            else:
                self.stop(attempt, 0.0)

    def note_image_present(self, attempt: Attempt) -> None:
        """Note that an attempt has its image, and stop it if its gang is to be started anew."""
        attempt.machine.cache_image(attempt.job_state.job.image, attempt.job_state.job.image_gb)
        if attempt.stops_after_fetch:
            self.stop(attempt, 0.0)

    def stop_gracefully(self, attempt: Attempt) -> None:
        """Stop an attempt, with time to save its progress if it can; a gang is stopped as a
        whole."""
        job = attempt.job_state.job
        together = list(attempt.job_state.live.values()) if job.gang else [attempt]
        may_save = job.checkpoint_interval_us > 0 and all(
            member.stage == RUNNING for member in together
        )
        for member in together:
            self.stop(member, job.checkpoint_duration_s if may_save else 0.0)

    def remove(self, attempt: Attempt, now: int) -> None:
        """Remove an attempt that provably is not on its machine, unless it was removed before."""
        job_state = attempt.job_state
        machine = attempt.machine
        if not job_state.unbind(attempt):
            return
        job_state.progressed_at = max(job_state.progressed_at, now)
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
        self._jobs.discard_if_closed(job_state)
        self._signals.plan_needed = True

    def acknowledge_starts(self, pushed_starts: Iterable[Attempt], executed: bool | None) -> None:
        """Record whether pushed starts were executed; None if that is unknown."""
        for attempt in pushed_starts:
            attempt.start_in_flight = False
            if executed is None:
                # The answer to the next heartbeat carries the start again.
                attempt.start_unacknowledged = True
            elif not executed and attempt.stage == SENT:
                self.handle_unexecuted_start(attempt)
                self._signals.plan_needed = True
