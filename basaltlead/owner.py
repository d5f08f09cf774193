"""The owner of a block: loads it, answers its workers, starts its tasks, stores their results."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from basaltlead.clients.base import Backoff, Unavailable, encode
from basaltlead.clients.state import TROUBLE, Conflict, NoHold, State
from basaltlead.clients.workers import Workers
from basaltlead.clock import age_us, now_us, wall_us
from basaltlead.core.block import Block, Limits, Timing, Wish
from basaltlead.core.leadership import Grant, Load, block_key, load_key
from basaltlead.core.market import Market, TeamRecord
from basaltlead.core.model import US, Attempt, Job, Kind, Machine, Work
from basaltlead.core.planning import plan
from basaltlead.following import follow
from basaltlead.logs import log
from basaltlead.membership import Membership
from basaltlead.net.http import Failed, Response
from basaltlead.records import (
    HIRE,
    LEASE,
    MACHINE,
    OPEN,
    OVER,
    TEAM,
    Final,
    Lease,
    Progress,
    StoredHire,
    StoredJob,
    StoredMachine,
    job_of,
    load_progress,
    progress_key,
    progress_of,
    split_open,
    stretch_count,
    stretches,
)  # fmt: skip
from basaltlead.settings import Settings
from basaltlead.waiting import woken
from basaltlead.wire.state import Change, Drop, Guard, Put, Row
from basaltlead.wire.workers import Command, Order, Orders, Report

PLAN_US = US // 2  # some things become possible by the mere passing of time
FLUSH_US = 2 * US  # results of unfinished jobs wait this long: their workers still keep them


def order_of(wish: Wish) -> Order:
    return Order(wish.verb, f"{wish.ref}/{wish.index}", wish.token, wish.grace_s)


class Lane:
    """What was lately seen of a class."""

    def __init__(self, last: Job) -> None:
        self.last = last
        self.seen: deque[tuple[int, str]] = deque(maxlen=200)  # when, and with which image


class Owner:
    """Lives from the grant of a block until it is lost; a new grant means a new Owner."""

    def __init__(
        self, settings: Settings, member: Membership, state: State, number: int,
        grant: Grant, stamp: int, market: Market, kinds: dict[str, Kind],
    ) -> None:  # fmt: skip
        self.settings = settings
        self.member = member
        self.state = state
        self.number = number
        self.grant = grant
        self.stamp = stamp
        self.market = market
        self.kinds = kinds
        w = settings.facts.workers
        timing = Timing(int(w.lease_s * US), int(w.report_s * US))
        self.block = Block(grant.baton, stamp, now_us(), timing, limits_of(settings))
        self.block.log = lambda text: log.info("%s", text)
        self.workers = Workers(worker_sockets(settings))
        self.loaded = False
        self.resigned = False  # we have stopped acting, for good
        self.watched_at = now_us()  # when the last good look at the open jobs was asked for
        self.hires: dict[str, StoredHire] = {}
        self.shared = settings.operator.blocks > 1  # is the work leased in parts?
        self.leases: dict[str, tuple[Lease, int]] = {}
        self.leases_since = 0
        self.giving: set[str] = set()  # jobs of which we are handing tasks over
        self.early: dict[str, int] = {}  # answers given before the block was loaded
        self.stored_running: dict[str, int] = {}
        self.flushed_at: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.wake = asyncio.Event()
        self.pushing: set[str] = set()  # machines with direct orders under way
        self.probing: set[str] = set()  # machines that are being asked whether they hear us
        self.recording: set[str] = set()  # machines that are being written down
        self.heard_at = 0  # the last report of any machine that shows our baton
        self.lanes: dict[str, Lane] = {}
        self.on_loaded: Callable[[], None] = lambda: None
        self.foreign: Callable[[str], bool] = lambda name: False  # is it another block's?

    # Rights

    @property
    def acts(self) -> bool:
        """The hold, the grant and our sight of cancellations all provably last."""
        return (
            self.member.acts
            and not self.resigned
            and self.member.life == self.grant.life
            and now_us() < self.watched_at + self.settings.ride_us
        )

    def guards(self) -> list[Guard]:
        return [self.member.guard(), Guard(block_key(self.number), self.stamp)]

    # Life

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s failed", task.get_name(), exc_info=task.exception())
            if task.get_name().startswith("loop "):
                # A loop of ours must never end unseen. A fresh grant starts from what is stored.
                self.resigned = True
                self.member.wake.set()

    def start(self) -> None:
        self.spawn(self._run(), "loop load")

    def stop(self) -> None:
        self.resigned = True
        for task in list(self.tasks):
            task.cancel()
        for address in list(self.workers.pools):
            self.workers.forget(address)

    async def _run(self) -> None:
        backoff = Backoff(100_000, 1_000_000, self.member.chance)
        while not self.kinds:  # without them no machine's room is known
            await asyncio.sleep(0.05)
        while True:
            try:
                revision = await self._load()
                break
            except TROUBLE as fault:
                log.info("loading block %d: %s", self.number, fault)
                await backoff.rest()
        self.loaded = True
        self.on_loaded()
        self.spawn(self._watch(revision), "loop watch")
        self.spawn(self._flush(), "loop flush")
        self.spawn(self._plan(), "loop plan")
        self.spawn(self._rounds(), "loop rounds")
        if self.shared:
            self.spawn(self._watch_leases(), "loop leases")
            self.spawn(self._balance(), "loop balance")
        for machine in list(self.block.machines.values()):
            if machine.name in self.block.risky and machine.address:
                self.probe(machine)

    async def _load(self) -> int:
        block = self.block
        asked = now_us()
        rows, revision = await self.state.rows(OPEN)
        machines, _ = await self.state.rows(MACHINE)
        hires, _ = await self.state.rows(HIRE)
        teams, _ = await self.state.rows(TEAM)
        leases: list[Row] = []
        if self.shared:
            leases, self.leases_since = await self.state.rows(LEASE)
        now = now_us()
        for row in rows:
            self._take_open(row.key, row.value, row.stamp, now)
        for row in machines:
            stored = msgspec.json.decode(row.value, type=StoredMachine)
            if stored.block != self.number:
                continue
            kind = self.kinds.get(stored.kind) or placeholder_kind(stored.kind)
            machine = Machine(row.key[len(MACHINE) :], kind, stored.zone, stored.spot, now)
            machine.address = stored.address
            machine.made_at = now - age_us(stored.at)
            machine.answered_at = self.early.get(machine.name, block.took_at)
            block.load_machine(machine)
        for row in hires:
            hire = msgspec.json.decode(row.value, type=StoredHire)
            if hire.block == self.number:
                self.hires[row.key[len(HIRE) :]] = hire
        self._load_leases(leases)
        for row in teams:
            team, _, number = row.key[len(TEAM) :].rpartition("/")
            if number == str(self.number):
                self.market.load(team, msgspec.json.decode(row.value, type=TeamRecord))
        self.watched_at = asked
        log.info(
            "block %d loaded: %d jobs, %d machines, %d hires", self.number,
            len(block.works), len(block.machines), len(self.hires),
        )  # fmt: skip
        return revision

    def _take_open(self, key: str, raw: msgspec.Raw, stamp: int, now: int) -> None:
        ref, part = split_open(key)
        if part is None:
            stored = msgspec.json.decode(raw, type=StoredJob)
            if ref in self.block.works:
                return
            age = age_us(stored.at)
            work = self.block.add_job(job_of(stored.job), stamp, now, age)
            if self.shared:
                work.lease(self.leases[ref][0].of(self.number) if ref in self.leases else [])
            work.bid = self.market.first_bid(work, now)
            lane = self.lanes.setdefault(work.job.lane, Lane(work.job))
            lane.last = work.job
            lane.seen.append((now - age, work.job.image))
            log.info("job %s (%s, %d tasks) taken up", ref, work.job.lane, work.job.tasks)
            self.wake.set()
        elif ref in self.block.works and (not self.loaded or part[0] != self.number):
            progress = msgspec.json.decode(raw, type=Progress)
            load_progress(self.block.works[ref], part[1], progress, part[0] == self.number)

    # Jobs

    async def _watch(self, since: int) -> None:
        """Follow the open jobs: new ones, and those that are cancelled."""
        await follow(
            self.state, OPEN, self.member.watch_ms, self._relist, self._change, self._seen, since
        )  # fmt: skip

    def _seen(self, asked: int, news: bool) -> None:
        self.watched_at = asked

    def _change(self, change: Change) -> None:
        if change.put is not None:
            self._take_open(change.put, change.value, change.stamp, now_us())
        elif change.drop is not None:
            ref, part = split_open(change.drop)
            if part is None:
                self.close(ref)

    def _relist(self, rows: list[Row]) -> None:
        seen = {split_open(row.key)[0] for row in rows}
        for row in rows:
            self._take_open(row.key, row.value, row.stamp, now_us())
        for ref in [ref for ref in self.block.works if ref not in seen]:
            self.close(ref)

    def close(self, ref: str) -> None:
        if ref in self.block.works:
            self.block.close_job(ref, now_us())
            self.stored_running.pop(ref, None)
            self.flushed_at.pop(ref, None)
            self.wake.set()

    # Reports

    def beat(self, report: Report) -> Response | None:
        """The answer to a worker, or None when this is not the node to give one."""
        if not self.acts:
            return None
        now = now_us()
        if report.baton > self.grant.baton:
            return None
        if not self.loaded:
            self.early[report.machine] = now
            return Response(200, encode(Orders(self.grant.baton, [])))
        live = report.baton == self.grant.baton
        machine = self.block.machines.get(report.machine)
        if machine is None:
            if report.machine in self.block.gone:
                return None
            if not live:
                # Nobody told us of it: a hire that was executed late, or a copy from a machine
                # that an earlier owner returned. It may hold no task, since it is not recorded,
                # and we believe that it exists once it shows our baton.
                return Response(200, encode(Orders(self.grant.baton, [])))
            machine = self._meet(report, now)
        elif not machine.recorded and machine.address == "":
            machine.address = report.address
        wishes = self.block.beat(report, now)
        if wishes is None:
            return None
        if machine.heard_at == now:
            if live:
                self.heard_at = now
                if not machine.recorded:
                    self._record(machine)
            if machine.deaf_since or not machine.synced:
                self.probe(machine)
        if self.block.dirty:
            self.wake.set()
        return Response(200, encode(Orders(self.grant.baton, [order_of(w) for w in wishes])))

    def _meet(self, report: Report, now: int) -> Machine:
        """A machine nobody told us of, such as one from a hire that was executed late."""
        kind = self.kinds.get(report.type) or placeholder_kind(report.type)
        machine = Machine(report.machine, kind, report.zone, report.spot, now)
        self.block.add_machine(machine)
        return machine

    # Leases

    def _take_lease(self, key: str, raw: msgspec.Raw, stamp: int) -> None:
        ref = key[len(LEASE) :]
        known = self.leases.get(ref)
        if known is not None and known[1] > stamp:
            return  # told late: we have changed it ourselves meanwhile
        lease = msgspec.json.decode(raw, type=Lease)
        self.leases[ref] = (lease, stamp)
        work = self.block.works.get(ref)
        if work is not None and ref not in self.giving:
            work.lease(lease.of(self.number))
            self.block.dirty = True
            self.wake.set()

    async def _watch_leases(self) -> None:
        """Follow which of the jobs' tasks are ours to start."""
        await follow(
            self.state, LEASE, self.member.watch_ms, self._load_leases, self._change_lease,
            since=self.leases_since,
        )  # fmt: skip

    def _load_leases(self, rows: list[Row]) -> None:
        for row in rows:
            self._take_lease(row.key, row.value, row.stamp)

    def _change_lease(self, change: Change) -> None:
        if change.put is not None:
            self._take_lease(change.put, change.value, change.stamp)
        elif change.drop is not None:
            self.leases.pop(change.drop[len(LEASE) :], None)

    async def give(self, work: Work, to: int) -> None:
        """Hand the later half of a job's unstarted tasks to another block.

        We stop regarding them as ours before we ask, and until the lease's record has changed:
        a request that went unanswered may still be executed later, so it is repeated until it
        either was, or can't be any more since the record is a newer one.
        """
        ref = work.job.ref
        tail = work.spare_tail()
        known = self.leases.get(ref)
        unsure = any(key[0] == ref for m in self.block.machines.values() for key in m.rest)
        if tail is None or known is None or ref in self.giving or self.block.risky or unsure:
            return
        lease, stamp = known
        low, high = tail
        parts: list[tuple[int, int, int]] = []
        for first, end, block in lease.parts:
            if block == self.number and first <= low < end:
                parts += [(first, low, block)] if first < low else []
                parts += [(low, high, to)]
                parts += [(high, end, block)] if high < end else []
            else:
                parts.append((first, end, block))
        given = Lease(parts)
        self.giving.add(ref)
        work.lease(given.of(self.number))
        backoff = Backoff(100_000, 1_000_000, self.member.chance)
        guards = [*self.guards(), Guard(OPEN + ref, work.stamp), Guard(LEASE + ref, stamp)]
        try:
            while not self.resigned:
                try:
                    stamp = await self.state.multi(guards, [Put(LEASE + ref, given)])
                    self.leases[ref] = (given, stamp)
                    log.info("tasks %d to %d of %s go to block %d", low, high - 1, ref, to)
                    break
                except Conflict as conflict:
                    if LEASE + ref in conflict.failed or OPEN + ref in conflict.failed:
                        break  # the record is another: the watch tells what it says
                    await backoff.rest()
                except (Failed, Unavailable, NoHold):
                    await backoff.rest()
            row = await self.state.get(LEASE + ref)
        except TROUBLE:
            row = None
        finally:
            self.giving.discard(ref)
        if row is not None and ref in self.block.works:
            self._take_lease(row.key, row.value, row.stamp)

    async def _balance(self) -> None:
        """Each round: say how much waits here and how much is free, and hand tasks that wait
        to the block with most free room."""
        while True:
            await asyncio.sleep(self.market.terms.round_us / US / 2)
            if not self.acts:
                continue
            works = [
                w
                for w in self.block.works.values()
                if not w.closed and not w.job.whole and not self._counted(w.job.team)
            ]
            waiting = sum(w.waiting * w.job.cpus for w in works)
            free = sum(
                max(0.0, m.room(staying=True).cpus)
                for m in self.block.machines.values()
                if m.usable(now_us())
            )
            load = Load(round(waiting, 1), round(free, 1))
            await self._store(self._store_load(load))
            others = {
                number: other
                for number, other in self.member.cluster.loads.items()
                if number != self.number and other.waiting == 0 and other.free > 0
            }
            if waiting > free and others and works:
                to = max(others, key=lambda number: others[number].free)
                await self.give(max(works, key=lambda w: w.waiting * w.job.cpus), to)

    def _counted(self, team: str) -> bool:
        return self.block.teams.get(team, Limits()).counted

    async def _store_load(self, load: Load) -> None:
        await self.state.multi(self.guards(), [Put(load_key(self.number), load)])

    def _record(self, machine: Machine) -> None:
        """A machine must stand in the state service before its first task, so that the next
        owner knows where tasks may be. Only one that has shown our baton: a late copy must not
        bring back a machine that is gone."""
        if machine.name not in self.recording:
            self.recording.add(machine.name)
            self.spawn(self._store_machine(machine), f"record {machine.name}")

    async def _store_machine(self, machine: Machine) -> None:
        stored = StoredMachine(
            machine.kind.name, machine.zone, machine.spot, machine.address, wall_us(), self.number
        )
        try:
            # Guarded on there being no such record: a machine belongs to the first block that
            # writes it down.
            guards = [*self.guards(), Guard(MACHINE + machine.name, 0)]
            await self.state.multi(guards, [Put(MACHINE + machine.name, stored)])
        except Conflict as conflict:
            if MACHINE + machine.name not in conflict.failed or not await self._is_ours(machine):
                return
        except TROUBLE as fault:
            log.info("recording %s: %s", machine.name, fault)
            return  # its next report tries again
        finally:
            self.recording.discard(machine.name)
        if not machine.deleting:
            machine.recorded = True
            self.block.dirty = True
            self.wake.set()
            log.info("machine %s (%s in %s) is up", machine.name, machine.kind.name, machine.zone)

    async def _is_ours(self, machine: Machine) -> bool:
        """Does the record that stands name this block? An unanswered write of ours may have
        been executed. A machine of another block's is none of our business."""
        try:
            row = await self.state.get(MACHINE + machine.name)
        except TROUBLE:
            return False
        if row is None:
            return False
        if msgspec.json.decode(row.value, type=StoredMachine).block == self.number:
            return True
        log.info("machine %s belongs to another block", machine.name)
        self.block.machines.pop(machine.name, None)
        return False

    def probe(self, machine: Machine) -> None:
        """Ask a machine directly, so that it shows our baton before its next report, and that
        our orders reach it."""
        if machine.name not in self.probing and now_us() >= machine.quiet_until:
            self.probing.add(machine.name)
            self.spawn(self._probe(machine), f"probe {machine.name}")

    async def _probe(self, machine: Machine) -> None:
        session = machine.session or 1
        try:
            for _ in range(6):
                if not self.acts or self.block.machines.get(machine.name) is not machine:
                    return
                try:
                    command = Command(self.grant.baton, session, [])
                    executed, report = await self.workers.command(machine.address, command)
                except Failed:
                    if machine.name not in self.block.risky:
                        machine.quiet_until = now_us() + 2 * US
                        return  # its next report asks again
                    await asyncio.sleep(0.5)
                    continue
                if report.machine != machine.name:
                    return
                session = report.session
                if executed and self.acts:
                    self.block.answer(report, now_us())
                    self.heard_at = now_us()
                    if machine.synced and not machine.recorded:
                        self._record(machine)
                    self.wake.set()
                    return
        finally:
            self.probing.discard(machine.name)

    # Results

    async def _flush(self) -> None:
        """Store results: those that complete a job at once, others now and then."""
        while True:
            await asyncio.sleep(0.1)
            if not self.acts:
                continue
            now = now_us()
            works = [w for w in self.block.works.values() if not w.closed]
            for work in [w for w in works if w.complete]:
                await self._store(self._finish(work))
            for work in works:
                if work.complete or work.closed:
                    continue
                shown = sum(1 for a in work.live.values() if a.stage == "running")
                changed = bool(work.unstored) or (
                    bool(shown) and not self.stored_running.get(work.job.ref)
                )
                if changed and now - self.flushed_at.get(work.job.ref, 0) >= FLUSH_US:
                    self.flushed_at[work.job.ref] = now
                    self.stored_running[work.job.ref] = shown
                    await self._store(self._progress(work))
                    if any(w.complete and not w.closed for w in works):
                        break  # users wait for these; the others' results have time

    async def _store(self, storing: Coroutine[Any, Any, None]) -> None:
        try:
            await storing
        except Conflict as conflict:
            log.debug("storing results: %s", conflict)  # cancelled meanwhile: the watch tells
            await asyncio.sleep(0.05)
        except (Failed, Unavailable, NoHold) as fault:
            log.debug("storing results: %s", fault)
            await asyncio.sleep(0.2)

    async def _progress(self, work: Work) -> None:
        ref = work.job.ref
        parts = stretches(work) or {0: []}
        guards = [*self.guards(), Guard(OPEN + ref, work.stamp)]
        for number, indices in list(parts.items()):
            row = progress_of(work, number)
            await self.state.multi(guards, [Put(progress_key(ref, self.number, number), row)])
            self.block.stored(work, indices)

    async def _finish(self, work: Work) -> None:
        ref = work.job.ref
        indices = list(work.unstored)
        final = Final("done", work.job.tasks)
        drops = [
            Drop(progress_key(ref, block, stretch))
            for block in range(self.settings.operator.blocks)
            for stretch in range(stretch_count(work.job.tasks))
        ]
        if self.shared:
            drops.insert(0, Drop(LEASE + ref))
        room = self.settings.facts.state.txn_ops - 2
        try:
            await self.state.multi(
                [*self.guards(), Guard(OPEN + ref, work.stamp), Guard(OVER + ref, 0)],
                [Put(OVER + ref, final), Drop(OPEN + ref), *drops[: max(0, room)]],
            )
        except Conflict as conflict:
            # An earlier try of ours that went unanswered may have been executed, or the job
            # was cancelled: either way it is no longer open.
            if OPEN + ref in conflict.failed:
                self.close(ref)
                return
            raise
        self.block.stored(work, indices)
        log.info("job %s done after %.1f s", ref, (now_us() - work.asked_at) / US)
        self.close(ref)
        for low in range(max(0, room), len(drops), room + 2):  # rows nobody reads any more
            await self.state.multi(self.guards(), drops[low : low + room + 2])

    # Time

    async def _plan(self) -> None:
        """Bind waiting tasks to machines soon after anything has changed."""
        planned = 0
        while True:
            await woken(self.wake, 0.25)
            now = now_us()
            self.block.tick(now)
            if self.acts:
                if self.block.dirty or now - planned > PLAN_US:
                    planned = now
                    plan(self.block, now)
                self._push_all(now)
            # A large plan may take long: three times that is left for everything else.
            await asyncio.sleep(max(0.02, 3 * (now_us() - now) / US))

    def _push_all(self, now: int) -> None:
        """Send what can't wait for the next report straight to the workers."""
        for machine in self.block.machines.values():
            if machine.name in self.pushing or not machine.attempts or now < machine.quiet_until:
                continue
            wishes, flown = self.block.direct(machine, now)
            if wishes:
                self.pushing.add(machine.name)
                self.spawn(self._push(machine, wishes, flown), f"push {machine.name}")

    async def _push(self, machine: Machine, wishes: list[Wish], flown: list[Attempt]) -> None:
        executed: bool | None = None
        try:
            orders = [order_of(wish) for wish in wishes]
            command = Command(self.grant.baton, machine.session, orders)
            executed, report = await self.workers.command(machine.address, command)
            if self.resigned or report.machine != machine.name:
                executed = None
            else:
                self.block.answer(report, now_us(), flown if executed else ())
        except Failed as fault:
            log.debug("orders for %s: %s", machine.name, fault)
            executed = None if fault.sent else False
        finally:
            self.pushing.discard(machine.name)
            self.block.landed(flown, executed)
            if executed is not True:  # its reports still reach us, if it lives
                machine.quiet_until = now_us() + 2 * US
            if executed is None:
                self.block.doubt(machine, now_us())
            self.wake.set()

    async def _rounds(self) -> None:
        while True:
            now = now_us()
            self.market.round(self.block, now)
            self._say_round()
            self.wake.set()
            if self.acts:
                puts: list[Put | Drop] = [
                    Put(f"{TEAM}{team}/{self.number}", self.market.record(team, self.block.works))
                    for team in self.market.budgets
                ]
                most = self.settings.facts.state.txn_ops
                for low in range(0, len(puts), most):
                    await self._store(self._store_teams(puts[low : low + most]))
            await asyncio.sleep(self.market.terms.round_us / US)

    def _say_round(self) -> None:
        """One line a round: how full the fleet is, and what waits."""
        up = [m for m in self.block.machines.values() if m.synced]
        works = [w for w in self.block.works.values() if not w.closed]
        log.info(
            "round: %d jobs, %.0f of %.0f CPUs in use, %.0f wait, %d machines up, %d not needed",
            len(works), sum(used[0] for used in self.block.team_used.values()),
            sum(m.kind.cpus for m in up), sum(w.waiting * w.job.cpus for w in works),
            len(up), sum(1 for m in up if not m.wanted),
        )  # fmt: skip

    async def _store_teams(self, puts: list[Put | Drop]) -> None:
        await self.state.multi(self.guards(), puts)


def worker_sockets(settings: Settings) -> int:
    """How many of our sockets may go to workers; most are kept for those who come to us."""
    return max(8, settings.facts.quota.fd_limit // 5)


def limits_of(settings: Settings) -> dict[str, Limits]:
    return {t.name: Limits(t.cpus, t.gpus, t.cpus_max, t.gpus_max) for t in settings.facts.teams}


def placeholder_kind(name: str) -> Kind:
    """A type the cloud has not told us of: nothing fits on it."""
    return Kind(name, 0.0, 0.0, 0.0, 0.0, None, 60 * US, 1.0, 1.0, ())
