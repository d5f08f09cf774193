"""The leader of a shard: acquires it, runs its parts, and stops them when the grant is lost."""

import asyncio
from collections.abc import Callable

from basaltlead.clients.backoff import Backoff
from basaltlead.config.settings import Settings
from basaltlead.core.jobs import US
from basaltlead.core.market import Market
from basaltlead.core.shard import Shard
from basaltlead.core.teams import TeamQuota
from basaltlead.core.timing import Timing
from basaltlead.errors import ServiceError
from basaltlead.net.http.messages import Response
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.shard.dispatcher import WorkerDispatcher
from basaltlead.shard.heartbeats import HeartbeatHandler
from basaltlead.shard.lease import ShardLease
from basaltlead.shard.loader import ShardLoader
from basaltlead.shard.open_jobs_watch import OpenJobsWatch
from basaltlead.shard.planning_loop import MarketRounds, PlanningLoop
from basaltlead.shard.rebalancer import Rebalancer
from basaltlead.shard.results import ResultWriter
from basaltlead.wire.workers import Heartbeat

MACHINE_TYPES_PAUSE_S = 0.05  # between two checks whether the machine types are known
MIN_HEARTBEAT_PATIENCE_US = 3 * US
FIRST_HEARTBEAT_PATIENCE_US = 9 * US  # workers that lost their controller find us within that


class ShardLeader:
    """Lives from the grant of a shard until it is lost; a new grant means a new ShardLeader."""

    open_jobs_watch_class = OpenJobsWatch

    def __init__(
        self,
        context: ShardContext,
        market: Market,
        is_cancelled: Callable[[str], bool],
    ) -> None:
        self.context = context
        self.lease = context.lease
        self.shard = context.shard
        self.market = market
        self.dispatcher = WorkerDispatcher(context)
        self.heartbeats = HeartbeatHandler(context, self.dispatcher)
        self.results = ResultWriter(context)
        self.rebalancer = Rebalancer(context, market.terms.round_us)
        self.open_jobs = self.open_jobs_watch_class(
            context, market, self.results, self.rebalancer, is_cancelled
        )
        self.loader = ShardLoader(context, self.open_jobs, self.rebalancer, market)
        self.loaded = False
        self.on_loaded: Callable[[], None] | None = None

    @property
    def holds_valid_lease(self) -> bool:
        """See `ShardLease.holds_valid_lease`."""
        return self.lease.holds_valid_lease

    def start(self, on_loaded: Callable[[], None]) -> None:
        """Load the shard's records, then run its loops; `on_loaded` starts what depends on it."""
        self.on_loaded = on_loaded
        self.context.spawn(self._run(on_loaded), "loop load")

    def stop(self) -> None:
        """The grant is lost, or was released: stop acting."""
        self.lease.end()
        self.context.tasks.cancel()
        self.dispatcher.close()

    async def _run(self, on_loaded: Callable[[], None]) -> None:
        revision = await self._load()
        self.loaded = True
        self.open_jobs.finish_loading()
        self.heartbeats.finish_loading()
        on_loaded()
        spawn = self.context.spawn
        spawn(self.open_jobs.follow(revision), "loop watch")
        spawn(self.results.finish_jobs(), "loop finish")
        spawn(self.results.flush_progress(), "loop flush")
        spawn(self.results.sweep_orphaned_rows(self.open_jobs.orphaned_rows), "sweep orphaned rows")
        spawn(PlanningLoop(self.context, self.dispatcher).run(), "loop plan")
        spawn(MarketRounds(self.context, self.market).run(), "loop rounds")
        if self.context.sharded:
            spawn(self.rebalancer.follow(), "loop assignments")
            spawn(self.rebalancer.balance(), "loop balance")
        for machine in list(self.shard.machines.values()):
            if machine.name in self.shard.unsynced and machine.address:
                self.dispatcher.probe(machine)

    async def _load(self) -> int:
        backoff = Backoff(100_000, 1_000_000, self.context.membership.rng)
        while True:
            if not self.context.machine_types:  # without them no machine's room is known
                await asyncio.sleep(MACHINE_TYPES_PAUSE_S)
                continue
            try:
                return await self.loader.load(self.heartbeats.answered_at)
            except ServiceError as fault:
                log.info("loading shard %d failed, retrying: %s", self.context.number, fault)
                await backoff.wait()

    def heartbeat(self, heartbeat: Heartbeat) -> Response | None:
        """The answer to a worker, or None when another controller must give it."""
        return self.heartbeats.handle(heartbeat)

    def close_job(self, ref: str) -> None:
        """The job's cancellation was confirmed to its user."""
        self.open_jobs.close(ref)

    def hears_nobody(self) -> bool:
        """Have all machines been silent for too long, while other controllers live? Then it is
        more likely our own links that fail, and another controller should lead the shard."""
        members = self.context.membership.cluster.members
        if not self.loaded or len(members) < 2 or not self.holds_valid_lease:
            return False
        now = now_us()
        heartbeat_interval_us = self.shard.timing.heartbeat_interval_us
        patience = max(MIN_HEARTBEAT_PATIENCE_US, int(heartbeat_interval_us * 2.5))
        if self.dispatcher.heard_at:
            known = sum(
                1
                for machine in self.shard.machines.values()
                if machine.synced and not machine.lost and not machine.terminating
            )
            return known > 1 and now - self.dispatcher.heard_at > patience
        first_patience = FIRST_HEARTBEAT_PATIENCE_US + heartbeat_interval_us
        return len(self.shard.unsynced) > 1 and now - self.shard.acquired_at > first_patience


def new_shard(settings: Settings, lease: ShardLease) -> Shard:
    """The picture of a shard that has just been granted: nothing is known of it so far."""
    workers = settings.facts.workers
    timing = Timing(int(workers.lease_s * US), int(workers.report_s * US))
    return Shard(
        lease.fencing_token,
        lease.version,
        now_us(),
        timing,
        team_quotas(settings),
        lambda text: log.info("%s", text),
    )


def team_quotas(settings: Settings) -> dict[str, TeamQuota]:
    """Each team's guarantee and limit."""
    return {
        team.name: TeamQuota(team.cpus, team.gpus, team.cpus_max, team.gpus_max)
        for team in settings.facts.teams
    }
