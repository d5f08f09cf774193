"""One shard leader: what its machines must be told, given the picture that their reports give."""

from collections.abc import Iterable

from basaltlead.core.commands import TaskCommand
from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.jobs import US
from basaltlead.core.shard_state import Message, ShardState

SLOW_TIMES = 6  # a machine is slow if a task takes that many times what others took
MOST_GIVEN_UP = 4  # tasks of one job that are taken off slow machines
# For how long a job keeps off a machine that was slow for it. It may be the only one that fits,
# and no job is to wait for 90 s beside room for it.
AVOID_US = 60 * US
MAX_COMMANDS = 250  # in one message: keeps a line far below 64 KiB


class Shard(ShardState):
    """Takes in reports and gives orders."""

    # Reports

    def heartbeat(self, heartbeat: Message, now: int) -> list[TaskCommand] | None:
        """A report; the orders for its answer, or None when it must not be answered with 200.

        A report that does not show our fencing token may be a copy from long ago, or come from a
        machine that our answers don't reach. It is answered, so that a live machine can show it
        next time, but for one lease at most: after that the silence ends the machine's own lease,
        and nothing waits for it any longer.
        """
        machine = self.machines.get(heartbeat.machine)
        if machine is None or heartbeat.fencing_token > self.fencing_token:
            return None
        if heartbeat.epoch < machine.min_epoch:
            return None
        if (heartbeat.epoch, heartbeat.sequence) <= (machine.epoch, machine.heartbeat_sequence):
            return []  # a late copy
        if heartbeat.fencing_token < self.fencing_token:
            machine.unsynced_since = machine.unsynced_since or now
            if now - machine.unsynced_since > self.timing.lease_us:
                return None
            if machine.lost:  # only what shows our fencing token proves that it is back
                return self.halt_orphans(heartbeat)
        if heartbeat.epoch > machine.epoch:
            self._begin_epoch(machine, heartbeat.epoch, now)
        machine.heartbeat_sequence = heartbeat.sequence
        newest = heartbeat.sequence > machine.sequence
        machine.heard_at = now
        machine.address = heartbeat.address
        self._note_preemption_notice(machine, heartbeat.preemption_notice_s, newest, now)
        if heartbeat.fencing_token == self.fencing_token:
            self._take_in(machine, heartbeat, newest, now)
        self._drain(machine, now)
        machine.answered_at = now
        return self.commands(machine, now) if machine.synced else self.halt_orphans(heartbeat)

    def _note_preemption_notice(
        self, machine: Machine, preemption_notice_s: float | None, newest: bool, now: int
    ) -> None:
        """Take in whether the machine has a notice, which only a newer report may take back."""
        if preemption_notice_s is None:
            if newest:
                machine.preemption_at = None
            return
        if machine.preemption_at is None:
            self.log(f"machine {machine.name} recalled in {preemption_notice_s:.1f} s")
            self.dirty = True
        machine.preemption_at = now + int(max(0.0, preemption_notice_s) * US)

    def _take_in(self, machine: Machine, heartbeat: Message, newest: bool, now: int) -> None:
        """Take in a report that shows our fencing token."""
        if machine.unsynced_since:  # it did not show it before
            machine.unsynced_since = 0
            self.confirm_reachable(machine)
        doubted_at = max(machine.epoch_started_at, machine.unreachable_since)
        if now - doubted_at > self.timing.lease_expiry_us:
            # Did it not hear us, its lease, and with it its session, would have ended.
            self.confirm_reachable(machine)
        self._apply(machine, heartbeat, now, newest=newest, settles=True)
        machine.sequence = max(machine.sequence, heartbeat.sequence)

    def halt_orphans(self, heartbeat: Message) -> list[TaskCommand]:
        """Halts for tasks of jobs that are over, on a machine of which we have no picture so far.
        The answer renews its lease, and it may be the last one that it gets: an order that
        waited for the next would come too late for a cancellation from long before us."""
        out: list[TaskCommand] = []
        for seen in heartbeat.tasks:
            ref, _, number = seen.task.rpartition("/")
            job_state = self.job_states.get(ref)
            if seen.stage != "ended" and (job_state is None or job_state.closed):
                out.append(TaskCommand("halt", ref, int(number), seen.attempt_number, 0.0))
        return out[:MAX_COMMANDS]

    def answer(self, heartbeat: Message, now: int, pushed_starts: Iterable[Attempt] = ()) -> None:
        """The answer to direct orders. `pushed_starts` are the starts that it proves to be
        executed."""
        machine = self.machines.get(heartbeat.machine)
        if machine is not None and heartbeat.epoch == machine.epoch:
            for attempt in pushed_starts:
                attempt.sent_sequence = max(attempt.sent_sequence, heartbeat.sequence)
        if machine is None or heartbeat.epoch < machine.min_epoch:
            return
        if heartbeat.epoch > machine.epoch:
            self._begin_epoch(machine, heartbeat.epoch, now)
        if heartbeat.epoch < machine.epoch:
            return
        self.confirm_reachable(machine)
        if heartbeat.sequence <= machine.sequence:
            return
        if heartbeat.fencing_token == self.fencing_token:
            self._apply(machine, heartbeat, now, newest=True, settles=False)
            machine.sequence = heartbeat.sequence

    # Orders

    def commands(self, machine: Machine, now: int) -> list[TaskCommand]:
        """What the machine must be told, given what it last reported."""
        if not machine.synced or machine.terminating:
            return []
        out = [*self._orphan_commands(machine), *self._stop_commands(machine)]
        for attempt in self.startable(machine, now):
            attempt.stage = "sent"
            attempt.sent_sequence = machine.heartbeat_sequence
            out.append(self._task_command("run", attempt, None))
        return out[:MAX_COMMANDS]

    def _orphan_commands(self, machine: Machine) -> list[TaskCommand]:
        """What becomes of attempts that are over, or that nobody wants."""
        out: list[TaskCommand] = []
        for (ref, index, attempt_number), rest in machine.orphaned_attempts.items():
            if not rest.ended:
                out.append(TaskCommand("halt", ref, index, attempt_number, 0.0))
            elif not rest.start_unacknowledged and (rest.forgettable or self._kept(ref, index)):
                out.append(TaskCommand("forget", ref, index, attempt_number))
            if len(out) >= MAX_COMMANDS:
                break  # the others go with the next answer
        return out

    def _stop_commands(self, machine: Machine) -> list[TaskCommand]:
        """Halts for attempts that are to stop. A start that was never answered goes out once
        more before its halt, so that a copy that comes later starts nothing."""
        out: list[TaskCommand] = []
        for attempt in machine.attempts.values():
            if attempt.stop_grace_s is None:
                continue
            if attempt.stage == "sent" and attempt.start_unacknowledged:
                out.append(self._task_command("run", attempt, None))
            if attempt.stage == "saving" and attempt.stop_grace_s > 0:
                continue
            if attempt.stage != "sent" or attempt.start_unacknowledged:
                out.append(self._task_command("halt", attempt, attempt.stop_grace_s))
        return out

    def take_push_commands(
        self, machine: Machine, now: int
    ) -> tuple[list[TaskCommand], list[Attempt]]:
        """Orders worth sending at once, and the starts among them. A start that is on its way
        directly is in no report's answer, and bound to its machine until it is settled."""
        if not machine.synced or machine.terminating or machine.lost or not machine.address:
            return [], []
        out: list[TaskCommand] = []
        for attempt in machine.attempts.values():
            if (
                attempt.stop_grace_s is None
                or attempt.pushed_grace_s == attempt.stop_grace_s
                or attempt.stage
                in (
                    "planned",
                    "sent",
                )
            ):
                continue
            attempt.pushed_grace_s = attempt.stop_grace_s
            out.append(self._task_command("halt", attempt, attempt.stop_grace_s))
        pushed_starts = [a for a in self.startable(machine, now) if a.stage == "planned"]
        for attempt in pushed_starts:
            attempt.stage = "sent"
            attempt.start_in_flight = True
            out.append(self._task_command("run", attempt, None))
        return out, pushed_starts

    def has_pending_commands(self, machine: Machine) -> bool:
        """Has it orders that were not sent so far? Some wait for room, or for an answer."""
        return any(
            a.pushed_grace_s != a.stop_grace_s
            if a.stop_grace_s is not None
            else a.stage == "planned"
            for a in machine.attempts.values()
        )

    def acknowledge_starts(self, pushed_starts: Iterable[Attempt], executed: bool | None) -> None:
        """Direct starts were executed, were not, or (None) nobody knows."""
        for attempt in pushed_starts:
            attempt.start_in_flight = False
            if executed is None:
                attempt.start_unacknowledged = True  # sent again with the next report's answer
            elif not executed and attempt.stage == "sent":
                attempt.stage = "planned"
                self.urgent[attempt.machine.name] = None
                self.dirty = True

    def startable(self, machine: Machine, now: int) -> list[Attempt]:
        """Wishes that may go out now: there is room beside all that may be on the machine."""
        waiting = [
            a
            for a in machine.attempts.values()
            if a.stop_grace_s is None and a.stage in ("planned", "sent") and not a.start_in_flight
        ]
        if not waiting or machine.lost or not machine.recorded:
            return []
        room = machine.room()
        out = []
        for attempt in sorted(waiting, key=lambda a: -a.job_state.job.rank):
            if attempt.stage == "sent":
                out.append(attempt)
            elif room.fits(attempt.job_state.job) and not machine.busy_with(attempt.key):
                room.take(attempt.job_state.job)
                out.append(attempt)
        return out

    @staticmethod
    def _task_command(verb: str, attempt: Attempt, grace_s: float | None) -> TaskCommand:
        return TaskCommand(
            verb, attempt.job_state.job.ref, attempt.index, attempt.attempt_number, grace_s
        )

    def _kept(self, ref: str, index: int) -> bool:
        """Is the result stored? Results of jobs that are over need none."""
        job_state = self.job_states.get(ref)
        return (
            job_state is None
            or job_state.closed
            or (
                index < job_state.job.tasks
                and job_state.is_done(index)
                and index not in job_state.unstored
            )
        )

    def settled(self, machine: Machine) -> bool:
        """Would nothing be lost if the machine were returned? An attempt whose number must not be
        forgotten stays listed for as long as its session lasts: it is no reason to go on paying
        for the machine."""
        return not machine.attempts and all(
            rest.ended and (rest.forgettable or self._kept(ref, index))
            for (ref, index, _), rest in machine.orphaned_attempts.items()
        )

    # Time

    def advance(self, now: int) -> None:
        """What changes by the mere passing of time."""
        # Ten times a second, over thousands of machines: most have nothing to be looked at.
        silent_before = now - self.timing.lease_expiry_us
        due = [
            m
            for m in self.machines.values()
            if m.answered_at < silent_before or m.preemption_at is not None or m.draining
        ]
        for machine in due:
            since = max(machine.answered_at, self.took_at)
            if not machine.lost and now - since > self.timing.lease_expiry_us:
                if machine.up or machine.name in self.unsynced:
                    self._lose(machine, now)
            else:
                self._drain(machine, now)
        if now >= self.slow_checked_at + US:
            self.slow_checked_at = now
            for job_state in list(self.job_states.values()):
                if job_state.live and not job_state.closed:
                    self._give_up_slow(job_state, now)

    def _give_up_slow(self, job_state: JobState, now: int) -> None:
        """Take tasks off machines that are much slower than their kind: what takes many times as
        long as the job's other tasks did, or as its class was guessed to take. A job that is
        slow everywhere is left alone after a few tries, and one without a guess from the start."""
        if (
            job_state.given_up >= MOST_GIVEN_UP
            or job_state.job.guess_us <= 0
            or job_state.job.service
        ):
            return
        if job_state.ran_count >= 3:
            limit = SLOW_TIMES * self.guess_us(job_state) + 30 * US
        else:
            limit = 2 * SLOW_TIMES * self.guess_us(job_state) + 60 * US
        for attempt in list(job_state.live.values()):
            if (
                attempt.stage != "running"
                or attempt.stop_grace_s is not None
                or not attempt.running_since
            ):
                continue
            machine = attempt.machine
            if (
                now - attempt.running_since > limit
                and not machine.unreachable_since
                and not machine.lost
            ):
                job_state.given_up += 1
                job_state.failed_on[machine.name] = now + AVOID_US
                machine.straggler_jobs.add(job_state.job.ref)
                self.log(
                    f"machine {machine.name} is slow: {job_state.job.ref}/{attempt.index} given up"
                )
                if len(machine.straggler_jobs) >= 2:
                    machine.draining = True
                self.stop_gracefully(attempt)

    def _drain(self, machine: Machine, now: int) -> None:
        """Move work off a machine that will be taken away, saving what can be saved."""
        if machine.preemption_at is None and not machine.draining:
            return
        left_us = None if machine.preemption_at is None else machine.preemption_at - now
        last_moment_us = 2 * self.timing.heartbeat_interval_us + US
        for attempt in list(machine.attempts.values()):
            if attempt.stop_grace_s is not None:
                continue
            job = attempt.job_state.job
            if attempt.stage in ("planned", "fetching", "gathering"):
                self.stop(attempt, 0.0)
            elif job.service:  # a plan moves it once there is a place for it, or it goes now
                if left_us is not None and left_us <= last_moment_us:
                    self.stop(attempt, 0.0)
            elif job.checkpoint_interval_us > 0 and attempt.stage == "running":
                need_us = int(job.checkpoint_duration_s * US) + last_moment_us
                if left_us is None or left_us <= need_us:
                    self.stop_gracefully(attempt)
            elif machine.draining and (machine.failed_jobs or machine.straggler_jobs):
                self.stop(attempt, 0.0)
