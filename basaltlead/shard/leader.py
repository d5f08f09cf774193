"""The leader of a shard: its loops, what is stored of it, and the answers to its workers.

The ways to its machines (reach), results on their way into the key-value store (results) and tasks
shared with other shards (sharing) are parts of their own."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from basaltlead.clients.base import Backoff, encode
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cluster_view import Grant, shard_key
from basaltlead.core.entities import US, Job, Machine, MachineType
from basaltlead.core.market import Market, TeamRecord
from basaltlead.core.planning import plan
from basaltlead.core.shard import Shard, TaskCommand
from basaltlead.core.shard_state import TeamQuota, Timing
from basaltlead.errors import PreconditionFailed, ServiceError
from basaltlead.net.http import Response
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.shard.dispatcher import WorkerDispatcher, to_worker_command
from basaltlead.shard.rebalancer import Rebalancer
from basaltlead.shard.results import Results
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import (
    ASSIGNMENT,
    MACHINE,
    OPEN,
    SCALE_IN,
    SCALE_OUT,
    TEAM,
    StoredJob,
    StoredMachine,
    StoredScaleIn,
    StoredScaleOut,
    job_of,
)
from basaltlead.storage.result_rows import CHUNK_SHARDS, ResultLayout, load_results, split_open
from basaltlead.storage.watch import follow
from basaltlead.wire.store import Change, Drop, Precondition, Put, Row
from basaltlead.wire.workers import Heartbeat, HeartbeatResponse

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


class ShardLeader:
    """Lives from the grant of a shard until it is lost; a new grant means a new Owner."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        store: KeyValueStore,
        number: int,
        grant: Grant,
        version: int,
        market: Market,
        machine_types: dict[str, MachineType],
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.store = store
        self.number = number
        self.grant = grant
        self.version = version
        self.market = market
        self.machine_types = machine_types
        w = settings.facts.workers
        timing = Timing(int(w.lease_s * US), int(w.report_s * US))
        self.shard = Shard(grant.fencing_token, version, now_us(), timing, team_quotas(settings))
        self.shard.log = lambda text: log.info("%s", text)
        self.loaded = False
        self.stepped_down = False  # we have stopped acting, for good
        # When the last good look at the open jobs was asked for. None before the first: what is
        # cancelled since our predecessor's last look runs on at its workers, for nobody knows
        # how long already, so until we have looked ourselves we may renew no assignment.
        self.cancellations_as_of: int | None = None
        self.scale_outs: dict[str, StoredScaleOut] = {}
        self.scale_ins: dict[str, StoredScaleIn] = {}  # recorded and not carried out
        self.versions: dict[str, int] = {}  # of rows that we write more than once
        self.limits = settings.store_limits
        self.layout = ResultLayout(self.limits.value_bytes)
        self.storing_budgets: asyncio.Task[None] | None = None
        self.orphans: list[str] = []  # rows of jobs that are over, found while loading
        self.shared = settings.operator.shards > 1  # is the work leased in parts?
        self.early_answers: dict[str, int] = {}  # answers given before the shard was loaded
        # A loop of ours must never end unseen. A fresh grant starts from what is stored.
        self.background = BackgroundTasks(self._step_down)
        self.spawn = self.background.spawn
        self.wake = asyncio.Event()
        self.job_classes: dict[str, JobClass] = {}
        self.dispatcher = WorkerDispatcher(self)
        self.results = Results(self)
        self.rebalancer = Rebalancer(self)
        self.on_loaded: Callable[[], None] = lambda: None
        self.is_cancelled: Callable[[str], bool] = lambda ref: False  # is it known to be cancelled?
        self.belongs_to_other_shard: Callable[[str], bool] = lambda name: (
            False
        )  # is it another shard's?
        self.quiet_times: QuietTimes | None = None
        self.sockets_left: Callable[[], int] = lambda: 1_000_000  # for direct orders

    # TaskAssignment validity

    @property
    def holds_valid_lease(self) -> bool:
        """The session assignment, the grant and our view of the cancellations are all provably
        valid."""
        return (
            self.membership.holds_valid_lease
            and not self.stepped_down
            and self.membership.incarnation == self.grant.incarnation
            and self.cancellations_as_of is not None
            and now_us() < self.cancellations_as_of + self.settings.staleness_us
        )

    def preconditions(self) -> list[Precondition]:
        return [self.membership.precondition(), Precondition(shard_key(self.number), self.version)]

    async def put(self, rows: dict[str, Any], preconditions: Iterable[Precondition] = ()) -> None:
        """Write rows of ours that are written again and again. Each is guarded on the last version
        that we know of it: a write that went unanswered may be carried out after a newer one,
        and would undo that. If it was carried out first, we learn its version and the next try
        goes through."""
        known = [Precondition(key, self.versions.get(key, 0)) for key in rows]
        puts: list[Put | Drop] = [Put(key, value) for key, value in rows.items()]
        try:
            version = await self.store.compare_and_swap(
                [*self.preconditions(), *preconditions, *known], puts, low_priority=True
            )
        except PreconditionFailed as conflict:
            for key in conflict.failed:
                if key in rows:
                    row = await self.store.get(key)
                    self.versions[key] = row.version if row is not None else 0
            raise
        self.versions |= dict.fromkeys(rows, version)

    # Life

    def _step_down(self) -> None:
        self.stepped_down = True
        self.membership.wake.set()

    def start(self) -> None:
        self.spawn(self._run(), "loop load")

    def stop(self) -> None:
        self.stepped_down = True
        self.background.cancel()
        self.dispatcher.close()

    async def _run(self) -> None:
        backoff = Backoff(100_000, 1_000_000, self.membership.chance)
        while not self.machine_types:  # without them no machine's room is known
            await asyncio.sleep(0.05)
        while True:
            try:
                revision = await self._load()
                break
            except ServiceError as fault:
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
            self.spawn(self.rebalancer.watch(), "loop assignments")
            self.spawn(self.rebalancer.balance(), "loop balance")
        for machine in list(self.shard.machines.values()):
            if machine.name in self.shard.unsynced and machine.address:
                self.dispatcher.probe(machine)

    async def _load(self) -> int:
        shard = self.shard
        asked = now_us()
        # Returns beside the jobs, so that they cost a failover no time, and before the machines:
        # one that is returned meanwhile stands in neither or in both.
        (rows, revision), (scale_ins, _) = await asyncio.gather(
            self.store.rows(OPEN), self.store.rows(SCALE_IN)
        )
        for row in rows:
            self._take_open(row.key, row.value, row.version, now_us())
        self.cancellations_as_of = asked
        for row in scale_ins:
            self.scale_ins[row.key] = msgspec.json.decode(row.value, type=StoredScaleIn)
        returning = self.returning
        machines, _ = await self.store.rows(MACHINE)
        scale_outs, _ = await self.store.rows(SCALE_OUT)
        teams, _ = await self.store.rows(TEAM)
        assignments: list[Row] = []
        if self.shared:
            assignments, self.rebalancer.since = await self.store.rows(ASSIGNMENT)
        now = now_us()
        for row in machines:
            stored = msgspec.json.decode(row.value, type=StoredMachine)
            if stored.shard != self.number:
                continue
            machine_type = self.machine_types.get(stored.type_name) or unknown_machine_type(
                stored.type_name
            )
            machine = Machine(row.key[len(MACHINE) :], machine_type, stored.zone, stored.spot, now)
            machine.address = stored.address
            machine.made_at = now - age_us(stored.at)
            machine.answered_at = self.early_answers.get(machine.name, shard.took_at)
            machine.terminating = machine.name in returning
            self.versions[row.key] = row.version
            shard.load_machine(machine)
        for row in scale_outs:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if scale_out.shard == self.number:
                self.scale_outs[row.key[len(SCALE_OUT) :]] = scale_out
                self.versions[row.key] = row.version
        self.rebalancer.load(assignments)
        for row in teams:
            team, _, number = row.key[len(TEAM) :].rpartition("/")
            if number == str(self.number):
                self.versions[row.key] = row.version
                self.market.load(team, msgspec.json.decode(row.value, type=TeamRecord))
        log.info(
            "block %d loaded: %d jobs, %d machines, %d hires",
            self.number,
            len(shard.job_states),
            len(shard.machines),
            len(self.scale_outs),
        )
        return revision

    @property
    def returning(self) -> set[str]:
        """Names of the machines that are recorded as to be returned."""
        return {name for one in self.scale_ins.values() for name in one.names}

    def _take_open(self, key: str, raw: msgspec.Raw, version: int, now: int) -> None:
        ref, part = split_open(key)
        if part is None:
            stored = msgspec.json.decode(raw, type=StoredJob)
            if ref in self.shard.job_states or self.is_cancelled(ref):
                return  # its end has been told, and the watch will show that too
            age = age_us(stored.at)
            job_state = self.shard.add_job(job_of(stored.sent), version, now, age)
            if self.shared:
                job_state.assign(self.rebalancer.ranges_of(ref))
            job_state.bid = self.market.first_bid(job_state, now)
            job_state.has_objective = job_state.job.gang or self.market.objectives.apply_to(
                job_state, now
            )
            job_class = self.job_classes.setdefault(
                job_state.job.job_class, JobClass(job_state.job)
            )
            job_class.last = job_state.job
            job = job_state.job
            job_class.seen.append(Arrival(now - age, job.image, job.tasks if job.service else 1))
            log.info(
                "job %s (%s, %d tasks) taken up", ref, job_state.job.job_class, job_state.job.tasks
            )
            self.wake.set()
        elif ref in self.shard.job_states and not (self.loaded and self._is_own(part[0])):
            if self._is_own(part[0]):
                self.versions[key] = version
            load_results(self.shard.job_states[ref], self.number, *part, raw, self.layout)
        elif ref not in self.shard.job_states and not self.loaded:
            self.orphans.append(key)

    # Jobs

    async def _watch(self, since: int) -> None:
        """Follow the open jobs: new ones, and those that are cancelled."""
        await follow(
            self.store,
            OPEN,
            self.membership.watch_ms,
            self._relist,
            self._change,
            self._seen,
            since,
        )

    def _seen(self, asked: int, news: bool) -> None:
        self.cancellations_as_of = max(self.cancellations_as_of or asked, asked)

    def confirm_cancellations(self, since: int, until: int) -> None:
        """Every controller's word of what it confirmed in that time is as good as a look at its
        end, if our own last look reaches to its beginning."""
        if self.cancellations_as_of is not None and since <= self.cancellations_as_of:
            self.cancellations_as_of = max(self.cancellations_as_of, until)

    def _is_own(self, row_shard: int) -> bool:
        """Does a row of results that names this shard come from us, in either layout?"""
        return row_shard in (self.number, CHUNK_SHARDS + self.number)

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
        for ref in [ref for ref in self.shard.job_states if ref not in seen]:
            self.close(ref)

    def close(self, ref: str) -> None:
        job_state = self.shard.job_states.get(ref)
        if job_state is not None:
            self.shard.close_job(ref, now_us())
            self.results.forget(ref)
            rows = self.layout.keys(ref, job_state.job.tasks, [self.number])
            stored = [key for key in rows if self.versions.pop(key, None) is not None]
            if len(stored) > self.limits.operations - 2:  # more than its end took along
                self.spawn(self.results.sweep(ref, stored), f"sweep {ref}")
            self.wake.set()

    # Reports

    def heartbeat(self, heartbeat: Heartbeat) -> Response | None:
        """The answer to a worker, or None when this is not the node to give one."""
        if not self.holds_valid_lease:
            return None
        now = now_us()
        if heartbeat.fencing_token > self.grant.fencing_token:
            return None
        if not self.loaded:
            self.early_answers[heartbeat.machine] = now
            return self._renew(self.shard.halt_orphans(heartbeat))
        live = heartbeat.fencing_token == self.grant.fencing_token
        machine = self.shard.machines.get(heartbeat.machine)
        if machine is None:
            if heartbeat.machine in self.shard.gone:
                return None
            if not live:
                # Nobody told us of it: a rental request that was executed late, or a copy from a
                # machine that an earlier shard leader returned. It may hold no task, since it is
                # not recorded, and we believe that it exists once it shows our fencing token.
                return self._renew(self.shard.halt_orphans(heartbeat))
            machine = self._register_machine(heartbeat, now)
        commands = self.shard.heartbeat(heartbeat, now)
        if commands is None:
            return None
        if machine.heard_at == now:
            self._heard(machine, live, now)
        if self.shard.dirty:
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
        """The answer that renews a worker's assignment, with its orders."""
        return Response(
            200,
            encode(
                HeartbeatResponse(
                    self.grant.fencing_token, [to_worker_command(c) for c in commands]
                )
            ),
        )

    def _register_machine(self, heartbeat: Heartbeat, now: int) -> Machine:
        """A machine nobody told us of, such as one from a rental request that was executed late."""
        machine_type = self.machine_types.get(heartbeat.type) or unknown_machine_type(
            heartbeat.type
        )
        machine = Machine(heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, now)
        self.shard.add_machine(machine)
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
                self.shard.advance(now)
            if self.holds_valid_lease:
                if self.shard.dirty or now - planned > PLAN_US:
                    planned = now
                    plan(self.shard, now)
                self.dispatcher.push_all(now)
            # Machines come and go many times a second: passes over all of them are spaced, and a
            # large plan leaves three times what it takes to everything else.
            await asyncio.sleep(max(0.04, 3 * (now_us() - now) / US))

    async def _rounds(self) -> None:
        while True:
            now = now_us()
            self.market.round(self.shard, now)
            self._log_round()
            self.wake.set()
            if self.holds_valid_lease:
                rows = {
                    f"{TEAM}{team}/{self.number}": self.market.record(team, self.shard.job_states)
                    for team in self.market.budgets
                }
                if self.storing_budgets is None or self.storing_budgets.done():
                    self.storing_budgets = self.spawn(self._store_budgets(rows), "store budgets")
            await asyncio.sleep(self.market.terms.round_us / US)

    async def _store_budgets(self, rows: dict[str, TeamRecord]) -> None:
        """Beside the rounds: behind the records of a fleet that grows it may take a while."""
        sizes = {key: len(encode(row)) for key, row in rows.items()}
        for keys in self.limits.batches(sizes):
            await self.results.attempt_write(self.put({key: rows[key] for key in keys}))

    def _log_round(self) -> None:
        """One line a round: how full the fleet is, and what waits."""
        up = [m for m in self.shard.machines.values() if m.synced]
        job_states = [w for w in self.shard.job_states.values() if not w.closed]
        log.info(
            "round: %d jobs, %.0f of %.0f CPUs in use, %.0f wait, %d machines up, %d not needed",
            len(job_states),
            sum(used[0] for used in self.shard.team_used.values()),
            sum(m.machine_type.cpus for m in up),
            sum(w.waiting * w.job.cpus for w in job_states),
            len(up),
            sum(1 for m in up if not m.needed),
        )


def team_quotas(settings: Settings) -> dict[str, TeamQuota]:
    """Each team's guarantee and limit."""
    return {t.name: TeamQuota(t.cpus, t.gpus, t.cpus_max, t.gpus_max) for t in settings.facts.teams}


def unknown_machine_type(name: str) -> MachineType:
    """A type the cloud has not told us of: nothing fits on it."""
    return MachineType(name, 0.0, 0.0, 0.0, 0.0, None, 60 * US, 1.0, 1.0, ())
