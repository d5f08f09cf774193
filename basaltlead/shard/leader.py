"""The leader of a shard: loads it, runs its components, and stops them when the grant is lost."""

import asyncio
from collections.abc import Callable

from basaltlead.clients.backoff import Backoff
from basaltlead.config.settings import Settings
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.jobs import US
from basaltlead.core.market import Market
from basaltlead.core.shard import Shard, ShardOutput
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
from basaltlead.shard.token_reservation import TokenReservation
from basaltlead.shard.worker_commands import MESSAGE_LIMIT
from basaltlead.wire.workers import Heartbeat

MACHINE_TYPES_POLL_INTERVAL_S = 0.05  # between two checks for the machine types
MIN_SILENCE_TIMEOUT_US = 3 * US
# Workers whose controller has failed send us a heartbeat within this time plus a heartbeat interval
# after the grant.
FIRST_HEARTBEAT_TIMEOUT_US = 9 * US


class ShardLeader:
    """Leads a shard from its grant until the grant is lost; each grant has its own instance."""

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
        self.rebalancer = Rebalancer(context, market.parameters.round_us)
        self.open_jobs_watch = self.open_jobs_watch_class(
            context, market, self.results, self.rebalancer, is_cancelled
        )
        self.loader = ShardLoader(context, self.open_jobs_watch, self.rebalancer, market)
        self.token_reservation = TokenReservation(context)
        self.loaded = False
        self.on_loaded: Callable[[], None] | None = None

    @property
    def holds_valid_lease(self) -> bool:
        """See `ShardLease.holds_valid_lease`."""
        return self.lease.holds_valid_lease

    def start(self, on_loaded: Callable[[], None]) -> None:
        """Load the shard's records, then call `on_loaded` and run the loops of the shard."""
        self.on_loaded = on_loaded
        self.context.spawn(self._run(on_loaded), "loop load")

    def stop(self) -> None:
        """Stop acting, since the grant was lost or released."""
        self.lease.end()
        self.context.tasks.cancel()
        self.dispatcher.close()

    async def _run(self, on_loaded: Callable[[], None]) -> None:
        revision = await self._load()
        self.loaded = True
        self.open_jobs_watch.finish_loading()
        self.heartbeats.finish_loading()
        on_loaded()
        spawn = self.context.spawn
        spawn(self.open_jobs_watch.follow(revision), "loop watch")
        spawn(self.results.finish_jobs(), "loop finish")
        spawn(self.results.flush_progress(), "loop flush")
        spawn(
            self.results.sweep_orphaned_rows(self.open_jobs_watch.orphaned_rows),
            "sweep orphaned rows",
        )
        spawn(PlanningLoop(self.context, self.dispatcher).run(), "loop plan")
        spawn(self.token_reservation.run(), "loop token reservation")
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
            if not self.context.machine_types:  # without them no machine's capacity is known
                await asyncio.sleep(MACHINE_TYPES_POLL_INTERVAL_S)
                continue
            try:
                return await self.loader.load(self.heartbeats.answered_while_loading)
            except ServiceError as error:
                log.info("loading shard %d failed, retrying: %s", self.context.number, error)
                await backoff.wait()

    def heartbeat(self, heartbeat: Heartbeat) -> Response | None:
        """Answer a heartbeat. Returns None if this shard leader must not answer it."""
        return self.heartbeats.handle(heartbeat)

    def close_job(self, ref: str) -> None:
        """Close a job whose cancellation was confirmed to its user."""
        self.open_jobs_watch.close(ref)

    def is_isolated(self) -> bool:
        """Whether no machine has been heard from for too long, while other controllers are alive.
        The likely cause is this controller's own network, so another one should lead the shard."""
        members = self.context.membership.cluster.members
        if not self.loaded or len(members) < 2 or not self.holds_valid_lease:
            return False
        now = now_us()
        heartbeat_interval_us = self.shard.timing.heartbeat_interval_us
        silence_timeout = max(MIN_SILENCE_TIMEOUT_US, int(heartbeat_interval_us * 2.5))
        if self.dispatcher.last_token_shown_at:
            active = sum(
                1
                for machine in self.shard.machines.values()
                if machine.synced and not machine.lost and not machine.terminating
            )
            return active > 1 and now - self.dispatcher.last_token_shown_at > silence_timeout
        first_heartbeat_timeout = FIRST_HEARTBEAT_TIMEOUT_US + heartbeat_interval_us
        return (
            len(self.shard.unsynced) > 1 and now - self.shard.acquired_at > first_heartbeat_timeout
        )


def new_shard(settings: Settings, lease: ShardLease) -> Shard:
    """The state of a shard that has just been granted, without jobs or machines yet."""
    workers = settings.facts.workers
    timing = Timing(int(workers.lease_s * US), int(workers.report_s * US))
    return Shard(
        FencingTokens(lease.grant.tokens),
        lease.version,
        now_us(),
        timing,
        team_quotas(settings),
        ShardOutput(lambda text: log.info("%s", text), MESSAGE_LIMIT),
    )


def team_quotas(settings: Settings) -> dict[str, TeamQuota]:
    """The guarantee and limit of each team, by its name."""
    return {
        team.name: TeamQuota(team.cpus, team.gpus, team.cpus_max, team.gpus_max)
        for team in settings.facts.teams
    }
