"""One block's owner: what its machines must be told, given the picture that their reports give."""

from collections.abc import Iterable

from msgspec import Struct

from basaltlead.core.model import US, Attempt, Machine, Work
from basaltlead.core.shard_state import BlockState, Message

SLOW_TIMES = 6  # a machine is slow if a task takes that many times what others took
MOST_GIVEN_UP = 4  # tasks of one job that are taken off slow machines
# For how long a job keeps off a machine that was slow for it. It may be the only one that fits,
# and no job is to wait for 90 s beside room for it.
AVOID_US = 60 * US
MAX_ORDERS = 250  # in one message: keeps a line far below 64 KiB


class TaskCommand(Struct):
    """An order for a worker."""

    verb: str
    ref: str
    index: int
    token: int
    grace_s: float | None = None


class Block(BlockState):
    """Takes in reports and gives orders."""

    # Reports

    def beat(self, report: Message, now: int) -> list[TaskCommand] | None:
        """A report; the orders for its answer, or None when it must not be answered with 200.

        A report that does not show our fencing token may be a copy from long ago, or come from a
        machine that our answers don't reach. It is answered, so that a live machine can show it
        next time, but for one lease at most: after that the silence ends the machine's own lease,
        and nothing waits for it any longer.
        """
        machine = self.machines.get(report.machine)
        if machine is None or report.fencing_token > self.fencing_token:
            return None
        if report.session < machine.min_session:
            return None
        if (report.session, report.tick) <= (machine.session, machine.beat_tick):
            return []  # a late copy
        if report.fencing_token < self.fencing_token:
            machine.asked_at = machine.asked_at or now
            if now - machine.asked_at > self.timing.lease_us:
                return None
            if machine.lost:  # only what shows our fencing token proves that it is back
                return self.unwanted(report)
        if report.session > machine.session:
            self._new_session(machine, report.session, now)
        machine.beat_tick = report.tick
        newest = report.tick > machine.tick
        machine.heard_at = now
        machine.address = report.address
        self._note_recall(machine, report.recall_s, newest, now)
        if report.fencing_token == self.fencing_token:
            self._take_in(machine, report, newest, now)
        self._drain(machine, now)
        machine.answered_at = now
        return self.orders(machine, now) if machine.synced else self.unwanted(report)

    def _note_recall(
        self, machine: Machine, recall_s: float | None, newest: bool, now: int
    ) -> None:
        """Take in whether the machine has a notice, which only a newer report may take back."""
        if recall_s is None:
            if newest:
                machine.recall_at = None
            return
        if machine.recall_at is None:
            self.log(f"machine {machine.name} recalled in {recall_s:.1f} s")
            self.dirty = True
        machine.recall_at = now + int(max(0.0, recall_s) * US)

    def _take_in(self, machine: Machine, report: Message, newest: bool, now: int) -> None:
        """Take in a report that shows our fencing token."""
        if machine.asked_at:  # it did not show it before
            machine.asked_at = 0
            self.confirm_reachable(machine)
        doubted_at = max(machine.session_at, machine.unreachable_since)
        if now - doubted_at > self.timing.lease_expiry_us:
            # Did it not hear us, its lease, and with it its session, would have ended.
            self.confirm_reachable(machine)
        self._apply(machine, report, now, newest=newest, settles=True)
        machine.tick = max(machine.tick, report.tick)

    def unwanted(self, report: Message) -> list[TaskCommand]:
        """Halts for tasks of jobs that are over, on a machine of which we have no picture so far.
        The answer renews its lease, and it may be the last one that it gets: an order that
        waited for the next would come too late for a cancellation from long before us."""
        out: list[TaskCommand] = []
        for seen in report.tasks:
            ref, _, number = seen.task.rpartition("/")
            work = self.works.get(ref)
            if seen.stage != "ended" and (work is None or work.closed):
                out.append(TaskCommand("halt", ref, int(number), seen.token, 0.0))
        return out[:MAX_ORDERS]

    def answer(self, report: Message, now: int, flown: Iterable[Attempt] = ()) -> None:
        """The answer to direct orders. `flown` are the starts that it proves to be executed."""
        machine = self.machines.get(report.machine)
        if machine is not None and report.session == machine.session:
            for attempt in flown:
                attempt.sent_tick = max(attempt.sent_tick, report.tick)
        if machine is None or report.session < machine.min_session:
            return
        if report.session > machine.session:
            self._new_session(machine, report.session, now)
        if report.session < machine.session:
            return
        self.confirm_reachable(machine)
        if report.tick <= machine.tick:
            return
        if report.fencing_token == self.fencing_token:
            self._apply(machine, report, now, newest=True, settles=False)
            machine.tick = report.tick

    # Orders

    def orders(self, machine: Machine, now: int) -> list[TaskCommand]:
        """What the machine must be told, given what it last reported."""
        if not machine.synced or machine.deleting:
            return []
        out = [*self._listed_orders(machine), *self._stop_orders(machine)]
        for attempt in self.startable(machine, now):
            attempt.stage = "sent"
            attempt.sent_tick = machine.beat_tick
            out.append(self._task_command("run", attempt, None))
        return out[:MAX_ORDERS]

    def _listed_orders(self, machine: Machine) -> list[TaskCommand]:
        """What becomes of attempts that are over, or that nobody wants."""
        out: list[TaskCommand] = []
        for (ref, index, token), rest in machine.listed_attempts.items():
            if not rest.over:
                out.append(TaskCommand("halt", ref, index, token, 0.0))
            elif not rest.loose and (rest.forgettable or self._kept(ref, index)):
                out.append(TaskCommand("forget", ref, index, token))
            if len(out) >= MAX_ORDERS:
                break  # the others go with the next answer
        return out

    def _stop_orders(self, machine: Machine) -> list[TaskCommand]:
        """Halts for attempts that are to stop. A start that was never answered goes out once
        more before its halt, so that a copy that comes later starts nothing."""
        out: list[TaskCommand] = []
        for attempt in machine.attempts.values():
            if attempt.grace is None:
                continue
            if attempt.stage == "sent" and attempt.loose:
                out.append(self._task_command("run", attempt, None))
            if attempt.stage == "saving" and attempt.grace > 0:
                continue
            if attempt.stage != "sent" or attempt.loose:
                out.append(self._task_command("halt", attempt, attempt.grace))
        return out

    def direct(self, machine: Machine, now: int) -> tuple[list[TaskCommand], list[Attempt]]:
        """Orders worth sending at once, and the starts among them. A start that is on its way
        directly is in no report's answer, and bound to its machine until it is settled."""
        if not machine.synced or machine.deleting or machine.lost or not machine.address:
            return [], []
        out: list[TaskCommand] = []
        for attempt in machine.attempts.values():
            if attempt.grace is None or attempt.told == attempt.grace or attempt.stage in (
                "planned", "sent",
            ):  # fmt: skip
                continue
            attempt.told = attempt.grace
            out.append(self._task_command("halt", attempt, attempt.grace))
        flown = [a for a in self.startable(machine, now) if a.stage == "planned"]
        for attempt in flown:
            attempt.stage = "sent"
            attempt.flying = True
            out.append(self._task_command("run", attempt, None))
        return out, flown

    def presses(self, machine: Machine) -> bool:
        """Has it orders that were not sent so far? Some wait for room, or for an answer."""
        return any(
            a.told != a.grace if a.grace is not None else a.stage == "planned"
            for a in machine.attempts.values()
        )

    def landed(self, flown: Iterable[Attempt], executed: bool | None) -> None:
        """Direct starts were executed, were not, or (None) nobody knows."""
        for attempt in flown:
            attempt.flying = False
            if executed is None:
                attempt.loose = True  # sent again with the next report's answer
            elif not executed and attempt.stage == "sent":
                attempt.stage = "planned"
                self.urgent[attempt.machine.name] = None
                self.dirty = True

    def startable(self, machine: Machine, now: int) -> list[Attempt]:
        """Wishes that may go out now: there is room beside all that may be on the machine."""
        waiting = [
            a for a in machine.attempts.values()
            if a.grace is None and a.stage in ("planned", "sent") and not a.flying
        ]  # fmt: skip
        if not waiting or machine.lost or not machine.recorded:
            return []
        room = machine.room()
        out = []
        for attempt in sorted(waiting, key=lambda a: -a.work.job.rank):
            if attempt.stage == "sent":
                out.append(attempt)
            elif room.fits(attempt.work.job) and not machine.busy_with(attempt.key):
                room.take(attempt.work.job)
                out.append(attempt)
        return out

    @staticmethod
    def _task_command(verb: str, attempt: Attempt, grace_s: float | None) -> TaskCommand:
        return TaskCommand(verb, attempt.work.job.ref, attempt.index, attempt.token, grace_s)

    def _kept(self, ref: str, index: int) -> bool:
        """Is the result stored? Results of jobs that are over need none."""
        work = self.works.get(ref)
        return work is None or work.closed or (
            index < work.job.tasks and work.is_done(index) and index not in work.unstored
        )  # fmt: skip

    def settled(self, machine: Machine) -> bool:
        """Would nothing be lost if the machine were returned? An attempt whose number must not be
        forgotten stays listed for as long as its session lasts: it is no reason to go on paying
        for the machine."""
        return not machine.attempts and all(
            rest.over and (rest.forgettable or self._kept(ref, index))
            for (ref, index, _), rest in machine.listed_attempts.items()
        )

    # Time

    def tick(self, now: int) -> None:
        """What changes by the mere passing of time."""
        # Ten times a second, over thousands of machines: most have nothing to be looked at.
        silent_before = now - self.timing.lease_expiry_us
        due = [
            m for m in self.machines.values()
            if m.answered_at < silent_before or m.recall_at is not None or m.draining
        ]  # fmt: skip
        for machine in due:
            since = max(machine.answered_at, self.took_at)
            if not machine.lost and now - since > self.timing.lease_expiry_us:
                if machine.up or machine.name in self.unsynced:
                    self._lose(machine, now)
            else:
                self._drain(machine, now)
        if now >= self.slow_checked_at + US:
            self.slow_checked_at = now
            for work in list(self.works.values()):
                if work.live and not work.closed:
                    self._give_up_slow(work, now)

    def _give_up_slow(self, work: Work, now: int) -> None:
        """Take tasks off machines that are much slower than their kind: what takes many times as
        long as the job's other tasks did, or as its class was guessed to take. A job that is
        slow everywhere is left alone after a few tries, and one without a guess from the start."""
        if work.given_up >= MOST_GIVEN_UP or work.job.guess_us <= 0 or work.job.service:
            return
        if work.ran_count >= 3:
            limit = SLOW_TIMES * self.guess_us(work) + 30 * US
        else:
            limit = 2 * SLOW_TIMES * self.guess_us(work) + 60 * US
        for attempt in list(work.live.values()):
            if attempt.stage != "running" or attempt.grace is not None or not attempt.ran_at:
                continue
            machine = attempt.machine
            if now - attempt.ran_at > limit and not machine.unreachable_since and not machine.lost:
                work.given_up += 1
                work.failed_on[machine.name] = now + AVOID_US
                machine.slow.add(work.job.ref)
                self.log(f"machine {machine.name} is slow: {work.job.ref}/{attempt.index} given up")
                if len(machine.slow) >= 2:
                    machine.draining = True
                self.stop_softly(attempt)

    def _drain(self, machine: Machine, now: int) -> None:
        """Move work off a machine that will be taken away, saving what can be saved."""
        if machine.recall_at is None and not machine.draining:
            return
        left_us = None if machine.recall_at is None else machine.recall_at - now
        last_moment_us = 2 * self.timing.report_us + US
        for attempt in list(machine.attempts.values()):
            if attempt.grace is not None:
                continue
            job = attempt.work.job
            if attempt.stage in ("planned", "fetching", "gathering"):
                self.stop(attempt, 0.0)
            elif job.service:  # a plan moves it once there is a place for it, or it goes now
                if left_us is not None and left_us <= last_moment_us:
                    self.stop(attempt, 0.0)
            elif job.mark_every_us > 0 and attempt.stage == "running":
                need_us = int(job.mark_s * US) + last_moment_us
                if left_us is None or left_us <= need_us:
                    self.stop_softly(attempt)
            elif machine.draining and (machine.faults or machine.slow):
                self.stop(attempt, 0.0)
