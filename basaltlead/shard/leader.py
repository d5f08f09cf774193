"""The owner of a block: its loops, what is stored of it, and the answers to its workers.

The ways to its machines (reach), results on their way into the state service (results) and tasks
shared with other blocks (sharing) are parts of their own."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from basaltlead.clients.base import Backoff, encode
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import Grant, block_key
from basaltlead.core.market import Market, TeamRecord
from basaltlead.core.model import US, Job, Kind, Machine
from basaltlead.core.planning import plan
from basaltlead.core.shard import Block, TaskCommand
from basaltlead.core.shard_state import Limits, Timing
from basaltlead.net.http import Response
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.shard.dispatcher import WorkerDispatcher, order_of
from basaltlead.shard.rebalancer import Rebalancer
from basaltlead.shard.results import Results
from basaltlead.storage.client import TROUBLE, Conflict, State
from basaltlead.storage.records import (
    HIRE,
    LEASE,
    MACHINE,
    OPEN,
    RETURN,
    TEAM,
    StoredHire,
    StoredJob,
    StoredMachine,
    StoredReturn,
    job_of,
)  # fmt: skip
from basaltlead.storage.result_rows import CHUNK_BLOCKS, ResultLayout, load_results, split_open
from basaltlead.storage.watch import follow
from basaltlead.wire.state import Change, Drop, Guard, Put, Row
from basaltlead.wire.workers import Orders, Report

if TYPE_CHECKING:
    from basaltlead.scaling.quiet_times import QuietTimes

PLAN_US = US // 2  # some things become possible by the mere passing of time
TICK_US = US // 10  # how exactly the ends of leases are noticed


class Arrival(NamedTuple):
    """A job that came: when, with which image, and for how many tasks room should be ready."""

    at: int
    image: str
    tasks: int


class JobClass:
    """What was lately seen of a class."""

    def __init__(self, last: Job) -> None:
        self.last = last
        self.seen: deque[Arrival] = deque(maxlen=200)


class Owner:
    """Lives from the grant of a block until it is lost; a new grant means a new Owner."""

    def __init__(
        self, settings: Settings, member: Membership, state: State, number: int,
        grant: Grant, version: int, market: Market, kinds: dict[str, Kind],
    ) -> None:  # fmt: skip
        self.settings = settings
        self.member = member
        self.state = state
        self.number = number
        self.grant = grant
        self.version = version
        self.market = market
        self.kinds = kinds
        w = settings.facts.workers
        timing = Timing(int(w.lease_s * US), int(w.report_s * US))
        self.block = Block(grant.fencing_token, version, now_us(), timing, limits_of(settings))
        self.block.log = lambda text: log.info("%s", text)
        self.loaded = False
        self.resigned = False  # we have stopped acting, for good
        # When the last good look at the open jobs was asked for. None before the first: what is
        # cancelled since our predecessor's last look runs on at its workers, for nobody knows
        # how long already, so until we have looked ourselves we may renew no lease.
        self.cancellations_read_at: int | None = None
        self.hires: dict[str, StoredHire] = {}
        self.returns: dict[str, StoredReturn] = {}  # recorded and not carried out
        self.versions: dict[str, int] = {}  # of rows that we write more than once
        self.limits = settings.store_limits
        self.layout = ResultLayout(self.limits.value_bytes)
        self.storing_budgets: asyncio.Task[None] | None = None
        self.orphans: list[str] = []  # rows of jobs that are over, found while loading
        self.shared = settings.operator.blocks > 1  # is the work leased in parts?
        self.early: dict[str, int] = {}  # answers given before the block was loaded
        # A loop of ours must never end unseen. A fresh grant starts from what is stored.
        self.background = BackgroundTasks(self._resign)
        self.spawn = self.background.spawn
        self.wake = asyncio.Event()
        self.job_classes: dict[str, JobClass] = {}
        self.dispatcher = WorkerDispatcher(self)
        self.results = Results(self)
        self.rebalancer = Rebalancer(self)
        self.on_loaded: Callable[[], None] = lambda: None
        self.is_over: Callable[[str], bool] = lambda ref: False  # is it known to be cancelled?
        self.foreign: Callable[[str], bool] = lambda name: False  # is it another block's?
        self.quiet_times: QuietTimes | None = None
        self.sockets_left: Callable[[], int] = lambda: 1_000_000  # for direct orders

    # Lease validity

    @property
    def acts(self) -> bool:
        """The session lease, the grant and our view of the cancellations are all provably valid."""
        return (
            self.member.acts
            and not self.resigned
            and self.member.incarnation == self.grant.incarnation
            and self.cancellations_read_at is not None
            and now_us() < self.cancellations_read_at + self.settings.staleness_us
        )

    def guards(self) -> list[Guard]:
        return [self.member.guard(), Guard(block_key(self.number), self.version)]

    async def put(self, rows: dict[str, Any], guards: Iterable[Guard] = ()) -> None:
        """Write rows of ours that are written again and again. Each is guarded on the last version
        that we know of it: a write that went unanswered may be carried out after a newer one,
        and would undo that. If it was carried out first, we learn its version and the next try
        goes through."""
        known = [Guard(key, self.versions.get(key, 0)) for key in rows]
        puts: list[Put | Drop] = [Put(key, value) for key, value in rows.items()]
        try:
            version = await self.state.multi([*self.guards(), *guards, *known], puts, can_wait=True)
        except Conflict as conflict:
            for key in conflict.failed:
                if key in rows:
                    row = await self.state.get(key)
                    self.versions[key] = row.version if row is not None else 0
            raise
        self.versions |= dict.fromkeys(rows, version)

    # Life

    def _resign(self) -> None:
        self.resigned = True
        self.member.wake.set()

    def start(self) -> None:
        self.spawn(self._run(), "loop load")

    def stop(self) -> None:
        self.resigned = True
        self.background.cancel()
        self.dispatcher.close()

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
        self.spawn(self.results.finish(), "loop finish")
        self.spawn(self.results.flush(), "loop flush")
        self.spawn(self.results.sweep_orphans(self.orphans), "sweep orphans")
        self.spawn(self._plan(), "loop plan")
        self.spawn(self._rounds(), "loop rounds")
        if self.shared:
            self.spawn(self.rebalancer.watch(), "loop leases")
            self.spawn(self.rebalancer.balance(), "loop balance")
        for machine in list(self.block.machines.values()):
            if machine.name in self.block.unsynced and machine.address:
                self.dispatcher.probe(machine)

    async def _load(self) -> int:
        block = self.block
        asked = now_us()
        # Returns beside the jobs, so that they cost a takeover no time, and before the machines:
        # one that is returned meanwhile stands in neither or in both.
        (rows, revision), (returns, _) = await asyncio.gather(
            self.state.rows(OPEN), self.state.rows(RETURN)
        )
        for row in rows:
            self._take_open(row.key, row.value, row.version, now_us())
        self.cancellations_read_at = asked
        for row in returns:
            self.returns[row.key] = msgspec.json.decode(row.value, type=StoredReturn)
        returning = self.returning
        machines, _ = await self.state.rows(MACHINE)
        hires, _ = await self.state.rows(HIRE)
        teams, _ = await self.state.rows(TEAM)
        leases: list[Row] = []
        if self.shared:
            leases, self.rebalancer.since = await self.state.rows(LEASE)
        now = now_us()
        for row in machines:
            stored = msgspec.json.decode(row.value, type=StoredMachine)
            if stored.block != self.number:
                continue
            kind = self.kinds.get(stored.kind) or placeholder_kind(stored.kind)
            machine = Machine(row.key[len(MACHINE) :], kind, stored.zone, stored.spot, now)
            machine.address = stored.address
            machine.made_at = now - age_us(stored.at)
            machine.answered_at = self.early.get(machine.name, block.took_at)
            machine.deleting = machine.name in returning
            self.versions[row.key] = row.version
            block.load_machine(machine)
        for row in hires:
            hire = msgspec.json.decode(row.value, type=StoredHire)
            if hire.block == self.number:
                self.hires[row.key[len(HIRE) :]] = hire
                self.versions[row.key] = row.version
        self.rebalancer.load(leases)
        for row in teams:
            team, _, number = row.key[len(TEAM) :].rpartition("/")
            if number == str(self.number):
                self.versions[row.key] = row.version
                self.market.load(team, msgspec.json.decode(row.value, type=TeamRecord))
        log.info(
            "block %d loaded: %d jobs, %d machines, %d hires", self.number,
            len(block.works), len(block.machines), len(self.hires),
        )  # fmt: skip
        return revision

    @property
    def returning(self) -> set[str]:
        """Names of the machines that are recorded as to be returned."""
        return {name for one in self.returns.values() for name in one.names}

    def _take_open(self, key: str, raw: msgspec.Raw, version: int, now: int) -> None:
        ref, part = split_open(key)
        if part is None:
            stored = msgspec.json.decode(raw, type=StoredJob)
            if ref in self.block.works or self.is_over(ref):
                return  # its end has been told, and the watch will show that too
            age = age_us(stored.at)
            work = self.block.add_job(job_of(stored.sent), version, now, age)
            if self.shared:
                work.lease(self.rebalancer.of(ref))
            work.bid = self.market.first_bid(work, now)
            work.promised = work.job.gang or self.market.promised(work, now)
            job_class = self.job_classes.setdefault(work.job.job_class, JobClass(work.job))
            job_class.last = work.job
            job = work.job
            job_class.seen.append(Arrival(now - age, job.image, job.tasks if job.service else 1))
            log.info("job %s (%s, %d tasks) taken up", ref, work.job.job_class, work.job.tasks)
            self.wake.set()
        elif ref in self.block.works and not (self.loaded and self._is_own(part[0])):
            if self._is_own(part[0]):
                self.versions[key] = version
            load_results(self.block.works[ref], self.number, *part, raw, self.layout)
        elif ref not in self.block.works and not self.loaded:
            self.orphans.append(key)

    # Jobs

    async def _watch(self, since: int) -> None:
        """Follow the open jobs: new ones, and those that are cancelled."""
        await follow(
            self.state, OPEN, self.member.watch_ms, self._relist, self._change, self._seen, since
        )  # fmt: skip

    def _seen(self, asked: int, news: bool) -> None:
        self.cancellations_read_at = max(self.cancellations_read_at or asked, asked)

    def covered(self, since: int, until: int) -> None:
        """Every controller's word of what it confirmed in that time is as good as a look at its
        end, if our own last look reaches to its beginning."""
        if self.cancellations_read_at is not None and since <= self.cancellations_read_at:
            self.cancellations_read_at = max(self.cancellations_read_at, until)

    def _is_own(self, row_block: int) -> bool:
        """Does a row of results that names this block come from us, in either layout?"""
        return row_block in (self.number, CHUNK_BLOCKS + self.number)

    def _change(self, change: Change) -> None:
        if change.put is not None:
            self._take_open(change.put, change.value, change.version, now_us())
        elif change.drop is not None:
            ref, part = split_open(change.drop)
            if part is None:
                self.close(ref)

    def _relist(self, rows: list[Row]) -> None:
        seen = {split_open(row.key)[0] for row in rows}
        for row in rows:
            self._take_open(row.key, row.value, row.version, now_us())
        for ref in [ref for ref in self.block.works if ref not in seen]:
            self.close(ref)

    def close(self, ref: str) -> None:
        work = self.block.works.get(ref)
        if work is not None:
            self.block.close_job(ref, now_us())
            self.results.forget(ref)
            rows = self.layout.keys(ref, work.job.tasks, [self.number])
            stored = [key for key in rows if self.versions.pop(key, None) is not None]
            if len(stored) > self.limits.operations - 2:  # more than its end took along
                self.spawn(self.results.sweep(ref, stored), f"sweep {ref}")
            self.wake.set()

    # Reports

    def beat(self, report: Report) -> Response | None:
        """The answer to a worker, or None when this is not the node to give one."""
        if not self.acts:
            return None
        now = now_us()
        if report.fencing_token > self.grant.fencing_token:
            return None
        if not self.loaded:
            self.early[report.machine] = now
            return self._renew(self.block.unwanted(report))
        live = report.fencing_token == self.grant.fencing_token
        machine = self.block.machines.get(report.machine)
        if machine is None:
            if report.machine in self.block.gone:
                return None
            if not live:
                # Nobody told us of it: a hire that was executed late, or a copy from a machine
                # that an earlier owner returned. It may hold no task, since it is not recorded,
                # and we believe that it exists once it shows our fencing token.
                return self._renew(self.block.unwanted(report))
            machine = self._meet(report, now)
        commands = self.block.beat(report, now)
        if commands is None:
            return None
        if machine.heard_at == now:
            self._heard(machine, live, now)
        if self.block.dirty:
            self.wake.set()
        return self._renew(commands)

    def _heard(self, machine: Machine, live: bool, now: int) -> None:
        """A report was taken in: write down a machine that is new, and ask one that is in doubt."""
        if live:
            self.dispatcher.heard_at = now
            if not machine.recorded:
                self.dispatcher.record(machine)
        if machine.unreachable_since or not machine.synced:
            self.dispatcher.probe(machine)

    def _renew(self, commands: list[TaskCommand]) -> Response:
        """The answer that renews a worker's lease, with its orders."""
        return Response(
            200, encode(Orders(self.grant.fencing_token, [order_of(c) for c in commands]))
        )

    def _meet(self, report: Report, now: int) -> Machine:
        """A machine nobody told us of, such as one from a hire that was executed late."""
        kind = self.kinds.get(report.type) or placeholder_kind(report.type)
        machine = Machine(report.machine, kind, report.zone, report.spot, now)
        self.block.add_machine(machine)
        return machine

    # Time

    async def _plan(self) -> None:
        """Bind waiting tasks to machines soon after anything has changed."""
        planned = ticked = 0
        while True:
            await wait_for_event(self.wake, 0.25)
            now = now_us()
            if now - ticked >= TICK_US:
                ticked = now
                self.block.tick(now)
            if self.acts:
                if self.block.dirty or now - planned > PLAN_US:
                    planned = now
                    plan(self.block, now)
                self.dispatcher.push_all(now)
            # Machines come and go many times a second: passes over all of them are spaced, and a
            # large plan leaves three times what it takes to everything else.
            await asyncio.sleep(max(0.04, 3 * (now_us() - now) / US))

    async def _rounds(self) -> None:
        while True:
            now = now_us()
            self.market.round(self.block, now)
            self._say_round()
            self.wake.set()
            if self.acts:
                rows = {
                    f"{TEAM}{team}/{self.number}": self.market.record(team, self.block.works)
                    for team in self.market.budgets
                }
                if self.storing_budgets is None or self.storing_budgets.done():
                    self.storing_budgets = self.spawn(self._store_budgets(rows), "store budgets")
            await asyncio.sleep(self.market.terms.round_us / US)

    async def _store_budgets(self, rows: dict[str, TeamRecord]) -> None:
        """Beside the rounds: behind the records of a fleet that grows it may take a while."""
        sizes = {key: len(encode(row)) for key, row in rows.items()}
        for keys in self.limits.batches(sizes):
            await self.results.store(self.put({key: rows[key] for key in keys}))

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


def limits_of(settings: Settings) -> dict[str, Limits]:
    """Each team's guarantee and limit."""
    return {t.name: Limits(t.cpus, t.gpus, t.cpus_max, t.gpus_max) for t in settings.facts.teams}


def placeholder_kind(name: str) -> Kind:
    """A type the cloud has not told us of: nothing fits on it."""
    return Kind(name, 0.0, 0.0, 0.0, 0.0, None, 60 * US, 1.0, 1.0, ())
